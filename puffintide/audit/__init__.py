"""The five rules, checked from records of what passed between the parties."""

"""The audit: whether a deployment kept its rules, worked out from records of what passed between its parties."""

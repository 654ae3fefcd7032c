"""The store: ownership and tables of slices, kept durably, in a process of its own."""

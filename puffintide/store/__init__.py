"""The store: tables of slices and who has charge of them, in a process of its own."""

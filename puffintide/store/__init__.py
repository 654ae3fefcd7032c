"""Store process that durably keeps the ownership and the tables of slices."""

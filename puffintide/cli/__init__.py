"""The command line, on click and rich."""

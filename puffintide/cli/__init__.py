"""Command line of the program, built on click and rich."""

"""Measurements of the program, run by hand: `python -m benchmarks.NAME --help`."""

"""Benchmarks and long checks, run by hand as `python -m benchmarks.NAME`; each module lists its options."""

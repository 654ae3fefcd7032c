"""Scripted days: everything started on loopback, faults injected for real, records taken between the parties."""

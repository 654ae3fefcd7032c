"""The decision modules: events in, actions out; no I/O and no clock."""

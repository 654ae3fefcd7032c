"""Decision modules: pure code that turns events into actions, without I/O or a clock."""

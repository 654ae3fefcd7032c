"""The line-based JSON protocol: typed messages, codec, a session without I/O, and its Twisted transport."""

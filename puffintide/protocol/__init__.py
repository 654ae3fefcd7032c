"""The program's own protocol: typed messages, one codec, a session without I/O, and its Twisted protocol."""

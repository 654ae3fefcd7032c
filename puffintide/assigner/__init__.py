"""The assigner: a runtime without I/O around the decision module, and the service that runs it on sockets."""

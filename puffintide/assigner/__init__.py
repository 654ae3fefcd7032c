"""The assigner: a runtime without I/O around the decision module, and the service that puts it on sockets."""

"""Emulators of the systems around the program: session servers, the endpoint list, clients and etcd."""

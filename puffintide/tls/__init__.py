"""Certificates: a development authority, and TLS contexts that follow their files."""

"""Certificates of a development authority, and TLS contexts that are reloaded when their files change."""

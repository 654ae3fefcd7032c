"""Exceptions of the tls package."""

from __future__ import annotations


class TlsError(Exception):
    """A certificate or key file cannot be loaded; the text names the file and the reason."""


class KeyCreationError(TlsError):
    """A key or certificate cannot be created. No file is overwritten."""

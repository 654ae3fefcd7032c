"""Exceptions of the tls package."""

from __future__ import annotations


class TlsError(Exception):
    """Files of certificates or keys can't be used; the text says which and why."""


class KeyCreationError(TlsError):
    """A key or certificate can't be created. Nothing is overwritten."""

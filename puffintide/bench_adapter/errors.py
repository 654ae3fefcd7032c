"""Exceptions of the bench adapter."""

from __future__ import annotations


class BenchAdapterError(Exception):
    """Base class of the adapter's exceptions."""


class BenchProtocolError(BenchAdapterError):
    """The input does not follow the bench's protocol; the text says what and where."""

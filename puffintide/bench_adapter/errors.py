"""Exceptions of the bench adapter."""

from __future__ import annotations


class BenchAdapterError(Exception):
    """Base class of the exceptions of the bench adapter."""


class BenchProtocolError(BenchAdapterError):
    """Raised for input that violates the bench's protocol; the text says what could not be processed and why."""

"""Exceptions of the audit package."""

from __future__ import annotations


class AuditError(Exception):
    """Base class of the audit's exceptions."""


class RecordError(AuditError):
    """A record can't be read; the text names file and line."""

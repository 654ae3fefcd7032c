"""Exceptions of the audit package."""

from __future__ import annotations


class AuditError(Exception):
    """Base class of the exceptions of the audit package."""


class RecordError(AuditError):
    """Raised if a record can't be read. The message names the file and the line."""

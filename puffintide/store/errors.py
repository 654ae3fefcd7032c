"""Errors of the store."""

from __future__ import annotations


class StoreError(Exception):
    """Storage operation that failed. The text says in one line what failed, and where."""


class StoreSupersededError(StoreError):
    """Another store process has acquired or written the storage, so this one must stop."""


class StoreInUseError(StoreError):
    """Storage that another store process has open."""


class StoreDamagedError(StoreError):
    """Stored data that cannot be read: a checksum, a row or the file itself is wrong."""


class StoreFormatError(StoreError):
    """Stored data in a format that this program does not read."""


class StoreFullError(StoreError):
    """Commit that failed because no space is left."""


class BackupError(StoreError):
    """Backup that cannot be written or restored."""


class TableFileError(StoreError):
    """Invalid file of initial tables, of which nothing is loaded. The text names file and line."""

"""Errors of the store."""

from __future__ import annotations


class StoreError(Exception):
    """The storage can't be used; the text says what and where, in one line."""


class StoreOvertakenError(StoreError):
    """Another store process has written since: this one is behind, and must not go on."""


class StoreInUseError(StoreError):
    """Another store process has the storage open."""


class StoreDamagedError(StoreError):
    """What is stored can't be read back: a checksum, a row or the file itself is wrong."""


class StoreFormatError(StoreError):
    """What is stored has a format that this program does not read."""


class StoreFullError(StoreError):
    """There is no space left for a commit."""


class BackupError(StoreError):
    """A backup can't be written or restored."""


class TableFileError(StoreError):
    """A file of initial tables can't be used; the text names file and line. Nothing of it is used."""

"""Non-durable in-memory storage engine, for scenarios and tests that do not concern storage."""

from __future__ import annotations

from puffintide.store.engine import Commit, StoreSnapshot
from puffintide.store.errors import BackupError


class MemoryEngine:
    """StorageEngine whose commits are lost when the process ends."""

    def __init__(self, store_id: str = "memory") -> None:
        self.snapshot = StoreSnapshot(store_id)

    def load(self) -> StoreSnapshot:
        """Return an empty snapshot."""
        return self.snapshot

    def commit(self, commit: Commit) -> None:
        """Do nothing."""

    def backup(self, path: str) -> int:
        """Reject the backup, as nothing is stored.

        Raises:
            BackupError: Always.
        """
        raise BackupError(f"backup to {path} is not supported by the in-memory engine")

    def renew_lease(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""

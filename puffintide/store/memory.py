"""An engine that keeps nothing over a restart: for scenarios and tests that do not concern storage."""

from __future__ import annotations

from puffintide.store.engine import Commit, StoreSnapshot
from puffintide.store.errors import BackupError


class MemoryEngine:
    """A StorageEngine whose commits are lost with the process."""

    def __init__(self, store_id: str = "memory") -> None:
        self.snapshot = StoreSnapshot(store_id)

    def load(self) -> StoreSnapshot:
        """Returns an empty snapshot."""
        return self.snapshot

    def commit(self, commit: Commit) -> None:
        """Does nothing."""

    def backup(self, path: str) -> int:
        """Raises BackupError, always."""
        raise BackupError(f"{path}: a store in memory has nothing to back up")

    def renew_lease(self) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""

"""In-memory storage engine whose state survives restarts of the store in a test."""

from __future__ import annotations

import msgspec

from puffintide.store.engine import Commit, StoreSnapshot
from puffintide.store.errors import StoreError


class SurvivingStoreEngine:
    """Keeps its state when the store is restarted, and fails every commit while `full` is set."""

    def __init__(self, store_id: str = "t") -> None:
        self.snapshot, self.full = StoreSnapshot(store_id), False

    def load(self) -> StoreSnapshot:
        return self.snapshot

    def commit(self, commit: Commit) -> None:
        if self.full:
            raise StoreError("commit failed: no space left")
        self.snapshot.revision, self.snapshot.highest_token = commit.revision, commit.highest_token
        self.snapshot.slices |= {stored.slice_id: stored for stored in commit.slices}
        self.snapshot.slice_revisions |= {stored.slice_id: commit.revision for stored in commit.slices}
        self.snapshot.zone_commands |= {command.zone: command for command in commit.zone_commands}

    def backup(self, _path: str) -> int:
        raise StoreError("backup is not supported by this test engine")

    def renew_lease(self) -> None:
        pass

    def close(self) -> None:
        pass


def copy_snapshot(snapshot: StoreSnapshot) -> StoreSnapshot:
    return msgspec.convert(msgspec.to_builtins(snapshot), StoreSnapshot)

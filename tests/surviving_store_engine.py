"""A storage engine in memory that outlives the process of its store."""

from __future__ import annotations

import msgspec

from puffintide.store.engine import Commit, StoreSnapshot
from puffintide.store.errors import StoreError


class SurvivingStoreEngine:
    """A store's engine that outlives its process, and refuses while `full`."""

    def __init__(self, identity: str = "t") -> None:
        self.image, self.full = StoreSnapshot(identity), False

    def load(self) -> StoreSnapshot:
        return self.image

    def commit(self, change: Commit) -> None:
        if self.full:
            raise StoreError("no space left")
        self.image.revision, self.image.highest_token = change.revision, change.highest_token
        self.image.slices |= {s.slice_id: s for s in change.slices}
        self.image.slice_revisions |= {s.slice_id: change.revision for s in change.slices}
        self.image.zone_commands |= {h.zone: h for h in change.zone_commands}

    def backup(self, _path: str) -> int:
        raise StoreError("not in tests")

    def renew_lease(self) -> None:
        pass

    def close(self) -> None:
        pass


def copied(image: StoreSnapshot) -> StoreSnapshot:
    return msgspec.convert(msgspec.to_builtins(image), StoreSnapshot)

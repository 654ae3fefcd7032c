"""What a store keeps, and what a storage engine promises. Types only."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from puffintide.protocol.messages import TableEntry, ZoneCommand

NOBODY = -1  # the owner_id of a slice without an owner
NO_OVERRIDE = -1


class StoredSlice(msgspec.Struct, frozen=True, array_like=True):
    """A slice as stored. It is stored as an array, so the order of the fields must not change."""

    slice_id: int
    owner_id: int  # number of the assigner; NOBODY: none
    fencing_token: int  # of the ownership
    batch: int  # of the last write in this tenure
    entries: list[TableEntry]
    home_override: int = NO_OVERRIDE  # assigner that an operator made the slice's home
    tenure_token: int = 0  # first token of this unbroken ownership by one incarnation of the owner
    incarnation: int = 0  # of the owner


@dataclass(frozen=True, slots=True)
class Commit:
    """What becomes durable together."""

    revision: int
    highest_token: int  # highest fencing token ever issued
    slices: tuple[StoredSlice, ...] = ()
    zone_commands: tuple[ZoneCommand, ...] = ()


@dataclass(slots=True)
class StoreSnapshot:
    """All that is stored, as of one revision."""

    store_id: str  # identity of the store; a restored backup has another
    revision: int = 0
    highest_token: int = 0
    slices: dict[int, StoredSlice] = field(default_factory=dict)
    slice_revisions: dict[int, int] = field(default_factory=dict)  # revision of each slice's last change
    zone_commands: dict[int, ZoneCommand] = field(default_factory=dict)  # by zone


class StorageEngine(Protocol):
    """Keeps the state of a store.

    A commit is durable when `commit` returns: neither a kill nor a power cut loses it, and a commit is there whole
    or not at all. The caller publishes no change before.
    """

    def load(self) -> StoreSnapshot:
        """Reads all that is stored.

        Raises:
            StoreError: Anything stored is damaged, or the storage can't be used.
        """

    def commit(self, commit: Commit) -> None:
        """Makes a commit durable.

        Raises:
            StoreError: Nothing of it is stored, and it may be retried.
        """

    def backup(self, path: str) -> int:
        """Writes a copy as of one revision, while serving, and returns that revision.

        Raises:
            StoreError: There is no backup.
        """

    def renew_lease(self) -> None:
        """Renews what the engine has to renew, such as a lease; to be called about once a second.

        Raises:
            StoreError: It was not renewed.
        """

    def close(self) -> None:
        """Releases the storage for another process."""

"""Types of the stored state, and the interface of a storage engine."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from puffintide.protocol.messages import TableEntry, ZoneCommand

NO_OWNER = -1  # Value of owner_id for a slice without an owner.
NO_OVERRIDE = -1  # Value of home_override for a slice with its default home.


class StoredSlice(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a slice.

    It is encoded as an array, so the order of the fields must not change.
    """

    slice_id: int
    owner_id: int  # Id of the assigner, or NO_OWNER.
    fencing_token: int  # Token of the current ownership.
    batch: int  # Batch of the last write in this tenure.
    entries: list[TableEntry]
    home_override: int = NO_OVERRIDE  # Assigner that an operator made the slice's home.
    tenure_token: int = 0  # First token of this uninterrupted ownership by one incarnation of the owner.
    incarnation: int = 0  # Incarnation of the owner.


@dataclass(frozen=True, slots=True)
class Commit:
    """Changes that become durable atomically."""

    revision: int
    highest_token: int  # Highest fencing token ever issued.
    slices: tuple[StoredSlice, ...] = ()
    zone_commands: tuple[ZoneCommand, ...] = ()


@dataclass(slots=True)
class StoreSnapshot:
    """Complete stored state as of one revision."""

    store_id: str  # Identity of the store. A restored backup gets a new one.
    revision: int = 0
    highest_token: int = 0
    slices: dict[int, StoredSlice] = field(default_factory=dict)
    slice_revisions: dict[int, int] = field(default_factory=dict)  # Revision of each slice's last change.
    zone_commands: dict[int, ZoneCommand] = field(default_factory=dict)  # Keyed by zone.


class StorageEngine(Protocol):
    """Interface of the storage of a store.

    A commit is durable when `commit` returns: neither a kill nor a power cut loses it. Commits are atomic.
    The caller publishes no change before its commit is durable.
    """

    def load(self) -> StoreSnapshot:
        """Read the complete stored state.

        Raises:
            StoreError: Stored data is damaged, or the storage is unavailable.
        """

    def commit(self, commit: Commit) -> None:
        """Make a commit durable.

        Raises:
            StoreError: Nothing of the commit is stored. It may be retried.
        """

    def backup(self, path: str) -> int:
        """Write a copy as of one revision while the store serves, and return that revision.

        Raises:
            StoreError: The backup was not written.
        """

    def renew_lease(self) -> None:
        """Renew the engine's lease, if it has one. The caller calls this about once a second.

        Raises:
            StoreError: The lease was not renewed.
        """

    def close(self) -> None:
        """Release the storage for another process."""

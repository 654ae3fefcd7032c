"""What a store keeps, and what an engine that keeps it promises. Types only.

An engine's commit() is durable when it returns: neither a kill nor a power cut loses it, and a commit is there
whole or not at all. Whoever calls it tells nobody of a change before.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from puffintide.protocol.messages import TableEntry, ZoneCommand


class StoreError(Exception):
    """The storage can't be used; the text says what and where, in one line."""


class Overtaken(StoreError):
    """Another store has written since: this one is behind, and must not go on."""


class SliceState(msgspec.Struct, frozen=True, array_like=True):
    """A slice as kept: who has charge under which token, the last write's batch, its table, and a pin."""

    slice: int
    assigner: int
    token: int
    batch: int
    lines: list[TableEntry]
    pin: int = -1  # an operator moved it here; -1: it goes where its number says
    since: int = 0  # the first token of this unbroken tenure of one life of the assigner
    life: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """What one commit makes durable together."""

    revision: int
    token: int  # the highest ever given
    slices: tuple[SliceState, ...] = ()
    hands: tuple[ZoneCommand, ...] = ()


@dataclass(slots=True)
class Image:
    """All that is kept, as read at the start."""

    identity: str  # of this store; a restored backup has another
    revision: int = 0
    token: int = 0
    slices: dict[int, SliceState] = field(default_factory=dict)
    revisions: dict[int, int] = field(default_factory=dict)  # of each slice's last change
    hands: dict[int, ZoneCommand] = field(default_factory=dict)


class Engine(Protocol):
    def load(self) -> Image:
        """Raises StoreError if anything kept is damaged."""

    def commit(self, change: Change) -> None:
        """Durable on return. Raises StoreError; then nothing of it is kept, and it may be tried again."""

    def backup(self, path: str) -> int:
        """A copy as of one revision, while serving; gives that revision. Raises StoreError."""

    def beat(self) -> None:
        """Called now and then, for what must be kept up. Raises StoreError."""

    def close(self) -> None: ...


class Memory:
    """Keeps nothing over a restart: for days and tests of what does not concern storage."""

    def beat(self) -> None:
        pass

    def __init__(self, identity: str = "memory") -> None:
        self.image = Image(identity)

    def load(self) -> Image:
        return self.image

    def commit(self, change: Change) -> None:
        pass

    def backup(self, path: str) -> int:
        raise StoreError("a store in memory has nothing to back up")

    def close(self) -> None:
        pass

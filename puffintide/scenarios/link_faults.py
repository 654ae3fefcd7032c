"""Links of a scenario, and the faults that a recording proxy puts on them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

BOTH_DIRECTIONS = -1
TO_TARGET = 0
TO_INITIATOR = 1
ANY_ZONE = -1
NOBODY = -1


@dataclass
class Link:
    """A listening port and what it leads to."""

    name: str
    kind: str  # order, store, list, try, probe, peer, front
    port: int
    target: str  # HOST:PORT
    zone: int = ANY_ZONE  # of the target
    number: int = NOBODY  # of the target


@dataclass
class Initiator:
    """Who dialled a connection; unknown until its greeting."""

    role: str = ""
    id: int = NOBODY
    zone: int = ANY_ZONE


class Cut(StrEnum):
    """How a link is cut."""

    NOT = ""
    REFUSE = "refuse"  # connections are closed
    SILENT = "silent"  # messages are lost


@dataclass(frozen=True)
class LinkFault:
    """Which messages a fault affects, and what becomes of them. Empty sets don't restrict it."""

    link_types: tuple[str, ...]
    message_types: tuple[bytes, ...] = ()  # beginnings of names on the wire
    direction: int = BOTH_DIRECTIONS
    proxies: frozenset[int] = frozenset()  # that dialled
    initiator_zone: int = ANY_ZONE
    target_zone: int = ANY_ZONE
    between_zones_only: bool = False
    assigners: frozenset[int] = frozenset()  # at one end of a link between assigners
    other_assigners: frozenset[int] = frozenset()  # at its other end
    senders: frozenset[int] = frozenset()  # assigners that send
    delay_s: float = 0.0
    loss_fraction: float = 0.0
    cut: Cut = Cut.NOT
    pauses_initiator: bool = False  # the party that dialled reads nothing
    duplicate_fraction: float = 0.0
    reorders: bool = False  # delayed messages don't hold up those behind them

    def affects(self, link: Link, initiator: Initiator, direction: int, line: bytes) -> bool:
        """Whether a message on a connection is affected; an empty line stands for the connection itself."""
        if link.kind not in self.link_types:
            return False
        if self.direction not in (BOTH_DIRECTIONS, direction):
            return False
        return (
            self._affects_assigners(link, initiator, direction)
            and self._affects_initiator(link, initiator)
            and self._affects_message(line)
        )

    def _affects_assigners(self, link: Link, initiator: Initiator, direction: int) -> bool:
        ends = (initiator.id, link.number)
        if self.assigners and not (self._is_between(*ends) or self._is_between(*ends[::-1])):
            return False
        return not self.senders or ends[direction] in self.senders

    def _is_between(self, assigner_id: int, other_id: int) -> bool:
        if assigner_id not in self.assigners:
            return False
        return not self.other_assigners or other_id in self.other_assigners

    def _affects_initiator(self, link: Link, initiator: Initiator) -> bool:
        if self.proxies and (initiator.role != "proxy" or initiator.id not in self.proxies):
            return False
        if self.initiator_zone >= 0 and initiator.zone != self.initiator_zone:
            return False
        if self.target_zone >= 0 and link.zone != self.target_zone:
            return False
        return not self.between_zones_only or crosses_zones(link, initiator)

    def _affects_message(self, line: bytes) -> bool:
        if not self.message_types:
            return True
        return any(line.startswith(b'{"t":"' + message_type) for message_type in self.message_types)


def crosses_zones(link: Link, initiator: Initiator) -> bool:
    """Whether a connection is between two zones that are known."""
    return initiator.zone >= 0 and link.zone >= 0 and initiator.zone != link.zone


def parse_link_fault(arguments: Mapping[str, Any]) -> LinkFault:
    """The fault that a step's arguments describe; the names are those of the steps."""
    return LinkFault(
        link_types=tuple(arguments["kinds"]),
        message_types=tuple(word.encode() for word in arguments.get("words", ())),
        direction=arguments.get("direction", BOTH_DIRECTIONS),
        proxies=frozenset(arguments.get("proxies", ())),
        initiator_zone=arguments.get("from_zone", ANY_ZONE),
        target_zone=arguments.get("to_zone", ANY_ZONE),
        between_zones_only=arguments.get("crossing", False),
        assigners=frozenset(arguments.get("parties", ())),
        other_assigners=frozenset(arguments.get("facing", ())),
        senders=frozenset(arguments.get("senders", ())),
        delay_s=arguments.get("late_s", 0.0),
        loss_fraction=arguments.get("lose", 0.0),
        cut=Cut(arguments.get("cut", "")),
        pauses_initiator=arguments.get("hold", False),
        duplicate_fraction=arguments.get("double", 0.0),
        reorders=arguments.get("mixed", False),
    )

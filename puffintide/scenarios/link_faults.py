"""Links of a scenario and the faults that the recording proxy applies to them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

BOTH_DIRECTIONS = -1
TO_TARGET = 0
TO_INITIATOR = 1
ANY_ZONE = -1
UNKNOWN_ID = -1


@dataclass
class Link:
    """A listening port of the recording proxy and the address to which it connects."""

    name: str
    kind: str  # One of: order, store, list, try, probe, peer, front.
    port: int
    target: str  # Address of the target, HOST:PORT.
    zone: int = ANY_ZONE  # Zone of the target.
    number: int = UNKNOWN_ID  # Id of the target: of an assigner or a server.


@dataclass
class Initiator:
    """The party that opened a connection; unknown until its hello message arrives."""

    role: str = ""
    id: int = UNKNOWN_ID
    zone: int = ANY_ZONE


class Cut(StrEnum):
    """The way in which a link is cut."""

    NONE = ""
    REFUSE = "refuse"  # Connections are closed.
    SILENT = "silent"  # Messages are lost.


@dataclass(frozen=True)
class LinkFault:
    """The messages that a fault affects, and its effects on them. An empty set matches everything."""

    link_types: tuple[str, ...]
    message_types: tuple[bytes, ...] = ()  # Prefixes of message tags on the wire.
    direction: int = BOTH_DIRECTIONS
    proxies: frozenset[int] = frozenset()  # Proxies that opened the connection.
    initiator_zone: int = ANY_ZONE
    target_zone: int = ANY_ZONE
    between_zones_only: bool = False
    assigners: frozenset[int] = frozenset()  # Assigners at one end of a link between assigners.
    other_assigners: frozenset[int] = frozenset()  # Assigners at the other end of this link.
    senders: frozenset[int] = frozenset()  # Assigners whose sent messages are affected.
    delay_s: float = 0.0
    loss_fraction: float = 0.0
    cut: Cut = Cut.NONE
    pauses_initiator: bool = False  # The initiator stops reading.
    duplicate_fraction: float = 0.0
    reorders: bool = False  # Later messages can overtake a delayed one.

    def affects(self, link: Link, initiator: Initiator, direction: int, line: bytes) -> bool:
        """Return whether the fault affects a message on a connection.

        An empty line stands for the connection itself.
        """
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
    """Return whether both ends of a connection are in known and different zones."""
    return initiator.zone >= 0 and link.zone >= 0 and initiator.zone != link.zone


def parse_link_fault(arguments: Mapping[str, Any]) -> LinkFault:
    """Return the fault that the arguments of a step describe; the keys are those of the steps."""
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

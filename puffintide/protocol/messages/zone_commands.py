"""Operator commands for zones, and the state of zones as an assigner estimates it."""

from __future__ import annotations

import msgspec

from puffintide.protocol.messages.base import Message


class ZoneCommand(
    Message, tag="hand", frozen=True, rename={"operation": "what", "operator": "by", "sequence": "number"}
):
    """An operator's command for a zone, to the store; from there to every assigner, and to each that joins."""

    zone: int
    operation: str  # "drain", "hold" or "return"
    pace: float = 1.0  # of the steps, as a multiple of the usual pace
    operator: str = ""  # who gave the command, for the log
    sequence: int = 0  # assigned by the store; rises with each command


class ZoneCommands(Message, tag="hands", frozen=True, rename={"commands": "hands"}):
    """The command in force for each zone that has one."""

    commands: list[ZoneCommand]


class ZoneStatusRequest(Message, tag="ask_zones", frozen=True):
    """Asks an assigner for a ZoneStatusReport."""


class ZoneStatus(msgspec.Struct, frozen=True, array_like=True):
    """State of one zone."""

    zone: int
    phase: str
    cause: str  # of the phase
    available_fraction: float  # of the zone's usual servers
    min_capacity_fraction: float  # least fraction of a server's capacity that is planned with
    max_capacity_fraction: float  # largest fraction of a server's capacity that is planned with
    hold_remaining_s: float  # until the zone may be used again
    flap_count: int  # losses of the zone that were counted
    spillover: list[tuple[int, float]]  # (zone, fraction of this zone's load that goes there)
    unplaced_fraction: float  # of this zone's load


class ZoneStatusReport(
    Message, tag="zones", frozen=True, rename={"assigner_id": "assigner", "zone_plan_enabled": "planned"}
):
    """State of all zones as one assigner estimates it."""

    assigner_id: int
    zone_plan_enabled: bool  # False: this assigner plans without zones
    zones: list[ZoneStatus]

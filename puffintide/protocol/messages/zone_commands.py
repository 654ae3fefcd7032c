"""Operator commands for zones, and the state of zones as estimated by an assigner."""

from __future__ import annotations

import msgspec

from puffintide.protocol.messages.base import Message


class ZoneCommand(
    Message, tag="hand", frozen=True, rename={"operation": "what", "operator": "by", "sequence": "number"}
):
    """Operator command for a zone.

    The operator sends it to the store, which forwards it to every connected assigner and to each one that
    connects later.
    """

    zone: int
    operation: str  # "drain", "hold" or "return".
    pace: float = 1.0  # Pace of the steps, as a multiple of the normal pace.
    operator: str = ""  # Operator who issued the command, for the log.
    sequence: int = 0  # Assigned by the store; increases with each command.


class ZoneCommands(Message, tag="hands", frozen=True, rename={"commands": "hands"}):
    """The active command of each zone that has one."""

    commands: list[ZoneCommand]


class ZoneStatusRequest(Message, tag="ask_zones", frozen=True):
    """Request to an assigner for a ZoneStatusReport."""


class ZoneStatus(msgspec.Struct, frozen=True, array_like=True):
    """State of one zone."""

    zone: int
    phase: str
    cause: str  # Cause of the phase.
    available_fraction: float  # Available fraction of the zone's usual servers.
    min_capacity_fraction: float  # Minimum fraction of a server's capacity that the plan uses.
    max_capacity_fraction: float  # Maximum fraction of a server's capacity that the plan uses.
    hold_remaining_s: float  # Time until the zone may be used again.
    flap_count: int  # Number of counted losses of the zone.
    spillover: list[tuple[int, float]]  # Pairs of a zone and the fraction of this zone's load sent to it.
    unplaced_fraction: float  # Fraction of this zone's load that no zone takes.


class ZoneStatusReport(
    Message, tag="zones", frozen=True, rename={"assigner_id": "assigner", "zone_plan_enabled": "planned"}
):
    """State of all zones as estimated by one assigner."""

    assigner_id: int
    zone_plan_enabled: bool  # False if this assigner plans without zones.
    zones: list[ZoneStatus]

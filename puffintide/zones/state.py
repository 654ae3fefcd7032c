"""Types of the zone plan: phases and states of zones, and what is known of a server's health."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

Spillover = tuple[tuple[int, float], ...]  # zone, and the fraction of load that its limit admits


class ZonePhase(StrEnum):
    """Phase of a zone; the values are those of logs and of the protocol."""

    HEALTHY = "well"
    DEGRADED = "degraded"
    LOST = "lost"
    HELD_DOWN = "held"  # its servers are there again, and not used yet, as it flaps
    RECOVERING = "returning"
    DRAINED = "drained"  # by an operator


class PathFault(StrEnum):
    """A fault of a zone other than lost servers; the values are those of logs and of the protocol."""

    NONE = ""
    LINK = "link"  # requests from and to all other zones fail
    ONE_SIDED = "one-sided"  # requests from some zones fail
    REPORTS = "reports"  # its proxies' load reports do not arrive


@dataclass(frozen=True, slots=True)
class ZoneLimits:
    """Limits from the configuration."""

    spillover_fraction: float = 0.8  # of a zone's spare capacity, that other zones' slices may take


@dataclass(frozen=True, slots=True)
class ServerHealth:
    """What the director knows of a server."""

    is_responding: bool  # not ejected
    load: float | None  # 0 to 1
    health_check_succeeded: bool | None = None  # the last one; None: there was none


@dataclass(frozen=True, slots=True)
class ZoneState:
    """State of a zone, with its cause. Fractions of load are of the zone's usual load."""

    zone: int
    phase: ZonePhase
    cause: str
    available_fraction: float  # of its usual servers' weight
    min_capacity_fraction: float  # smallest capacity limit of its servers
    max_capacity_fraction: float
    held_until_s: float = 0.0  # on the assigner's clock
    flap_count: int = 0
    spillover: Spillover = ()
    unplaced_fraction: float = 0.0  # the fraction of load that no zone's limit admits

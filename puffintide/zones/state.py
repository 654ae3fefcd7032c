"""Types of the zone plan: phases and states of zones, limits, and the health of servers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

# Zones, each with the fraction of an impaired zone's load that its limit admits.
Spillover = tuple[tuple[int, float], ...]


class ZonePhase(StrEnum):
    """Phase of a zone; the values appear in logs and in the protocol."""

    HEALTHY = "well"
    DEGRADED = "degraded"
    LOST = "lost"
    HELD_DOWN = "held"  # The zone flaps: its servers are available again but not used yet.
    RECOVERING = "returning"
    DRAINED = "drained"  # An operator's drain or hold is in force.


class PathFault(StrEnum):
    """Fault of a zone other than lost servers; the values appear in logs and in the protocol."""

    NONE = ""
    LINK = "link"  # Requests from and to all other zones fail.
    ONE_SIDED = "one-sided"  # Requests from some zones fail.
    REPORTS = "reports"  # Load reports of the zone's proxies do not arrive.


@dataclass(frozen=True, slots=True)
class ZoneLimits:
    """Limits of the zone plan from the configuration."""

    # Fraction of a zone's spare capacity that load of impaired zones may take.
    spillover_fraction: float = 0.8


@dataclass(frozen=True, slots=True)
class ServerHealth:
    """Health of a server as the director knows it."""

    is_responding: bool  # Whether the server is not ejected.
    load: float | None  # Load from 0 to 1, or None if it is not known.
    health_check_succeeded: bool | None = None  # Result of the last health check; None if there was none.


@dataclass(frozen=True, slots=True)
class ZoneState:
    """State of a zone and its cause; fractions of load are relative to the zone's usual load."""

    zone: int
    phase: ZonePhase
    cause: str
    available_fraction: float  # Fraction of its usual servers' weight that is listed as ready.
    min_capacity_fraction: float  # Smallest capacity limit of its ready servers; 0 if it has none.
    max_capacity_fraction: float  # Largest capacity limit of its ready servers; 0 if it has none.
    held_until_s: float = 0.0  # End of the last hold-down, on the assigner's clock.
    flap_count: int = 0  # Number of losses within FLAP_WINDOW_S up to the last loss.
    spillover: Spillover = ()
    unplaced_fraction: float = 0.0  # Fraction of load that no zone's limit admits.

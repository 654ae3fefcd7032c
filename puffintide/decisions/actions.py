"""Actions that a director returns: types only, no logic."""

from __future__ import annotations

from dataclasses import dataclass

ALL_SLICES = 0xFFFF  # as SetAdmission.slice_id: all slices that this assigner owns


@dataclass(frozen=True, slots=True)
class SetWeight:
    """Set the weight of a server in a slice's table; 0 removes the entry."""

    slice_id: int
    server_id: int
    weight: float


@dataclass(frozen=True, slots=True)
class SetWithdrawn:
    """Withdraw a server from all tables of this assigner's slices, or readmit it."""

    server_id: int
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class SetAdmission:
    """Set the fraction of some request classes that proxies admit, and how they retry."""

    slice_id: int
    class_mask: int  # bit k stands for class k; 0: all classes
    fraction: float  # 1: all requests are admitted
    retry_mode: int  # 0 to 3, as on the wire


@dataclass(frozen=True, slots=True)
class SendCheckpoint:
    """Ask every proxy to acknowledge when it has applied all that was sent before."""

    checkpoint_id: int


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Check the health of a server."""

    server_id: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Start or stop following the endpoint list."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired event after a delay."""

    delay_s: float
    timer_id: int


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


Action = (
    SetWeight
    | SetWithdrawn
    | SetAdmission
    | SendCheckpoint
    | SendHealthCheck
    | WatchEndpoints
    | SetTimer
    | LogMessage
)

"""Types of the actions that a director returns."""

from __future__ import annotations

from dataclasses import dataclass

ALL_SLICES = 0xFFFF  # SetAdmission.slice_id that stands for all slices that this assigner owns


@dataclass(frozen=True, slots=True)
class SetWeight:
    """Sets the weight of a server in a slice's table; weight 0 removes the entry."""

    slice_id: int
    server_id: int
    weight: float


@dataclass(frozen=True, slots=True)
class SetWithdrawn:
    """Withdraws a server from all tables of this assigner's slices, or readmits it."""

    server_id: int
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class SetAdmission:
    """Sets the fraction of requests of some classes that proxies admit, and the retry mode."""

    slice_id: int
    class_mask: int  # Bit k stands for class k; 0 means all classes.
    fraction: float  # Fraction from 0 to 1; at 1 all requests are admitted.
    retry_mode: int  # Retry mode from 0 to 3, numbered as on the wire.


@dataclass(frozen=True, slots=True)
class SendCheckpoint:
    """Asks every proxy for an acknowledgement once it has applied everything sent before the checkpoint."""

    checkpoint_id: int


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Sends a health check to a server."""

    server_id: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Starts or stops watching the endpoint list."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Requests a TimerFired event after a delay."""

    delay_s: float
    timer_id: int


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Writes a line to the log."""

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

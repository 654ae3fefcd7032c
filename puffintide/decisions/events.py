"""Events that a director receives: types only, no logic. Times are seconds on the assigner's clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum


class EndpointStatus(IntEnum):
    """State of a server as its endpoint list has it."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class ListUpdateType(StrEnum):
    """What an update of the endpoint list holds; the values are those of the program's own protocol."""

    DELTA = "delta"  # only the endpoints that changed
    SNAPSHOT = "full"  # all endpoints
    CACHED = "cached"  # all endpoints, as last known to whoever serves the list
    FAILED = "failed"  # nothing: the list could not be read


class HealthCheckStatus(IntEnum):
    """Outcome of a health check, numbered as on the wire."""

    OK = 0
    ERROR = 1
    REJECTED = 2
    TIMEOUT = 3
    UNREACHABLE = 4
    RESET = 5

    @classmethod
    def _missing_(cls, _value: object) -> HealthCheckStatus:
        """A number that is not known says no more than an error."""
        return cls.ERROR


class ZoneOperation(StrEnum):
    """What an operator may order for a zone."""

    DRAIN = "drain"
    HOLD = "hold"
    RETURN = "return"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A server as listed."""

    server_id: int
    zone: int
    server_type: int
    cell: int
    status: EndpointStatus
    weight: float
    started_at_s: float  # of its last start; 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An update of the endpoint list, a snapshot or a delta."""

    update_type: ListUpdateType
    version: int
    endpoints: tuple[Endpoint, ...]

    @property
    def is_snapshot(self) -> bool:
        """Whether a server that is not among the endpoints is not listed."""
        return self.update_type is not ListUpdateType.DELTA


@dataclass(frozen=True, slots=True)
class ServerLoadReport:
    """What the connected proxies of one zone observed at a server, and the load values of the server itself."""

    proxy_zone: int
    server_id: int
    attempts: int
    failed_attempts: int
    mean_latency_s: float  # of the successful ones
    interval_s: float
    load_values: tuple[float, ...]  # in the order of Settings.load_value_names


@dataclass(frozen=True, slots=True)
class SliceLoadReport:
    """Requests of one class for a slice over an interval."""

    slice_id: int
    class_index: int
    requests: int
    unanswered: int
    interval_s: float


@dataclass(frozen=True, slots=True)
class OwnershipChanged:
    """This assigner was granted a slice, or its ownership was revoked."""

    slice_id: int
    granted: bool


@dataclass(frozen=True, slots=True)
class StoredWeight:
    """One entry of a slice's table as the store has it; follows the grant."""

    slice_id: int
    server_id: int
    weight: float


@dataclass(frozen=True, slots=True)
class ProxyConnected:
    """A proxy connected to this assigner."""

    proxy_id: int
    zone: int
    request_rate: float  # per second
    first_connection: bool  # since the proxy started


@dataclass(frozen=True, slots=True)
class ProxyDisconnected:
    """A proxy is no longer connected."""

    proxy_id: int


@dataclass(frozen=True, slots=True)
class CheckpointAcknowledged:
    """A proxy has applied all that was sent to it before a checkpoint."""

    proxy_id: int
    checkpoint_id: int
    elapsed_s: float  # since the checkpoint was sent


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The outcome of a health check."""

    server_id: int
    status: HealthCheckStatus
    elapsed_s: float
    load_values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by SetTimer has expired."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class AssignerCountChanged:
    """How many assigners own slices, this one among them; initially as in the settings."""

    count: int


@dataclass(frozen=True, slots=True)
class CapacityLimitChanged:
    """The fraction of a server's capacity that may be planned with, from the zone plan; initially 1.

    A server whose fraction is 0 is used only if no other is left.
    """

    server_id: int
    fraction: float


@dataclass(frozen=True, slots=True)
class PeerObservation:
    """What another assigner has observed of a server, or of the fleet (server_id -1), from its replica."""

    server_id: int
    recovery_level: int = -1  # index of the level on its recovery ramp, 0 is ejected; -1: not reported
    capacity_per_s: float = 0.0  # of a server of listed weight 1, only for the fleet; 0: not reported
    is_leaving: bool | None = None  # whether it drains or was removed; None: not reported


@dataclass(frozen=True, slots=True)
class ZoneCommandReceived:
    """An operator's command for a zone, handled by the zone plan."""

    zone: int
    operation: ZoneOperation
    pace: float  # of the steps, as a multiple of the usual


Event = (
    EndpointListUpdate
    | ServerLoadReport
    | SliceLoadReport
    | OwnershipChanged
    | StoredWeight
    | ProxyConnected
    | ProxyDisconnected
    | CheckpointAcknowledged
    | HealthCheckResult
    | TimerFired
    | AssignerCountChanged
    | CapacityLimitChanged
    | PeerObservation
    | ZoneCommandReceived
)

"""Types of the events that a director receives. Times are seconds on the assigner's clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum


class EndpointStatus(IntEnum):
    """Status of a server in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class ListUpdateType(StrEnum):
    """Contents of an update of the endpoint list; the values are those of Puffintide's own protocol."""

    DELTA = "delta"  # Holds only the endpoints that changed.
    SNAPSHOT = "full"  # Holds all endpoints.
    CACHED = "cached"  # Holds all endpoints, as last known to the process that serves the list.
    FAILED = "failed"  # Holds nothing, as the list could not be read.


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
        """Map an unknown number to ERROR, which says nothing about the server."""
        return cls.ERROR


class ZoneOperation(StrEnum):
    """Operation that an operator may request for a zone."""

    DRAIN = "drain"
    HOLD = "hold"
    RETURN = "return"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Server in the endpoint list."""

    server_id: int
    zone: int
    server_type: int
    cell: int
    status: EndpointStatus
    weight: float
    started_at_s: float  # Time of the last start; 0 means long ago.


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """Update of the endpoint list: a snapshot or a delta."""

    update_type: ListUpdateType
    version: int
    endpoints: tuple[Endpoint, ...]

    @property
    def is_snapshot(self) -> bool:
        """Return whether the update holds the whole list, so that absent servers are no longer listed."""
        return self.update_type is not ListUpdateType.DELTA


@dataclass(frozen=True, slots=True)
class ServerLoadReport:
    """Observations of a server by the connected proxies of a zone, and its own load values."""

    proxy_zone: int
    server_id: int
    attempts: int
    failed_attempts: int
    mean_latency_s: float  # Mean over the successful attempts.
    interval_s: float
    load_values: tuple[float, ...]  # Ordered as in Settings.load_value_names.


@dataclass(frozen=True, slots=True)
class SliceLoadReport:
    """Requests of one class for a slice during an interval."""

    slice_id: int
    class_index: int
    requests: int
    unanswered: int
    interval_s: float


@dataclass(frozen=True, slots=True)
class OwnershipChanged:
    """A slice was granted to this assigner, or its ownership was revoked."""

    slice_id: int
    granted: bool


@dataclass(frozen=True, slots=True)
class StoredWeight:
    """One weight entry of a slice's stored table; sent after the slice is granted."""

    slice_id: int
    server_id: int
    weight: float


@dataclass(frozen=True, slots=True)
class ProxyConnected:
    """A proxy connected to this assigner."""

    proxy_id: int
    zone: int
    request_rate: float  # Requests per second.
    first_connection: bool  # Whether this is the first connection since the proxy started.


@dataclass(frozen=True, slots=True)
class ProxyDisconnected:
    """A proxy disconnected from this assigner."""

    proxy_id: int


@dataclass(frozen=True, slots=True)
class CheckpointAcknowledged:
    """A proxy has applied everything that was sent to it before a checkpoint."""

    proxy_id: int
    checkpoint_id: int
    elapsed_s: float  # Time since the checkpoint was sent.


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """Outcome of a health check of one server."""

    server_id: int
    status: HealthCheckStatus
    elapsed_s: float
    load_values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set by a SetTimer action has expired."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class AssignerCountChanged:
    """The number of assigners that own slices, including this one, changed.

    The initial number is that of the settings.
    """

    count: int


@dataclass(frozen=True, slots=True)
class CapacityLimitChanged:
    """The zone plan changed the fraction of a server's capacity that may be used; it is initially 1.

    A server with fraction 0 is used only if no other server is left.
    """

    server_id: int
    fraction: float


@dataclass(frozen=True, slots=True)
class PeerObservation:
    """Observation by another assigner, received by replication: of a server, or of the fleet (server_id -1)."""

    server_id: int
    recovery_level: int = -1  # Index into RECOVERY_LEVELS, where 0 is ejected; -1 means not reported.
    # Requests per second of a server of listed weight 1, for the fleet only; 0 means not reported.
    capacity_per_s: float = 0.0
    is_leaving: bool | None = None  # Whether the server is draining or removed; None means not reported.


@dataclass(frozen=True, slots=True)
class ZoneCommandReceived:
    """An operator sent a command for a zone; the zone plan handles it."""

    zone: int
    operation: ZoneOperation
    pace: float  # Speed of the steps, as a multiple of the default.


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

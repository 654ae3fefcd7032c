"""What the decision module is told and what it may order: types only, no logic."""

from __future__ import annotations

from dataclasses import dataclass

ALL_SLICES = 0xFFFF  # as Admit.table: the level holds for every slice in this instance's charge


# Settings ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    repeat_safety: str  # "repeatable", "by_key" (a repeat is dropped within window_s) or "once"
    deduplication_scope: (
        str  # with "by_key": who drops repeats: "all" servers, those of a "zone" or of a "cell"
    )
    deduplication_window_s: float
    latency_objective_s: float
    deadline_s: float
    priority_weight: float
    same_zone_only: bool


@dataclass(frozen=True, slots=True)
class Settings:
    assigner_index: int
    assigner_count: int
    seed: int
    zone: int
    zone_count: int
    request_classes: tuple[RequestClass, ...]
    slice_count: int
    proxy_count: int
    single_writer: bool
    caches_keys: bool
    default_retry_mode: int
    retry_wait_objectives: float
    proxy_ejection_failures: (
        int  # own failures in a row after which a proxy avoids a server for a while; 0: never
    )
    admission_mode: str
    channel_entries_per_s: float
    channel_header_entries: float
    channel_capacity_entries: float
    channel_delay_s: float
    channel_delay_max_s: float
    max_messages_per_window: int
    message_window_s: float
    report_period_s: float
    report_entries_per_s: float
    load_value_names: tuple[str, ...]  # "rif", "q", "busy", "lat_ms", "rate", "fail_rate"
    health_checks_enabled: bool
    watch_on_request: bool
    drain_grace_s: float
    slow_start_min_fraction: float
    slow_start_duration_s: float
    collapse_load_ratio: float
    collapse_duration_s: float
    max_unserved_s: float
    zone_distances: tuple[
        tuple[int, ...], ...
    ] = ()  # by zone, how near each zone is to it (0: nearest); empty: all alike


# Events -----------------------------------------------------------------------------------------

GONE, READY, DRAINING = 0, 1, 2


@dataclass(frozen=True, slots=True)
class Endpoint:
    server_id: int
    zone: int
    server_type: int
    cell: int
    status: int
    weight: float
    started_at_s: float  # clock time of its last start; 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    update_type: str  # "delta", "full", "cached" or "failed"
    version: int
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class ServerLoadReport:
    """What the joined proxies of one zone met at a server, and the server's own report."""

    proxy_zone: int
    server_id: int
    attempts: int
    failed_attempts: int
    mean_latency_s: float
    interval_s: float
    load_values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class SliceLoadReport:
    slice_id: int
    class_index: int
    requests: int
    unanswered: int
    interval_s: float


@dataclass(frozen=True, slots=True)
class OwnershipChanged:
    slice_id: int
    granted: bool


@dataclass(frozen=True, slots=True)
class StoredWeight:
    slice_id: int
    server_id: int
    weight: float


@dataclass(frozen=True, slots=True)
class ProxyConnected:
    proxy_id: int
    zone: int
    request_rate: float
    first_connection: bool


@dataclass(frozen=True, slots=True)
class ProxyDisconnected:
    proxy_id: int


@dataclass(frozen=True, slots=True)
class CheckpointAcknowledged:
    proxy_id: int
    checkpoint_id: int
    elapsed_s: float


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    server_id: int
    status: int  # 0 answered, 1 error, 2 turned away, 3 timed out, 4 unreachable, 5 broken off
    elapsed_s: float
    load_values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class TimerFired:
    timer_id: int


@dataclass(frozen=True, slots=True)
class AssignerCountChanged:
    """How many assigners have charge of slices now, this one among them; until told it is as in the settings."""

    count: int


@dataclass(frozen=True, slots=True)
class CapacityLimitChanged:
    """The share of a server's capacity that may be planned with, from the zone plan; 0: only if nothing else is
    left. Until told otherwise it is 1."""

    server_id: int
    fraction: float


@dataclass(frozen=True, slots=True)
class PeerObservation:
    """What another assigner has found out, as its copy has it: of a server its level (an index; 0 is ejected), or
    that it drains or is gone (false: no longer told so), heard from the list after what our own list told last; of
    the fleet (server -1) the capacity of a server of listed size 1."""

    server_id: int
    recovery_level: int = -1  # not told
    capacity_per_s: float = 0.0  # a second; 0: not told
    is_leaving: bool | None = None  # None: not told


@dataclass(frozen=True, slots=True)
class ZoneCommandReceived:
    """An operator's order for a zone, to the zone plan: "drain", "hold" or "return"; pace 1 is the usual."""

    zone: int
    operation: str
    pace: float


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


# Actions ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SetWeight:
    """Sets one line of a slice's table; weight 0 removes it."""

    slice_id: int
    server_id: int
    weight: float


@dataclass(frozen=True, slots=True)
class SetWithdrawn:
    server_id: int
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class SetAdmission:
    """How much of the classes is let in, and the way of trying again (0 to 3)."""

    slice_id: int
    class_mask: int
    fraction: float
    retry_mode: int


@dataclass(frozen=True, slots=True)
class SendCheckpoint:
    checkpoint_id: int


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    server_id: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    enabled: bool


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_s: float
    timer_id: int


@dataclass(frozen=True, slots=True)
class LogMessage:
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

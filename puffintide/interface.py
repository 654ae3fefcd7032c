"""What the decision module is told and what it may order: types only, no logic."""

from __future__ import annotations

from dataclasses import dataclass

ALL_TABLES = 0xFFFF  # as Admit.table: the level holds for every slice in this instance's charge


# Settings ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    effect: str  # "repeatable", "by_key" (a repeat is dropped within window_s) or "once"
    group: str  # with "by_key": who drops repeats: "all" servers, those of a "zone" or of a "cell"
    window_s: float
    aim_s: float
    deadline_s: float
    worth: float
    own_zone_only: bool


@dataclass(frozen=True, slots=True)
class Settings:
    instance: int
    instances: int
    seed: int
    zone: int
    zones: int
    classes: tuple[RequestClass, ...]
    slices: int
    proxies: int
    single_writer: bool
    warm_keys: bool
    retry_default: int
    retry_wait_aims: float
    shun_after: int  # own failures in a row after which a proxy avoids a server for a while; 0: never
    admit: str
    channel_lines_per_s: float
    channel_head_lines: float
    channel_limit: float
    channel_delay_s: float
    channel_delay_max_s: float
    messages_most: int
    messages_span_s: float
    report_period_s: float
    report_lines_per_s: float
    report_names: tuple[str, ...]  # "rif", "q", "busy", "lat_ms", "rate", "fail_rate"
    probes: bool
    list_is_asked: bool
    drain_grace_s: float
    cold_from: float
    warm_within_s: float
    fall_multiple: float
    fall_s: float
    bare_s: float
    tiers: tuple[
        tuple[int, ...], ...
    ] = ()  # by zone, how near each zone is to it (0: nearest); empty: all alike


# Events -----------------------------------------------------------------------------------------

GONE, READY, DRAINING = 0, 1, 2


@dataclass(frozen=True, slots=True)
class Server:
    id: int
    zone: int
    kind: int
    cell: int
    state: int
    weight: float
    started: float  # clock time of its last start; 0: long ago


@dataclass(frozen=True, slots=True)
class ServerList:
    kind: str  # "delta", "full", "cached" or "failed"
    version: int
    servers: tuple[Server, ...]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What the joined proxies of one zone met at a server, and the server's own report."""

    zone: int
    server: int
    tries: int
    failed: int
    mean_s: float
    span_s: float
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class SliceHeat:
    slice: int
    request_class: int
    requests: int
    unanswered: int
    span_s: float


@dataclass(frozen=True, slots=True)
class SliceCharge:
    slice: int
    given: bool


@dataclass(frozen=True, slots=True)
class StoredLine:
    slice: int
    server: int
    weight: float


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    proxy: int
    zone: int
    rate: float
    fresh: bool


@dataclass(frozen=True, slots=True)
class ProxyLeft:
    proxy: int


@dataclass(frozen=True, slots=True)
class Applied:
    proxy: int
    number: int
    took_s: float


@dataclass(frozen=True, slots=True)
class ProbeResult:
    server: int
    status: int  # 0 answered, 1 error, 2 turned away, 3 timed out, 4 unreachable, 5 broken off
    took_s: float
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class TimerDue:
    name: int


@dataclass(frozen=True, slots=True)
class Instances:
    """How many assigners have charge of slices now, this one among them; until told it is as in the settings."""

    count: int


@dataclass(frozen=True, slots=True)
class ServerBound:
    """The share of a server's capacity that may be planned with, from the zone plan; 0: only if nothing else is
    left. Until told otherwise it is 1."""

    server: int
    share: float


@dataclass(frozen=True, slots=True)
class SecondHand:
    """What another assigner has found out, as its copy has it: of a server its level (an index; 0 is ejected), or
    that it drains or is gone (false: no longer told so), heard from the list after what our own list told last; of
    the fleet (server -1) the capacity of a server of listed size 1."""

    server: int
    level: int = -1  # not told
    capacity: float = 0.0  # a second; 0: not told
    leaving: bool | None = None  # None: not told


@dataclass(frozen=True, slots=True)
class ZoneHand:
    """An operator's order for a zone, to the zone plan: "drain", "hold" or "return"; pace 1 is the usual."""

    zone: int
    what: str
    pace: float


Event = (
    ServerList
    | LoadReport
    | SliceHeat
    | SliceCharge
    | StoredLine
    | ProxyJoined
    | ProxyLeft
    | Applied
    | ProbeResult
    | TimerDue
    | Instances
    | ServerBound
    | SecondHand
    | ZoneHand
)


# Actions ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SetLine:
    """Sets one line of a slice's table; weight 0 removes it."""

    table: int
    server: int
    weight: float


@dataclass(frozen=True, slots=True)
class Withdraw:
    server: int
    out: bool


@dataclass(frozen=True, slots=True)
class Admit:
    """How much of the classes is let in, and the way of trying again (0 to 3)."""

    table: int
    classes: int
    level: float
    retry: int


@dataclass(frozen=True, slots=True)
class Mark:
    number: int


@dataclass(frozen=True, slots=True)
class Probe:
    server: int


@dataclass(frozen=True, slots=True)
class WatchList:
    on: bool


@dataclass(frozen=True, slots=True)
class SetTimer:
    after_s: float
    name: int


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = SetLine | Withdraw | Admit | Mark | Probe | WatchList | SetTimer | Log

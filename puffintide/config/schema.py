"""The sections a file may hold. Times are seconds, rates a second; the field comments name what is not plain."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, BeforeValidator, ConfigDict, Field, model_validator

from puffintide.decisions.settings import RepeatSafety


def _words(value: object) -> object:
    return [w.strip() for w in value.split(",") if w.strip()] if isinstance(value, str) else value


def _address(value: str) -> str:
    host, _, port = value.rpartition(":")
    if host not in ("127.0.0.1", "localhost") and not host.startswith("127."):
        raise ValueError("must be HOST:PORT on loopback (127.x.x.x or localhost)")
    if not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError("must end in a port from 0 to 65535")
    return value


def _curve(value: object) -> object:
    if not isinstance(value, str):
        return value
    points = []
    for word in str(value).split(","):
        at, colon, level = word.partition(":")
        if not colon:
            raise ValueError("must be points TIME:LEVEL, parted by commas")
        points.append((float(at), float(level)))
    if [p[0] for p in points] != sorted(p[0] for p in points):
        raise ValueError("times must rise")
    return points


Names = Annotated[list[str], BeforeValidator(_words)]
Ints = Annotated[list[int], BeforeValidator(_words)]
Floats = Annotated[list[float], BeforeValidator(_words)]
Address = Annotated[str, AfterValidator(_address)]
Addresses = Annotated[list[Address], BeforeValidator(_words)]
Curve = Annotated[list[tuple[float, float]], BeforeValidator(_curve)]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
Amount = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=1, le=65535)]


class Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Deployment(Section):
    name: str = "default"
    zones: Names = Field(default=["a"], min_length=1, max_length=255)
    assigners: Count = 1
    proxies: Count
    slices: int = Field(ge=1, le=65534)
    single_writer: bool = False
    warm_keys: bool = False
    retry_default: int = Field(default=0, ge=0, le=3)
    retry_wait_aims: Amount = 1.0
    shun_after: int = Field(default=0, ge=0)
    shun_s: Amount = 5.0
    admit: Literal["fraction", "silent"] = "silent"
    pick: Literal["rotate", "random", "p2c"] = "rotate"
    hold_s: Amount = 0.2  # how long a request whose slice has no server waits
    refuse_again_s: Amount = 0.5  # told with a refusal: when to come back


class ChannelSection(Section):
    lines_per_s: Positive = 12000.0
    head_lines: Amount = 12.0
    limit: float = Field(default=18000.0, gt=0, le=65536)
    delay_s: Amount = 0.2
    delay_max_s: Amount = 0.8
    messages_most: int = Field(default=0, ge=0)
    messages_span_s: Positive = 10.0


class ReportSection(Section):
    period_s: Positive = 0.5
    lines_per_s: Positive = 300.0
    names: Names = []

    @model_validator(mode="after")
    def _known(self) -> ReportSection:
        known = {"rif", "q", "busy", "lat_ms", "rate", "fail_rate"}
        unknown = sorted(set(self.names) - known)
        if unknown:
            raise ValueError(f"names holds {', '.join(unknown)}; allowed: {', '.join(sorted(known))}")
        return self


class ListSection(Section):
    asked: bool = False  # True: news comes only to those who asked


class ProbeSection(Section):
    allowed: bool = False
    timeout_s: Positive = 0.4


class Rules(Section):
    drain_grace_s: Positive = 2.0
    cold_from: Share = 0.25
    warm_within_s: Amount = 10.0
    fall_multiple: Positive = 3.0
    fall_s: Positive = 1.5
    bare_s: Positive = 5.0


class StoreSection(Section):
    takeover_s: Positive = 2.5
    write_lease_s: Positive = 1.5
    moves_per_s: Positive = (
        200.0  # slices that go home to an assigner that is back, or where an operator moved them
    )
    reread_s: Positive = 1.0  # a proxy that joins reads the store at once, and again so long after
    refresh_s: Positive = 5.0  # and then each time so long after, what changed meanwhile


class ZonesSection(Section):
    """How the loss and the return of a zone are met; docs/zones.md."""

    plan: bool = True  # no: the module alone
    spill: Share = 0.8  # of a receiving zone's spare capacity, what other zones' slices may take


class ZoneSection(Section):
    """[zone NAME]"""

    near: Names = []  # zones that its slices go to before others, nearest first; its own is always nearest


class PeersSection(Section):
    """[peers]: streams between assigners; without it they share nothing. docs/replication.md"""

    addresses: Addresses = []  # of all assigners, in order of id; a day's player fills them in
    every_s: Positive = 0.5
    rows_per_s: Positive = 20000.0  # sent to one peer
    catch_up_s: Amount = 2.0  # so long a start waits for the others' copies, at most


class OperatorSection(Section):
    """[operator]: whom the zone commands talk to."""

    store: Address
    assigners: Addresses = []
    id: int = Field(default=0, ge=0)


class ClassSection(Section):
    share: Share = 1.0
    effect: RepeatSafety = RepeatSafety.IDEMPOTENT
    group: Literal["all", "zone", "cell"] = "all"
    window_s: Amount = 0.0
    aim_s: Positive
    deadline_s: Positive
    worth: Amount = 1.0
    late_worth: Share = 0.2
    own_zone_only: bool = False
    work_s: Positive = 0.05  # stand-ins: mean work at a core of speed 1
    work_cv: Amount = 0.5

    @model_validator(mode="after")
    def _ordered(self) -> ClassSection:
        if self.deadline_s < self.aim_s:
            raise ValueError(f"deadline_s {self.deadline_s} is below aim_s {self.aim_s}")
        return self


class Process(Section):
    """[assigner], [store], [dispatchers] ... : what one process is."""

    log: str = ""  # a file; empty: stderr
    level: Literal["debug", "info", "warning", "error"] = "info"


class AssignerProcess(Process):
    id: int = Field(ge=0)
    zone: int = Field(default=0, ge=0)
    listen: Address
    store: Address
    list: Address
    list_cache: str = ""  # a file for the list as last heard; empty: none
    seed: int = 1
    tick_s: Positive = 0.02


class ProxyProcess(Process):
    id: int = Field(ge=0, lt=65535)
    zone: int = Field(default=0, ge=0)
    listen: Address  # the front for the program's own lines
    assigners: Addresses = Field(min_length=1)  # of all, in order of id
    store: Address
    state: str = ""  # a file for the tables as last held; empty: none
    connect_s: Positive = 0.25
    reserve_s: Amount = 0.015  # the final answer leaves so long before the client's time is up
    held_most: Count = 2000
    open_most: Count = 20000
    clients_most: Count = 2000
    http: str = ""  # HOST:PORT of the HTTP front; empty: none
    head_most: Count = 16384  # bytes of a request's or an answer's head
    body_most: int = Field(default=8 << 20, ge=0)  # bytes of a request's body
    replay_most: int = Field(default=65536, ge=0)  # bytes of a body kept for a further try
    head_s: Positive = 5.0  # for a head to come in, and for a client to read what is written
    idle_s: Positive = 30.0  # a connection without a request is closed
    pool_most: Count = 100  # connections to one server
    access_every: int = Field(default=0, ge=0)  # every so manieth request goes to the log; 0: none
    shared_port: bool = False  # several proxies, each with its own id, take clients from one port

    @model_validator(mode="after")
    def _loopback(self) -> ProxyProcess:
        if self.http:
            _address(self.http)
        return self


class StoreProcess(Process):
    listen: Address
    file: str = ""  # where tables and charge are kept; empty: in memory alone, lost at the end
    etcd: Addresses = []  # members of a cluster to keep it in, in place of a file
    backups: str = ""  # a folder for backups that an operator orders; empty: none are taken
    streams_most: Count = 5000
    refill: bool = False  # a store that comes up empty takes the tables from the assigners' copies
    refill_wait_s: Positive = 5.0  # so long after the first answer it goes on with more than half of them

    @model_validator(mode="after")
    def _one(self) -> StoreProcess:
        if self.file and self.etcd:
            raise ValueError("file and etcd are both there; one is allowed")
        if self.refill and self.start_tables:
            raise ValueError("refill and start_tables are both there; one is allowed")
        return self

    start_tables: str = ""  # a file of first tables, JSON lines of Charge


class Tls(Section):
    """Files in PEM. With this section every stream of the process is TLS, both ends showing a certificate."""

    ca: str
    cert: str
    key: str


class Fleet(Section):
    """The session servers of a day; values are dealt in turn to the servers."""

    servers: Count
    spare: int = Field(default=0, ge=0)  # more that are down at first
    cores: Ints = [2]
    speed: Floats = [1.0]
    slots_per_core: Positive = 2.0
    queue_per_core: Amount = 10.0
    cold_from: Share = 0.4
    warm_s: Positive = 8.0
    cache_gain: Share = 0.0  # work saved on keys met lately
    cache_s: Positive = 15.0
    cache_keys: Count = 500
    connections: Count = 2000
    handshake_s: Amount = 0.002
    probe_s: Amount = 0.004
    report_every_s: Positive = 0.8
    report_noise: Amount = 0.05
    notice_s: Amount = 1.5  # how late the list tells of a stop
    add_s: Amount = 0.7  # and of a start


class Load(Section):
    requests_per_s: Positive
    shape: Curve = [(0.0, 1.0)]
    keys: Count = 4000
    zipf: Amount = 0.8
    retries: int = Field(default=1, ge=0, le=3)
    retry_s: Amount = 0.1
    try_share: Share = 0.9  # a try is given up after this share of the deadline
    honour: Share = 0.9  # share of clients that wait as a refusal tells


class Net(Section):
    same_s: Amount = 0.0
    cross_s: Amount = 0.002
    report_late_s: Amount = 0.3
    order_late_s: Amount = 0.1
    list_late_s: Amount = 0.05


class Day(Section):
    name: str
    length_s: Positive = Field(le=3600)
    seed: int = 1
    settle_s: Amount = 3.0  # before the first request, for all to find each other


FAULTS = (
    "crash",
    "hang",
    "slow",
    "pauses",
    "report_late",
    "hot_key",
    "heavy_tail",
    "zone_loss",
    "deploy",
    "shrink",
    "grow",
    "balancer_crash",
    "balancer_stop",
    "shared_slow",
    "counter_down",
    "give_up",
    "preempt",
    "slow_link",
    "one_sided",
    "conn_squeeze",
    "false_reports",
    "handshake_slow",
    "mass_restart",
    "shift",
    "store_down",
    "list_down",
    "slow_reader",
    "zone_flap",
    "store_crash",
    "store_lost",
    "store_restored",
    "peer_cut",
    "peer_mess",
)


class Fault(Section):
    kind: str
    at_s: Amount
    for_s: Amount = 5.0
    servers: Ints = []  # which; empty: a part of them, drawn
    part: Share = 0.1
    zone: int = Field(default=0, ge=0)
    size: Amount = 2.0  # factor, count or seconds as the kind has it
    extra: Amount = 0.0
    assigners: Ints = []
    others: Ints = []  # peer_cut: those on the other side; empty: all others
    way: str = (
        ""  # counter_down: "refuse", "silent" or "empty"; zone_loss: "all"; peer_cut: "out", "in" or ""
    )

    @model_validator(mode="after")
    def _known(self) -> Fault:
        if self.kind not in FAULTS:
            raise ValueError(f"kind {self.kind!r} is unknown; allowed: {', '.join(FAULTS)}")
        return self

"""Messages of the program's wire, one a line of JSON. docs/wire.md describes each field and its unit.

Times are seconds, weights plain numbers, ids whole numbers. Unknown fields are skipped by the codec, so that a
newer peer of the same version may send more.
"""

from __future__ import annotations

import msgspec

PROTOCOL_VERSION = 1
MAX_OWNERSHIPS_PER_MESSAGE = 1000  # in one message

# Outcomes of a try, and of a probe, as the interface numbers them.
OK, ERROR, FULL, TIMEOUT, UNREACHABLE, RESET = 0, 1, 2, 3, 4, 5


class Message(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="t"):
    """Base of all messages."""


# Every stream ------------------------------------------------------------------------------------


class Hello(
    Message,
    tag="hello",
    frozen=True,
    rename={"incarnation": "start", "first_connection": "fresh", "highest_token": "token"},
):
    """First line of whoever dialled: who it is."""

    version: int
    role: str  # "assigner", "proxy", "client", "control"
    id: int
    zone: int = 0
    deployment: str = ""
    incarnation: int = 0  # which life of this process; rises at each start
    first_connection: bool = False  # a proxy: its first stream to this peer since it started
    highest_token: int = (
        0  # to the store: the highest token seen, by which a store knows that it is an older copy
    )


class Welcome(Message, tag="welcome", frozen=True, rename={"incarnation": "start"}):
    """First line of whoever was dialled. Nothing else is sent to it before."""

    version: int
    role: str
    id: int
    incarnation: int = 0


class ConnectionRejected(Message, tag="refuse", frozen=True):
    """The stream is closed after this line; the reason says why."""

    reason: str


class Ping(Message, tag="ping", frozen=True):
    pass


class Pong(Message, tag="pong", frozen=True):
    pass


# Assigner and proxy -------------------------------------------------------------------------------


class WeightEntry(msgspec.Struct, frozen=True, array_like=True):
    """One line of a table; weight 0 removes it. The token is that of the slice's charge."""

    slice_id: int
    server_id: int
    weight: float
    fencing_token: int = 0
    address: str = ""
    zone: int = -1  # of the server; -1 not told


class AdmissionLevel(msgspec.Struct, frozen=True, array_like=True):
    """How much of the classes is let in (classes: sum of 2^k, 0 for all) and the way of trying again."""

    slice_id: int
    class_mask: int
    fraction: float
    retry_mode: int


class ProxyUpdate(
    Message,
    tag="order",
    frozen=True,
    rename={
        "ordered_at_s": "at",
        "channel_cost": "cost",
        "weights": "lines",
        "cleared_slices": "clear",
        "withdrawn_servers": "out",
        "readmitted_servers": "back",
        "admission_levels": "levels",
        "checkpoint_id": "mark",
    },
):
    """What an assigner orders one proxy at one time. All of it takes effect together."""

    batch: int  # rises by one with each order of this assigner, the same for all proxies concerned
    ordered_at_s: float  # when it was ordered, on the assigner's monotonic clock
    channel_cost: float  # lines it counts in the channel, its head among them
    weights: list[WeightEntry] = []
    cleared_slices: list[int] = []  # tables that lose all lines and levels, before the lines are set
    withdrawn_servers: list[int] = []  # servers withdrawn
    readmitted_servers: list[int] = []  # servers let in again
    admission_levels: list[AdmissionLevel] = []
    checkpoint_id: int | None = None  # to be answered with Applied


class CheckpointReply(Message, tag="applied", frozen=True, rename={"checkpoint_id": "mark"}):
    checkpoint_id: int


class ServerUsage(msgspec.Struct, frozen=True, array_like=True):
    """What a proxy met at a server: tries, those without a good answer, total time of the good ones."""

    server_id: int
    attempts: int
    failed_attempts: int
    success_latency_total_s: float
    load_values: list[float] = []  # the newest load report among the answers


class SliceUsage(msgspec.Struct, frozen=True, array_like=True):
    slice_id: int
    class_index: int
    requests: int
    unanswered: int


class UsageReport(Message, tag="sums", frozen=True, rename={"interval_s": "span_s"}):
    """Counts since the last Sums on this stream; each request and try is counted once."""

    interval_s: float
    servers: list[ServerUsage] = []
    slices: list[SliceUsage] = []  # without slices: slice is the number 0, and it is the proxy's own usage


# Store --------------------------------------------------------------------------------------------


class TableEntry(msgspec.Struct, frozen=True, array_like=True):
    """A line of a table as the store has it."""

    server_id: int
    weight: float
    address: str = ""
    zone: int = -1


class SliceOwnership(
    Message,
    tag="charge",
    frozen=True,
    rename={
        "slice_id": "slice",
        "fencing_token": "token",
        "owner_id": "assigner",
        "entries": "lines",
        "tenure_token": "since",
    },
):
    """A slice's table and who may write it, from the store; to an assigner: the slice is given to it."""

    slice_id: int
    fencing_token: int  # rises with each change of charge; a write with an older one is refused
    owner_id: int  # -1: nobody
    entries: list[TableEntry] = []
    batch: int = 0  # of the last write in this tenure; a proxy that has a later order keeps its lines
    tenure_token: int = 0  # the first token of this unbroken tenure of one life of the assigner


class SliceOwnerships(Message, tag="charges", frozen=True, rename={"ownerships": "charges"}):
    """Several at once: a reading of the store, or all that one event changed. At most CHARGES_MOST of them."""

    ownerships: list[SliceOwnership]


class OwnershipRevoked(
    Message, tag="taken", frozen=True, rename={"slice_id": "slice", "fencing_token": "token"}
):
    """The slice is no longer in this assigner's charge."""

    slice_id: int
    fencing_token: int


class WriteRequest(Message, tag="write", frozen=True, rename={"weights": "lines"}):
    """Lines of slices in the writer's charge; weight 0 removes a line. Refused line by line."""

    batch: int
    weights: list[WeightEntry]


class WriteRejected(Message, tag="refused", frozen=True, rename={"slice_id": "slice"}):
    """A write that the store did not take."""

    batch: int
    slice_id: int
    reason: str


class ReadRequest(
    Message, tag="read", frozen=True, rename={"since_revision": "since", "store_id": "identity"}
):
    """Asks the store for tables and charges; answered by Charges, then ReadEnd. With the identity and revision of
    an earlier ReadEnd of the same store only what changed since is told."""

    since_revision: int = -1
    store_id: str = ""


class ReadComplete(
    Message, tag="read_end", frozen=True, rename={"slice_count": "slices", "store_id": "identity"}
):
    slice_count: int  # told before this
    revision: int = 0
    store_id: str = ""  # of the store


class AssignerMembership(Message, tag="members", frozen=True, rename={"assigner_ids": "assigners"}):
    """The assigners that have charge of slices, or may have again within the lease; to every assigner."""

    assigner_ids: list[int]


class WriteAcknowledged(Message, tag="written", frozen=True):
    """This writer's writes up to this batch are kept, but for those refused."""

    batch: int
    revision: int


class MigrateSlices(
    Message, tag="move", frozen=True, rename={"slice_ids": "slices", "assigner_id": "to", "operator": "by"}
):
    """An operator's order: these slices have their home at that assigner; -1 takes it back."""

    slice_ids: list[int]
    assigner_id: int
    operator: str = ""


class BackupRequest(Message, tag="backup", frozen=True):
    """An operator's order to write a backup under this name, in the store's folder for them."""

    name: str


# The operator's hand -------------------------------------------------------------------------------


class ZoneCommand(
    Message, tag="hand", frozen=True, rename={"operation": "what", "operator": "by", "sequence": "number"}
):
    """An operator's order for a zone, to the store; from there to every assigner, and again when one joins."""

    zone: int
    operation: str  # "drain", "hold" or "return"
    pace: float = 1.0  # of steps, as a multiple of the usual
    operator: str = ""  # who ordered it, as told
    sequence: int = 0  # given by the store; rises with each


class ZoneCommands(Message, tag="hands", frozen=True, rename={"commands": "hands"}):
    """What stands for each zone."""

    commands: list[ZoneCommand]


class ZoneStatusRequest(Message, tag="ask_zones", frozen=True):
    """Asks an assigner how it judges the zones."""


class ZoneStatus(msgspec.Struct, frozen=True, array_like=True):
    zone: int
    phase: str
    cause: str
    available_fraction: float  # of its usual servers that is there
    min_capacity_fraction: float  # least and most share of a server's capacity that is planned with
    max_capacity_fraction: float
    hold_remaining_s: float  # so long it is held out yet
    flap_count: int
    spillover: list[tuple[int, float]]
    unplaced_fraction: float


class ZoneStatusReport(
    Message, tag="zones", frozen=True, rename={"assigner_id": "assigner", "zone_plan_enabled": "planned"}
):
    assigner_id: int
    zone_plan_enabled: bool  # False: this assigner has no zone plan
    zones: list[ZoneStatus]


# Between assigners --------------------------------------------------------------------------------

Value = tuple[float | str, ...]  # as the kind has it: docs/replication.md


class ReplicaVersion(msgspec.Struct, frozen=True, array_like=True):
    """Up to where all is held that this assigner wrote."""

    origin_id: int
    incarnation: int
    sequence: int
    compacted_sequence: int = 0  # nothing is held that was taken back up to here


class VersionDigest(Message, tag="digest", frozen=True, rename={"request_missing": "ask"}):
    """What the sender holds of each, or is being sent by others. Whoever holds more sends it, if asked."""

    versions: list[ReplicaVersion]
    request_missing: bool = True


class ReplicatedRow(msgspec.Struct, frozen=True, array_like=True):
    row_type: str
    row_id: int  # of a slice or server; -1 where there is one row of the kind
    sequence: int
    age_s: float  # since its origin observed it, when this was written
    value: Value


class ReplicationDelta(
    Message,
    tag="copies",
    frozen=True,
    rename={
        "origin_id": "origin",
        "incarnation": "life",
        "after_sequence": "after",
        "through_sequence": "upto",
        "latest_sequence": "top",
        "compacted_sequence": "floor",
        "deletions": "gone",
    },
):
    """All that changed of one origin after one sequence and up to another."""

    origin_id: int
    incarnation: int
    after_sequence: int
    through_sequence: int
    latest_sequence: int  # up to here there is more to come
    compacted_sequence: (
        int  # what was taken back up to here is forgotten; who may hold some of it starts anew
    )
    rows: list[ReplicatedRow] = []
    deletions: list[tuple[str, int, int]] = []  # kind, number, sequence of what was taken back


class RestoreFromReplicas(Message, tag="refill", frozen=True, rename={"operator": "by"}):
    """An operator's order to an empty store: go on with the tables of the assigners that are there."""

    operator: str = ""


class ReplicaRequest(Message, tag="ask_copies", frozen=True, rename={"tables_only": "tables"}):
    """From the store, or an operator: asks an assigner for all the tables it holds, or all copies."""

    tables_only: bool = True


# List of servers ----------------------------------------------------------------------------------


class EndpointEntry(msgspec.Struct, frozen=True, array_like=True):
    """A server in the list. age_s is the time since its start when the news was written; below 0: long ago."""

    server_id: int
    zone: int
    server_type: int
    cell: int
    status: int  # 0 gone, 1 ready, 2 draining
    weight: float
    incarnation: int  # which life of the server
    age_s: float
    address: str = ""


class WatchRequest(Message, tag="watch", frozen=True, rename={"enabled": "on", "since_version": "since"}):
    enabled: bool
    since_version: int = -1  # the version held; the list sends what was missed


class SnapshotRequest(Message, tag="fetch", frozen=True):
    pass


class WatchEvent(Message, tag="news", frozen=True, rename={"update_type": "kind"}):
    update_type: str  # "delta", "full", "cached" or "failed"
    version: int
    servers: list[EndpointEntry] = []


# Requests -----------------------------------------------------------------------------------------


class ClientRequest(
    Message,
    tag="ask",
    frozen=True,
    rename={"request_id": "id", "class_index": "request_class", "remaining_s": "left_s"},
):
    """A client's request to its proxy."""

    request_id: int
    class_index: int
    key: int
    remaining_s: float  # time that the client still waits
    work_s: float = 0.0  # stand-ins only: virtual work at a core of speed 1


class ClientResponse(
    Message,
    tag="reply",
    frozen=True,
    rename={"request_id": "id", "retry_after_s": "again_s", "may_have_executed": "ran"},
):
    """The final answer. status 2 is a refusal, again_s then tells when to come back."""

    request_id: int
    status: int
    retry_after_s: float = 0.0
    may_have_executed: bool = True  # False: certain that it never ran


class AttemptRequest(
    Message,
    tag="try",
    frozen=True,
    rename={
        "attempt_id": "id",
        "request_id": "request",
        "proxy_id": "proxy",
        "slice_id": "slice",
        "class_index": "request_class",
        "attempt_number": "number",
        "remaining_s": "left_s",
    },
):
    """One try of a request at a server."""

    attempt_id: int  # of the try, on this stream
    request_id: int  # of the client's request; proxy and request name it
    proxy_id: int
    slice_id: int
    class_index: int
    key: int
    attempt_number: int  # 0 for the first try
    remaining_s: float
    work_s: float = 0.0


class AttemptResponse(
    Message, tag="answer", frozen=True, rename={"attempt_id": "id", "load_values": "values"}
):
    attempt_id: int
    status: int
    load_values: list[float] = []


class CancelAttempt(Message, tag="cancel", frozen=True, rename={"attempt_id": "id"}):
    """The try's answer is no longer awaited; work goes on."""

    attempt_id: int


class HealthCheckRequest(Message, tag="probe", frozen=True, rename={"check_id": "id"}):
    check_id: int


class HealthCheckResponse(
    Message, tag="probed", frozen=True, rename={"check_id": "id", "load_values": "values"}
):
    check_id: int
    status: int
    load_values: list[float] = []


# The hand that steers stand-ins --------------------------------------------


class EmulatorCommand(Message, tag="control", frozen=True, rename={"operation": "what", "arguments": "args"}):
    """Orders a stand-in or relay of a day to change; the names are those of the day's faults."""

    operation: str
    arguments: dict[str, float | int | str | list[int]] = {}


class CommandCompleted(Message, tag="done", frozen=True):
    note: str = ""


AnyMessage = (
    Hello
    | Welcome
    | ConnectionRejected
    | Ping
    | Pong
    | ProxyUpdate
    | CheckpointReply
    | UsageReport
    | SliceOwnership
    | SliceOwnerships
    | OwnershipRevoked
    | WriteRequest
    | WriteRejected
    | ReadRequest
    | ReadComplete
    | WriteAcknowledged
    | AssignerMembership
    | MigrateSlices
    | BackupRequest
    | ZoneCommand
    | ZoneCommands
    | ZoneStatusRequest
    | ZoneStatusReport
    | VersionDigest
    | ReplicationDelta
    | ReplicaRequest
    | RestoreFromReplicas
    | WatchRequest
    | SnapshotRequest
    | WatchEvent
    | ClientRequest
    | ClientResponse
    | AttemptRequest
    | AttemptResponse
    | CancelAttempt
    | HealthCheckRequest
    | HealthCheckResponse
    | EmulatorCommand
    | CommandCompleted
)

"""Messages of the program's wire, one a line of JSON. docs/wire.md describes each field and its unit.

Times are seconds, weights plain numbers, ids whole numbers. Unknown fields are skipped by the codec, so that a
newer peer of the same version may send more.
"""

from __future__ import annotations

import msgspec

VERSION = 1
CHARGES_MOST = 1000  # in one message

# Outcomes of a try, and of a probe, as the interface numbers them.
OK, ERROR, FULL, TIMEOUT, UNREACHABLE, RESET = 0, 1, 2, 3, 4, 5


class Message(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="t"):
    """Base of all messages."""


# Every stream ------------------------------------------------------------------------------------


class Hello(Message, tag="hello", frozen=True):
    """First line of whoever dialled: who it is."""

    version: int
    role: str  # "assigner", "proxy", "client", "control"
    id: int
    zone: int = 0
    deployment: str = ""
    start: int = 0  # which life of this process; rises at each start
    fresh: bool = False  # a proxy: its first stream to this peer since it started
    token: int = 0  # to the store: the highest token seen, by which a store knows that it is an older copy


class Welcome(Message, tag="welcome", frozen=True):
    """First line of whoever was dialled. Nothing else is sent to it before."""

    version: int
    role: str
    id: int
    start: int = 0


class Refuse(Message, tag="refuse", frozen=True):
    """The stream is closed after this line; the reason says why."""

    reason: str


class Ping(Message, tag="ping", frozen=True):
    pass


class Pong(Message, tag="pong", frozen=True):
    pass


# Assigner and proxy -------------------------------------------------------------------------------


class Line(msgspec.Struct, frozen=True, array_like=True):
    """One line of a table; weight 0 removes it. The token is that of the slice's charge."""

    table: int
    server: int
    weight: float
    token: int = 0
    address: str = ""
    zone: int = -1  # of the server; -1 not told


class Level(msgspec.Struct, frozen=True, array_like=True):
    """How much of the classes is let in (classes: sum of 2^k, 0 for all) and the way of trying again."""

    table: int
    classes: int
    level: float
    retry: int


class Order(Message, tag="order", frozen=True):
    """What an assigner orders one proxy at one time. All of it takes effect together."""

    batch: int  # rises by one with each order of this assigner, the same for all proxies concerned
    at: float  # when it was ordered, on the assigner's monotonic clock
    cost: float  # lines it counts in the channel, its head among them
    lines: list[Line] = []
    clear: list[int] = []  # tables that lose all lines and levels, before the lines are set
    out: list[int] = []  # servers withdrawn
    back: list[int] = []  # servers let in again
    levels: list[Level] = []
    mark: int | None = None  # to be answered with Applied


class Applied(Message, tag="applied", frozen=True):
    mark: int


class ServerSum(msgspec.Struct, frozen=True, array_like=True):
    """What a proxy met at a server: tries, those without a good answer, total time of the good ones."""

    server: int
    tries: int
    failed: int
    good_s: float
    values: list[float] = []  # the newest load report among the answers


class SliceSum(msgspec.Struct, frozen=True, array_like=True):
    slice: int
    request_class: int
    requests: int
    unanswered: int


class Sums(Message, tag="sums", frozen=True):
    """Counts since the last Sums on this stream; each request and try is counted once."""

    span_s: float
    servers: list[ServerSum] = []
    slices: list[SliceSum] = []  # without slices: slice is the number 0, and it is the proxy's own usage


# Store --------------------------------------------------------------------------------------------


class Held(msgspec.Struct, frozen=True, array_like=True):
    """A line of a table as the store has it."""

    server: int
    weight: float
    address: str = ""
    zone: int = -1


class Charge(Message, tag="charge", frozen=True):
    """A slice's table and who may write it, from the store; to an assigner: the slice is given to it."""

    slice: int
    token: int  # rises with each change of charge; a write with an older one is refused
    assigner: int  # -1: nobody
    lines: list[Held] = []
    batch: int = 0  # of the last write in this tenure; a proxy that has a later order keeps its lines
    since: int = 0  # the first token of this unbroken tenure of one life of the assigner


class Charges(Message, tag="charges", frozen=True):
    """Several at once: a reading of the store, or all that one event changed. At most CHARGES_MOST of them."""

    charges: list[Charge]


class Taken(Message, tag="taken", frozen=True):
    """The slice is no longer in this assigner's charge."""

    slice: int
    token: int


class Write(Message, tag="write", frozen=True):
    """Lines of slices in the writer's charge; weight 0 removes a line. Refused line by line."""

    batch: int
    lines: list[Line]


class Refused(Message, tag="refused", frozen=True):
    """A write that the store did not take."""

    batch: int
    slice: int
    reason: str


class Read(Message, tag="read", frozen=True):
    """Asks the store for tables and charges; answered by Charges, then ReadEnd. With the identity and revision of
    an earlier ReadEnd of the same store only what changed since is told."""

    since: int = -1
    identity: str = ""


class ReadEnd(Message, tag="read_end", frozen=True):
    slices: int  # told before this
    revision: int = 0
    identity: str = ""  # of the store


class Members(Message, tag="members", frozen=True):
    """The assigners that have charge of slices, or may have again within the lease; to every assigner."""

    assigners: list[int]


class Written(Message, tag="written", frozen=True):
    """This writer's writes up to this batch are kept, but for those refused."""

    batch: int
    revision: int


class Move(Message, tag="move", frozen=True):
    """An operator's order: these slices have their home at that assigner; -1 takes it back."""

    slices: list[int]
    to: int
    by: str = ""


class Backup(Message, tag="backup", frozen=True):
    """An operator's order to write a backup under this name, in the store's folder for them."""

    name: str


# The operator's hand -------------------------------------------------------------------------------


class Hand(Message, tag="hand", frozen=True):
    """An operator's order for a zone, to the store; from there to every assigner, and again when one joins."""

    zone: int
    what: str  # "drain", "hold" or "return"
    pace: float = 1.0  # of steps, as a multiple of the usual
    by: str = ""  # who ordered it, as told
    number: int = 0  # given by the store; rises with each


class Hands(Message, tag="hands", frozen=True):
    """What stands for each zone."""

    hands: list[Hand]


class AskZones(Message, tag="ask_zones", frozen=True):
    """Asks an assigner how it judges the zones."""


class ZoneRow(msgspec.Struct, frozen=True, array_like=True):
    zone: int
    phase: str
    cause: str
    share: float  # of its usual servers that is there
    bound: float  # least and most share of a server's capacity that is planned with
    bound_most: float
    held_s: float  # so long it is held out yet
    flaps: int
    spill: list[tuple[int, float]]
    beyond: float


class Zones(Message, tag="zones", frozen=True):
    assigner: int
    planned: bool  # False: this assigner has no zone plan
    zones: list[ZoneRow]


# Between assigners --------------------------------------------------------------------------------

Value = tuple[float | str, ...]  # as the kind has it: docs/replication.md


class Version(msgspec.Struct, frozen=True, array_like=True):
    """Up to where all is held that this assigner wrote."""

    origin: int
    life: int
    seq: int
    floor: int = 0  # nothing is held that was taken back up to here


class Digest(Message, tag="digest", frozen=True):
    """What the sender holds of each, or is being sent by others. Whoever holds more sends it, if asked."""

    versions: list[Version]
    ask: bool = True


class CopiedRow(msgspec.Struct, frozen=True, array_like=True):
    kind: str
    number: int  # of a slice or server; -1 where there is one row of the kind
    seq: int
    age_s: float  # since its origin observed it, when this was written
    value: Value


class Copies(Message, tag="copies", frozen=True):
    """All that changed of one origin after one sequence and up to another."""

    origin: int
    life: int
    after: int
    upto: int
    top: int  # up to here there is more to come
    floor: int  # what was taken back up to here is forgotten; who may hold some of it starts anew
    rows: list[CopiedRow] = []
    gone: list[tuple[str, int, int]] = []  # kind, number, sequence of what was taken back


class Refill(Message, tag="refill", frozen=True):
    """An operator's order to an empty store: go on with the tables of the assigners that are there."""

    by: str = ""


class AskCopies(Message, tag="ask_copies", frozen=True):
    """From the store, or an operator: asks an assigner for all the tables it holds, or all copies."""

    tables: bool = True


# List of servers ----------------------------------------------------------------------------------


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A server in the list. age_s is the time since its start when the news was written; below 0: long ago."""

    id: int
    zone: int
    kind: int
    cell: int
    state: int  # 0 gone, 1 ready, 2 draining
    weight: float
    start: int  # which life of the server
    age_s: float
    address: str = ""


class Watch(Message, tag="watch", frozen=True):
    on: bool
    since: int = -1  # the version held; the list sends what was missed


class Fetch(Message, tag="fetch", frozen=True):
    pass


class News(Message, tag="news", frozen=True):
    kind: str  # "delta", "full", "cached" or "failed"
    version: int
    servers: list[Entry] = []


# Requests -----------------------------------------------------------------------------------------


class Ask(Message, tag="ask", frozen=True):
    """A client's request to its proxy."""

    id: int
    request_class: int
    key: int
    left_s: float  # time that the client still waits
    work_s: float = 0.0  # stand-ins only: virtual work at a core of speed 1


class Reply(Message, tag="reply", frozen=True):
    """The final answer. status 2 is a refusal, again_s then tells when to come back."""

    id: int
    status: int
    again_s: float = 0.0
    ran: bool = True  # False: certain that it never ran


class Try(Message, tag="try", frozen=True):
    """One try of a request at a server."""

    id: int  # of the try, on this stream
    request: int  # of the client's request; proxy and request name it
    proxy: int
    slice: int
    request_class: int
    key: int
    number: int  # 0 for the first try
    left_s: float
    work_s: float = 0.0


class Answer(Message, tag="answer", frozen=True):
    id: int
    status: int
    values: list[float] = []


class Cancel(Message, tag="cancel", frozen=True):
    """The try's answer is no longer awaited; work goes on."""

    id: int


class Probe(Message, tag="probe", frozen=True):
    id: int


class Probed(Message, tag="probed", frozen=True):
    id: int
    status: int
    values: list[float] = []


# The hand that steers stand-ins --------------------------------------------


class Control(Message, tag="control", frozen=True):
    """Orders a stand-in or relay of a day to change; the names are those of the day's faults."""

    what: str
    args: dict[str, float | int | str | list[int]] = {}


class Done(Message, tag="done", frozen=True):
    note: str = ""


AnyMessage = (
    Hello
    | Welcome
    | Refuse
    | Ping
    | Pong
    | Order
    | Applied
    | Sums
    | Charge
    | Charges
    | Taken
    | Write
    | Refused
    | Read
    | ReadEnd
    | Written
    | Members
    | Move
    | Backup
    | Hand
    | Hands
    | AskZones
    | Zones
    | Digest
    | Copies
    | AskCopies
    | Refill
    | Watch
    | Fetch
    | News
    | Ask
    | Reply
    | Try
    | Answer
    | Cancel
    | Probe
    | Probed
    | Control
    | Done
)

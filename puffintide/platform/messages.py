"""Lines of collectors, news of the relay and entries of discovery, typed. Pure.

A message that can't be is passed over for its own sake; what is no message at all ends the connection it came on.
"""

from __future__ import annotations

import json
from typing import Any

import msgspec

from puffintide.decisions.events import EndpointStatus, ServerLoadReport, SliceLoadReport
from puffintide.platform.identifiers import Hosts, Names
from puffintide.protocol.checks import COUNT_MOST, SPAN_MOST
from puffintide.protocol.messages import EndpointEntry

MS = 1000.0


class Unreadable(Exception):
    """Not a message; the connection is of no further use."""


class Invalid(Exception):
    """A message that can't be; those around it are good."""


# At the assigner's address ------------------------------------------------------------------------


class Ping(msgspec.Struct, tag_field="msg", tag="ping", frozen=True):
    pass


class Collector(msgspec.Struct, tag_field="msg", tag="collector", frozen=True):
    az: str


class Heard(msgspec.Struct, tag_field="msg", tag="heard", frozen=True):
    az: str
    host: str
    n: int
    bad: int
    window: float
    avg: float = 0.0
    report: dict[str, Any] | None = None


class Heat(msgspec.Struct, tag_field="msg", tag="heat", frozen=True):
    partition: int
    kind: str
    n: int
    bad: int
    window: float


Line = Ping | Collector | Heard | Heat
_lines = msgspec.json.Decoder(Line)

PONG = b'{"msg":"pong"}\n'


def _decode(decoder: Any, line: bytes) -> Any:
    try:
        return decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        reason = str(error)
    try:  # the decoder stops at the first fault; this one reads on, and takes numbers that JSON does not have
        json.loads(line)
    except (ValueError, RecursionError):
        raise Unreadable(reason) from None
    raise Invalid(reason)


def read_line(line: bytes) -> Line:
    """A line at the assigner's address. Raises Unreadable or Invalid."""
    message: Line = _decode(_lines, line)
    return message


def _counts(n: int, bad: int, window: float) -> None:
    if not (0 <= n <= COUNT_MOST and 0 <= bad <= COUNT_MOST):
        raise Invalid(f"{bad} bad of {n}")
    if not 0 < window <= SPAN_MOST * MS:
        raise Invalid(f"window of {window:g} ms")


def load_report(m: Heard, names: Names, hosts: Hosts) -> ServerLoadReport:
    """Raises Invalid."""
    _counts(m.n, m.bad, m.window)
    if m.bad > m.n:
        raise Invalid(f"{m.bad} bad of {m.n}")
    zone = names.zones.get(m.az)
    if zone is None:
        raise Invalid(f"zone {m.az[:40]!r} is not in the settings")
    server = hosts.known(m.host)
    if server is None:
        raise Invalid(f"host {m.host[:40]!r} was never listed")
    if not 0 <= m.avg <= SPAN_MOST * MS:
        raise Invalid(f"mean of {m.avg:g} ms")
    mean = m.avg / MS if m.n > m.bad else 0.0
    return ServerLoadReport(zone, server, m.n, m.bad, mean, m.window / MS, names.values(m.report))


def slice_heat(m: Heat, names: Names, slices: int) -> SliceLoadReport:
    """Raises Invalid. What got no answer in a window may have come in an earlier one: bad may be above n."""
    _counts(m.n, m.bad, m.window)
    request_class = names.classes.get(m.kind)
    if request_class is None:
        raise Invalid(f"class {m.kind[:40]!r} is not in the settings")
    if not 0 <= m.partition < slices:
        raise Invalid(f"slice {m.partition} of {slices}")
    return SliceLoadReport(m.partition, request_class, m.n, m.bad, m.window / MS)


# News of the relay --------------------------------------------------------------------------------


class Joined(msgspec.Struct, frozen=True):
    sidecar: int
    az: str
    share: float = 0.0
    standing: bool = False


class Left(msgspec.Struct, frozen=True):
    sidecar: int


class Applied(msgspec.Struct, frozen=True):
    sidecar: int
    version: int
    lag_ms: float = 0.0


class Given(msgspec.Struct, frozen=True):
    partition: int
    yes: bool


class Held(msgspec.Struct, frozen=True):
    partition: int
    host: str
    share: float


class Sign(msgspec.Struct, frozen=True):
    """A sign of life: all before it has been told."""


class _News(msgspec.Struct, frozen=True):
    type: str = ""
    object: msgspec.Raw = msgspec.Raw(b"{}")


News = Joined | Left | Applied | Given | Held
_news = msgspec.json.Decoder(_News)
_objects: dict[str, msgspec.json.Decoder[News]] = {
    "joined": msgspec.json.Decoder(Joined),
    "left": msgspec.json.Decoder(Left),
    "applied": msgspec.json.Decoder(Applied),
    "given": msgspec.json.Decoder(Given),
    "held": msgspec.json.Decoder(Held),
}


def read_news(line: bytes) -> News | Sign | None:
    """A line of the relay's watch; None is of a kind that is not known. Raises as above."""
    row = _decode(_news, line)
    if not row.type:
        return Sign()
    decoder = _objects.get(row.type)
    if decoder is None:
        return None
    news: News = _decode(decoder, bytes(row.object))
    return news


# The list -----------------------------------------------------------------------------------------


class _Member(msgspec.Struct, frozen=True):
    host: str
    health: str
    dial: str = ""
    site: str = ""
    kind: str = msgspec.field(default="", name="class")
    block: int = 0
    share: float = 1.0
    born_ms: int = 0


class _Members(msgspec.Struct, frozen=True):
    seq: int
    whole: bool = False
    hosts: list[msgspec.Raw] = []


class Members(msgspec.Struct, frozen=True):
    seq: int
    whole: bool
    entries: list[EndpointEntry]
    bad: list[str]  # reasons of those passed over


STATES = {"left": EndpointStatus.REMOVED, "active": EndpointStatus.READY, "leaving": EndpointStatus.DRAINING}
_members = msgspec.json.Decoder(_Members)
_member = msgspec.json.Decoder(_Member)


def read_members(text: bytes, names: Names, hosts: Hosts, unix_ms: float) -> Members:
    """A list or changes of it. One bad entry does not spoil the others. Raises as above."""
    rows = _decode(_members, text)
    entries: list[EndpointEntry] = []
    bad: list[str] = []
    for raw in rows.hosts:
        try:
            m = _decode(_member, bytes(raw))
            if m.health not in STATES:
                raise Invalid(f"health {m.health[:40]!r} of {m.host[:40]!r}")
            if m.site not in names.zones and m.health != "left":
                raise Invalid(f"site {m.site[:40]!r} of {m.host[:40]!r} is not in the settings")
        except (Invalid, Unreadable) as error:
            bad.append(str(error))
            continue
        kind = names.kinds.get(m.kind, len(names.kinds))
        age = max(0.0, (unix_ms - m.born_ms) / MS) if m.born_ms > 0 else -1.0
        zone = names.zones.get(m.site, 0)
        state = STATES[m.health]
        entries.append(
            EndpointEntry(hosts.number(m.host), zone, kind, m.block, state, m.share, m.born_ms, age, m.dial)
        )
    return Members(rows.seq, rows.whole, entries, bad)

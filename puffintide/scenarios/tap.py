"""The relay of a day: carries lines between the parties, records each as it passes, and bends the way if told to.

A record is a line of JSON: i its number, t when the line came in, o when it went on (null: it never did),
l the link, c the connection, d 0 from the dialler and 1 towards it, m the message as it stood. x records a
connection's end. The last line of a file holds the count, so that a gap shows.
"""

from __future__ import annotations

import json
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any, BinaryIO

from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from puffintide.protocol.codec import MAX_LINE_BYTES

BUFFER_MOST = 8 << 20  # bytes under way in one direction of a connection


@dataclass
class Link:
    """A listening port and what it leads to. kind: order, store, list, try, probe, peer, front."""

    name: str
    kind: str
    port: int
    target: str
    zone: int = -1  # of the target
    number: int = -1


@dataclass
class Bend:
    """A fault of the ways: which lines it takes, and what becomes of them."""

    kinds: tuple[str, ...]
    words: tuple[bytes, ...] = ()  # beginnings of message names; empty: all
    direction: int = -1
    late_s: float = 0.0
    lose: float = 0.0
    cut: str = ""  # "refuse" or "silent"
    proxies: frozenset[int] = frozenset()  # dialling proxies; empty: any
    from_zone: int = -1
    to_zone: int = -1
    crossing: bool = False  # only between zones
    hold: bool = False  # the dialler reads nothing
    parties: frozenset[int] = frozenset()  # assigners at one end of a way between them; empty: any
    facing: frozenset[int] = frozenset()  # and those at its other end; empty: any
    senders: frozenset[int] = frozenset()  # only what these assigners say there
    double: float = 0.0  # share of lines that come twice
    mixed: bool = False  # late ones are not waited for by those behind

    def takes(self, link: Link, conn: Conn, direction: int, line: bytes) -> bool:
        if link.kind not in self.kinds or (self.direction >= 0 and direction != self.direction):
            return False
        ends = (conn.who, link.number)
        if self.parties and not any(
            a in self.parties and (not self.facing or b in self.facing) for a, b in (ends, ends[::-1])
        ):
            return False
        if self.senders and ends[direction] not in self.senders:
            return False
        if self.proxies and (conn.role != "proxy" or conn.who not in self.proxies):
            return False
        if self.from_zone >= 0 and conn.zone != self.from_zone:
            return False
        if self.to_zone >= 0 and link.zone != self.to_zone:
            return False
        if self.crossing and (conn.zone == link.zone or conn.zone < 0 or link.zone < 0):
            return False
        return not self.words or any(line.startswith(b'{"t":"' + w) for w in self.words)


@dataclass
class Conn:
    number: int
    link: Link
    role: str = ""
    who: int = -1
    zone: int = -1
    ends: list[Any] = field(default_factory=lambda: [None, None])  # dialler's side, target's side
    waiting: list[deque[tuple[float, float, bytes]]] = field(default_factory=lambda: [deque(), deque()])
    size: list[int] = field(default_factory=lambda: [0, 0])
    timers: list[Any] = field(default_factory=lambda: [None, None])
    gone: bool = False


class Tap:
    def __init__(
        self, reactor: Any, links: list[Link], net: dict[str, float], seed: int, sink: BinaryIO
    ) -> None:
        self.reactor, self.net, self.sink = reactor, net, sink
        self.random = random.Random(f"tap:{seed}")
        self.bends: dict[str, Bend] = {}
        self.count = 0
        self.next_conn = 0
        self.conns: dict[int, Conn] = {}
        self.links = links

    def listen(self) -> None:
        for link in self.links:
            self.reactor.listenTCP(link.port, _Front(self, link), 2000, "127.0.0.1")

    def _record(self, conn: Conn, direction: int, came: float, line: bytes | None, lost: bool) -> None:
        self.count += 1
        head = {
            "i": self.count,
            "t": round(came, 6),
            "o": None if lost else round(self.reactor.seconds(), 6),
            "l": conn.link.name,
            "c": conn.number,
            "d": direction,
        }
        text = json.dumps(head, separators=(",", ":")).encode()[:-1]
        body = b',"x":1}' if line is None else b',"m":' + line + b"}"
        self.sink.write(text + body + b"\n")

    def close(self) -> None:
        for conn in list(self.conns.values()):
            self.end(conn, conn.ends[0])
        self.sink.write(json.dumps({"end": self.count}).encode() + b"\n")
        self.sink.flush()

    # Lines ------------------------------------------------------------------------------------------

    def line(self, conn: Conn, direction: int, line: bytes) -> None:
        if line.startswith((b'{"t":"ping"', b'{"t":"pong"')):
            self._queue(conn, direction, line, 0.0)
            return
        if not conn.role and direction == 0:
            self._greet(conn, line)
        late, lost, mixed, times = self._way(conn, direction, line), False, False, 1
        for _, bend in sorted(self.bends.items()):
            if bend.takes(conn.link, conn, direction, line):
                late += bend.late_s * (self.random.random() if bend.mixed else 1.0)
                mixed |= bend.mixed
                times += self.random.random() < bend.double
                lost |= bool(bend.cut) or (bend.lose > 0 and self.random.random() < bend.lose)
        if lost:
            self._record(conn, direction, self.reactor.seconds(), line, lost=True)
        elif late > 0 and (mixed or line.startswith(b'{"t":"sums"')):
            # Reports are late on their own; they hold up neither heartbeats nor answers on the same stream.
            came = self.reactor.seconds()
            for _ in range(times):
                conn.size[direction] += len(line)
                self.reactor.callLater(late, self._late, conn, direction, came, line)
        else:
            for _ in range(times):
                self._queue(conn, direction, line, late)

    def _greet(self, conn: Conn, line: bytes) -> None:
        conn.role = "?"
        try:
            hello = json.loads(line)
            conn.role, conn.who = str(hello.get("role", "?")), int(hello.get("id", -1))
            conn.zone = int(hello.get("zone", 0))
        except (ValueError, AttributeError, TypeError, RecursionError):
            return  # whoever is dialled will refuse it

    def _way(self, conn: Conn, direction: int, line: bytes) -> float:
        kind = conn.link.kind
        if kind == "order":
            sums = line.startswith(b'{"t":"sums"')
            mean = self.net["report_late_s"] if sums else self.net["order_late_s"] if direction == 1 else 0.0
            return mean * (0.5 + self.random.random())
        if kind in ("store", "list"):
            return self.net["list_late_s"] * (0.5 + self.random.random()) if direction == 1 else 0.0
        crossing = conn.zone >= 0 and conn.link.zone >= 0 and conn.zone != conn.link.zone
        return self.net["cross_s"] if crossing else self.net["same_s"]

    def _queue(self, conn: Conn, direction: int, line: bytes, late: float) -> None:
        now = self.reactor.seconds()
        queue = conn.waiting[direction]
        due = max(now + late, queue[-1][0] if queue else 0.0)
        if due <= now and not queue and conn.ends[1 - direction] is not None:
            self._deliver(conn, direction, now, line)
            return
        conn.size[direction] += len(line)
        if conn.size[direction] > BUFFER_MOST:
            self.end(conn, None)
            return
        queue.append((due, now, line))
        self._arm(conn, direction)

    def _late(self, conn: Conn, direction: int, came: float, line: bytes) -> None:
        conn.size[direction] -= len(line)
        if conn.gone:
            self._record(conn, direction, came, line, lost=True)
        else:
            self._deliver(conn, direction, came, line)

    def _arm(self, conn: Conn, direction: int) -> None:
        queue = conn.waiting[direction]
        if queue and conn.timers[direction] is None and conn.ends[1 - direction] is not None:
            wait = max(0.0, queue[0][0] - self.reactor.seconds())
            conn.timers[direction] = self.reactor.callLater(wait, self._flush, conn, direction)

    def _flush(self, conn: Conn, direction: int) -> None:
        conn.timers[direction] = None
        queue, now = conn.waiting[direction], self.reactor.seconds()
        while queue and queue[0][0] <= now:
            _, came, line = queue.popleft()
            conn.size[direction] -= len(line)
            self._deliver(conn, direction, came, line)
        self._arm(conn, direction)

    def _deliver(self, conn: Conn, direction: int, came: float, line: bytes) -> None:
        if conn.ends[1 - direction] is not None:
            conn.ends[1 - direction].transport.write(line + b"\n")
        if not line.startswith((b'{"t":"ping"', b'{"t":"pong"')):
            self._record(conn, direction, came, line, lost=False)

    # Connections --------------------------------------------------------------------------------------

    def opened(self, link: Link, end: _End) -> Conn | None:
        self.next_conn += 1
        conn = self.conns[self.next_conn] = Conn(self.next_conn, link)
        conn.ends[0] = end
        host, _, port = link.target.rpartition(":")
        self.reactor.connectTCP(host, int(port), _Back(self, conn), 2.0)
        return conn

    def end(self, conn: Conn, by: Any) -> None:
        """One side went: the other goes too, what was under way is lost."""
        if conn.gone:
            return
        conn.gone = True
        for direction in (0, 1):
            if conn.timers[direction] is not None:
                conn.timers[direction].cancel()
            for _, came, line in conn.waiting[direction]:
                if not line.startswith((b'{"t":"ping"', b'{"t":"pong"')):
                    self._record(conn, direction, came, line, lost=True)
        self._record(conn, 0 if by is conn.ends[0] else 1, self.reactor.seconds(), None, lost=False)
        for end in conn.ends:
            if end is not None and end is not by:
                end.transport.loseConnection()
        self.conns.pop(conn.number, None)

    def bend(self, name: str, bend: Bend | None) -> None:
        """Sets a fault of the ways, or takes it back. A refusing one breaks what stands."""
        if bend is None:
            old = self.bends.pop(name, None)
            if old is not None and old.hold:
                for conn in list(self.conns.values()):
                    self._hold(conn, old, False)
            return
        self.bends[name] = bend
        for conn in list(self.conns.values()):
            if bend.cut == "refuse" and bend.takes(conn.link, conn, max(0, bend.direction), b""):
                self.end(conn, None)
            elif bend.hold:
                self._hold(conn, bend, True)

    def _hold(self, conn: Conn, bend: Bend, on: bool) -> None:
        """The target's lines are not read, as if the dialler stood still."""
        if conn.ends[1] is not None and bend.takes(conn.link, conn, 1, b""):
            transport = conn.ends[1].transport
            (transport.pauseProducing if on else transport.resumeProducing)()

    def refused(self, conn: Conn) -> bool:
        return any(
            b.cut == "refuse" and b.takes(conn.link, conn, max(0, b.direction), b"")
            for b in self.bends.values()
        )


class _End(Protocol):
    """One side of a relayed connection."""

    def __init__(self, tap: Tap, side: int, conn: Conn | None, link: Link) -> None:
        self.tap, self.side, self.conn, self.link = tap, side, conn, link
        self.buffer = bytearray()
        self.checked = side == 1

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)  # type: ignore[union-attr]
        if self.side == 0:
            self.conn = self.tap.opened(self.link, self)
            return
        assert self.conn is not None
        if self.conn.gone:
            self.transport.abortConnection()  # type: ignore[union-attr]
            return
        self.conn.ends[1] = self
        for direction in (0, 1):
            self.tap._arm(self.conn, direction)

    def dataReceived(self, data: bytes) -> None:
        self.buffer += data
        conn = self.conn
        if conn is None or conn.gone:
            return
        while True:
            at = self.buffer.find(b"\n")
            if at < 0:
                break
            line = bytes(self.buffer[:at])
            del self.buffer[: at + 1]
            self.tap.line(conn, self.side, line)
            if not self.checked:
                self.checked = True
                if self.tap.refused(conn):
                    self.tap.end(conn, None)
                    return
        if len(self.buffer) > MAX_LINE_BYTES:
            self.tap.end(conn, None)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.conn is not None:
            self.tap.end(self.conn, self)


class _Front(Factory):
    noisy = False

    def __init__(self, tap: Tap, link: Link) -> None:
        self.tap, self.link = tap, link

    def buildProtocol(self, addr: Any) -> _End:
        return _End(self.tap, 0, None, self.link)


class _Back(ClientFactory):
    noisy = False

    def __init__(self, tap: Tap, conn: Conn) -> None:
        self.tap, self.conn = tap, conn

    def buildProtocol(self, addr: Any) -> _End:
        return _End(self.tap, 1, self.conn, self.conn.link)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.tap.end(self.conn, None)

"""HTTP/1.1 in front of and behind the engine, by h11 on both sides. Routing is the engine's; this moves bytes.

Request headers: `x-puffintide-class` (a class's name; the first if absent), `x-puffintide-key` (else the path is
the key), `x-puffintide-deadline-ms` (how long the client waits; else the class's deadline), `idempotency-key`
(passed on). Answers of the proxy itself carry `x-puffintide-ran: yes|no`, refusals also `retry-after` and
`x-puffintide-again-ms`.
A server proves that it did not run a request by 503 with `x-puffintide-ran: no`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Any

import h11
from twisted.internet.interfaces import IHandshakeListener
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from puffintide.config.schema import ClassSection, ProxyProcess
from puffintide.protocol import messages as m
from puffintide.protocol.stream import hang_up
from puffintide.proxy.choice import slice_of
from puffintide.proxy.engine import Cancel, Close, Connect, Effect, Engine, Finish, Send
from puffintide.proxy.openings import Openings
from puffintide.tls.context import Contexts, names
from puffintide.tls.keys import party

HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
}
STATUS: dict[int, int] = {
    m.AttemptStatus.SATURATED: 503,
    m.AttemptStatus.UNREACHABLE: 503,
    m.AttemptStatus.TIMEOUT: 504,
}
READ_MOST = 1 << 16  # bytes of a body that wait on one side before the other is paused
Headers = list[tuple[bytes, bytes]]


class Exchange:
    """One request on its way: its head, what of its body may be sent again, and who listens."""

    def __init__(self, front: Front, request: h11.Request, ref: int) -> None:
        self.front, self.ref = front, ref
        self.method, self.target = request.method, request.target
        self.headers = [(k, v) for k, v in request.headers if k not in HOP]
        if all(k != b"host" for k, _ in self.headers):
            self.headers.append((b"host", b""))  # HTTP/1.0 may leave it out, 1.1 wants it though empty
        self.length = next((v for k, v in request.headers if k == b"content-length"), None)
        self.chunked = any(k == b"transfer-encoding" for k, _ in request.headers)
        self.body: list[bytes] = []
        self.size = 0  # of the body so far
        self.whole = False  # all of the body is in
        self.replayable = True
        self.back: Back | None = None
        self.committed = False  # the answer has begun to go out
        self.ended = False

    def head(self) -> h11.Request:
        framing: Headers = []
        if self.length is not None:
            framing = [(b"content-length", self.length)]
        elif self.chunked:
            framing = [(b"transfer-encoding", b"chunked")]
        return h11.Request(method=self.method, target=self.target, headers=self.headers + framing)

    def data(self, data: bytes, replay_most: int) -> None:
        """More of the body: on to the server, and kept while it may have to be sent again."""
        self.size += len(data)
        if self.replayable:
            self.body.append(data)
        if self.back is not None:
            self.back.send_body(data)
            if self.replayable and self.size > replay_most:
                self.replayable = False
                self.body = []
                self.front.owner.engine.pin(self.ref)
        elif self.size > replay_most:
            self.front.pause(True)  # no server yet: the client waits

    def all_in(self) -> None:
        self.whole = True
        if self.back is not None:
            self.back.send_end()


class Front(Protocol):
    """A client's connection: one request at a time, pipelined ones after it, in order."""

    transport: Any

    def __init__(self, owner: HttpProxy) -> None:
        self.owner = owner
        self.conn = h11.Connection(h11.SERVER, max_incomplete_event_size=owner.me.head_most)
        self.exchange: Exchange | None = None
        self.timer: Any = None
        self.paused = False
        self.gone = False
        self.reading = False
        self.head_asked = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        if len(self.owner.fronts) >= self.owner.me.clients_most:
            self.transport.abortConnection()
            return
        self.owner.fronts.add(self)
        self._wait(self.owner.me.idle_s)

    def _wait(self, seconds: float | None) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        if seconds is not None:
            self.timer = self.owner.reactor.callLater(seconds, self._tired)

    def _tired(self) -> None:
        """A head that does not come, a body that stops, an answer that is not read: the connection goes."""
        self.owner.count("client_slow")
        if (
            not self.gone
            and self.exchange is None
            and self.conn.their_state is h11.IDLE
            and self.conn.trailing_data[0]
        ):
            self.refuse(408, "the head took too long")
        else:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        if self.gone:
            return
        if self.exchange is None and self.conn.their_state is h11.IDLE:
            self._wait(self.owner.me.head_s)
        try:
            self.conn.receive_data(data)
            self._events()
        except h11.RemoteProtocolError as error:
            self.refuse(error.error_status_hint, str(error))

    def _events(self) -> None:
        if self.reading:
            return  # an answer at once, from within the loop below, which goes on with the next request
        self.reading = True
        try:
            self._read_on()
        finally:
            self.reading = False

    def _read_on(self) -> None:
        while not self.gone:
            event = self.conn.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._request(event)
            elif isinstance(event, h11.Data) and self.exchange is not None:
                if self.exchange.size + len(event.data) > self.owner.me.body_most:
                    self._drop()
                    self.refuse(413, f"the body is over {self.owner.me.body_most} bytes")
                    return
                self._wait(self.owner.me.head_s)
                self.exchange.data(bytes(event.data), self.owner.me.replay_most)
            elif isinstance(event, h11.EndOfMessage) and self.exchange is not None:
                self._wait(None)
                self.exchange.all_in()
            elif isinstance(event, h11.ConnectionClosed):
                self._close()
                return

    def stop(self) -> None:
        if self.exchange is None and not self.gone:
            self._close()

    def _request(self, request: h11.Request) -> None:
        self.head_asked = request.method == b"HEAD"
        if self.owner.stopping:
            self.refuse(503, "this proxy stops")
            return
        headers = dict(request.headers)
        if (
            sum(len(k) + len(v) + 4 for k, v in request.headers) + len(request.target)
            > self.owner.me.head_most
        ):
            self.refuse(431, f"the head is over {self.owner.me.head_most} bytes")
            return
        if b"content-length" in headers and b"transfer-encoding" in headers:
            self.refuse(400, "a body's length is told in two ways")
            return
        if int(headers.get(b"content-length", b"0")) > self.owner.me.body_most:
            self.refuse(413, f"the body is over {self.owner.me.body_most} bytes")
            return
        try:
            kind, key, left_s = self.owner.read(request.target, headers)
        except ValueError as error:
            self.refuse(400, str(error))
            return
        if headers.get(b"expect", b"").lower() == b"100-continue":
            self.transport.write(self.conn.send(h11.InformationalResponse(status_code=100, headers=[])))
        bodied = b"transfer-encoding" in headers or headers.get(b"content-length", b"0") != b"0"
        self._wait(self.owner.me.head_s if bodied else None)
        self.owner.begin(self, request, kind, key, left_s)

    def refuse(self, status: int, reason: str) -> None:
        """Says why and closes."""
        self.owner.count("refused_request")
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = reason.encode() + b"\n"
            headers = [
                (b"content-length", b"%d" % len(body)),
                (b"connection", b"close"),
                (b"x-puffintide-ran", b"no"),
            ]
            if self.head_asked:
                body = b""  # the answer to HEAD is its head alone
            self._send(
                h11.Response(status_code=status, headers=headers), h11.Data(data=body), h11.EndOfMessage()
            )
        self._close()

    def _close(self) -> None:
        """Closes once all is written; a client that does not read it in time is cut off."""
        self.gone = True
        hang_up(self.transport)
        self._wait(self.owner.me.head_s)

    def _send(self, *events: Any) -> None:
        for event in events:
            data = self.conn.send(event)
            if data:
                self.transport.write(data)

    # The answer -----------------------------------------------------------------------------------

    def answer(self, status: int, headers: Headers) -> None:
        if self.owner.stopping:
            headers = [*headers, (b"connection", b"close")]
        self._send(h11.Response(status_code=status, headers=headers))

    def answer_data(self, data: bytes) -> None:
        self._send(h11.Data(data=data))

    def answer_end(self) -> None:
        self._send(h11.EndOfMessage())
        self._next()

    def answer_own(self, status: int, again_s: float, ran: bool) -> None:
        """The proxy's own final answer."""
        headers = [(b"content-length", b"0"), (b"x-puffintide-ran", b"yes" if ran else b"no")]
        if again_s:
            headers.append((b"retry-after", b"%d" % math.ceil(again_s)))
            headers.append((b"x-puffintide-again-ms", b"%d" % round(again_s * 1000)))
        if self.owner.stopping or (self.exchange is not None and not self.exchange.whole):
            headers.append((b"connection", b"close"))  # the rest of its body is not read
        self._send(h11.Response(status_code=STATUS.get(status, 502), headers=headers), h11.EndOfMessage())
        self._next()

    def _next(self) -> None:
        self.exchange = None
        self.pause(False)
        ends = self.owner.stopping or self.conn.our_state is h11.MUST_CLOSE
        if ends or self.conn.their_state is not h11.DONE:
            self._close()
            return
        self.conn.start_next_cycle()
        self._wait(self.owner.me.idle_s)
        try:
            self._events()
        except h11.RemoteProtocolError as error:
            self.refuse(error.error_status_hint, str(error))

    def cut(self) -> None:
        """Ends within an answer: what came is passed on, and its missing end shows that it is not whole."""
        self._close()

    # Back-pressure --------------------------------------------------------------------------------

    def pause(self, on: bool) -> None:
        """Stops reading the client, as its body can't be passed on yet."""
        if on != self.paused and not self.gone:
            self.paused = on
            (self.transport.pauseProducing if on else self.transport.resumeProducing)()

    def pauseProducing(self) -> None:
        """The client reads slowly: the server waits, and not for ever."""
        self._wait(self.owner.me.head_s)
        if self.exchange is not None and self.exchange.back is not None:
            self.exchange.back.pause(True)

    def resumeProducing(self) -> None:
        self._wait(None)
        if self.exchange is not None and self.exchange.back is not None:
            self.exchange.back.pause(False)

    def stopProducing(self) -> None:
        pass

    def _drop(self) -> None:
        if self.exchange is not None:
            self.exchange.ended = True
            self.owner.client_gone(self.exchange)
            self.exchange = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.gone = True
        self._wait(None)
        self.owner.fronts.discard(self)
        self._drop()


@implementer(IHandshakeListener)
class Back(Protocol):
    """A connection to a server, kept for the next request when an exchange ended whole. On TLS it stands once the
    server has shown the certificate that its number asks for; nothing of a request is written before."""

    transport: Any

    def __init__(self, owner: HttpProxy, server: int) -> None:
        self.owner, self.server = owner, server
        self.conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=owner.me.head_most)
        self.exchange: Exchange | None = None
        self.key = 0
        self.idle: Any = None
        self.stands = False
        self.lost = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        if self.owner.tls is None:
            self._stand()
        else:
            self.idle = self.owner.reactor.callLater(self.owner.me.connect_s, self.transport.abortConnection)

    def handshakeCompleted(self) -> None:
        wanted = party("server", self.server, self.owner.deployment)
        if wanted in (names(self.transport) or set()):
            self._stand()
        else:
            self.owner.count("server_wrong_name")
            self.transport.abortConnection()

    def _stand(self) -> None:
        self.stands = True
        self.owner.pools[self.server].stood()
        self.owner.ready(self)

    def take(self, exchange: Exchange, key: int) -> None:
        """Begins an exchange: its head, and what of its body is here."""
        if self.idle is not None and self.idle.active():
            self.idle.cancel()
        self.exchange, self.key = exchange, key
        exchange.back = self
        self._send(exchange.head())
        for data in exchange.body:
            self.send_body(data)
        if exchange.whole:
            self.send_end()
        exchange.front.pause(False)

    def _send(self, event: Any) -> None:
        data = self.conn.send(event)
        if data:
            self.transport.write(data)

    def send_body(self, data: bytes) -> None:
        if self.conn.our_state is h11.SEND_BODY:
            self._send(h11.Data(data=data))

    def send_end(self) -> None:
        if self.conn.our_state is h11.SEND_BODY:
            self._send(h11.EndOfMessage())

    def dataReceived(self, data: bytes) -> None:
        try:
            self.conn.receive_data(data)
            while not self.lost:
                event = self.conn.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                if isinstance(event, h11.ConnectionClosed):
                    hang_up(self.transport)
                    break
                self._event(event)
        except (h11.RemoteProtocolError, h11.LocalProtocolError):
            self.owner.count("server_broke_http")
            self.transport.abortConnection()

    def _event(self, event: Any) -> None:
        exchange = self.exchange
        if exchange is None:  # an answer that nobody asked for
            self.owner.count("late_answer")
            self.transport.abortConnection()
            self.lost = True
            return
        if isinstance(event, h11.Response):
            headers = dict(event.headers)
            if event.status_code == 503 and headers.get(b"x-puffintide-ran") == b"no":
                self.exchange, exchange.back = None, None
                hang_up(self.transport)
                self.owner.answered(self.server, self.key, m.AttemptStatus.SATURATED)
                return
            exchange.committed = True
            self.owner.engine.pin(exchange.ref)
            kept = [
                (k, v)
                for k, v in event.headers
                if k not in HOP or k in (b"content-length", b"transfer-encoding")
            ]
            exchange.front.answer(event.status_code, kept)
        elif isinstance(event, h11.Data):
            exchange.front.answer_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._done(exchange)

    def _done(self, exchange: Exchange) -> None:
        self.exchange, exchange.back = None, None
        key = self.key
        if self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE:
            self.conn.start_next_cycle()
            self.owner.ready(self)  # first, so that the client's next request finds it
        else:
            self.lost = True
            hang_up(self.transport)
        self.owner.whole(exchange, self.server, key)

    def give_up(self) -> None:
        """Its answer is no longer awaited; an answer on a connection that is gone can reach nobody."""
        self.exchange = None
        self.lost = True
        self.transport.abortConnection()

    def pause(self, on: bool) -> None:
        if not self.lost:
            (self.transport.pauseProducing if on else self.transport.resumeProducing)()

    def pauseProducing(self) -> None:
        if self.exchange is not None:
            self.exchange.front.pause(True)

    def resumeProducing(self) -> None:
        if self.exchange is not None:
            self.exchange.front.pause(False)

    def stopProducing(self) -> None:
        pass

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost = True
        if self.idle is not None and self.idle.active():
            self.idle.cancel()
        if self.stands:
            self.owner.back_lost(self)
        else:
            self.owner.open_failed(self.server)


class _BackFactory(ClientFactory):
    noisy = False

    def __init__(self, owner: HttpProxy, server: int) -> None:
        self.owner, self.server = owner, server

    def buildProtocol(self, addr: Any) -> Back:
        return Back(self.owner, self.server)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.owner.open_failed(self.server)


class HttpProxy:
    """The HTTP side of one proxy. It shares tables, levels and counts with the side of the program's own lines."""

    def __init__(
        self,
        reactor: Any,
        me: ProxyProcess,
        classes: dict[str, ClassSection],
        engine: Engine,
        slices: int,
        count: Callable[[str], None],
        deployment: str,
        tls: Contexts | None = None,
    ) -> None:
        self.deployment, self.tls = deployment, tls
        self.reactor, self.me, self.classes, self.slices, self.count = reactor, me, classes, slices, count
        self.engine = engine
        self.fronts: set[Front] = set()
        self.exchanges: dict[int, Exchange] = {}
        self.pools: dict[int, Openings] = {}  # by server
        self.idle: dict[int, list[Back]] = {}
        self.waits: dict[int, tuple[int, int]] = {}  # tries that wait for a connection: server, exchange
        self.next_ref = 0
        self.timer: Any = None
        self.stopping = False

    def stop(self) -> None:
        """The end: each connection closes with the answer that is under way on it, those without one now."""
        self.stopping = True
        for front in list(self.fronts):
            front.stop()

    def factory(self) -> Factory:
        owner = self

        class Fronts(Factory):
            noisy = False

            def buildProtocol(self, addr: Any) -> Front:
                return Front(owner)

        return Fronts()

    def now(self) -> float:
        return float(self.reactor.seconds())

    def read(self, target: bytes, headers: dict[bytes, bytes]) -> tuple[int, bytes, float]:
        """Class, key and time left of a request. Raises ValueError with what is wrong."""
        names = list(self.classes)
        name = headers.get(b"x-puffintide-class", names[0].encode()).decode("ascii", "replace")
        if name not in names:
            raise ValueError(f"class {name!r} is unknown; there are {', '.join(names)}")
        key = headers.get(b"x-puffintide-key", target.split(b"?")[0])
        text = headers.get(b"x-puffintide-deadline-ms", b"")
        if text and not (text.isdigit() and 0 < int(text) < 10**7):
            raise ValueError(
                f"x-puffintide-deadline-ms {text.decode('ascii', 'replace')!r} is no number of ms"
            )
        left_s = int(text) / 1000 if text else self.classes[name].deadline_s
        return names.index(name), key, left_s

    def begin(self, front: Front, request: h11.Request, kind: int, key: bytes, left_s: float) -> None:
        self.next_ref += 1
        exchange = Exchange(front, request, self.next_ref)
        self.exchanges[exchange.ref] = exchange
        front.exchange = exchange
        if exchange.length in (None, b"0") and not exchange.chunked:
            front.conn.next_event()  # the end of a message without a body is here at once
            exchange.whole = True
        number = slice_of(key, self.slices)
        self.do(self.engine.asked(self.now(), exchange.ref, exchange.ref, number, kind, left_s))

    # Effects --------------------------------------------------------------------------------------

    def do(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case Connect(server):  # each exchange has a connection of its own: nothing to wait for here
                    self.do(self.engine.server_up(self.now(), server))
                case Send():
                    self._place(effect)
                case Cancel(_, key):
                    self._cancel(key)
                case Finish(ref, status, again_s, ran):
                    self._finish(ref, status, again_s, ran)
                case Close():
                    pass
        self._arm()

    def _place(self, e: Send) -> None:
        assert isinstance(e.ref, int)
        pool = self.pools.setdefault(e.server, Openings(self.me.pool_most))
        idle = self.idle.get(e.server, [])
        while idle:
            back = idle.pop()
            if not back.lost:
                back.take(self.exchanges[e.ref], e.key)
                return
        if not pool.ask(e.key):
            self.count("pool_full")
            self.reactor.callLater(0, self._never, e.server, [e.key])
            return
        self.waits[e.key] = (e.server, e.ref)
        self.reactor.callLater(self.me.connect_s, self._waited, e.server, e.key)
        self._open(e.server)

    def _open(self, server: int) -> None:
        host, _, port = self.engine.tables.addresses.get(server, "").rpartition(":")
        pool = self.pools.get(server)
        for _ in range(pool.open_now() if pool is not None and port else 0):  # else it left all tables
            made = _BackFactory(self, server)
            if self.tls is None:
                self.reactor.connectTCP(host, int(port), made, self.me.connect_s)
            else:
                self.reactor.connectSSL(host, int(port), made, self.tls, self.me.connect_s)

    def ready(self, back: Back) -> None:
        """A connection has come to stand, or its exchange ended: the next try takes it, else it is kept."""
        pool = self.pools[back.server]
        while (key := pool.next()) is not None:
            exchange = self.exchanges.get(self.waits.pop(key, (0, 0))[1])
            if exchange is not None and not exchange.ended and key in self.engine.requests:
                back.take(exchange, key)
                break
        else:
            self.idle.setdefault(back.server, []).append(back)
            back.idle = self.reactor.callLater(self.me.idle_s, hang_up, back.transport)
        self._open(back.server)

    def _waited(self, server: int, key: int) -> None:
        """It waited for a connection as long as one may take to stand."""
        if server in self.pools and self.pools[server].drop(key):
            self.count("waited_for_connection")
            self._never(server, [key])

    def open_failed(self, server: int) -> None:
        self._never(server, self.pools[server].failed())
        self._open(server)
        self._idle(server)

    def _idle(self, server: int) -> None:
        """A server to which nothing stands or is wanted begins as a new one, and leaves nothing behind if gone."""
        pool = self.pools.get(server)
        if pool is not None and not (pool.standing or pool.opening or pool.waiting):
            del self.pools[server]
            self.idle.pop(server, None)

    def _never(self, server: int, keys: list[int]) -> None:
        for key in keys:
            self.waits.pop(key, None)
            self.do(self.engine.never_sent(self.now(), server, key))

    def back_lost(self, back: Back) -> None:
        self.pools[back.server].lost()
        idle = self.idle.get(back.server, [])
        if back in idle:
            idle.remove(back)
        exchange, back.exchange = back.exchange, None
        if exchange is not None:
            exchange.back = None
            self.do(self.engine.broke(self.now(), back.server, back.key))
        self._open(back.server)
        self._idle(back.server)

    def answered(self, server: int, key: int, status: int) -> None:
        self.do(self.engine.answered(self.now(), server, key, status, []))

    def whole(self, exchange: Exchange, server: int, key: int) -> None:
        """The answer has passed to its end."""
        self.exchanges.pop(exchange.ref, None)
        if not exchange.ended:
            exchange.ended = True
            exchange.front.answer_end()
        self.answered(server, key, m.AttemptStatus.OK)

    def _cancel(self, key: int) -> None:
        if key in self.waits:
            self.pools[self.waits.pop(key)[0]].drop(key)
            return
        for exchange in self.exchanges.values():
            if exchange.back is not None and exchange.back.key == key:
                back, exchange.back = exchange.back, None
                self.count("given_up")
                back.give_up()
                return

    def _finish(self, ref: Any, status: int, again_s: float, ran: bool) -> None:
        exchange = self.exchanges.pop(ref, None)
        if exchange is None or exchange.ended:
            return
        exchange.ended = True
        if exchange.back is not None:
            back, exchange.back = exchange.back, None
            back.give_up()
        if exchange.committed:
            self.count("answer_cut")
            exchange.front.cut()
        else:
            exchange.front.answer_own(status, again_s, ran)

    def client_gone(self, exchange: Exchange) -> None:
        self.do(self.engine.gave_up(self.now(), exchange.ref))
        self.exchanges.pop(exchange.ref, None)
        if exchange.back is not None:
            back, exchange.back = exchange.back, None
            back.give_up()

    def _arm(self) -> None:
        due = self.engine.next_due()
        if self.timer is not None and self.timer.active():
            if due is None or self.timer.getTime() <= due:
                return
            self.timer.cancel()
        self.timer = None
        if due is not None:
            self.timer = self.reactor.callLater(max(0.0, due - self.now()), self._due)

    def _due(self) -> None:
        self.timer = None
        self.do(self.engine.due(self.now()))

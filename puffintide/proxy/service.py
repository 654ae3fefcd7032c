"""The proxy on sockets: its front, its assigners and store, and one stream to each server in use."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence
from typing import Any

from puffintide.config.loader import Config
from puffintide.config.schema import ProxyProcess
from puffintide.protocol import messages as m
from puffintide.protocol.checks import wrong_lines, wrong_order
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.session import Greeting
from puffintide.protocol.stream import Acceptor, Dialler, Stream, hang_up
from puffintide.proxy.choice import slice_of
from puffintide.proxy.engine import Cancel, Close, Connect, Effect, Engine, Finish, Limits, Send
from puffintide.proxy.http import HttpProxy
from puffintide.proxy.meter import Meter
from puffintide.proxy.state import StateError, load_state, save_state
from puffintide.proxy.tries import Kind
from puffintide.tls.context import Contexts

SAVE_S = 1.0
STATS_S = 10.0
LEFT_MOST_S = 1e4  # that a client may wait; over HTTP too
WRITES_S = 0.02  # how often writes in hand are looked at
END_S = 0.02  # and, at the end, requests under way


def limits(config: Config, me: ProxyProcess) -> Limits:
    """The engine's settings as the file has them."""
    d = config.deployment
    kinds = tuple(Kind(c.effect, c.group, c.window_s, c.aim_s) for c in config.classes.values())
    return Limits(
        slices=d.slices,
        kinds=kinds,
        own_zone=tuple(c.own_zone_only for c in config.classes.values()),
        retry_default=d.retry_default,
        retry_wait_aims=d.retry_wait_aims,
        shun_after=d.shun_after,
        shun_s=d.shun_s,
        admit=d.admit,
        pick=d.pick,
        hold_s=d.hold_s,
        again_s=d.refuse_again_s,
        zone=me.zone,
        single_writer=d.single_writer,
        write_lease_s=config.charge.write_lease_s,
        held_most=me.held_most,
        open_most=me.open_most,
        connect_s=me.connect_s,
        reserve_s=me.reserve_s,
    )


class ProxyService:
    """One proxy. Several may live in one process; they share nothing but the reactor."""

    def __init__(
        self, reactor: Any, config: Config, me: ProxyProcess, log: Any, tls: Contexts | None = None
    ) -> None:
        self.tls = tls
        self.reactor, self.config, self.me, self.log = reactor, config, me, log
        self.draw = random.Random(f"proxy:{me.id}").random
        self.engine = Engine(limits(config, me), self.draw)
        self.counts: dict[str, int] = {}
        self.meter = Meter(me.access_every)
        self.http: HttpProxy | None = None
        if me.http:
            other = Engine(limits(config, me), self.draw, like=self.engine)
            self.http = HttpProxy(
                reactor,
                me,
                config.classes,
                other,
                config.deployment.slices,
                self._count,
                config.deployment.name,
                tls,
            )
        self.deployment = config.deployment.name
        self.slices = config.deployment.slices
        self.classes = len(config.classes)
        self.servers: dict[int, Dialler] = {}
        self.streams: dict[int, Stream] = {}  # to servers that have greeted
        self.works: dict[int, tuple[int, float]] = {}  # of stand-ins' requests: key and work, by reference
        self.assigners: dict[int, Stream] = {}
        self.fronts: dict[int, Stream] = {}
        self.next_ref = 0
        self.asks: dict[int, tuple[Stream, int]] = {}  # reference: client and its own number
        self.met: set[int] = set()
        self.store: Stream | None = None
        self.read: tuple[int, str] = (-1, "")  # revision and identity of the store's last reading
        self.reread: Any = None
        self.timer: Any = None
        self.saved_version = 0
        self.ports: list[Any] = []  # of both fronts, to be closed at the end
        self._end: Callable[[], None] | None = None
        self.diallers = [
            Dialler(
                reactor, a, self._hello(k), self._from_assigner(k), self._assigner_lost(k), self.draw, tls=tls
            )
            for k, a in enumerate(me.assigners)
        ]
        self.diallers.append(
            Dialler(
                reactor, me.store, self._hello(-1), self._from_store, self._store_lost, self.draw, tls=tls
            )
        )

    def start(self) -> None:
        if self.me.state:
            try:
                saved = load_state(self.me.state)
                self.engine.tables.load(saved)
                self.log.info("state_read", age_s=round(time.time() - saved.at, 1))
            except StateError as error:
                self.log.warning("state_unread", reason=str(error))
            self.reactor.callLater(SAVE_S, self._save)
        for dialler in self.diallers:
            dialler.start()
        self.reactor.callLater(STATS_S, self._stats)
        self.reactor.callLater(self.draw() * self.config.reports.period_s, self._report)

    def stop(self, done: Callable[[], None]) -> None:
        """SIGTERM. Nothing new is taken, and what is under way gets its answer: at most for the longest time that a
        class's client waits. Told twice: done() at once."""
        if self._end is not None:
            done()
            return
        self._end = done
        for port in self.ports:
            port.stopListening()
        if self.http is not None:
            self.http.stop()
        self.log.info("stopping", requests=self._under_way())
        self.reactor.callLater(max(c.deadline_s for c in self.config.classes.values()), done)
        self._ending()

    def _under_way(self) -> int:
        return len(self.asks) + (len(self.http.exchanges) if self.http is not None else 0)

    def _ending(self) -> None:
        fronts = [*self.fronts.values(), *(self.http.fronts if self.http is not None else ())]
        if not self._under_way():
            for stream in self.fronts.values():
                hang_up(stream.transport)  # once its answers are written
            if not fronts and self._end is not None:
                self._end()
                return
        self.reactor.callLater(END_S, self._ending)

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _stats(self) -> None:
        late = self.engine.late_answers
        dropped = self.engine.tables.dropped
        figures = self.counts | self.meter.figures()
        self.log.info("stats", late_answers=late, dropped_lines=dropped, **figures)
        self.reactor.callLater(STATS_S, self._stats)

    def now(self) -> float:
        return float(self.reactor.seconds())

    def _hello(self, assigner: int) -> Callable[[], m.Hello]:
        def made() -> m.Hello:
            fresh = assigner not in self.met
            self.met.add(assigner)
            token = self.engine.tables.token_most if assigner < 0 else 0
            return m.Hello(
                m.PROTOCOL_VERSION,
                "proxy",
                self.me.id,
                self.me.zone,
                self.deployment,
                first_connection=fresh,
                highest_token=token,
            )

        return made

    # What steers it -------------------------------------------------------------------------------

    def _from_assigner(self, number: int) -> Callable[[Stream, AnyMessage], None]:
        def message(stream: Stream, message: AnyMessage) -> None:
            match message:
                case m.Welcome():
                    self.assigners[number] = stream
                    self.engine.tables.joined(number)
                    self._read_store()
                case m.ProxyUpdate() if (wrong := wrong_order(message)) is not None:
                    stream.refuse(f"order: {wrong}")
                case m.ProxyUpdate():
                    self._do(self.engine.order(self.now(), number, message))
                    if self.http is not None:
                        self.http.do(self.http.engine.look_again(self.now(), message.admission_levels != []))
                    if message.checkpoint_id is not None:
                        self._applied(stream, message.checkpoint_id, message.cleared_slices)
                case _:
                    stream.refuse(f"a {type(message).__name__} is not for a proxy")

        return message

    def _applied(self, stream: Stream, mark: int, cleared: Sequence[int]) -> None:
        """Where slices have one writer, a table that is let go of is so once our writes there have ended."""
        if stream.ended:
            return
        engines = [self.engine] + ([self.http.engine] if self.http is not None else [])
        if cleared and self.engine.limits.single_writer and any(e.writing(cleared) for e in engines):
            self.reactor.callLater(WRITES_S, self._applied, stream, mark, cleared)
        else:
            stream.send(m.CheckpointReply(mark))

    def _assigner_lost(self, number: int) -> Callable[[str], None]:
        def lost(why: str) -> None:
            if self.assigners.pop(number, None) is not None:
                self.engine.assigner_lost(self.now(), number)
                self.log.warning("assigner_lost", assigner=number, reason=why)

        return lost

    def _read_store(self) -> None:
        """Orders of the time without a stream are lost to us. They are in the store, or on their way to it: so a
        second reading follows the first. Readings go on, of what changed since the last: they guard against a
        message lost on a stream that stands, which nothing else would show."""
        self._read()
        if self.reread is not None and self.reread.active():
            self.reread.cancel()
        self.reread = self.reactor.callLater(self.config.charge.reread_s, self._read_again)

    def _read_again(self) -> None:
        self._read()
        self.reread = self.reactor.callLater(self.config.charge.refresh_s, self._read_again)

    def _read(self) -> None:
        if self.store is not None:
            self.store.send(m.ReadRequest(*self.read))

    def _store_lost(self, why: str) -> None:
        self.store = None

    def _from_store(self, stream: Stream, message: AnyMessage) -> None:
        match message:
            case m.Welcome():
                self.store = stream
                self._read_store()
            case m.SliceOwnerships():
                wrong = next(
                    (w for c in message.ownerships if (w := wrong_lines(c.entries)) is not None), None
                )
                if wrong is not None:
                    stream.refuse(f"charges: {wrong}")
                    return
                self._do(self.engine.charges(self.now(), message.ownerships))
                if self.http is not None:
                    self.http.do(self.http.engine.look_again(self.now()))
            case m.ReadComplete():
                self.read = (message.revision, message.store_id)
            case _:
                stream.refuse(f"a {type(message).__name__} is not for a proxy")

    def _save(self) -> None:
        tables = self.engine.tables
        if tables.version != self.saved_version:
            self.saved_version = tables.version
            try:
                save_state(self.me.state, tables.saved(time.time()))
            except OSError as error:
                self.log.warning("state_unsaved", reason=str(error))
        self.reactor.callLater(SAVE_S, self._save)

    def _report(self) -> None:
        period = self.config.reports.period_s
        for assigner, stream in sorted(self.assigners.items()):
            sums = self.engine.take_sums(self.now(), assigner, period)
            if sums is not None:
                stream.send(sums)
        self.reactor.callLater(period, self._report)

    # The front of its own lines -------------------------------------------------------------------

    def front(self) -> Acceptor:
        def me() -> m.Welcome:
            return m.Welcome(m.PROTOCOL_VERSION, "proxy", self.me.id)

        return Acceptor(self.reactor, me, self._from_client, self._client_lost, self._judge)

    def _judge(self, hello: Greeting) -> str | None:
        if len(self.fronts) >= self.me.clients_most:
            return f"{self.me.clients_most} clients are here already"
        return None

    def _from_client(self, stream: Stream, message: AnyMessage) -> None:
        match message:
            case m.Hello():
                self.fronts[id(stream)] = stream
            case m.ClientRequest() if not 0 <= message.class_index < self.classes:
                stream.refuse(f"class {message.class_index} is not among the {self.classes}")
            case m.ClientRequest() if not (
                0 <= message.key < 2**64 and 0 < message.remaining_s <= LEFT_MOST_S
            ):
                stream.refuse(
                    f"a key must be from 0 to 2^64 - 1, the time left above 0, up to {LEFT_MOST_S:g} s"
                )
            case m.ClientRequest():
                self.ask(stream, message)
            case _:
                stream.refuse(f"a {type(message).__name__} is not for a proxy's front")

    def ask(self, stream: Stream, ask: m.ClientRequest) -> None:
        if self._end is not None:  # nothing of it has run: another proxy can take it
            stream.send(m.ClientResponse(ask.request_id, m.AttemptStatus.SATURATED, 0.0, False))
            return
        self.next_ref += 1
        ref = self.next_ref
        self.asks[ref] = (stream, ask.request_id)
        self.works[ref] = (ask.key, ask.work_s)
        number = slice_of(ask.key, self.slices)
        self.meter.came(self.now(), ref)
        self._do(self.engine.asked(self.now(), ref, ask.request_id, number, ask.class_index, ask.remaining_s))

    def _client_lost(self, stream: Stream, why: AnyMessage) -> None:
        self.fronts.pop(id(stream), None)
        for ref in [ref for ref, (client, _) in self.asks.items() if client is stream]:
            del self.asks[ref]
            self.works.pop(ref, None)
            self.meter.ended(self.now(), ref)
            self._do(self.engine.gave_up(self.now(), ref))

    # Effects --------------------------------------------------------------------------------------

    def _do(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case Connect(server, address):
                    self._connect(server, address)
                case Send():
                    self._send(effect)
                case Cancel(server, key):
                    if server in self.streams:
                        self.streams[server].send(m.CancelAttempt(key))
                case Finish(ref, status, again_s, ran):
                    self._finish(ref, status, again_s, ran)
                case Close(server):
                    self._close(server)
        self._arm()

    def _send(self, e: Send) -> None:
        assert isinstance(e.ref, int)
        key, work_s = self.works.get(e.ref, (0, 0.0))
        made = m.AttemptRequest(
            e.key, e.request, self.me.id, e.slice, e.request_class, key, e.number, e.left_s, work_s
        )
        self.streams[e.server].send(made)
        if e.number == 0:
            self.meter.went(self.now(), e.ref)

    def _finish(self, ref: Any, status: int, again_s: float, ran: bool) -> None:
        took = self.meter.ended(self.now(), ref)
        if took is not None:
            self.log.info("request", ref=ref, status=status, took_ms=round(took * 1000, 2), ran=ran)
        found = self.asks.pop(ref, None)
        self.works.pop(ref, None)
        if found is not None:
            found[0].send(m.ClientResponse(found[1], status, again_s, ran))

    def _connect(self, server: int, address: str) -> None:
        hello = m.Hello(m.PROTOCOL_VERSION, "proxy", self.me.id, self.me.zone, self.deployment)

        def message(stream: Stream, message: AnyMessage) -> None:
            match message:
                case m.Welcome():
                    self.streams[server] = stream
                    self._do(self.engine.server_up(self.now(), server))
                case m.AttemptResponse(key, status, values):
                    self._do(self.engine.answered(self.now(), server, key, status, values))
                case _:
                    stream.refuse(f"a {type(message).__name__} is not for a proxy")

        def lost(why: str) -> None:
            if self.servers.get(server) is dialler:  # not one that was closed and replaced
                del self.servers[server]
                self.streams.pop(server, None)
                self._do(self.engine.server_lost(self.now(), server))

        dialler = Dialler(
            self.reactor,
            address,
            lambda: hello,
            message,
            lost,
            again=False,
            connect_s=self.me.connect_s,
            ping_s=30.0,
            dead_s=90.0,
            tls=self.tls,
        )
        self.servers[server] = dialler
        dialler.start()

    def _close(self, server: int) -> None:
        dialler = self.servers.pop(server, None)
        self.streams.pop(server, None)
        if dialler is not None:
            dialler.stop()

    def _arm(self) -> None:
        due = self.engine.next_due()
        if self.timer is not None and self.timer.active():
            if due is None or self.timer.getTime() <= due:
                return  # it looks again when it fires: cheaper than a new timer a request
            self.timer.cancel()
        self.timer = None
        if due is not None:
            self.timer = self.reactor.callLater(max(0.0, due - self.now()), self._due)

    def _due(self) -> None:
        self.timer = None
        self._do(self.engine.due(self.now()))

"""Plain dispatchers on sockets: they do what their tables say, judge no server, and count what they met."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from puffintide.config.loader import Config
from puffintide.standins.table import Tables, slice_of
from puffintide.wire import messages as m
from puffintide.wire.messages import AnyMessage
from puffintide.wire.stream import Acceptor, Dialler, Stream

CONNECT_S = 0.25
HELD_MOST = 2000  # requests that wait for a server at one dispatcher


@dataclass(slots=True)
class _Pool:
    """The one stream to a server, and what waits for it to stand."""

    dialler: Dialler | None = None
    stream: Stream | None = None
    waiting: list[int] = field(default_factory=list)


@dataclass(slots=True)
class _Request:
    ask: m.Ask
    client: Stream
    slice: int
    deadline: float
    number: int = 0  # of the present try
    server: int = -1
    assigner: int = -1
    sent_at: float = 0.0
    sent: bool = False
    tried: frozenset[int] = frozenset()
    timer: Any = None
    maybe_ran: bool = False


@dataclass(slots=True)
class _Sum:
    servers: dict[int, list[float]] = field(default_factory=dict)  # tries, failed, time of good ones
    values: dict[int, list[float]] = field(default_factory=dict)
    slices: dict[tuple[int, int], list[int]] = field(default_factory=dict)


class Dispatcher:
    """One proxy: a front for its clients, streams to every assigner and the store, one to each server used."""

    def __init__(
        self,
        reactor: Any,
        config: Config,
        number: int,
        zone: int,
        assigners: list[str],
        store: str,
        log: Any,
    ) -> None:
        d = config.deployment
        self.reactor, self.config, self.number, self.zone, self.log = reactor, config, number, zone, log
        self.random = random.Random(f"proxy:{number}")
        self.tables = Tables(d.slices, d.retry_default, d.pick, self.random.random)
        self.requests: dict[int, _Request] = {}
        self.held: list[int] = []
        self.pools: dict[int, _Pool] = {}
        self.next_try = 0
        self.sums: dict[int, _Sum] = {}
        self.streams: dict[int, Stream] = {}
        self.met: set[int] = set()  # assigners that it had a stream to
        self.shunned: dict[int, float] = {}
        self.failed_in_a_row: dict[int, int] = {}
        self.diallers = [
            Dialler(reactor, a, self._hello(k), self._assigner(k), self._assigner_lost(k), self.random.random)
            for k, a in enumerate(assigners)
        ]
        self.diallers.append(Dialler(reactor, store, self._hello(-1), self._store, None, self.random.random))
        self.running = False

    def start(self) -> None:
        self.running = True
        for dialler in self.diallers:
            dialler.start()
        self.reactor.callLater(self.random.random() * self.config.reports.period_s, self._report)

    def _hello(self, assigner: int) -> Callable[[], m.Hello]:
        def made() -> m.Hello:
            fresh = assigner not in self.met
            self.met.add(assigner)
            name = self.config.deployment.name
            return m.Hello(m.VERSION, "proxy", self.number, self.zone, name, fresh=fresh)

        return made

    # What steers it ---------------------------------------------------------------------------------

    def _assigner(self, number: int) -> Callable[[Stream, AnyMessage], None]:
        def message(stream: Stream, message: AnyMessage) -> None:
            match message:
                case m.Welcome():
                    self.streams[number] = stream
                    stream.tag = number
                case m.Order():
                    self.tables.order(number, message)
                    if message.mark is not None:
                        stream.send(m.Applied(message.mark))
                    self._retry_held()
                case _:
                    stream.refuse(f"a {type(message).__name__} is not for a proxy")

        return message

    def _assigner_lost(self, number: int) -> Callable[[str], None]:
        def lost(why: str) -> None:
            self.streams.pop(number, None)
            self.sums.pop(number, None)

        return lost

    def _store(self, stream: Stream, message: AnyMessage) -> None:
        match message:
            case m.Welcome():
                stream.send(m.Read())
            case m.Charges():
                for charge in message.charges:
                    self.tables.charge(charge)
                self._retry_held()
            case m.ReadEnd():
                pass
            case _:
                stream.refuse(f"a {type(message).__name__} is not for a proxy")

    # Requests ---------------------------------------------------------------------------------------

    def front(self) -> Acceptor:
        def me() -> m.Welcome:
            return m.Welcome(m.VERSION, "proxy", self.number)

        return Acceptor(self.reactor, me, self._client, None)

    def _client(self, stream: Stream, message: AnyMessage) -> None:
        match message:
            case m.Hello():
                pass
            case m.Ask():
                self.asked(stream, message)
            case _:
                stream.refuse(f"a {type(message).__name__} is not for a proxy's front")

    def asked(self, client: Stream, ask: m.Ask) -> None:
        now = self.reactor.seconds()
        number = slice_of(ask.key, self.config.deployment.slices)
        request = _Request(ask, client, number, now + ask.left_s)
        assigner = self.tables.tables[number].assigner
        request.assigner = assigner
        self._sum(assigner).slices.setdefault((number, ask.request_class), [0, 0])[0] += 1
        if not self.tables.admits(number, ask.request_class, self.config.deployment.admit):
            self._reply(request, m.FULL)
            return
        self.next_try += 1
        self.requests[self.next_try] = request
        self._try(self.next_try)

    def _sum(self, assigner: int) -> _Sum:
        return self.sums.setdefault(assigner, _Sum())

    def _try(self, key: int) -> None:
        request = self.requests[key]
        now = self.reactor.seconds()
        request.assigner = self.tables.tables[request.slice].assigner
        shunned = frozenset(s for s, until in self.shunned.items() if until > now)
        server = self.tables.pick(request.slice, request.tried | shunned)
        if server is None or not self.tables.addresses.get(server):
            if len(self.held) >= HELD_MOST:
                self._end(key, m.FULL)
                return
            self.held.append(key)
            wait = min(self.config.deployment.hold_s, request.deadline - now)
            request.timer = self.reactor.callLater(max(0.0, wait), self._end, key, m.FULL)
            return
        request.server, request.sent = server, False
        request.timer = self.reactor.callLater(max(0.0, request.deadline - now), self._deadline, key)
        pool = self.pools.setdefault(server, _Pool())
        if pool.stream is not None:
            self._send(key, pool.stream)
        else:
            pool.waiting.append(key)
            if pool.dialler is None:
                pool.dialler = self._dial(server)

    def _dial(self, server: int) -> Dialler:
        def message(stream: Stream, message: AnyMessage) -> None:
            pool = self.pools[server]
            match message:
                case m.Welcome():
                    pool.stream = stream
                    waiting, pool.waiting = pool.waiting, []
                    for key in waiting:
                        if key in self.requests:
                            self._send(key, stream)
                case m.Answer():
                    self._answered(server, message)

        def lost(why: str) -> None:
            pool = self.pools.pop(server, _Pool())
            for key, request in list(self.requests.items()):
                if request.server == server and (request.sent or key in pool.waiting):
                    self._failed(key, ran=request.sent, status=m.RESET if request.sent else m.UNREACHABLE)

        hello = m.Hello(m.VERSION, "proxy", self.number, self.zone, self.config.deployment.name)
        address = self.tables.addresses[server]
        dialler = Dialler(
            self.reactor, address, lambda: hello, message, lost, again=False, connect_s=CONNECT_S,
            ping_s=30.0, dead_s=90.0,
        )  # fmt: skip
        return dialler.start()

    def _send(self, key: int, stream: Stream) -> None:
        request = self.requests[key]
        now = self.reactor.seconds()
        ask = request.ask
        request.sent, request.sent_at = True, now
        stream.send(
            m.Try(
                key, ask.id, self.number, request.slice, ask.request_class, ask.key, request.number,
                round(request.deadline - now, 6), ask.work_s,
            )
        )  # fmt: skip

    def _answered(self, server: int, answer: m.Answer) -> None:
        request = self.requests.get(answer.id)
        if request is None or request.server != server:
            return
        if answer.values:
            self._sum(request.assigner).values[server] = answer.values
        if answer.status == m.OK:
            self._count(request, failed=False)
            self.failed_in_a_row.pop(server, None)
            self._end(answer.id, m.OK)
        else:
            self._failed(answer.id, ran=answer.status != m.FULL, status=answer.status)

    def _count(self, request: _Request, failed: bool) -> None:
        row = self._sum(request.assigner).servers.setdefault(request.server, [0.0, 0.0, 0.0])
        row[0] += 1
        row[1] += failed
        if not failed:
            row[2] += self.reactor.seconds() - request.sent_at

    def _failed(self, key: int, ran: bool, status: int) -> None:
        """A try without a good answer; another follows only as ordered, and only with time left."""
        request = self.requests[key]
        self._count(request, failed=True)
        request.maybe_ran |= ran
        shun_after = self.config.deployment.shun_after
        if shun_after:
            row = self.failed_in_a_row[request.server] = self.failed_in_a_row.get(request.server, 0) + 1
            if row >= shun_after:
                self.shunned[request.server] = self.reactor.seconds() + self.config.deployment.shun_s
        mode = self.tables.retry(request.slice, request.ask.request_class)
        allowed = {0: 0, 1: 0 if request.maybe_ran else 1, 2: 1, 3: 2}[mode]
        aim = list(self.config.classes.values())[request.ask.request_class].aim_s
        if request.number >= allowed or self.reactor.seconds() + 0.01 > request.deadline:
            self._end(key, status)
            return
        if request.timer is not None and request.timer.active():
            request.timer.cancel()
        del self.requests[key]
        request.number += 1
        request.tried |= {request.server}
        self.next_try += 1
        self.requests[self.next_try] = request
        request.server, request.sent = -1, False
        wait = self.config.deployment.retry_wait_aims * aim if mode >= 2 and request.maybe_ran else 0.0
        wait = min(wait, max(0.0, request.deadline - self.reactor.seconds() - 0.01))
        request.timer = self.reactor.callLater(wait, self._try, self.next_try)

    def _deadline(self, key: int) -> None:
        request = self.requests.get(key)
        if request is None:
            return
        pool = self.pools.get(request.server)
        if request.sent and pool is not None and pool.stream is not None:
            pool.stream.send(m.Cancel(key))
        request.maybe_ran |= request.sent
        self._count(request, failed=True)
        self._end(key, m.TIMEOUT)

    def _end(self, key: int, status: int) -> None:
        request = self.requests.pop(key, None)
        if request is None:
            return
        if key in self.held:
            self.held.remove(key)
        if request.timer is not None and request.timer.active():
            request.timer.cancel()
        if status != m.OK:
            cell = self._sum(request.assigner).slices
            cell.setdefault((request.slice, request.ask.request_class), [0, 0])[1] += 1
        self._reply(request, status)

    def _reply(self, request: _Request, status: int) -> None:
        again = self.config.deployment.refuse_again_s if status == m.FULL else 0.0
        request.client.send(m.Reply(request.ask.id, status, again, request.maybe_ran or status == m.OK))

    def _retry_held(self) -> None:
        held, self.held = self.held, []
        for key in held:
            request = self.requests.get(key)
            if request is not None:
                if request.timer is not None and request.timer.active():
                    request.timer.cancel()
                self._try(key)

    # Sums -------------------------------------------------------------------------------------------

    def _report(self) -> None:
        if not self.running:
            return
        period = self.config.reports.period_s
        for assigner, stream in sorted(self.streams.items()):
            found = self.sums.pop(assigner, _Sum())
            if not (found.servers or found.slices):
                continue
            stream.send(
                m.Sums(
                    period,
                    [
                        m.ServerSum(s, int(row[0]), int(row[1]), round(row[2], 6), found.values.get(s, []))
                        for s, row in sorted(found.servers.items())
                    ],
                    [m.SliceSum(n, k, row[0], row[1]) for (n, k), row in sorted(found.slices.items())],
                )
            )
        self.reactor.callLater(period, self._report)

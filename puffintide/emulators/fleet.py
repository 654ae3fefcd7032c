"""Session servers and the list that tells of them, many in one process, on sockets. Faults come by control."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field
from typing import Any, TextIO, TypeVar

from puffintide.config.model import Config
from puffintide.emulators.model import Make, ServerModel
from puffintide.protocol import messages as m
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.session import Greeting
from puffintide.protocol.stream import PeerIdentity, Stream, StreamServerFactory

GONE, READY, DRAINING = 0, 1, 2
T = TypeVar("T")
Args = dict[str, float | int | str | list[int]]


@dataclass
class Server:
    id: int
    zone: int
    kind: int
    make: Make
    port: int
    address: str  # as the list tells it
    model: ServerModel | None = None
    listener: Any = None
    streams: set[Stream] = field(default_factory=set)
    jobs: dict[int, tuple[Stream, int, bool]] = field(default_factory=dict)
    timer: Any = None
    life: int = 0
    hang: bool = False
    pause: tuple[float, float] = (0.0, 0.0)  # every, for
    false_report: float = 1.0
    connections: int = 2000
    handshake: float = 1.0
    told: list[float] = field(default_factory=list)  # the report that goes along, refreshed now and then
    next_job: int = 0


def dealt(values: list[T], number: int, zones: int, count: int) -> T:
    """A server's value: its own where each has one, else in turn so that the zones are alike."""
    return values[number] if len(values) == count else values[number // zones % len(values)]


class FleetService:
    """listed: what the list says now; it follows the truth late, as the day's figures have it."""

    def __init__(
        self, reactor: Any, config: Config, ports: list[int], addresses: list[str], record: TextIO
    ) -> None:
        assert config.fleet is not None and config.day is not None
        self.reactor, self.config, self.fleet, self.record = reactor, config, config.fleet, record
        self.random = random.Random(f"fleet:{config.day.seed}")
        zones = len(config.deployment.zones)
        self.servers: dict[int, Server] = {}
        for number, (port, address) in enumerate(zip(ports, addresses, strict=True)):
            kind = number // zones % len(self.fleet.cores)
            count = self.fleet.servers + self.fleet.spare
            cores = dealt(self.fleet.cores, number, zones, count)
            make = Make(
                cores=cores,
                speed=dealt(self.fleet.speed, number, zones, count),
                slots=max(1, round(cores * self.fleet.slots_per_core)),
                queue=round(cores * self.fleet.queue_per_core),
                cold_from=self.fleet.cold_from,
                warm_s=self.fleet.warm_s,
                cache_gain=self.fleet.cache_gain,
                cache_s=self.fleet.cache_s,
                cache_keys=self.fleet.cache_keys,
                fall_multiple=config.rules.fall_multiple,
                fall_s=config.rules.fall_s,
            )
            self.servers[number] = Server(number, number % zones, kind, make, port, address)
        self.listed: dict[int, tuple[int, int, float]] = {}  # state, life, started (-1: long ago)
        self.changes: list[int] = []
        self.version = 0
        self.watchers: set[Stream] = set()
        self.list_listener: Any = None
        self.list_port = 0
        self.list_empty = False

    # Servers --------------------------------------------------------------------------------------

    def now(self) -> float:
        return float(self.reactor.seconds())

    def note(self, **what: Any) -> None:
        self.record.write(json.dumps({"t": round(self.now(), 6), **what}) + "\n")
        self.record.flush()

    def begin(self, list_port: int) -> None:
        self.list_port = list_port
        for number in range(self.fleet.servers):
            self.start_server(number, warm=True)
        self._open_list()

    def start_server(self, number: int, warm: bool = False) -> None:
        server = self.servers[number]
        if server.model is not None:
            return
        now = self.now()
        server.life += 1
        server.model = ServerModel(server.make, None if warm else now, at=now)
        server.hang, server.pause, server.false_report, server.handshake = False, (0.0, 0.0), 1.0, 1.0
        server.connections = self.fleet.connections
        factory = StreamServerFactory(
            self.reactor,
            lambda: m.Welcome(m.PROTOCOL_VERSION, "server", number, server.life),
            lambda stream, message: self._serve(server, stream, message),
            lambda stream, why: server.streams.discard(stream),
            lambda hello: self._judge(server, hello),
            heartbeat_interval_s=30.0,
            heartbeat_timeout_s=90.0,
        )
        server.listener = self.reactor.listenTCP(server.port, factory, 2000, "127.0.0.1")
        self._refresh(server, server.life)
        self.note(
            what="start",
            server=number,
            zone=server.zone,
            warm=warm,
            capacity=server.make.cores * server.make.speed,
            cold_from=server.make.cold_from,
            warm_s=server.make.warm_s,
        )
        wait = 0.0 if warm else self.fleet.add_s
        self.reactor.callLater(wait, self._list, number, READY, server.life, -1.0 if warm else now)

    def stop_server(self, number: int, notice_s: float | None = None) -> None:
        """Kills it: streams break, its port is closed. The list hears of it later."""
        server = self.servers[number]
        if server.model is None:
            return
        server.model = None
        server.listener.stopListening()
        for stream in sorted(server.streams, key=id):
            stream.abort("server killed")
        server.streams.clear()
        server.jobs.clear()
        self.note(what="stop", server=number)
        wait = self.fleet.notice_s if notice_s is None else notice_s
        self.reactor.callLater(wait, self._list, number, GONE, server.life, -1.0)

    def drain_server(self, number: int) -> None:
        server = self.servers[number]
        if server.model is not None:
            self.note(what="drain", server=number)
            self._list(number, DRAINING, server.life, self.listed.get(number, (0, 0, -1.0))[2])

    def _judge(self, server: Server, hello: Greeting) -> str | None:
        if len(server.streams) >= server.connections:
            return "too many connections"
        return None

    def _serve(self, server: Server, stream: Stream, message: AnyMessage) -> None:
        model = server.model
        if model is None:
            return
        now = self.now()
        match message:
            case m.Hello():
                server.streams.add(stream)
                model.offer(now, -1, self.fleet.handshake_s * server.handshake, None, silent=True)
                self._work(server)
            case m.AttemptRequest():
                server.next_job += 1
                if not model.offer(now, server.next_job, message.work_s, message.key):
                    stream.send(m.AttemptResponse(message.attempt_id, m.AttemptStatus.SATURATED, server.told))
                else:
                    server.jobs[server.next_job] = (stream, message.attempt_id, False)
                if model.fallen:
                    self._fall(server)
                else:
                    self._work(server)
            case m.HealthCheckRequest():
                server.next_job += 1
                if model.offer(now, server.next_job, self.fleet.probe_s, None):
                    server.jobs[server.next_job] = (stream, message.check_id, True)
                    self._work(server)
                else:
                    stream.send(m.HealthCheckResponse(message.check_id, m.AttemptStatus.SATURATED))
            case m.CancelAttempt():
                pass  # it stops nothing
            case _:
                stream.reject(f"a {type(message).__name__} is not for a server")

    def _fall(self, server: Server) -> None:
        """It was pushed over: it goes and stays down."""
        self.note(what="fall", server=server.id)
        self.stop_server(server.id)

    def _work(self, server: Server) -> None:
        model = server.model
        if model is None:
            return
        for number in model.due(self.now()):
            stream, message_id, probe = server.jobs.pop(number)
            if server.hang or stream.closed:
                continue
            if probe:
                stream.send(m.HealthCheckResponse(message_id, m.AttemptStatus.OK, server.told))
            else:
                stream.send(m.AttemptResponse(message_id, m.AttemptStatus.OK, server.told))
        due = model.next_due()
        if server.timer is not None and server.timer.active():
            server.timer.cancel()
        if due is not None:
            wait = max(0.0005, due - self.now())
            server.timer = self.reactor.callLater(wait, self._work, server)

    def _refresh(self, server: Server, life: int) -> None:
        model = server.model
        if model is None or server.life != life:
            return
        spread = 1 + self.fleet.report_noise * self.random.gauss(0, 1)
        values = {
            "rif": model.held() * server.false_report,
            "q": max(0.0, float(model.held() - model.make.slots)),
            "busy": min(1.0, model.busy() * server.false_report),
            "lat_ms": 0.0,
            "rate": 0.0,
            "fail_rate": 0.0,
        }
        server.told = [round(max(0.0, values[name] * spread), 4) for name in self.config.reports.names]
        every, length = server.pause
        if every and self.random.random() < self.fleet.report_every_s / every:
            model.advance(self.now())
            model.stopped_until = self.now() + length
        self.reactor.callLater(self.fleet.report_every_s, self._refresh, server, life)

    # The list -------------------------------------------------------------------------------------

    def _open_list(self) -> None:
        factory = StreamServerFactory(
            self.reactor,
            lambda: m.Welcome(m.PROTOCOL_VERSION, "list", 0),
            self._list_message,
            self._list_lost,
        )
        self.list_listener = self.reactor.listenTCP(self.list_port, factory, 50, "127.0.0.1")

    def _list(self, number: int, state: int, life: int, started: float) -> None:
        if life < self.servers[number].life and state == GONE:
            return  # it has started anew meanwhile
        self.listed[number] = (state, life, started)
        self.version += 1
        self.changes.append(number)
        news = m.WatchEvent("delta", self.version, [self._entry(number)])
        for stream in sorted(self.watchers, key=lambda s: str(s.peer)):
            stream.send(news)

    def _entry(self, number: int) -> m.EndpointEntry:
        server = self.servers[number]
        state, life, started = self.listed[number]
        age = -1.0 if started < 0 else self.now() - started
        weight = float(server.make.cores)
        return m.EndpointEntry(number, server.zone, server.kind, 0, state, weight, life, age, server.address)

    def _list_message(self, stream: Stream, message: AnyMessage) -> None:
        match message:
            case m.Hello():
                stream.peer = PeerIdentity(message.role, message.id)
            case m.WatchRequest(enabled=on, since_version=since):
                (self.watchers.add if on else self.watchers.discard)(stream)
                if on and 0 <= since <= self.version:
                    missed = sorted(set(self.changes[since:]))
                    stream.send(m.WatchEvent("delta", self.version, [self._entry(n) for n in missed]))
                elif on:
                    self._full(stream)
            case m.SnapshotRequest():
                self._full(stream)
            case _:
                stream.reject(f"a {type(message).__name__} is not for the list")

    def _full(self, stream: Stream) -> None:
        entries = [] if self.list_empty else [self._entry(n) for n in sorted(self.listed)]
        stream.send(m.WatchEvent("full", self.version, entries))

    def _list_lost(self, stream: Stream, why: AnyMessage) -> None:
        self.watchers.discard(stream)

    # Control --------------------------------------------------------------------------------------

    def control(self, what: str, args: Args) -> str:
        """Carries out an order of the day; a text that says what was done."""
        ids = args.get("servers", [])
        assert isinstance(ids, list)
        value = args.get("value", 0.0)
        number = float(value) if isinstance(value, int | float) else 0.0
        extra = args.get("extra", 0.0)
        second = float(extra) if isinstance(extra, int | float) else 0.0
        for sid in ids:
            server = self.servers[sid]
            match what:
                case "crash":
                    self.stop_server(sid)
                case "stop":  # an orderly end: the list knows at once
                    self.stop_server(sid, 0.0)
                case "start":
                    self.start_server(sid)
                case "drain":
                    self.drain_server(sid)
                case "hang":
                    server.hang = number > 0
                case "slow" if server.model is not None:
                    server.model.advance(self.now())
                    server.model.slow = max(number, 1e-3)
                case "pauses":
                    server.pause = (number, second)
                case "false_reports":
                    server.false_report = number
                case "connections":
                    server.connections = round(number) if number > 0 else self.fleet.connections
                case "handshake":
                    server.handshake = max(1.0, number)
        if what == "list_down" and self.list_listener is not None:
            self.list_listener.stopListening()
            self.list_listener = None
            for stream in sorted(self.watchers, key=lambda s: str(s.peer)):
                stream.abort("list is down")
        elif what == "list_up" and self.list_listener is None:
            self._open_list()
        return f"{what} {ids}"

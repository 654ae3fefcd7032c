"""Stand-ins for a deployment whose slices have a single owner: links, servers, clients and the endpoint list.

The store, the assigners and the proxies are the project's programs in processes of their own. Links between
them are relays in this process, which a script can cut: an open connection stays open and silent, and a new
one gets no answer, until the link is whole again.
"""

# ruff: noqa: D102, D103, PLR2004
from __future__ import annotations

import contextlib
import json
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from twisted.internet.protocol import ClientFactory, Factory, Protocol  # noqa: E402

from puffintide.decisions.events import EndpointStatus  # noqa: E402
from puffintide.emulators.endpoint_list import EndpointListEmulator, ListedState  # noqa: E402
from puffintide.protocol import messages as m  # noqa: E402
from puffintide.protocol.client import StreamClient  # noqa: E402
from puffintide.protocol.clock import monotonic_reactor  # noqa: E402
from puffintide.protocol.stream import PeerIdentity, Stream, StreamServerFactory  # noqa: E402

reactor = monotonic_reactor()
LONGEST_WORK_S = 1.5  # Five times the mean work of a write.


_given_ports: set[int] = set()


def free_port() -> int:
    """Return a free port, each only once, below those that the system gives to outgoing connections.

    Each process draws from a range of its own, so that cases that run at one time don't meet.
    """
    while True:
        port = 20000 + os.getpid() % 60 * 200 + secrets.randbelow(200)
        if port in _given_ports:
            continue
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            _given_ports.add(port)
            return port


class _Side(Protocol):
    """One side of a relayed connection."""

    def __init__(self, pair: _Pair, is_dialler: bool) -> None:
        self.pair = pair
        self.is_dialler = is_dialler

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.pair.on_open(self)

    def dataReceived(self, data: bytes) -> None:
        self.pair.on_data(self, data)

    def connectionLost(self, _reason: Any = None) -> None:
        self.pair.on_lost(self)


class _TargetFactory(ClientFactory):
    noisy = False

    def __init__(self, pair: _Pair) -> None:
        self.pair = pair

    def buildProtocol(self, _address: Any) -> _Side:
        return _Side(self.pair, is_dialler=False)

    def clientConnectionFailed(self, _connector: Any, _reason: Any) -> None:
        self.pair.on_failed()


class _Pair:
    """A relayed connection: what arrives while it is cut waits, in both directions."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.dialler: _Side | None = None
        self.target: _Side | None = None
        self.first_line = b""
        self.held: list[tuple[_Side, bytes]] = []
        self.lost: list[_Side] = []

    @property
    def cut(self) -> bool:
        return self.link.is_cut(self.first_line)

    def on_open(self, side: _Side) -> None:
        if side.is_dialler:
            self.dialler = side
            self.link.pairs.add(self)
            reactor.connectTCP("127.0.0.1", self.link.target_port, _TargetFactory(self), 2.0)
        else:
            self.target = side
            self.flush()

    def on_failed(self) -> None:
        if self.dialler is not None:
            self.dialler.transport.abortConnection()

    def on_data(self, side: _Side, data: bytes) -> None:
        if side.is_dialler and b"\n" not in self.first_line:
            self.first_line += data
        self.held.append((side, data))
        self.flush()

    def on_lost(self, side: _Side) -> None:
        self.lost.append(side)
        self.flush()

    def flush(self) -> None:
        """Pass on what arrived, and ends of connections, unless the link is cut."""
        if self.cut or self.dialler is None or (self.target is None and not self.lost):
            return
        for side, data in self.held:
            other = self.target if side.is_dialler else self.dialler
            if other is not None and other not in self.lost:
                other.transport.write(data)
        self.held = []
        if self.lost:
            for side in (self.dialler, self.target):
                if side is not None and side not in self.lost:
                    side.transport.loseConnection()
            self.link.pairs.discard(self)


class Link(Factory):
    """A relay to one port; `is_cut` says, by a connection's first line, whether it is cut now."""

    noisy = False

    def __init__(self, target_port: int, is_cut: Callable[[bytes], bool], port: int = 0) -> None:
        self.target_port = target_port
        self.is_cut = is_cut
        self.pairs: set[_Pair] = set()
        self.port = reactor.listenTCP(port, self, 200, "127.0.0.1").getHost().port

    def buildProtocol(self, _address: Any) -> _Side:
        return _Side(_Pair(self), is_dialler=True)

    def flush(self) -> None:
        for pair in list(self.pairs):
            pair.flush()


class Server:
    """A server that takes writes and reads, holds each for its work time, and answers; it records writes."""

    def __init__(self, deployment: Deployment, server_id: int, zone: int) -> None:
        self.deployment = deployment
        self.server_id = server_id
        self.zone = zone
        self.in_flight = 0
        self.slowdown = 1.0
        factory = StreamServerFactory(
            reactor,
            lambda: m.Welcome(m.PROTOCOL_VERSION, "server", server_id, 1),
            self._on_message,
            None,
            heartbeat_interval_s=30.0,
            heartbeat_timeout_s=90.0,
        )
        inner = reactor.listenTCP(0, factory, 200, "127.0.0.1").getHost().port
        self.link = Link(inner, self._is_cut)
        self.address = f"127.0.0.1:{self.link.port}"

    def _is_cut(self, first_line: bytes) -> bool:
        """Whether the dialler, an assigner or a proxy, is on the other side of a cut."""
        if not (self.deployment.partitioned and self.deployment.servers_cut):
            return False
        try:
            return int(json.loads(first_line).get("zone", 0)) != self.zone
        except ValueError:
            return True

    def _on_message(self, stream: Stream, message: m.AnyMessage) -> None:
        match message:
            case m.Hello():
                stream.peer = PeerIdentity(message.role, message.id)
            case m.AttemptRequest():
                self.in_flight += 1
                self.deployment.on_attempt(self, stream, message)
            case m.HealthCheckRequest():
                load = [float(self.in_flight)]
                reactor.callLater(
                    0.003, stream.send, m.HealthCheckResponse(message.check_id, m.AttemptStatus.OK, load)
                )

    def answer(self, stream: Stream, message: m.AttemptRequest) -> None:
        self.in_flight -= 1
        if not stream.closed:
            load = [float(self.in_flight)]
            stream.send(m.AttemptResponse(message.attempt_id, m.AttemptStatus.OK, load))


class Deployment:
    """One store, assigners and proxies of the project, with stand-ins around them."""

    def __init__(
        self, folder: Path, ini: str, *, slices: int, work_s: float, requests_per_s: float, seed: int = 1
    ) -> None:
        self.folder = folder
        self.record_file: TextIO = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()
        self.ini = ini
        self.slices = slices
        self.work_s = work_s
        self.requests_per_s = requests_per_s
        self.random = random.Random(seed)
        self.partitioned = False
        self.try_s = 4.0  # After this time a client gives up, in seconds.
        self.draws_work = False  # Whether the work of a write is drawn, with work_s as its mean.
        self.servers_cut = True  # Whether a cut also separates servers from the other zone's processes.
        self.draining: set[int] = set()
        self.owners: dict[int, list[int]] = {}  # Slice to the servers that took its writes, in order.
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.links: list[Link] = []
        self.servers: dict[int, Server] = {}
        self.in_hand: dict[int, dict[int, tuple[int, float]]] = {}  # Slice to job to server and start.
        self.last_writer: dict[int, tuple[int, float]] = {}
        self.overlaps: list[str] = []
        self.returns = 0
        self.jobs = 0
        self.writes = 0
        self.client_streams: dict[int, Stream] = {}
        self.sent = 0
        self.answers: dict[int, int] = {}
        self.list = EndpointListEmulator(reactor, self._describe)
        self.list_port = free_port()
        self.work = tempfile.TemporaryDirectory()
        self.exit_status = 2
        self.proxy_ports: dict[int, int] = {}

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def record(self, text: str) -> None:
        self.record_file.write(f"{self.now():8.3f} {text}\n")
        self.record_file.flush()

    # Links and servers --------------------------------------------------------------------------

    def link(self, target_port: int) -> int:
        """Return the port of a link between the two zones."""
        link = Link(target_port, lambda _line: self.partitioned)
        self.links.append(link)
        return link.port

    def set_partition(self, partitioned: bool) -> None:
        self.partitioned = partitioned
        self.record("the links are cut" if partitioned else "the links are whole again")
        if not partitioned:
            for link in [*self.links, *(server.link for server in self.servers.values())]:
                link.flush()

    def add_server(self, server_id: int, zone: int) -> None:
        self.servers[server_id] = Server(self, server_id, zone)

    def list_server(self, server_id: int, status: EndpointStatus = EndpointStatus.READY) -> None:
        if status is EndpointStatus.DRAINING:
            self.draining.add(server_id)
            self.record(f"the list says that server {server_id} drains")
        self.list.record(server_id, ListedState(status, 1, -1.0))

    def _describe(self, server_id: int, state: ListedState) -> m.EndpointEntry:
        server = self.servers[server_id]
        return m.EndpointEntry(server_id, server.zone, 0, 0, int(state.status), 1.0, 1, -1.0, server.address)

    def on_attempt(self, server: Server, stream: Stream, message: m.AttemptRequest) -> None:
        """Judge rule 2 at the arrival of a write, and hold it for its work time."""
        if message.class_index == 0:
            reactor.callLater(self.work_s, server.answer, stream, message)
            return
        self.writes += 1
        self.jobs += 1
        job = self.jobs
        slice_id = message.slice_id
        held = self.in_hand.setdefault(slice_id, {})
        for other_id, started in held.values():
            if other_id != server.server_id:
                text = (
                    f"TWO OWNERS slice {slice_id}: a write of proxy {message.proxy_id} reached server "
                    f"{server.server_id} while server {other_id} has had one in hand since {started:.3f}"
                )
                if len(self.overlaps) < 30:
                    self.record(text)
                self.overlaps.append(text)
                break
        owners = self.owners.setdefault(slice_id, [])
        if server.server_id in self.draining and server.server_id in owners[:-1]:
            text = (
                f"FORMER OWNER slice {slice_id}: a write of proxy {message.proxy_id} reached server "
                f"{server.server_id}, which drains, after server {owners[-1]} has taken writes"
            )
            if len(self.overlaps) < 30:
                self.record(text)
            self.overlaps.append(text)
        elif not owners or owners[-1] != server.server_id:
            owners.append(server.server_id)
        last = self.last_writer.get(slice_id)
        if last is None or last[0] != server.server_id:
            self.record(
                f"slice {slice_id}: writes go to server {server.server_id} (proxy {message.proxy_id})"
            )
        self.last_writer[slice_id] = (server.server_id, self.now())
        held[job] = (server.server_id, self.now())
        work_s = self.work_s
        if self.draws_work:
            work_s = min(self.random.expovariate(1 / work_s), LONGEST_WORK_S)
        reactor.callLater(work_s * server.slowdown, self._end_write, server, stream, message, job)

    def _end_write(self, server: Server, stream: Stream, message: m.AttemptRequest, job: int) -> None:
        del self.in_hand[message.slice_id][job]
        server.answer(stream, message)

    # Processes ----------------------------------------------------------------------------------

    def spawn(self, name: str, section: str) -> None:
        path = Path(self.work.name) / f"{name}.ini"
        path.write_text(self.ini + section)
        self.respawn(name)

    def respawn(self, name: str) -> None:
        """Start a process with the file that it had."""
        path = Path(self.work.name) / f"{name}.ini"
        kind = name.split("-")[0]
        command = [str(ROOT / ".venv/bin/python"), "-m", "puffintide", kind, "--config", str(path)]
        with (Path(self.work.name) / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=self.work.name, env={**os.environ, "PYTHONPATH": str(ROOT)},
                stdout=log, stderr=log
            )  # fmt: skip
        self.record(f"{name} was started, pid {self.processes[name].pid}")

    # Clients ------------------------------------------------------------------------------------

    def connect_client(self, proxy_id: int, port: int) -> None:
        def on_message(stream: Stream, message: m.AnyMessage) -> None:
            match message:
                case m.Welcome():
                    self.client_streams[proxy_id] = stream
                case m.ClientResponse():
                    self.answers[message.status] = self.answers.get(message.status, 0) + 1

        def on_lost(_reason: str) -> None:
            self.client_streams.pop(proxy_id, None)

        StreamClient(
            reactor,
            f"127.0.0.1:{port}",
            lambda: m.Hello(m.PROTOCOL_VERSION, "client", proxy_id),
            on_message,
            on_lost,
        ).start()

    def send_requests(self) -> None:
        """Send one write at a random proxy, again and again at the stated rate."""
        reactor.callLater(self.random.expovariate(self.requests_per_s), self.send_requests)
        if not self.client_streams:
            return
        proxy_id = self.random.choice(sorted(self.client_streams))
        self.sent += 1
        request = m.ClientRequest(self.sent, 1, self.random.getrandbits(63), self.try_s, self.work_s)
        self.client_streams[proxy_id].send(request)

    # Run ----------------------------------------------------------------------------------------

    def run(self, script: Callable[[Deployment], None], seconds: float) -> int:
        """Start the script, end everything after the given time, and return the exit status."""
        try:
            script(self)
            reactor.callLater(seconds, self._end, None)
            signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
            reactor.run(installSignalHandlers=False)
        finally:
            for process in self.processes.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.terminate()
            for process in self.processes.values():
                try:
                    process.wait(3)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
            if os.environ.get("KEEP_LOG"):
                for path in Path(self.work.name).glob("*.log"):
                    (self.folder / path.name).write_bytes(path.read_bytes())
            self.record_file.close()
            self.work.cleanup()
        return self.exit_status

    def _end(self, _result: Any) -> None:
        ended = [name for name, process in self.processes.items() if process.poll() is not None]
        answered = self.answers.get(0, 0)
        self.record(f"requests {self.sent}, answers by status {self.answers}, writes taken {self.writes}")
        if ended or not answered:
            self.record(f"the case could not run: ended {ended}, answered {answered}")
            for name in ended:
                self.record((Path(self.work.name) / f"{name}.log").read_text()[-600:])
            self.exit_status = 2
        elif self.overlaps:
            self.record(f"no effect twice: broken by {len(self.overlaps)} writes")
            print(f"no effect twice: broken by {len(self.overlaps)} writes")
            self.exit_status = 1
        else:
            self.record("the rule was kept")
            print("the rule was kept")
            self.exit_status = 0
        reactor.stop()


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"

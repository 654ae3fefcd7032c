"""The assigner on a virtual clock, with a scripted relay, discovery, collectors and servers in memory."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import h11
from twisted.internet.protocol import Factory, Protocol

from puffintide.platform.config import load_config
from puffintide.platform.service import Service
from tests.platform_config import CONFIG
from tests.test_bench_adapter import CONF
from tests.virtual_network import ProcessReactor, VirtualNetwork

LISTEN = 3000
DISCOVERY = 8500
RELAY = 6400
FIRST_SERVER_PORT = 7000  # and up


SERVERS = 4
SLICES = 6


def entry(k: int, health: str = "active", **changes: Any) -> dict[str, Any]:
    row = {
        "host": f"s-{k}",
        "dial": f"127.0.0.1:{FIRST_SERVER_PORT + k}",
        "site": "a",
        "class": "m1",
        "block": 0,
        "health": health,
        "share": 2.0,
        "born_ms": 0,
    }
    return row | changes


def settings(**family: Any) -> dict[str, Any]:
    more = {"slices": SLICES, "agents": 3, "reloadsMax": 20, **family}
    return {
        **CONF,
        "familyInfo": {**CONF["familyInfo"], **more},  # type: ignore[dict-item]
        "limits": {"probes": True},
        "report": {"names": ["rif"], "via": "piggyback"},
        "kinds": ["m1"],
    }


class ServerConnection(Protocol):
    """A server's end: each request goes to the owner's answer(connection, method, target, body)."""

    transport: Any

    def __init__(self, server: Any) -> None:
        self.server = server
        self.http = h11.Connection(h11.SERVER)
        self.target = ""
        self.open = True

    def connectionMade(self) -> None:
        self.server.connections.append(self)

    def connectionLost(self, _reason: Any = None) -> None:
        self.open = False

    def dataReceived(self, data: bytes) -> None:
        self.http.receive_data(data)
        body = b""
        method = ""
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                method = event.method.decode()
                self.target = event.target.decode()
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.server.answer(self, method, self.target, body)
            else:
                return

    def send_response(self, status: int, body: bytes) -> None:
        head = [("Content-Length", str(len(body)))]
        out = self.http.send(h11.Response(status_code=status, headers=head))
        self.transport.write(out + self.http.send(h11.Data(data=body)) + self.http.send(h11.EndOfMessage()))
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()

    def begin_response(self) -> None:
        head = [("Transfer-Encoding", "chunked")]
        self.transport.write(self.http.send(h11.Response(status_code=200, headers=head)))

    def send_line(self, row: Any) -> None:
        text = b"" if row is None else json.dumps(row).encode()
        self.transport.write(self.http.send(h11.Data(data=text + b"\n")))


class FakeServer(Factory):
    """An address of the platform."""

    noisy = False

    def __init__(self, net: VirtualNetwork, port: int) -> None:
        self.party = ProcessReactor(net)
        self.connections = list[Any]()
        self.heartbeat_period_s = 1.0
        self.unresponsive = False
        self.party.listenTCP(port, self)
        self.party.callLater(0.0, self._send_heartbeats)

    def buildProtocol(self, _address: Any) -> ServerConnection:
        return ServerConnection(self)

    def watches(self) -> list[ServerConnection]:
        return [c for c in self.connections if c.open and ("watch" in c.target or "follow" in c.target)]

    def _send_heartbeats(self) -> None:
        self.party.callLater(self.heartbeat_period_s, self._send_heartbeats)
        for c in self.watches() if not self.unresponsive else []:
            self.send_heartbeat(c)

    def send_heartbeat(self, connection: ServerConnection) -> None:
        connection.send_line({})

    def broadcast(self, row: Any) -> None:
        for c in self.watches():
            c.send_line(row)


class FakeRelay(FakeServer):
    """Keeps tables; `fates` says what becomes of the next calls, "" is answered as it should be."""

    def __init__(self, net: VirtualNetwork, port: int = RELAY) -> None:
        super().__init__(net, port)
        self.calls: list[tuple[float, list[dict[str, Any]]]] = []
        self.call_results: list[str] = []
        self.proxies = [0, 1, 2]
        self.tables: dict[int, dict[str, float]] = {s: {f"s-{s % SERVERS}": 1.0} for s in range(SLICES)}
        self.withdrawn_hosts: set[str] = set()
        self.first_connections = set(self.proxies)  # hold no table that was ordered

    def answer(self, c: ServerConnection, method: str, _target: str, body: bytes) -> None:
        if method == "GET":
            c.begin_response()
            self.send_snapshot(c)
            return
        result = self.call_results.pop(0) if self.call_results else ""
        rows = json.loads(body)["orders"]
        if result in ("lost", "reset", "throttled"):
            rows = []
        else:
            self.calls.append((self.party.seconds(), rows))
        accepted = len(rows)
        for k, row in enumerate(rows):
            if result == f"bad {k}":
                accepted = k
                break
            self.apply(row)
        match result:
            case "lost" | "carried":
                return  # nothing ever comes
            case "reset" | "carried, reset":
                c.transport.abortConnection()
            case "throttled":
                c.send_response(429, b'{"error":"throttled"}')
            case "spoilt":
                c.send_response(200, b'{"accepted":"many')
            case _:
                c.send_response(200, json.dumps({"accepted": accepted}).encode())

    def send_snapshot(self, c: ServerConnection) -> None:
        for p in self.proxies:
            row = {"sidecar": p, "az": "a", "share": 5.0, "standing": p in self.first_connections}
            c.send_line({"type": "joined", "object": row})
        self.first_connections = set()
        for s, table in self.tables.items():
            c.send_line({"type": "given", "object": {"partition": s, "yes": True}})
            for host, share in table.items():
                c.send_line({"type": "held", "object": {"partition": s, "host": host, "share": share}})

    def apply(self, row: dict[str, Any]) -> None:
        match row["do"]:
            case "SET" if row["share"] > 0:
                self.tables[row["group"]][row["host"]] = row["share"]
            case "SET":
                self.tables[row["group"]].pop(row["host"], None)
            case "OUT":
                self.withdrawn_hosts.add(row["host"])
            case "IN":
                self.withdrawn_hosts.discard(row["host"])
            case "SYNC":
                for p in self.proxies:
                    self.broadcast(
                        {"type": "applied", "object": {"sidecar": p, "version": row["stamp"], "lag_ms": 9.0}}
                    )

    def routable_hosts(self) -> set[str]:
        """Hosts that a proxy may still send to."""
        return {host for table in self.tables.values() for host in table} - self.withdrawn_hosts


class FakeDiscovery(FakeServer):
    def __init__(self, net: VirtualNetwork, port: int = DISCOVERY) -> None:
        super().__init__(net, port)
        self.version = 7
        self.rows = [entry(k) for k in range(SERVERS)]
        self.sends_snapshot = True

    def answer(self, c: ServerConnection, _method: str, _target: str, _body: bytes) -> None:
        c.begin_response()
        c.send_line(
            {
                "seq": self.version,
                "whole": self.sends_snapshot,
                "hosts": self.rows if self.sends_snapshot else [],
            }
        )

    def send_heartbeat(self, connection: ServerConnection) -> None:
        connection.send_line(None)

    def change(self, *rows: dict[str, Any]) -> None:
        self.version += 1
        self.broadcast({"seq": self.version, "whole": False, "hosts": list(rows)})


class CheckedServer(FakeServer):
    def __init__(self, net: VirtualNetwork, port: int) -> None:
        super().__init__(net, port)
        self.mode = "well"
        self.checks = 0

    def answer(self, c: ServerConnection, _method: str, target: str, _body: bytes) -> None:
        self.checks += 1
        assert target == "/_load"
        if self.mode == "well":
            self.party.callLater(0.004, c.send_response, 200, b"TEXT inflight=2")
        elif self.mode == "full":
            c.send_response(503, b"")
        elif self.mode == "late 503":
            self.party.callLater(0.3, c.send_response, 503, b"")
        elif self.mode == "odd":
            c.transport.write(b"no answer\r\n\r\n")
        elif self.mode == "reset":
            c.transport.abortConnection()


class Client(Protocol):
    """Connects to the node's address."""

    transport: Any

    def __init__(self, platform: Platform, port: int = LISTEN) -> None:
        self.received = b""
        self.open = True
        factory: Any = Factory.forProtocol(lambda: self)
        factory.noisy = False
        factory.clientConnectionFailed = lambda *_: setattr(self, "open", False)
        platform.clients.connectTCP("127.0.0.1", port, factory)
        platform.advance(0.01)

    def send(self, *rows: Any) -> None:
        for row in rows:
            self.transport.write(row if isinstance(row, bytes) else json.dumps(row).encode() + b"\n")

    def dataReceived(self, data: bytes) -> None:
        self.received += data

    def connectionLost(self, _reason: Any = None) -> None:
        self.open = False


class Platform:
    def __init__(
        self, folder: Path, known: bool = True, more: dict[str, Any] | None = None, **family: Any
    ) -> None:
        self.net = VirtualNetwork()
        self.wall_s = 1.7e9
        self.relay = FakeRelay(self.net)
        self.discovery = FakeDiscovery(self.net)
        self.servers = [CheckedServer(self.net, FIRST_SERVER_PORT + k) for k in range(SERVERS)]
        self.clients = ProcessReactor(self.net)
        self.path = folder / "config.json"
        self.config = CONFIG | {
            "listen": f"127.0.0.1:{LISTEN}",
            "discovery": f"127.0.0.1:{DISCOVERY}",
            "store": {"address": f"127.0.0.1:{RELAY}"},
            "settings": settings(**family) | (more or {}),
        }
        rows = [entry(k) for k in range(SERVERS)] if known else []
        self.config["known"] = {"seq": 3, "whole": True, "hosts": rows} if known else None
        self.write()
        self.rows: list[tuple[float, str, dict[str, Any]]] = []
        self.assigner = self.start()

    def write(self) -> None:
        self.path.write_text(json.dumps(self.config))

    def start(self) -> Service:
        self.party = ProcessReactor(self.net)
        node = Service(
            self.party, load_config(str(self.path)), str(self.path), self._log, lambda: self.wall_s
        )
        node.start()
        return node

    def _log(self, event: str, **fields: Any) -> None:
        self.rows.append((self.net.seconds(), event, fields))

    def logged(self, event: str) -> list[dict[str, Any]]:
        return [fields for _, name, fields in self.rows if name == event]

    def advance(self, seconds: float) -> None:
        self.net.run_until(self.net.seconds() + seconds)

    def collector(self) -> Client:
        peer = Client(self)
        peer.send({"msg": "collector", "az": "a"})
        return peer

    def report(self, peer: Client, rounds: int = 1) -> None:
        """What proxies meet in half a second, all well."""
        for _ in range(rounds):
            for s in range(SLICES):
                peer.send({"msg": "heat", "partition": s, "kind": "0", "n": 5, "bad": 0, "window": 500.0})
            for k in range(SERVERS):
                peer.send(
                    {
                        "msg": "heard",
                        "az": "a",
                        "host": f"s-{k}",
                        "n": 8,
                        "bad": 0,
                        "avg": 40.0,
                        "window": 500.0,
                        "report": {"inflight": 1},
                    }
                )
            self.advance(0.5)

    def record_events(self) -> list[Any]:
        """What the runtime is told from now on."""
        recorded: list[Any] = []
        runtime: Any = self.assigner.runtime
        add_events = runtime.add_events

        def record(now: float, *events: Any) -> None:
            recorded.extend(events)
            add_events(now, *events)

        runtime.add_events = record
        return recorded

    def break_watches(self) -> None:
        for c in self.relay.watches() + self.discovery.watches():
            c.transport.abortConnection()

    def director_tables(self) -> dict[int, dict[str, float]]:
        """The module's tables, by the platform's names."""
        slices: Any = self.assigner.runtime.director.slices  # type: ignore[attr-defined]
        return {
            s: {str(self.assigner.hosts.host(h)): w for h, w in v.weights.items()} for s, v in slices.items()
        }

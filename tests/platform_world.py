"""Runs the assigner on a virtual clock, with a fake relay, discovery, collectors and servers in memory."""

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
FIRST_SERVER_PORT = 7000  # Server K listens on this port plus K.

SERVERS = 4
SLICES = 6


def entry(k: int, health: str = "active", **changes: Any) -> dict[str, Any]:
    """Return the entry of server K in discovery's endpoint list."""
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
    """Return settings with these values of their section familyInfo."""
    family_info = {"slices": SLICES, "agents": 3, "reloadsMax": 20, **family}
    return {
        **CONF,
        "familyInfo": {**CONF["familyInfo"], **family_info},  # type: ignore[dict-item]
        "limits": {"probes": True},
        "report": {"names": ["rif"], "via": "piggyback"},
        "kinds": ["m1"],
    }


class ServerConnection(Protocol):
    """Server side of a connection; passes each request to server.answer(connection, method, target, body)."""

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
        headers = [("Content-Length", str(len(body)))]
        head = self.http.send(h11.Response(status_code=status, headers=headers))
        self.transport.write(head + self.http.send(h11.Data(data=body)) + self.http.send(h11.EndOfMessage()))
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()

    def begin_response(self) -> None:
        headers = [("Transfer-Encoding", "chunked")]
        self.transport.write(self.http.send(h11.Response(status_code=200, headers=headers)))

    def send_line(self, row: Any) -> None:
        text = b"" if row is None else json.dumps(row).encode()
        self.transport.write(self.http.send(h11.Data(data=text + b"\n")))


class FakeServer(Factory):
    """An address of the platform with an HTTP server that runs in its own simulated process."""

    noisy = False

    def __init__(self, net: VirtualNetwork, port: int) -> None:
        self.reactor = ProcessReactor(net)
        self.connections = list[Any]()
        self.heartbeat_period_s = 1.0
        self.unresponsive = False
        self.reactor.listenTCP(port, self)
        self.reactor.callLater(0.0, self._send_heartbeats)

    def buildProtocol(self, _address: Any) -> ServerConnection:
        return ServerConnection(self)

    def watches(self) -> list[ServerConnection]:
        return [
            connection
            for connection in self.connections
            if connection.open and ("watch" in connection.target or "follow" in connection.target)
        ]

    def _send_heartbeats(self) -> None:
        self.reactor.callLater(self.heartbeat_period_s, self._send_heartbeats)
        for connection in self.watches() if not self.unresponsive else []:
            self.send_heartbeat(connection)

    def send_heartbeat(self, connection: ServerConnection) -> None:
        connection.send_line({})

    def broadcast(self, row: Any) -> None:
        for connection in self.watches():
            connection.send_line(row)


class FakeRelay(FakeServer):
    """A relay that stores tables; `call_results` sets the results of the next calls.

    "" applies a call and answers it; this is the default. "lost" and "reset" do not apply the call, and leave
    it unanswered or reset its connection. "applied, unanswered" and "applied, reset" do so after applying it.
    "throttled" rejects the call. "applied, malformed" applies it and sends a malformed answer. "bad K" applies
    only the orders before order K.
    """

    def __init__(self, net: VirtualNetwork, port: int = RELAY) -> None:
        super().__init__(net, port)
        self.calls: list[tuple[float, list[dict[str, Any]]]] = []
        self.call_results: list[str] = []
        self.proxies = [0, 1, 2]
        self.tables: dict[int, dict[str, float]] = {s: {f"s-{s % SERVERS}": 1.0} for s in range(SLICES)}
        self.withdrawn_hosts: set[str] = set()
        self.first_connections = set(self.proxies)  # Proxies that have not received any table yet.
        self.foreign_slices = set[int]()  # Slices of another assigner: weights for them are ignored.

    def answer(self, connection: ServerConnection, method: str, _target: str, body: bytes) -> None:
        if method == "GET":
            connection.begin_response()
            self.send_snapshot(connection)
            return
        result = self.call_results.pop(0) if self.call_results else ""
        rows = json.loads(body)["orders"]
        if result in ("lost", "reset", "throttled"):
            rows = []
        else:
            self.calls.append((self.reactor.seconds(), rows))
        accepted = len(rows)
        for k, row in enumerate(rows):
            if result == f"bad {k}":
                accepted = k
                break
            self.apply(row)
        match result:
            case "lost" | "applied, unanswered":
                return  # The call is never answered.
            case "reset" | "applied, reset":
                connection.transport.abortConnection()
            case "throttled":
                connection.send_response(429, b'{"error":"throttled"}')
            case "applied, malformed":
                connection.send_response(200, b'{"accepted":"many')
            case _:
                connection.send_response(200, json.dumps({"accepted": accepted}).encode())

    def send_snapshot(self, connection: ServerConnection) -> None:
        for proxy_id in self.proxies:
            is_first = proxy_id in self.first_connections
            row = {"sidecar": proxy_id, "az": "a", "share": 5.0, "standing": is_first}
            connection.send_line({"type": "joined", "object": row})
        self.first_connections = set()
        for slice_id in self.tables.keys() - self.foreign_slices:
            self.send_table(connection, slice_id)

    def send_table(self, connection: ServerConnection, slice_id: int) -> None:
        connection.send_line({"type": "given", "object": {"partition": slice_id, "yes": True}})
        for host, share in self.tables[slice_id].items():
            weight = {"partition": slice_id, "host": host, "share": share}
            connection.send_line({"type": "held", "object": weight})

    def apply(self, row: dict[str, Any]) -> None:
        match row["do"]:
            case "SET" if row["group"] in self.foreign_slices:
                pass
            case "SET" if row["share"] > 0:
                self.tables[row["group"]][row["host"]] = row["share"]
            case "SET":
                self.tables[row["group"]].pop(row["host"], None)
            case "OUT":
                self.withdrawn_hosts.add(row["host"])
            case "IN":
                self.withdrawn_hosts.discard(row["host"])
            case "SYNC":
                for proxy_id in self.proxies:
                    applied = {"sidecar": proxy_id, "version": row["stamp"], "lag_ms": 9.0}
                    self.broadcast({"type": "applied", "object": applied})

    def routable_hosts(self) -> set[str]:
        """Return the hosts that a proxy may still send requests to."""
        return {host for table in self.tables.values() for host in table} - self.withdrawn_hosts


class FakeDiscovery(FakeServer):
    """A discovery service that sends the endpoint list and its changes."""

    def __init__(self, net: VirtualNetwork, port: int = DISCOVERY) -> None:
        super().__init__(net, port)
        self.version = 7
        self.entries = [entry(k) for k in range(SERVERS)]
        self.sends_snapshot = True

    def answer(self, connection: ServerConnection, _method: str, _target: str, _body: bytes) -> None:
        connection.begin_response()
        connection.send_line(
            {
                "seq": self.version,
                "whole": self.sends_snapshot,
                "hosts": self.entries if self.sends_snapshot else [],
            }
        )

    def send_heartbeat(self, connection: ServerConnection) -> None:
        connection.send_line(None)

    def change(self, *entries: dict[str, Any]) -> None:
        """Send changed entries under the next version."""
        self.version += 1
        self.broadcast({"seq": self.version, "whole": False, "hosts": list(entries)})


class CheckedServer(FakeServer):
    """A server that answers health checks as `mode` says; in any other mode it does not answer."""

    def __init__(self, net: VirtualNetwork, port: int) -> None:
        super().__init__(net, port)
        self.mode = "healthy"
        self.checks = 0

    def answer(self, connection: ServerConnection, _method: str, target: str, _body: bytes) -> None:
        self.checks += 1
        assert target == "/_load"
        if self.mode == "healthy":
            self.reactor.callLater(0.004, connection.send_response, 200, b"TEXT inflight=2")
        elif self.mode == "full":
            connection.send_response(503, b"")
        elif self.mode == "late 503":
            self.reactor.callLater(0.3, connection.send_response, 503, b"")
        elif self.mode == "malformed":
            connection.transport.write(b"no answer\r\n\r\n")
        elif self.mode == "reset":
            connection.transport.abortConnection()


class Client(Protocol):
    """A client connected to the assigner's address; it records what it receives."""

    transport: Any

    def __init__(self, platform: Platform, port: int = LISTEN) -> None:
        self.received = b""
        self.open = True
        factory: Any = Factory.forProtocol(lambda: self)
        factory.noisy = False
        factory.clientConnectionFailed = lambda *_: setattr(self, "open", False)
        platform.client_reactor.connectTCP("127.0.0.1", port, factory)
        platform.advance(0.01)

    def send(self, *rows: Any) -> None:
        """Send messages as JSON lines, and bytes as they are."""
        for row in rows:
            self.transport.write(row if isinstance(row, bytes) else json.dumps(row).encode() + b"\n")

    def dataReceived(self, data: bytes) -> None:
        self.received += data

    def connectionLost(self, _reason: Any = None) -> None:
        self.open = False


class Platform:
    """The platform with one assigner, which the test moves forward on a virtual clock."""

    def __init__(
        self,
        folder: Path,
        known: bool = True,
        settings_changes: dict[str, Any] | None = None,
        **family: Any,
    ) -> None:
        """Start the platform.

        Args:
            folder: The folder of the configuration file.
            known: Whether the configuration contains an endpoint list.
            settings_changes: Values that replace those of the settings.
            **family: Values of the section familyInfo of the settings.
        """
        self.net = VirtualNetwork()
        self.wall_s = 1.7e9
        self.relay = FakeRelay(self.net)
        self.discovery = FakeDiscovery(self.net)
        self.servers = [CheckedServer(self.net, FIRST_SERVER_PORT + k) for k in range(SERVERS)]
        self.client_reactor = ProcessReactor(self.net)
        self.path = folder / "config.json"
        self.config = CONFIG | {
            "listen": f"127.0.0.1:{LISTEN}",
            "discovery": f"127.0.0.1:{DISCOVERY}",
            "store": {"address": f"127.0.0.1:{RELAY}"},
            "settings": settings(**family) | (settings_changes or {}),
        }
        entries = [entry(k) for k in range(SERVERS)] if known else []
        self.config["known"] = {"seq": 3, "whole": True, "hosts": entries} if known else None
        self.write()
        self.log_rows: list[tuple[float, str, dict[str, Any]]] = []
        self.assigner = self.start()

    def write(self) -> None:
        """Write the configuration file."""
        self.path.write_text(json.dumps(self.config))

    def start(self) -> Service:
        """Start an assigner in a new process."""
        self.reactor = ProcessReactor(self.net)
        assigner = Service(
            self.reactor, load_config(str(self.path)), str(self.path), self._log, lambda: self.wall_s
        )
        assigner.start()
        return assigner

    def _log(self, event: str, **fields: Any) -> None:
        self.log_rows.append((self.net.seconds(), event, fields))

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Return the fields of each log row of an event."""
        return [fields for _, name, fields in self.log_rows if name == event]

    def advance(self, seconds: float) -> None:
        self.net.run_until(self.net.seconds() + seconds)

    def collector(self) -> Client:
        """Connect a collector of zone a."""
        collector = Client(self)
        collector.send({"msg": "collector", "az": "a"})
        return collector

    def report(self, collector: Client, rounds: int = 1) -> None:
        """Send load reports of half a second in which all requests succeed, once for each round."""
        for _ in range(rounds):
            for s in range(SLICES):
                requests = {"partition": s, "kind": "0", "n": 5, "bad": 0, "window": 500.0}
                collector.send({"msg": "heat"} | requests)
            for k in range(SERVERS):
                collector.send(
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
        """Return a list to which all later events of the runtime are added."""
        recorded: list[Any] = []
        runtime: Any = self.assigner.runtime
        add_events = runtime.add_events

        def record(now_s: float, *events: Any) -> None:
            recorded.extend(events)
            add_events(now_s, *events)

        runtime.add_events = record
        return recorded

    def break_watches(self) -> None:
        """Abort the connections of all watches."""
        for connection in self.relay.watches() + self.discovery.watches():
            connection.transport.abortConnection()

    def director_tables(self) -> dict[int, dict[str, float]]:
        """Return the tables of the director, by the platform's host names."""
        slices: Any = self.assigner.runtime.director.slices  # type: ignore[attr-defined]
        return {
            slice_id: {str(self.assigner.hosts.host(server_id)): w for server_id, w in state.weights.items()}
            for slice_id, state in slices.items()
        }

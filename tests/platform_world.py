"""The assigner on a virtual clock, with a scripted relay, discovery, collectors and servers in memory."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import h11
from twisted.internet.protocol import Factory, Protocol

from puffintide.platform.config import load_config
from puffintide.platform.service import Service
from tests.deployment import Party, Reactor
from tests.platform_config import CONFIG
from tests.test_drill import CONF

LISTEN = 3000
DISCOVERY = 8500
RELAY = 6400
TASKS = 7000  # and up


SERVERS = 4
SLICES = 6


def entry(k: int, health: str = "active", **changes: Any) -> dict[str, Any]:
    row = {
        "host": f"s-{k}",
        "dial": f"127.0.0.1:{TASKS + k}",
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


class Http(Protocol):
    """A server's end: each request goes to the owner's answer(connection, method, target, body)."""

    transport: Any

    def __init__(self, owner: Any) -> None:
        self.owner, self.http = owner, h11.Connection(h11.SERVER)
        self.target, self.open = "", True

    def connectionMade(self) -> None:
        self.owner.connections.append(self)

    def connectionLost(self, _reason: Any = None) -> None:
        self.open = False

    def dataReceived(self, data: bytes) -> None:
        self.http.receive_data(data)
        body, method = b"", ""
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                method, self.target = event.method.decode(), event.target.decode()
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.owner.answer(self, method, self.target, body)
            else:
                return

    def reply(self, status: int, body: bytes) -> None:
        head = [("Content-Length", str(len(body)))]
        out = self.http.send(h11.Response(status_code=status, headers=head))
        self.transport.write(out + self.http.send(h11.Data(data=body)) + self.http.send(h11.EndOfMessage()))
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()

    def begin(self) -> None:
        head = [("Transfer-Encoding", "chunked")]
        self.transport.write(self.http.send(h11.Response(status_code=200, headers=head)))

    def line(self, row: Any) -> None:
        text = b"" if row is None else json.dumps(row).encode()
        self.transport.write(self.http.send(h11.Data(data=text + b"\n")))


class Place(Factory):
    """An address of the platform."""

    noisy = False

    def __init__(self, net: Reactor, port: int) -> None:
        self.party, self.connections = Party(net), list[Any]()
        self.beat_s, self.silent = 1.0, False
        self.party.listenTCP(port, self)
        self.party.callLater(0.0, self.beat)

    def buildProtocol(self, _address: Any) -> Http:
        return Http(self)

    def watchers(self) -> list[Http]:
        return [c for c in self.connections if c.open and ("watch" in c.target or "follow" in c.target)]

    def beat(self) -> None:
        self.party.callLater(self.beat_s, self.beat)
        for c in self.watchers() if not self.silent else []:
            self.sign(c)

    def sign(self, connection: Http) -> None:
        connection.line({})

    def tell(self, row: Any) -> None:
        for c in self.watchers():
            c.line(row)


class Relay(Place):
    """Keeps tables; `fates` says what becomes of the next calls, "" is answered as it should be."""

    def __init__(self, net: Reactor, port: int = RELAY) -> None:
        super().__init__(net, port)
        self.calls: list[tuple[float, list[dict[str, Any]]]] = []
        self.fates: list[str] = []
        self.proxies = [0, 1, 2]
        self.tables: dict[int, dict[str, float]] = {s: {f"s-{s % SERVERS}": 1.0} for s in range(SLICES)}
        self.out: set[str] = set()
        self.fresh = set(self.proxies)  # hold no table that was ordered

    def answer(self, c: Http, method: str, _target: str, body: bytes) -> None:
        if method == "GET":
            c.begin()
            self.standing(c)
            return
        fate = self.fates.pop(0) if self.fates else ""
        rows = json.loads(body)["orders"]
        if fate in ("lost", "reset", "throttled"):
            rows = []
        else:
            self.calls.append((self.party.seconds(), rows))
        taken = len(rows)
        for k, row in enumerate(rows):
            if fate == f"bad {k}":
                taken = k
                break
            self.carry_out(row)
        match fate:
            case "lost" | "carried":
                return  # nothing ever comes
            case "reset" | "carried, reset":
                c.transport.abortConnection()
            case "throttled":
                c.reply(429, b'{"error":"throttled"}')
            case "spoilt":
                c.reply(200, b'{"accepted":"many')
            case _:
                c.reply(200, json.dumps({"accepted": taken}).encode())

    def standing(self, c: Http) -> None:
        for p in self.proxies:
            row = {"sidecar": p, "az": "a", "share": 5.0, "standing": p in self.fresh}
            c.line({"type": "joined", "object": row})
        self.fresh = set()
        for s, table in self.tables.items():
            c.line({"type": "given", "object": {"partition": s, "yes": True}})
            for host, share in table.items():
                c.line({"type": "held", "object": {"partition": s, "host": host, "share": share}})

    def carry_out(self, row: dict[str, Any]) -> None:
        match row["do"]:
            case "SET" if row["share"] > 0:
                self.tables[row["group"]][row["host"]] = row["share"]
            case "SET":
                self.tables[row["group"]].pop(row["host"], None)
            case "OUT":
                self.out.add(row["host"])
            case "IN":
                self.out.discard(row["host"])
            case "SYNC":
                for p in self.proxies:
                    self.tell(
                        {"type": "applied", "object": {"sidecar": p, "version": row["stamp"], "lag_ms": 9.0}}
                    )

    def named(self) -> set[str]:
        """Hosts that a proxy may still send to."""
        return {host for table in self.tables.values() for host in table} - self.out


class Discovery(Place):
    def __init__(self, net: Reactor, port: int = DISCOVERY) -> None:
        super().__init__(net, port)
        self.seq = 7
        self.rows = [entry(k) for k in range(SERVERS)]
        self.whole = True

    def answer(self, c: Http, _method: str, _target: str, _body: bytes) -> None:
        c.begin()
        c.line({"seq": self.seq, "whole": self.whole, "hosts": self.rows if self.whole else []})

    def sign(self, connection: Http) -> None:
        connection.line(None)

    def change(self, *rows: dict[str, Any]) -> None:
        self.seq += 1
        self.tell({"seq": self.seq, "whole": False, "hosts": list(rows)})


class Task(Place):
    def __init__(self, net: Reactor, port: int) -> None:
        super().__init__(net, port)
        self.mode, self.probes = "well", 0

    def answer(self, c: Http, _method: str, target: str, _body: bytes) -> None:
        self.probes += 1
        assert target == "/_load"
        if self.mode == "well":
            self.party.callLater(0.004, c.reply, 200, b"TEXT inflight=2")
        elif self.mode == "full":
            c.reply(503, b"")
        elif self.mode == "late 503":
            self.party.callLater(0.3, c.reply, 503, b"")
        elif self.mode == "odd":
            c.transport.write(b"no answer\r\n\r\n")
        elif self.mode == "reset":
            c.transport.abortConnection()


class Peer(Protocol):
    """Connects to the node's address."""

    transport: Any

    def __init__(self, platform: Platform, port: int = LISTEN) -> None:
        self.got, self.open = b"", True
        factory: Any = Factory.forProtocol(lambda: self)
        factory.noisy = False
        factory.clientConnectionFailed = lambda *_: setattr(self, "open", False)
        platform.outside.connectTCP("127.0.0.1", port, factory)
        platform.go(0.01)

    def send(self, *rows: Any) -> None:
        for row in rows:
            self.transport.write(row if isinstance(row, bytes) else json.dumps(row).encode() + b"\n")

    def dataReceived(self, data: bytes) -> None:
        self.got += data

    def connectionLost(self, _reason: Any = None) -> None:
        self.open = False


class Platform:
    def __init__(
        self, tmp: Path, known: bool = True, more: dict[str, Any] | None = None, **family: Any
    ) -> None:
        self.net = Reactor()
        self.wall = 1.7e9
        self.relay, self.discovery = Relay(self.net), Discovery(self.net)
        self.tasks = [Task(self.net, TASKS + k) for k in range(SERVERS)]
        self.outside = Party(self.net)
        self.path = tmp / "config.json"
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
        self.node = self.start()

    def write(self) -> None:
        self.path.write_text(json.dumps(self.config))

    def start(self) -> Service:
        self.party = Party(self.net)
        node = Service(self.party, load_config(str(self.path)), str(self.path), self._log, lambda: self.wall)
        node.start()
        return node

    def _log(self, event: str, **fields: Any) -> None:
        self.rows.append((self.net.seconds(), event, fields))

    def logged(self, event: str) -> list[dict[str, Any]]:
        return [fields for _, name, fields in self.rows if name == event]

    def go(self, seconds: float) -> None:
        self.net.until(self.net.seconds() + seconds)

    def collector(self) -> Peer:
        peer = Peer(self)
        peer.send({"msg": "collector", "az": "a"})
        return peer

    def report(self, peer: Peer, rounds: int = 1) -> None:
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
            self.go(0.5)

    def hears(self) -> list[Any]:
        """What the runtime is told from now on."""
        heard: list[Any] = []
        runtime: Any = self.node.runtime
        inner = runtime.add_events

        def hear(now: float, *events: Any) -> None:
            heard.extend(events)
            inner(now, *events)

        runtime.add_events = hear
        return heard

    def break_watches(self) -> None:
        for c in self.relay.watchers() + self.discovery.watchers():
            c.transport.abortConnection()

    def believed(self) -> dict[int, dict[str, float]]:
        """The module's tables, by the platform's names."""
        slices: Any = self.node.runtime.director.slices  # type: ignore[attr-defined]
        return {s: {str(self.node.hosts.host(h)): w for h, w in v.weights.items()} for s, v in slices.items()}

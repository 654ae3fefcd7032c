"""Starts a service on the reactor: listens, says "ready" on standard output, runs until told to stop."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, cast

from twisted.internet.defer import maybeDeferred
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import connectionDone
from twisted.internet.stdio import StandardIO
from twisted.protocols.basic import LineOnlyReceiver
from twisted.protocols.tls import TLSMemoryBIOFactory
from twisted.python.failure import Failure

from puffintide.config.loader import Config, load
from puffintide.logs import setup
from puffintide.protocol.clock import monotonic_reactor
from puffintide.tls.context import Contexts, TlsError


def tls_of(config: Config) -> Contexts | None:
    """For a command that runs once."""
    return _tls(config, setup("operator"))


def _tls(config: Config, log: Any) -> Contexts | None:
    if config.tls is None:
        return None
    try:
        files = (config.tls.ca, config.tls.cert, config.tls.key)
        return Contexts(*files, warn=lambda text: log.warning("certificate_unread", reason=text))
    except TlsError as error:
        print(f"puffintide: {config.path}: [tls] {error}", file=sys.stderr)
        sys.exit(2)


def _share(reactor: Any, host: str, port: int, factory: Any, tls: Contexts | None) -> Any:
    """One port for several processes: the system deals connections out among them."""
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, port))
        sock.listen(2000)
        sock.setblocking(False)
        if tls is not None:
            factory = TLSMemoryBIOFactory(cast(Any, tls), False, factory)
        return reactor.adoptStreamPort(sock.fileno(), socket.AF_INET, factory)
    except OSError as error:
        raise CannotListenError(host, port, error) from None  # type: ignore[no-untyped-call]
    finally:
        sock.close()  # the reactor has its own copy


def _listen(
    reactor: Any, address: str, factory: Any, tls: Contexts | None = None, shared: bool = False
) -> Any:
    host, _, port = address.rpartition(":")
    try:
        if shared:
            return _share(reactor, host, int(port), factory, tls)
        if tls is None:
            return reactor.listenTCP(int(port), factory, 2000, host)
        return reactor.listenSSL(int(port), factory, tls, 2000, host)
    except CannotListenError as error:
        print(f"puffintide: can't listen on {address}: {error.socketError}", file=sys.stderr)
        sys.exit(2)


def _run(reactor: Any, stop: Callable[[Callable[[], None]], None] | None = None) -> None:
    """SIGTERM and Ctrl-C end it. stop: what SIGTERM asks of the service, which then calls what it is given."""

    def end() -> None:
        if reactor.running:
            reactor.stop()

    def told() -> None:
        if stop is None:
            end()
        else:
            stop(end)

    def listen() -> None:
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(told))

    listen()
    reactor.callWhenRunning(listen)  # the reactor has set its own as it started
    print("ready", flush=True)
    reactor.run()


def run_assigner(config: Config, life: int) -> None:
    from puffintide.assigner.service import AssignerService

    assert config.assigner is not None
    reactor = monotonic_reactor()
    log = setup(f"assigner-{config.assigner.id}", config.assigner.log, config.assigner.level)
    tls = _tls(config, log)
    service = AssignerService(reactor, config, log, life or int(time.time()), tls)
    _listen(reactor, config.assigner.listen, service.factory(), tls)
    log.info("started", life=service.incarnation, listen=config.assigner.listen)
    service.start()
    _run(reactor)
    log.info("stopped")


def _name(folder: str, name: str) -> str:
    """A backup's path. Raises ValueError: a name is no path."""
    if not name or name.startswith(".") or "/" in name or len(name) > 100:
        raise ValueError(f"{name[:100]!r} is no name of a file")
    return str(Path(folder) / name)


def run_store(config: Config) -> None:
    from twisted.internet.threads import deferToThreadPool
    from twisted.python.threadpool import ThreadPool

    from puffintide.replication.table_restore import TableRestore
    from puffintide.store.engine import StorageEngine
    from puffintide.store.errors import StoreError
    from puffintide.store.initial_tables import read_initial_tables
    from puffintide.store.memory import MemoryEngine
    from puffintide.store.ownership import OwnershipLedger
    from puffintide.store.service import StoreService
    from puffintide.store.sqlite import SqliteEngine

    assert config.store is not None
    me, d = config.store, config.deployment
    reactor = monotonic_reactor()
    log = setup("store", me.log, me.level)
    book = OwnershipLedger(
        d.slices,
        d.assigners,
        config.charge.takeover_s,
        d.single_writer,
        opened_at_s=reactor.seconds(),
        max_transfers_per_s=config.charge.moves_per_s,
    )
    pool = ThreadPool(1, 1, "engine")  # one thread: an engine's calls follow each other
    try:
        engine: StorageEngine = MemoryEngine()
        if me.file:
            engine = SqliteEngine(me.file)
        elif me.etcd:
            from puffintide.store.etcd.client import read_credentials
            from puffintide.store.etcd.engine import EtcdEngine

            engine = EtcdEngine(
                me.etcd, d.name, credentials=read_credentials(config.tls) if config.tls else None
            )
        image = engine.load()
        book.restore(image)
        if me.start_tables and not image.slices:
            book.load_tables(read_initial_tables(me.start_tables, d.slices))
    except StoreError as error:
        print(f"puffintide: {error}", file=sys.stderr)
        sys.exit(2)
    service = StoreService(
        reactor,
        book,
        d.name,
        log,
        engine,
        image,
        len(d.zones),
        run=(lambda call, *args: deferToThreadPool(reactor, pool, call, *args))
        if me.file or me.etcd
        else maybeDeferred,
        max_streams=me.streams_most,
        backup_path=(lambda name: _name(me.backups, name)) if me.file and me.backups else None,
        table_restore=TableRestore(d.slices, d.assigners, me.refill_wait_s) if me.refill else None,
    )
    _listen(reactor, me.listen, service.factory(), _tls(config, log))
    log.info(
        "started", file=me.file, identity=image.store_id, revision=image.revision, slices=len(image.slices)
    )
    reactor.callWhenRunning(pool.start)
    reactor.addSystemEventTrigger("during", "shutdown", pool.stop)
    service.start()
    _run(reactor)
    engine.close()
    if service.overtaken:
        print("puffintide: another store serves in this one's place", file=sys.stderr)
        sys.exit(2)


def run_proxy(config: Config) -> None:
    from puffintide.proxy.service import ProxyService

    assert config.proxy is not None
    reactor = monotonic_reactor()
    log = setup(f"proxy-{config.proxy.id}", config.proxy.log, config.proxy.level)
    tls = _tls(config, log)
    service = ProxyService(reactor, config, config.proxy, log, tls)
    shared = config.proxy.shared_port
    service.listening_ports = [_listen(reactor, config.proxy.listen, service.factory(), tls, shared)]
    if service.http_proxy is not None:
        service.listening_ports.append(
            _listen(reactor, config.proxy.http, service.http_proxy.factory(), tls, shared)
        )
    service.start()
    _run(reactor, service.stop)


class _Hand(LineOnlyReceiver):
    """Orders of the day on standard input; its end ends the process."""

    delimiter = b"\n"

    def __init__(self, reactor: Any, order: Callable[[str, dict[str, Any]], object]) -> None:
        self.reactor, self.order = reactor, order

    def lineReceived(self, line: bytes) -> None:
        row = json.loads(line)
        self.order(row["what"], row["args"])

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.reactor.running:
            self.reactor.stop()


def _obey(reactor: Any, hand: _Hand) -> None:
    StandardIO(hand, reactor=reactor)  # type: ignore[no-untyped-call]


@contextlib.contextmanager
def _told() -> Iterator[None]:
    """A port that is taken is told in one line."""
    try:
        yield
    except CannotListenError as error:
        print(
            f"puffintide: can't listen on {error.interface}:{error.port}: {error.socketError}",
            file=sys.stderr,
        )
        sys.exit(2)


def _day(out: Path) -> tuple[Config, Any]:
    from puffintide.scenarios.place import Place

    return load(str(out / "day.ini"), ("day", "fleet", "load")), Place.read(out / "place.json")


def run_fleet(out: Path) -> None:
    from puffintide.emulators.fleet import FleetService

    reactor = monotonic_reactor()
    config, place = _day(out)
    addresses = [place.tapped(f"try:{k}") for k in range(len(place.servers))]
    with (out / "fleet.jsonl").open("w", encoding="utf-8") as record:
        service = FleetService(reactor, config, place.servers, addresses, record)
        with _told():
            service.begin(place.news)
        _obey(reactor, _Hand(reactor, service.control))
        _run(reactor)


def run_tap(out: Path) -> None:
    from puffintide.scenarios.tap import Bend, Tap

    reactor = monotonic_reactor()
    config, place = _day(out)
    assert config.day is not None
    with (out / "tap.jsonl").open("wb", buffering=1 << 16) as sink:
        tap = Tap(reactor, place.links, config.net.model_dump(), config.day.seed, sink)
        with _told():
            tap.listen()

        def order(what: str, args: dict[str, Any]) -> None:
            name = str(args.pop("name"))
            if what == "straighten":
                tap.bend(name, None)
                return
            args["kinds"] = tuple(args["kinds"])
            args["words"] = tuple(w.encode() for w in args.get("words", []))
            for key in ("proxies", "parties", "facing", "senders"):
                args[key] = frozenset(args.get(key, []))
            tap.bend(name, Bend(**args))

        _obey(reactor, _Hand(reactor, order))
        _run(reactor)
        tap.close()


def run_proxies(out: Path, first: int, last: int) -> None:
    from puffintide.config.schema import ProxyProcess
    from puffintide.proxy.service import ProxyService

    reactor = monotonic_reactor()
    config, place = _day(out)
    log = setup(f"proxies-{first}")
    zones = len(config.deployment.zones)
    assigners = [place.tapped(f"order:{k}") for k in range(len(place.assigners))]
    for number in range(first, last):
        me = ProxyProcess(
            id=number,
            zone=number % zones,
            listen=f"127.0.0.1:{place.fronts[number]}",
            assigners=assigners,
            store=place.tapped("store"),
            clients_most=10,
        )
        service = ProxyService(reactor, config, me, log)
        _listen(reactor, me.listen, service.factory())
        service.start()
    _obey(reactor, _Hand(reactor, lambda what, args: None))
    _run(reactor)


def run_clients(out: Path) -> None:
    from puffintide.emulators.clients import Clients

    reactor = monotonic_reactor()
    config, place = _day(out)
    with (out / "clients.jsonl").open("w", encoding="utf-8") as record:
        clients = Clients(reactor, config, [f"127.0.0.1:{port}" for port in place.fronts], record)

        def over() -> None:
            if clients.done():
                reactor.callLater(0.5, reactor.stop)
            else:
                reactor.callLater(0.2, over)

        def order(what: str, args: dict[str, Any]) -> None:
            clients.start()
            over()

        _obey(reactor, _Hand(reactor, order))
        _run(reactor)

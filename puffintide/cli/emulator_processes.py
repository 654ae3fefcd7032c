"""Runs the emulators of a scenario, which the scenario runner controls by JSON lines on standard input."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import connectionDone
from twisted.internet.stdio import StandardIO
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from puffintide.cli.process_runtime import exit_with_error, listen, run_reactor
from puffintide.config.loader import read_config
from puffintide.config.model import Config
from puffintide.logs import setup
from puffintide.protocol.clock import monotonic_reactor
from puffintide.scenarios.place import PortLayout

MAX_CLIENTS_PER_PROXY = 10
COMPLETION_CHECK_INTERVAL_S = 0.2
# Time for which the process runs on after the clients are done, in seconds.
FINAL_RESPONSE_GRACE_S = 0.5

CommandHandler = Callable[[str, dict[str, Any]], object]  # Takes an operation and its arguments.


class _ControlReceiver(LineOnlyReceiver):
    """Executes the commands of the scenario runner, and stops the process at the end of the input."""

    delimiter = b"\n"

    def __init__(self, reactor: Any, execute: CommandHandler) -> None:
        self.reactor = reactor
        self.execute = execute

    def lineReceived(self, line: bytes) -> None:
        """Decode and execute one command."""
        command = json.loads(line)
        self.execute(command["what"], command["args"])

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002
        """Stop the reactor, as the scenario runner has ended."""
        if self.reactor.running:
            self.reactor.stop()


def _run_controlled(reactor: Any, execute: CommandHandler) -> None:
    StandardIO(_ControlReceiver(reactor, execute), reactor=reactor)  # type: ignore[no-untyped-call]
    run_reactor(reactor)


@contextlib.contextmanager
def _exit_if_port_in_use() -> Iterator[None]:
    """End the process with one line on stderr if a port cannot be listened on."""
    try:
        yield
    except CannotListenError as error:
        exit_with_error(f"cannot listen on {error.interface}:{error.port}: {error.socketError}")


def _read_scenario(folder: Path) -> tuple[Config, PortLayout]:
    config = read_config(str(folder / "day.ini"), ("day", "fleet", "load"))
    return config, PortLayout.read(folder / "place.json")


def run_fleet(folder: Path) -> None:
    """Run the emulated servers and the endpoint list."""
    from puffintide.emulators.fleet import FleetService

    reactor = monotonic_reactor()
    config, layout = _read_scenario(folder)
    addresses = [layout.proxied_address(f"try:{server_id}") for server_id in range(len(layout.servers))]
    with (folder / "fleet.jsonl").open("w", encoding="utf-8") as record:
        service = FleetService(reactor, config, layout.servers, addresses, record)
        with _exit_if_port_in_use():
            service.start(layout.news)
        _run_controlled(reactor, service.execute)


def run_recording_proxy(folder: Path) -> None:
    """Run the recording proxy until the scenario runner closes standard input."""
    from puffintide.scenarios.link_faults import parse_link_fault
    from puffintide.scenarios.recording_proxy import RecordingProxy

    reactor = monotonic_reactor()
    config, layout = _read_scenario(folder)
    assert config.day is not None

    def execute(operation: str, arguments: dict[str, Any]) -> None:
        name = str(arguments["name"])
        if operation == "straighten":
            proxy.clear_fault(name)
        else:
            proxy.set_fault(name, parse_link_fault(arguments))

    with (folder / "tap.jsonl").open("wb", buffering=1 << 16) as sink:
        proxy = RecordingProxy(reactor, layout.links, config.net.model_dump(), config.day.seed, sink)
        with _exit_if_port_in_use():
            proxy.listen()
        _run_controlled(reactor, execute)
        proxy.close()


def run_proxies(folder: Path, first: int, last: int) -> None:
    """Run the proxies with ids from first up to, but not including, last in one process."""
    from puffintide.config.schema import ProxyProcess
    from puffintide.proxy.service import ProxyService

    reactor = monotonic_reactor()
    config, layout = _read_scenario(folder)
    log = setup(f"proxies-{first}")
    zone_count = len(config.deployment.zones)
    assigners = [
        layout.proxied_address(f"order:{assigner_id}") for assigner_id in range(len(layout.assigners))
    ]
    for proxy_id in range(first, last):
        process = ProxyProcess(
            id=proxy_id,
            zone=proxy_id % zone_count,
            listen=f"127.0.0.1:{layout.fronts[proxy_id]}",
            assigners=assigners,
            store=layout.proxied_address("store"),
            clients_most=MAX_CLIENTS_PER_PROXY,
        )
        service = ProxyService(reactor, config, process, log)
        listen(reactor, process.listen, service.factory())
        service.start()
    _run_controlled(reactor, lambda _operation, _arguments: None)


def run_clients(folder: Path) -> None:
    """Run the clients until all requests have been sent and none is in flight."""
    from puffintide.emulators.clients import Clients

    reactor = monotonic_reactor()
    config, layout = _read_scenario(folder)

    def stop_when_done() -> None:
        if clients.done():
            reactor.callLater(FINAL_RESPONSE_GRACE_S, reactor.stop)
        else:
            reactor.callLater(COMPLETION_CHECK_INTERVAL_S, stop_when_done)

    def execute(_operation: str, _arguments: dict[str, Any]) -> None:
        clients.start()
        stop_when_done()

    with (folder / "clients.jsonl").open("w", encoding="utf-8") as record:
        proxies = [f"127.0.0.1:{port}" for port in layout.fronts]
        clients = Clients(reactor, config, proxies, record)
        _run_controlled(reactor, execute)

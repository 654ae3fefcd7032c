"""A fleet of emulated session servers and their endpoint list in one process, with injected faults."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any, TextIO, TypeVar

from puffintide.config.model import Config
from puffintide.config.schema import Fleet
from puffintide.decisions.events import EndpointStatus
from puffintide.emulators.endpoint_list import UNKNOWN_TIME_S, EndpointListEmulator, ListedState
from puffintide.emulators.errors import InvalidCommandError, MissingSectionError
from puffintide.emulators.model import ServerSpec
from puffintide.emulators.server import EmulatedServer, ServerEnvironment, ServerIdentity
from puffintide.protocol import messages as m

MIN_SLOWDOWN = 1e-3  # Lower bound of the factor on the duration of work.

T = TypeVar("T")
Argument = float | int | str | list[int]
ServerCommand = Callable[[EmulatedServer, float, float], None]  # Arguments: server, value, extra.


def value_for_server(values: Sequence[T], server_id: int, zone_count: int, server_count: int) -> T:
    """Return the value of a server from a list of values.

    Without one value per server, the values repeat in order within each zone, so that zones are alike.
    """
    if len(values) == server_count:
        return values[server_id]
    return values[server_id // zone_count % len(values)]


class FleetService:
    """Servers on loopback ports, and their list, which follows starts and stops with the configured delays.

    Args:
        reactor: The reactor that provides time and ports.
        config: The configuration of the scenario.
        ports: The port of each server, in the order of server ids.
        addresses: The address of each server in the endpoint list, in the order of server ids.
        record: The file that receives one line with a JSON object for each start, drain, collapse and stop.

    Raises:
        MissingSectionError: The configuration has no section [fleet] or no section [day].
    """

    def __init__(
        self, reactor: Any, config: Config, ports: list[int], addresses: list[str], record: TextIO
    ) -> None:
        if config.fleet is None or config.day is None:
            raise MissingSectionError(("fleet", "day"))
        self.fleet: Fleet = config.fleet
        self._reactor = reactor
        self._record_file = record
        self._environment = ServerEnvironment(
            reactor,
            config.fleet,
            tuple(config.reports.names),
            random.Random(f"fleet:{config.day.seed}"),
        )
        self.servers: dict[int, EmulatedServer] = {}
        for server_id, (port, address) in enumerate(zip(ports, addresses, strict=True)):
            self.servers[server_id] = self._make_server(config, server_id, port, address)
        self.endpoint_list = EndpointListEmulator(reactor, self._describe_endpoint)
        self._commands: Mapping[str, ServerCommand] = {
            "crash": lambda server, _value, _extra: self.stop_server(server.identity.server_id),
            "stop": lambda server, _value, _extra: self.stop_server(server.identity.server_id, 0.0),
            "start": lambda server, _value, _extra: self.start_server(server.identity.server_id),
            "drain": lambda server, _value, _extra: self.drain_server(server.identity.server_id),
            "hang": _set_hang,
            "slow": _set_slowdown,
            "pauses": _set_pauses,
            "false_reports": _set_report_factor,
            "connections": self._set_max_connections,
            "handshake": _set_handshake_factor,
        }

    def start(self, list_port: int) -> None:
        """Start the initial servers of the scenario, warmed up, and then the endpoint list.

        Args:
            list_port: The port of the endpoint list.

        Raises:
            twisted.internet.error.CannotListenError: A port is in use.
        """
        for server_id in range(self.fleet.servers):
            self.start_server(server_id, is_warm=True)
        self.endpoint_list.start(list_port)

    def start_server(self, server_id: int, is_warm: bool = False) -> None:
        """Start a server and list it after the configured delay; do nothing if it runs.

        A warm server skips the slow start and is listed without delay.
        """
        server = self.servers[server_id]
        if server.model is not None:
            return
        started_at_s = UNKNOWN_TIME_S if is_warm else self._now_s()
        server.start(is_warm)
        self._record(
            what="start",
            server=server_id,
            zone=server.identity.zone,
            warm=is_warm,
            capacity=server.spec.cores * server.spec.speed,
            cold_from=server.spec.initial_capacity_fraction,
            warm_s=server.spec.warm_up_s,
        )
        state = ListedState(EndpointStatus.READY, server.incarnation, started_at_s)
        self._reactor.callLater(0.0 if is_warm else self.fleet.add_s, self._list, server_id, state)

    def stop_server(self, server_id: int, notice_s: float | None = None) -> None:
        """Kill a server; do nothing if it does not run.

        Args:
            server_id: The id of the server.
            notice_s: The time until the endpoint list removes it, in seconds; None for the configured time.
        """
        server = self.servers[server_id]
        if server.model is None:
            return
        server.stop()
        self._record(what="stop", server=server_id)
        state = ListedState(EndpointStatus.REMOVED, server.incarnation, UNKNOWN_TIME_S)
        delay_s = self.fleet.notice_s if notice_s is None else notice_s
        self._reactor.callLater(delay_s, self._list, server_id, state)

    def drain_server(self, server_id: int) -> None:
        """List a server as draining; do nothing if it does not run."""
        server = self.servers[server_id]
        if server.model is None:
            return
        self._record(what="drain", server=server_id)
        listed = self.endpoint_list.listed.get(server_id)
        started_at_s = UNKNOWN_TIME_S if listed is None else listed.started_at_s
        self._list(server_id, ListedState(EndpointStatus.DRAINING, server.incarnation, started_at_s))

    def execute(self, operation: str, arguments: Mapping[str, Argument]) -> None:
        """Execute a command of the scenario; an unknown operation does nothing.

        Args:
            operation: The operation: "list_down", "list_up", or an operation on servers.
            arguments: The arguments by name: "servers" is a list of server ids, and the operation defines
                the meaning of the numbers "value" and "extra".

        Raises:
            InvalidCommandError: "servers" is not a list.
        """
        if operation == "list_down":
            self.endpoint_list.suspend()
            return
        if operation == "list_up":
            self.endpoint_list.resume()
            return
        command = self._commands.get(operation)
        server_ids = arguments.get("servers", [])
        if not isinstance(server_ids, list):
            raise InvalidCommandError(operation, "servers", server_ids)
        if command is None:
            return
        value = _number(arguments, "value")
        extra = _number(arguments, "extra")
        for server_id in server_ids:
            command(self.servers[server_id], value, extra)

    def _make_server(self, config: Config, server_id: int, port: int, address: str) -> EmulatedServer:
        zone_count = len(config.deployment.zones)
        identity = ServerIdentity(
            server_id,
            zone=server_id % zone_count,
            server_type=server_id // zone_count % len(self.fleet.cores),
            port=port,
            address=address,
        )
        spec = self._server_spec(config, server_id, zone_count)
        return EmulatedServer(identity, spec, self._environment, self._server_collapsed)

    def _server_spec(self, config: Config, server_id: int, zone_count: int) -> ServerSpec:
        fleet = self.fleet
        server_count = fleet.servers + fleet.spare
        cores = value_for_server(fleet.cores, server_id, zone_count, server_count)
        return ServerSpec(
            cores=cores,
            speed=value_for_server(fleet.speed, server_id, zone_count, server_count),
            slots=max(1, round(cores * fleet.slots_per_core)),
            queue_capacity=round(cores * fleet.queue_per_core),
            initial_capacity_fraction=fleet.cold_from,
            warm_up_s=fleet.warm_s,
            cache_saving=fleet.cache_gain,
            cache_lifetime_s=fleet.cache_s,
            cache_max_keys=fleet.cache_keys,
            collapse_multiple=config.rules.fall_multiple,
            collapse_window_s=config.rules.fall_s,
        )

    def _now_s(self) -> float:
        return float(self._reactor.seconds())

    def _record(self, **fields: Any) -> None:
        self._record_file.write(json.dumps({"t": round(self._now_s(), 6), **fields}) + "\n")
        self._record_file.flush()

    def _server_collapsed(self, server_id: int) -> None:
        self._record(what="fall", server=server_id)
        self.stop_server(server_id)

    def _list(self, server_id: int, state: ListedState) -> None:
        is_outdated = state.incarnation < self.servers[server_id].incarnation
        if is_outdated and state.status == EndpointStatus.REMOVED:
            return  # The server has started again since then.
        self.endpoint_list.record(server_id, state)

    def _describe_endpoint(self, server_id: int, state: ListedState) -> m.EndpointEntry:
        server = self.servers[server_id]
        is_age_known = state.started_at_s >= 0
        return m.EndpointEntry(
            server_id,
            server.identity.zone,
            server.identity.server_type,
            cell=0,
            status=state.status,
            weight=float(server.spec.cores),
            incarnation=state.incarnation,
            age_s=self._now_s() - state.started_at_s if is_age_known else UNKNOWN_TIME_S,
            address=server.identity.address,
        )

    def _set_max_connections(self, server: EmulatedServer, value: float, _extra: float) -> None:
        server.faults.max_connections = round(value) if value > 0 else self.fleet.connections


def _set_hang(server: EmulatedServer, value: float, _extra: float) -> None:
    server.faults.hangs = value > 0


def _set_slowdown(server: EmulatedServer, value: float, _extra: float) -> None:
    server.set_slowdown(max(value, MIN_SLOWDOWN))


def _set_pauses(server: EmulatedServer, value: float, extra: float) -> None:
    server.faults.pause_interval_s = value
    server.faults.pause_duration_s = extra


def _set_report_factor(server: EmulatedServer, value: float, _extra: float) -> None:
    server.faults.report_factor = value


def _set_handshake_factor(server: EmulatedServer, value: float, _extra: float) -> None:
    server.faults.handshake_factor = max(1.0, value)


def _number(arguments: Mapping[str, Argument], name: str) -> float:
    """Return the value of a numeric argument, or 0 if it is missing or not a number."""
    value = arguments.get(name, 0.0)
    return float(value) if isinstance(value, int | float) else 0.0

"""One assigner of the platform: wires its parts to the runtime that runs the director. It decides nothing."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from typing import Any

from puffintide.assigner.runtime import Effects, Runtime
from puffintide.decisions.director import Director
from puffintide.platform.client_messages import ServerReport, SliceReport
from puffintide.platform.config import Config, load_config
from puffintide.platform.context import Context
from puffintide.platform.endpoint_watch import EndpointWatch
from puffintide.platform.errors import ConfigError, InvalidMessageError
from puffintide.platform.health_checks import HealthChecks
from puffintide.platform.identifiers import HostRegistry
from puffintide.platform.lifecycle import Lifecycle, merge_reloaded
from puffintide.platform.listener import Listener
from puffintide.platform.load_reports import LoadReports
from puffintide.platform.log import Log
from puffintide.platform.reactor import Reactor
from puffintide.platform.relay_session import RelaySession
from puffintide.platform.rounds import RoundScheduler
from puffintide.platform.stats import Statistics

READY_TIMEOUT_S = 3.0  # after which pings are answered without the relay's state
STOP_TIMEOUT_S = 0.2  # that a call in flight has to end after SIGTERM
FORGET_PERIOD_S = 20.0
LISTEN_BACKLOG = 512
RESERVED_DESCRIPTORS = 64  # for discovery, relay, collectors and the process itself
DESCRIPTORS_PER_SERVER = 2  # for health checks
ACCEPT_BURST = 40  # connections accepted in one turn, before those that give way to them are closed
MIN_UNIDENTIFIED_CONNECTIONS = 16
MAX_UNIDENTIFIED_CONNECTIONS = 400  # more cost memory


class Service:
    """An assigner, from start() to stop()."""

    def __init__(
        self,
        reactor: Reactor,
        config: Config,
        path: str,
        log: Log,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Create an assigner.

        Args:
            reactor: Its clock, listeners and connections.
            config: The configuration it starts with.
            path: File of the configuration, for reloads.
            log: Log of the assigner.
            wall_clock: Unix time in seconds.
        """
        self.reactor = reactor
        self.config = config
        self.path = path
        self.log = log
        self.hosts = HostRegistry()
        self.runtime = Runtime(config.settings)
        self.rounds = RoundScheduler(reactor, self.runtime, self.apply_effects, log)
        context = Context(reactor, config.settings, config.names, self.hosts, self.runtime, self.rounds, log)
        self.health_checks = HealthChecks(context)
        self.load_reports = LoadReports(context)
        self.endpoint_watch = EndpointWatch(
            context, config.discovery, self.health_checks.remove_unlisted, wall_clock
        )
        self.relay = RelaySession(context, config.relay, self._on_first_state)
        self.listener = Listener(
            reactor, config.names.zones, self._on_report, log, _max_unidentified_connections(config)
        )
        self.statistics = Statistics(
            context, self.listener, self.load_reports, self.relay, self.health_checks
        )
        self.lifecycle = Lifecycle()
        self.port: Any = None

    def start(self) -> None:
        """Listen, and connect to discovery and relay.

        Raises:
            CannotListenError: The address is taken.
        """
        host, port = self.config.listen
        self.port = self.reactor.listenTCP(port, self.listener, backlog=LISTEN_BACKLOG, interface=host)
        self.listener.start(self.port)
        self.endpoint_watch.start(self.config.known)
        self.relay.start()
        self.reactor.callLater(READY_TIMEOUT_S, self._serve)
        self.statistics.start()
        self.reactor.callLater(FORGET_PERIOD_S, self._forget)
        self.rounds.schedule(0.0)
        slice_count = self.config.settings.slice_count
        self.log("started", listen=f"{host}:{port}", pid=os.getpid(), slices=slice_count)

    def reload(self) -> None:
        """Handle SIGHUP: read the configuration again; an invalid one leaves the current one in force."""
        if not self.lifecycle.running:
            return
        try:
            reloaded = load_config(self.path)
        except ConfigError as error:
            self.log("reload_rejected", reason=str(error))
            return
        self.config, ignored = merge_reloaded(self.config, reloaded)
        for key in ignored:
            self.log("reload_ignored", key=key, reason="takes effect at a restart")
        self.log("reloaded", discovery=str(reloaded.discovery), relay=str(reloaded.relay))
        self.relay.change_address(reloaded.relay)
        self.endpoint_watch.change_address(reloaded.discovery)

    def stop(self) -> None:
        """Handle SIGTERM: start nothing new, refuse connections, and let a call in flight end."""
        if not self.lifecycle.on_terminate():
            return
        self.log("stopping", queued_orders=len(self.relay.outbox))
        self.rounds.stop()
        self.port.stopListening()
        self.listener.stop()
        self.relay.stop_watch()
        self.endpoint_watch.stop()
        self.health_checks.stop()
        self.reactor.callLater(STOP_TIMEOUT_S, self._end)
        self.relay.stop_calls(lambda: self.reactor.callLater(0, self._end))

    def _end(self) -> None:
        if self.lifecycle.on_idle():
            self.reactor.stop()

    def _on_first_state(self) -> None:
        self.reactor.callLater(0, self._serve)

    def _serve(self) -> None:
        if self.lifecycle.on_ready():
            self.log("serving", listed=self.runtime.has_endpoint_list, relay=self.relay.watch.flushed)
            self.listener.serve()

    def apply_effects(self, effects: Effects) -> None:
        """Send the orders and health checks of a round, and log its messages."""
        self.relay.send(effects)
        if effects.health_checks and self.relay.watch.state.in_service:
            self.health_checks.send(effects.health_checks)
        for text in effects.log_messages:
            self.log("module", text=text)

    def _on_report(self, report: ServerReport | SliceReport) -> None:
        try:
            self.load_reports.receive(report)
        except InvalidMessageError as error:
            self.listener.on_invalid_message(str(error))

    def _forget(self) -> None:
        """Forget the hosts that the director has forgotten."""
        self.reactor.callLater(FORGET_PERIOD_S, self._forget)
        director = self.runtime.director
        retained = set(self.runtime.endpoints) | self.runtime.pending_server_ids()
        if isinstance(director, Director):
            retained |= director.servers.keys()
            for view in director.slices.values():
                retained |= view.weights.keys()
        self.hosts.retain(retained)
        self.relay.forget_settled()


def _max_unidentified_connections(config: Config) -> int:
    """Descriptors that are left for connections to the listener that are no collectors."""
    known_hosts = config.known.get("hosts") if config.known else None
    servers = len(known_hosts) if isinstance(known_hosts, list) else 0
    used = RESERVED_DESCRIPTORS + DESCRIPTORS_PER_SERVER * servers + ACCEPT_BURST
    return max(MIN_UNIDENTIFIED_CONNECTIONS, min(config.sockets - used, MAX_UNIDENTIFIED_CONNECTIONS))

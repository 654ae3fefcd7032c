"""An assigner of the platform: connects its components to the runtime, which runs the director.

This module makes no decisions itself.
"""

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

READY_TIMEOUT_S = 3.0  # Maximum wait for the relay's state before pings are answered, in seconds.
STOP_TIMEOUT_S = 0.2  # Maximum wait for a call in flight after SIGTERM, in seconds.
FORGET_PERIOD_S = 20.0  # Interval at which unused hosts are forgotten, in seconds.
LISTEN_BACKLOG = 512
RESERVED_DESCRIPTORS = 64  # Reserved for discovery, relay, collectors and the process itself.
DESCRIPTORS_PER_SERVER = 2  # Reserved for the health checks of one server.
ACCEPT_BURST = 40  # Connections accepted in one reactor turn, before the ones they replace are closed.
MIN_UNIDENTIFIED_CONNECTIONS = 16
MAX_UNIDENTIFIED_CONNECTIONS = 400  # Bounds the memory that these connections use.


class Service:
    """An assigner of the platform, which runs from start() to stop()."""

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
            reactor: The reactor that provides the clock, listeners and connections.
            config: The initial configuration.
            path: The path of the configuration file, which is read again at a reload.
            log: The log of the assigner.
            wall_clock: A function that returns the Unix time in seconds.
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
        """Listen for connections, and connect to discovery and relay.

        Raises:
            CannotListenError: The listen address cannot be used, for example because it is taken.
        """
        host, port = self.config.listen
        self.port = self.reactor.listenTCP(port, self.listener, backlog=LISTEN_BACKLOG, interface=host)
        self.listener.start(self.port)
        self.endpoint_watch.start(self.config.last_endpoint_list)
        self.relay.start()
        self.reactor.callLater(READY_TIMEOUT_S, self._serve)
        self.statistics.start()
        self.reactor.callLater(FORGET_PERIOD_S, self._forget_unused_hosts)
        self.rounds.schedule(0.0)
        slice_count = self.config.settings.slice_count
        self.log("started", listen=f"{host}:{port}", pid=os.getpid(), slices=slice_count)

    def reload(self) -> None:
        """Reload the configuration on SIGHUP. If it is invalid, the current one stays in force."""
        if not self.lifecycle.running:
            return
        try:
            reloaded = load_config(self.path)
        except ConfigError as error:
            self.log("reload_rejected", reason=str(error))
            return
        self.config, ignored = merge_reloaded(self.config, reloaded)
        for key in ignored:
            self.log("reload_ignored", key=key, reason="changes of this key take effect only after a restart")
        self.log("reloaded", discovery=str(reloaded.discovery), relay=str(reloaded.relay))
        self.relay.change_address(reloaded.relay)
        self.endpoint_watch.change_address(reloaded.discovery)

    def stop(self) -> None:
        """Shut down on SIGTERM: stop all activity, refuse connections and wait for a call in flight."""
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
        """Send the orders and health checks of a round, and log its log messages."""
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

    def _forget_unused_hosts(self) -> None:
        """Forget the hosts that neither the runtime nor the director refers to."""
        self.reactor.callLater(FORGET_PERIOD_S, self._forget_unused_hosts)
        director = self.runtime.director
        retained = set(self.runtime.endpoints) | self.runtime.pending_server_ids()
        if isinstance(director, Director):
            retained |= director.servers.keys()
            for view in director.slices.values():
                retained |= view.weights.keys()
        self.hosts.retain(retained)
        self.relay.forget_old_weights()


def _max_unidentified_connections(config: Config) -> int:
    """Return the number of descriptors available for listener connections other than collectors."""
    known_hosts = config.last_endpoint_list.get("hosts") if config.last_endpoint_list else None
    servers = len(known_hosts) if isinstance(known_hosts, list) else 0
    used = RESERVED_DESCRIPTORS + DESCRIPTORS_PER_SERVER * servers + ACCEPT_BURST
    return max(MIN_UNIDENTIFIED_CONNECTIONS, min(config.sockets - used, MAX_UNIDENTIFIED_CONNECTIONS))

"""The service of one proxy: line protocol, HTTP, control plane, state file, statistics and shutdown."""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from puffintide.config.model import Config
from puffintide.config.schema import ProxyProcess
from puffintide.logs import Logger
from puffintide.protocol.stream import StreamServerFactory
from puffintide.proxy.control_plane import ControlPlane
from puffintide.proxy.engine import Engine
from puffintide.proxy.engine_driver import EngineDriver
from puffintide.proxy.http_proxy import HttpProxy
from puffintide.proxy.line_proxy import LineProxy
from puffintide.proxy.load_balancing import Random
from puffintide.proxy.reactor import Reactor
from puffintide.proxy.request_timings import RequestTimings
from puffintide.proxy.settings import engine_settings
from puffintide.proxy.state import StateError, capture_state, load_state, restore_state, save_state
from puffintide.tls.context import TlsContextFactory

SAVE_INTERVAL_S = 1.0
STATS_INTERVAL_S = 10.0
SHUTDOWN_CHECK_INTERVAL_S = 0.02


class ListeningPort(Protocol):
    """A port that accepts clients; a subset of Twisted's IListeningPort."""

    def stopListening(self) -> object:
        """Stop accepting connections."""


class ProxyService:
    """One proxy. Several proxies may run in one process; they share only the reactor.

    Args:
        reactor: Clock, timers and outgoing connections.
        config: Deployment, request classes and intervals.
        process: Identity, addresses and limits of this proxy.
        log: Structured log of this proxy.
        tls: Context factory of outgoing streams; None disables TLS.
    """

    def __init__(
        self,
        reactor: Reactor,
        config: Config,
        process: ProxyProcess,
        log: Logger,
        tls: TlsContextFactory | None = None,
    ) -> None:
        self.reactor = reactor
        self.config = config
        self.process = process
        self.log = log
        self.listening_ports: list[ListeningPort] = []  # Closed at shutdown.
        self._random: Random = random.Random(f"proxy:{process.id}").random
        self._counts: Counter[str] = Counter()
        self._timings = RequestTimings(process.access_every)
        self._saved_version = 0
        self._on_stopped: Callable[[], None] | None = None  # Set during shutdown.
        deployment = config.deployment.name
        settings = engine_settings(config, process)
        self.engine = Engine(settings, self._random)
        self.line_proxy = LineProxy(reactor, process, self.engine, self._timings, log, deployment, tls)
        self.http_proxy: HttpProxy | None = None
        drivers: list[EngineDriver] = [self.line_proxy]
        if process.http:
            http_engine = Engine(settings, self._random, self.engine.routing)
            self.http_proxy = HttpProxy(
                reactor, process, config.classes, http_engine, self._count, deployment, tls
            )
            drivers.append(self.http_proxy)
        self.control_plane = ControlPlane(reactor, config, process, log, drivers, self._random, tls)

    def factory(self) -> StreamServerFactory:
        """Return the factory that accepts clients of the line protocol."""
        return self.line_proxy.factory()

    def start(self) -> None:
        """Load the state file, connect to assigners and store, and start the periodic tasks."""
        if self.process.state:
            self._load_state()
            self.reactor.callLater(SAVE_INTERVAL_S, self._save_state)
        self.control_plane.start()
        self.reactor.callLater(STATS_INTERVAL_S, self._log_stats)
        first_report_s = self._random() * self.config.reports.period_s
        self.reactor.callLater(first_report_s, self._report_usage)

    # Shutdown ------------------------------------------------------------------------------------

    def stop(self, on_stopped: Callable[[], None]) -> None:
        """Shut down gracefully, then call `on_stopped`.

        New requests are rejected. Open requests may complete within the longest deadline of a class. A second
        call ends the wait immediately.

        Args:
            on_stopped: Called once no request is open and no client is connected, or at the end of the wait.
        """
        if self._on_stopped is not None:
            self._end(on_stopped)
            return
        self._on_stopped = on_stopped
        self.line_proxy.stopping = True
        for port in self.listening_ports:
            port.stopListening()
        if self.http_proxy is not None:
            self.http_proxy.stop()
        self.log.info("stopping", requests=self._open_requests())
        longest_deadline_s = max(section.deadline_s for section in self.config.classes.values())
        self.reactor.callLater(longest_deadline_s, self._end, on_stopped)
        self._check_stopped()

    def _end(self, on_stopped: Callable[[], None]) -> None:
        """End the wait for open requests. Paused connections are not closed by the reactor when it stops."""
        if self.http_proxy is not None:
            self.http_proxy.abort_clients()
        on_stopped()

    def _open_requests(self) -> int:
        http_requests = len(self.http_proxy.exchanges) if self.http_proxy is not None else 0
        return len(self.line_proxy.calls) + http_requests

    def _has_clients(self) -> bool:
        http_clients = self.http_proxy is not None and bool(self.http_proxy.downstreams)
        return bool(self.line_proxy.clients) or http_clients

    def _check_stopped(self) -> None:
        """Close the clients' streams after the last response, and call `on_stopped` once they are closed."""
        had_clients = self._has_clients()
        if not self._open_requests():
            self.line_proxy.close_clients()
            if not had_clients and self._on_stopped is not None:
                self._on_stopped()
                return
        self.reactor.callLater(SHUTDOWN_CHECK_INTERVAL_S, self._check_stopped)

    # Periodic tasks ------------------------------------------------------------------------------

    def _count(self, event: str) -> None:
        self._counts[event] += 1

    def _log_stats(self) -> None:
        self.log.info(
            "stats",
            late_responses=self.engine.late_responses,
            stale_entries_dropped=self.engine.tables.stale_entries_dropped,
            **self._counts,
            **self._timings.summary(),
        )
        self.reactor.callLater(STATS_INTERVAL_S, self._log_stats)

    def _report_usage(self) -> None:
        self.control_plane.send_usage_reports()
        self.reactor.callLater(self.config.reports.period_s, self._report_usage)

    def _load_state(self) -> None:
        try:
            saved = load_state(self.process.state)
        except StateError as error:
            self.log.warning("state_load_failed", reason=str(error))
            return
        restore_state(self.engine.tables, saved)
        self.log.info("state_loaded", age_s=round(time.time() - saved.saved_at_s, 1))

    def _save_state(self) -> None:
        tables = self.engine.tables
        if tables.version != self._saved_version:
            self._saved_version = tables.version
            try:
                save_state(self.process.state, capture_state(tables, time.time()))
            except OSError as error:
                self.log.warning("state_save_failed", reason=str(error))
        self.reactor.callLater(SAVE_INTERVAL_S, self._save_state)

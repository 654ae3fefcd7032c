"""The assigner as a network service, which creates its components and connects them.

All decisions are made by the decision module.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from puffintide.assigner.channel import Channel
from puffintide.assigner.decision_loop import DecisionLoop
from puffintide.assigner.endpoint_list import EndpointList
from puffintide.assigner.endpoint_watch import EndpointWatch
from puffintide.assigner.handover import Handover, HandoverSteps
from puffintide.assigner.handover_runner import HandoverRunner
from puffintide.assigner.handover_settings import create_handover, with_handover_budget
from puffintide.assigner.health_checks import HealthCheckers, HealthCheckOptions
from puffintide.assigner.inbound_streams import InboundStreams
from puffintide.assigner.load_reports import LoadReportAggregator
from puffintide.assigner.proxy_sessions import ProxySessions
from puffintide.assigner.proxy_updates import ProxyUpdateSender
from puffintide.assigner.replica_exchange import ReplicaExchange
from puffintide.assigner.runtime import Effects, Runtime
from puffintide.assigner.statistics import assigner_statistics
from puffintide.assigner.store_client import StoreClient
from puffintide.config.decision_settings import decision_settings
from puffintide.config.model import Config
from puffintide.decisions.director import Director
from puffintide.decisions.events import HealthCheckResult
from puffintide.decisions.settings import Settings
from puffintide.owned_tables import OwnedTables
from puffintide.protocol import messages as m
from puffintide.protocol.client import StreamClient
from puffintide.protocol.clock import ConnectingReactor
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import MessageHandler, Stream, StreamServerFactory
from puffintide.replication.peer_sessions import ASSIGNER, PeerSessions
from puffintide.tls.context import TlsContextFactory
from puffintide.zones.director import ZonedDirector
from puffintide.zones.state import ZoneLimits

STATS_INTERVAL_S = 5.0  # Interval between log events "stats", in seconds.


class AssignerService:
    """The service of one assigner process.

    Args:
        reactor: The reactor that opens connections and runs timers.
        config: The configuration, which has a section for this assigner.
        log: The structured logger.
        incarnation: The number of this start of the assigner, which increases with each start.
        tls: The factory of TLS contexts; None for plain TCP.
    """

    def __init__(
        self,
        reactor: ConnectingReactor,
        config: Config,
        log: Any,
        incarnation: int,
        tls: TlsContextFactory | None = None,
    ) -> None:
        assert config.assigner is not None
        self.reactor = reactor
        self.config = config
        self.process = config.assigner
        self.log = log
        self.incarnation = incarnation
        self.tls = tls
        self._jitter = random.Random(f"{self.process.seed}:{self.process.id}:{incarnation}").random
        self.settings = decision_settings(config, self.process.id, self.process.zone, self.process.seed)
        handover = create_handover(self.settings, config.charge.write_lease_s)
        if handover is not None:
            self.settings = with_handover_budget(self.settings)
        self.zone_director = self._create_zone_director()
        self.runtime = Runtime(self.settings, self._create_director)
        self.owned_tables = OwnedTables()
        self.load_reports = LoadReportAggregator(self.settings.report_entries_per_s)
        self.channel = self._create_channel()
        self.proxy_updates = ProxyUpdateSender(reactor, self.channel)
        self.decision_loop = DecisionLoop(
            reactor, self.runtime, self.process.tick_s, log, self._apply_effects
        )
        self.endpoint_list = EndpointList(reactor, self.process.list_cache, log)
        self.endpoint_watch = EndpointWatch(self.runtime, self.endpoint_list, log, self._on_endpoints_changed)
        self.health_checkers = self._create_health_checkers()
        self.peer_sessions = self._create_peer_sessions()
        self.replica_exchange = self._create_replica_exchange()
        self.store_client = self._create_store_client(handover)
        self.handover_runner = self._create_handover_runner(handover)
        self.inbound_streams = self._create_inbound_streams()

    def factory(self) -> StreamServerFactory:
        """Return the protocol factory for the listening port."""
        return StreamServerFactory(
            self.reactor,
            lambda: m.Welcome(m.PROTOCOL_VERSION, ASSIGNER, self.process.id, self.incarnation),
            self.inbound_streams.on_message,
            self.inbound_streams.on_lost,
            self.inbound_streams.rejection_reason,
        )

    def start(self) -> None:
        """Connect to the other processes, and start rounds, load reports and statistics.

        If there are other assigners, the store is connected only once their tables are replicated to this
        assigner, or after a maximum wait.
        """
        self.endpoint_watch.load_cache(self.reactor.seconds())
        if self.peer_sessions is None or self.replica_exchange is None:
            self._connect_to_store()
        else:
            self.peer_sessions.start(self._connect)
            self.replica_exchange.start()
        self._connect(self.process.list, self._on_endpoint_list_message, self._on_endpoint_list_lost)
        self.decision_loop.schedule(0.0)
        self.reactor.callLater(self.settings.report_period_s, self._report_load)
        self.reactor.callLater(STATS_INTERVAL_S, self._log_stats)

    # Components -----------------------------------------------------------------------------------

    def _create_zone_director(self) -> ZonedDirector | None:
        if not self.config.zones.plan:
            return None
        return ZonedDirector(self.settings, ZoneLimits(self.config.zones.spill))

    def _create_director(self, director_settings: Settings) -> Director | ZonedDirector:
        return self.zone_director if self.zone_director is not None else Director(director_settings)

    def _create_channel(self) -> Channel:
        return Channel(
            self.settings.channel_entries_per_s,
            self.settings.channel_capacity_entries,
            self.settings.message_window_s,
        )

    def _create_health_checkers(self) -> HealthCheckers:
        options = HealthCheckOptions(self._hello, self.config.probes.timeout_s, self.tls)
        return HealthCheckers(self.reactor, options, self._on_health_check_result)

    def _create_peer_sessions(self) -> PeerSessions | None:
        if self.config.peers is None:
            return None
        return PeerSessions(
            self.reactor,
            self.config.peers,
            self.process.id,
            self.incarnation,
            self.settings.slice_count,
            self.log,
            self._connect_to_store,
        )

    def _create_replica_exchange(self) -> ReplicaExchange | None:
        if self.peer_sessions is None:
            return None
        return ReplicaExchange(
            self.reactor,
            self.peer_sessions,
            self.runtime,
            self.owned_tables,
            self.endpoint_list,
            self.decision_loop.schedule,
            self._on_tables_changed,
        )

    def _create_store_client(self, handover: Handover | None) -> StoreClient:
        return StoreClient(
            self.reactor,
            self.process.id,
            self.runtime,
            self.owned_tables,
            self.load_reports,
            handover,
            self.log,
            self.decision_loop.schedule,
            self._run_handover,
            self.replica_exchange.tables if self.replica_exchange is not None else None,
        )

    def _create_handover_runner(self, handover: Handover | None) -> HandoverRunner | None:
        if handover is None:
            return None
        return HandoverRunner(self.reactor, handover, self.store_client, self.proxy_updates)

    def _create_inbound_streams(self) -> InboundStreams:
        proxy_sessions = ProxySessions(
            self.reactor,
            self.runtime,
            self.proxy_updates,
            self.load_reports,
            self.handover_runner,
            self.log,
            self.decision_loop.schedule,
        )
        return InboundStreams(
            self.reactor,
            self.process.id,
            self.config.deployment.name,
            proxy_sessions,
            self.peer_sessions,
            self.zone_director,
        )

    # Connections to other processes ---------------------------------------------------------------

    def _connect(
        self,
        address: str,
        on_message: MessageHandler,
        on_lost: Callable[[str], None] | None,
        *,
        hello: Callable[[], m.Hello] | None = None,
        reconnect: bool = True,
    ) -> StreamClient:
        return StreamClient(
            self.reactor,
            address,
            hello or self._hello,
            on_message,
            on_lost,
            self._jitter,
            reconnect=reconnect,
            tls=self.tls,
        ).start()

    def _connect_to_store(self) -> None:
        client = self.store_client
        self._connect(self.process.store, client.on_message, client.on_lost, hello=self._store_hello)

    def _hello(self) -> m.Hello:
        return m.Hello(
            m.PROTOCOL_VERSION,
            ASSIGNER,
            self.process.id,
            self.process.zone,
            self.config.deployment.name,
            incarnation=self.incarnation,
        )

    def _store_hello(self) -> m.Hello:
        """Return a Hello with the highest fencing token of the owned slices."""
        highest_token = max(self.runtime.fencing_tokens.values(), default=0)
        return msgspec.structs.replace(self._hello(), highest_token=highest_token)

    def _on_endpoint_list_message(self, stream: Stream, message: AnyMessage) -> None:
        self.endpoint_watch.on_message(self.reactor.seconds(), stream, message)

    def _on_endpoint_list_lost(self, reason: str) -> None:
        self.endpoint_watch.on_lost(self.reactor.seconds(), reason)

    # Events and effects ---------------------------------------------------------------------------

    def _on_health_check_result(self, result: HealthCheckResult) -> None:
        self.runtime.add_events(self.reactor.seconds(), result)
        self.decision_loop.schedule()

    def _on_endpoints_changed(self) -> None:
        self.health_checkers.retain(self.runtime.endpoints)
        self.decision_loop.schedule()

    def _on_tables_changed(self, slice_ids: set[int]) -> None:
        self.store_client.send_changed_tables(slice_ids)

    def _run_handover(self, steps: HandoverSteps) -> None:
        assert self.handover_runner is not None
        self.handover_runner.run(steps)

    def _report_load(self) -> None:
        """Add the due load reports to the runtime, and schedule the next call."""
        now = self.reactor.seconds()
        self.runtime.add_events(now, *self.load_reports.drain_reports(now))
        if self.runtime.has_pending_events():
            self.decision_loop.schedule()
        self.reactor.callLater(self.settings.report_period_s, self._report_load)

    def _apply_effects(self, now: float, effects: Effects) -> None:
        """Carry out and log the effects of a round."""
        self.owned_tables.apply_writes(effects.batch, effects.weight_writes)
        updates = effects.proxy_updates
        if self.handover_runner is not None:
            handover = self.handover_runner.handover
            self.handover_runner.run(handover.add_batch(now, effects.batch, effects.weight_writes, updates))
            updates = []
        elif effects.weight_writes:
            self.store_client.write(effects.batch, effects.weight_writes)
        self.proxy_updates.send(updates)
        if self.settings.health_checks_enabled:
            for server_id in effects.health_checks:
                address = self.runtime.server_addresses.get(server_id, "")
                self.health_checkers.check(now, server_id, address)
        self.endpoint_watch.send_watch_requests(now, effects.watch_requests)
        for text in effects.log_messages:
            self.log.info("decision_module", text=text)
        self.decision_loop.log_decision(effects, len(updates), self.channel.queued_entries())

    def _log_stats(self) -> None:
        statistics = assigner_statistics(self.decision_loop, self.proxy_updates, self.peer_sessions)
        self.log.info("stats", **statistics)
        self.reactor.callLater(STATS_INTERVAL_S, self._log_stats)

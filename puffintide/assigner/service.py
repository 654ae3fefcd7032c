"""The assigner on sockets: streams in, effects out. What it decides comes from the module alone."""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from puffintide.assigner.channel import Channel
from puffintide.assigner.endpoint_list import EndpointList
from puffintide.assigner.handover import (
    FIRST_CHECKPOINT_ID,
    HandoverSteps,
    with_handover_budget,
    handover_for,
)
from puffintide.assigner.health_checks import HealthChecker
from puffintide.assigner.load_reports import LoadReportAggregator
from puffintide.assigner.proxy_updates import ProxyUpdateSender
from puffintide.assigner.runtime import Effects, Runtime
from puffintide.assigner.store_client import StoreClient
from puffintide.config.loader import Config, settings
from puffintide.decisions.actions import SetAdmission, SetWeight, SetWithdrawn
from puffintide.decisions.director import Director
from puffintide.decisions.events import (
    CheckpointAcknowledged,
    EndpointStatus,
    HealthCheckResult,
    HealthCheckStatus,
)
from puffintide.owned_tables import OwnedTables
from puffintide.protocol import messages as m
from puffintide.protocol.checks import NEWS_KINDS, wrong_sums
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.session import Greeting
from puffintide.protocol.stream import Acceptor, Dialler, Handler, Stream
from puffintide.replication.peer_observations import LocalFindings, EndpointListState
from puffintide.replication.peer_sessions import PeerSessions
from puffintide.replication.table_replicas import latest_tables
from puffintide.tls.context import Contexts
from puffintide.zones.director import ZonedDirector
from puffintide.zones.state import ZoneLimits

STATS_S = 5.0
REASONS_MOST = 5  # logged of one list
SHOWN_MOST = 200_000  # rows of copies, to an operator
RECOVER_S = 0.25  # pause of the module's rounds after one that failed
HANDOVER_S = 0.02  # how often a move under way is looked at


class AssignerService:
    """One assigner process. life: which start of it this is; rises with each."""

    def __init__(
        self, reactor: Any, config: Config, log: Any, life: int, tls: Contexts | None = None
    ) -> None:
        assert config.assigner is not None
        self.reactor, self.config, self.process, self.log, self.incarnation = (
            reactor,
            config,
            config.assigner,
            log,
            life,
        )
        self.tls = tls
        self.settings = settings(config, self.process.id, self.process.zone, self.process.seed)
        self.handover = handover_for(self.settings, config.charge.write_lease_s)
        if self.handover is not None:
            self.settings = with_handover_budget(self.settings)
        limits = ZoneLimits(config.zones.spill)
        self.zone_director = ZonedDirector(self.settings, limits) if config.zones.plan else None
        zoned = self.zone_director
        self.runtime = Runtime(self.settings, (lambda _: zoned) if zoned is not None else Director)
        self.owned_tables = OwnedTables()
        self.channel = Channel(
            self.settings.channel_entries_per_s,
            self.settings.channel_capacity_entries,
            self.settings.message_window_s,
        )
        self.proxy_updates = ProxyUpdateSender(reactor, self.channel)
        self.proxies = self.proxy_updates.streams
        self.load_reports = LoadReportAggregator(self.settings.report_entries_per_s)
        self.draw = random.Random(f"{self.process.seed}:{self.process.id}:{life}").random
        self.list: Stream | None = None
        self.endpoint_list = EndpointList(reactor, self.process.list_cache, log)
        self.health_checkers: dict[int, HealthChecker] = {}
        self.tick_at: Any = None
        self.handover_at: Any = None
        self.busy_s = 0.0
        self.rounds = 0
        self.decisions = 0
        self.peer_sessions = (
            PeerSessions(
                reactor, config.peers, self.process.id, life, self.settings.slice_count, log, self._to_store
            )
            if config.peers is not None
            else None
        )
        copies = self._copies if self.peer_sessions is not None else None
        self.store_client = StoreClient(
            reactor,
            self.process.id,
            self.runtime,
            self.owned_tables,
            self.load_reports,
            self.handover,
            log,
            self._schedule,
            self._step,
            copies,
        )

    # Streams ------------------------------------------------------------------------------------

    def hello(self) -> m.Hello:
        name = self.config.deployment.name
        return m.Hello(
            m.PROTOCOL_VERSION,
            "assigner",
            self.process.id,
            self.process.zone,
            name,
            incarnation=self.incarnation,
        )

    def store_hello(self) -> m.Hello:
        token = max(self.runtime.fencing_tokens.values(), default=0)
        return msgspec.structs.replace(self.hello(), highest_token=token)

    def factory(self) -> Acceptor:
        def me() -> m.Welcome:
            return m.Welcome(m.PROTOCOL_VERSION, "assigner", self.process.id, self.incarnation)

        return Acceptor(self.reactor, me, self._from_dialled, self._proxy_lost, self._judge)

    def _judge(self, hello: Greeting) -> str | None:
        assert isinstance(hello, m.Hello)
        if hello.role not in ("proxy", "operator") and (
            hello.role != "assigner" or self.peer_sessions is None
        ):
            return f"role {hello.role!r} is not served by an assigner"
        if hello.deployment != self.config.deployment.name:
            return f"deployment {hello.deployment!r} is not {self.config.deployment.name!r}"
        if hello.role == "proxy" and not 0 <= hello.id < 65535:
            return f"proxy number {hello.id} is not below 65535"
        return (
            self.peer_sessions.rejection_reason(hello)
            if self.peer_sessions is not None and hello.role == "assigner"
            else None
        )

    def start(self) -> None:
        self._load_list()
        if self.peer_sessions is None:
            self._to_store()
        else:  # first what the others hold, at most for a while, then charge
            self.peer_sessions.start(self._dial)
            self.reactor.callLater(self.peer_sessions.section.every_s, self._share)
        self._dial(self.process.list, self._from_list, self._list_lost)
        self._schedule(0.0)
        self.reactor.callLater(self.settings.report_period_s, self._gather)
        self.reactor.callLater(STATS_S, self._stats)

    def _to_store(self) -> None:
        self._dial(
            self.process.store, self.store_client.on_message, self.store_client.on_lost, self.store_hello
        )

    def _findings(self) -> LocalFindings:
        return LocalFindings(*self.runtime.director.findings())

    def _heard(self) -> EndpointListState:
        entries = self.runtime.endpoints
        return EndpointListState(
            {sid: entry.incarnation for sid, entry in entries.items()},
            {
                sid: received.received_at_s
                for sid, received in self.endpoint_list.entries.items()
                if self.endpoint_list.received_from_source
            },
            {sid for sid, entry in entries.items() if entry.status == EndpointStatus.DRAINING},
        )

    def _flush(self) -> None:
        assert self.peer_sessions is not None
        news = self.peer_sessions.exchange(
            self.runtime.fencing_tokens, self.owned_tables, self._findings(), self._heard()
        )
        if news:
            self.runtime.add_events(self.now(), *news)
            self._schedule()

    def _copies(self, changed: set[int] | None) -> Iterator[m.ReplicationDelta]:
        assert self.peer_sessions is not None
        self._flush()
        return latest_tables(self.peer_sessions.replica, self.now, changed)

    def _share(self) -> None:
        assert self.peer_sessions is not None
        changed = set(self.owned_tables.changed_slices)
        self._flush()
        self.store_client.send_changed_tables(changed)
        self.reactor.callLater(self.peer_sessions.section.every_s, self._share)

    def _dial(
        self,
        address: str,
        heard: Handler,
        lost: Callable[[str], None] | None,
        hello: Callable[[], m.Hello] | None = None,
        again: bool = True,
    ) -> Dialler:
        made = hello or self.hello
        return Dialler(self.reactor, address, made, heard, lost, self.draw, again=again, tls=self.tls).start()

    def now(self) -> float:
        return float(self.reactor.seconds())

    def _from_dialled(self, stream: Stream, message: AnyMessage) -> None:
        now = self.now()
        if self.peer_sessions is not None and (isinstance(message, m.Hello) and message.role == "assigner"):
            self.peer_sessions.on_message(stream, message)
            return
        match message:
            case m.VersionDigest() | m.ReplicationDelta() if (
                self.peer_sessions and stream.tag and stream.tag[0] == "assigner"
            ):
                self.peer_sessions.on_message(stream, message)
            case m.ReplicaRequest() if self.peer_sessions and stream.tag and stream.tag[0] == "operator":
                for piece in self.peer_sessions.replica.deltas_for(now, [], SHOWN_MOST):
                    stream.send(piece)
                stream.send(m.VersionDigest(self.peer_sessions.replica.digest()))
            case m.Hello(role="proxy"):
                self._proxy_joined(now, stream, message)
            case m.Hello():
                stream.tag = (message.role, message.id)
            case m.ZoneStatusRequest() if stream.tag and stream.tag[0] == "operator":
                stream.send(self._zones(now))
            case m.UsageReport() if stream.tag and stream.tag[0] == "proxy":
                zone = self.runtime.proxy_zones.get(stream.tag[1])
                wrong = wrong_sums(message, self.settings.slice_count, len(self.settings.request_classes))
                if wrong is not None:
                    stream.refuse(f"sums: {wrong}")
                elif zone is not None:
                    self.load_reports.add_usage(now, zone, message)
            case m.CheckpointReply(mark) if (
                stream.tag and stream.tag[0] == "proxy" and mark >= FIRST_CHECKPOINT_ID
            ):
                if self.handover is not None:
                    self._step(self.handover.on_checkpoint_reply(now, stream.tag[1], mark))
            case m.CheckpointReply() if stream.tag and stream.tag[0] == "proxy":
                took = self.proxy_updates.on_checkpoint_reply(message.checkpoint_id)
                self.runtime.add_events(
                    now, CheckpointAcknowledged(stream.tag[1], message.checkpoint_id, took)
                )
                self._schedule()
            case _:
                stream.refuse(f"a {type(message).__name__} is not for an assigner")

    def _zones(self, now: float) -> m.ZoneStatusReport:
        states = self.zone_director.plan.states() if self.zone_director is not None else []
        rows = [
            m.ZoneStatus(
                s.zone,
                s.phase.value,
                s.cause,
                round(s.available_fraction, 4),
                round(s.min_capacity_fraction, 4),
                round(s.max_capacity_fraction, 4),
                round(max(0.0, s.held_until_s - now), 3),
                s.flap_count,
                list(s.spillover),
                round(s.unplaced_fraction, 4),
            )
            for s in states
        ]
        return m.ZoneStatusReport(self.process.id, self.zone_director is not None, rows)

    def _proxy_joined(self, now: float, stream: Stream, hello: m.Hello) -> None:
        old = self.proxies.get(hello.id)
        if old is not None:
            old.tag = None
            old.abort("its proxy dialled anew")
            self._forget_proxy(now, hello.id)
        self.proxy_updates.add_proxy(hello.id, stream)
        if self.handover is not None:
            self._step(self.handover.on_proxy_connected(now, hello.id))
        self.runtime.on_proxy_connected(now, hello.id, hello.zone, 0.0, hello.first_connection)
        self.log.info("proxy_joined", proxy=hello.id, zone=hello.zone, fresh=hello.first_connection)
        self._schedule()

    def _forget_proxy(self, now: float, proxy: int) -> None:
        self.proxy_updates.remove_proxy(proxy)
        if self.handover is not None:
            self._step(self.handover.on_proxy_disconnected(now, proxy))
        self.runtime.on_proxy_disconnected(now, proxy)

    def _proxy_lost(self, stream: Stream, why: AnyMessage) -> None:
        if stream.tag and stream.tag[0] == "proxy" and self.proxies.get(stream.tag[1]) is stream:
            self._forget_proxy(self.now(), stream.tag[1])
            self.log.warning("proxy_left", proxy=stream.tag[1], reason=stream.reason)
            self._schedule()

    def _from_list(self, stream: Stream, message: AnyMessage) -> None:
        match message:
            case m.Welcome():
                self.list = stream
                self.log.info("list_reached")
                if not self.settings.watch_on_request:
                    stream.send(m.WatchRequest(True, self.endpoint_list.version))
                elif (
                    not self.runtime.has_endpoint_list
                ):  # a first list, as the module is promised one at its start
                    stream.send(m.SnapshotRequest())
            case m.WatchEvent() if message.update_type not in NEWS_KINDS:
                stream.refuse(f"news of kind {message.update_type[:20]!r}; there are {', '.join(NEWS_KINDS)}")
            case m.WatchEvent():
                for reason in self.runtime.on_watch_event(self.now(), message)[:REASONS_MOST]:
                    self.log.warning("entry_refused", reason=reason)
                if message.update_type != "failed":
                    self.endpoint_list.on_watch_event(message)
                for server in sorted(self.health_checkers.keys() - self.runtime.endpoints.keys()):
                    self.health_checkers.pop(server).stop()
                states = {e.server_id: e.status for e in message.servers}
                self.log.info("list", kind=message.update_type, version=message.version, states=states)
                self._schedule()

    def _load_list(self) -> None:
        news = self.endpoint_list.load()
        if news is not None:
            self.runtime.on_watch_event(self.now(), news)
            self.log.info("list", kind="cached", version=news.version, servers=len(news.servers))

    def _list_lost(self, why: str) -> None:
        if self.list is not None:
            self.log.warning("list_lost", reason=why)
            if self.settings.watch_on_request:
                self.runtime.on_watch_event(self.now(), m.WatchEvent("failed", self.endpoint_list.version))
        self.list = None

    # Ticks --------------------------------------------------------------------------------------

    def _schedule(self, after_s: float | None = None) -> None:
        """Events of one tick are one batch, so that a burst of news makes one round."""
        if after_s is None:
            after_s = self.process.tick_s
        if self.tick_at is not None and self.tick_at.active():
            if self.tick_at.getTime() <= self.now() + after_s:
                return
            self.tick_at.cancel()
        self.tick_at = self.reactor.callLater(after_s, self._tick)

    def _tick(self) -> None:
        began = self.now()
        cpu = os.times()
        try:
            effects = self.runtime.tick(began)
            if effects is not None:
                self._act(began, effects)
        except Exception as error:  # a round that failed must not be the last one
            self.log.error("round_failed", error=f"{type(error).__name__}: {error}")
            self.reactor.callLater(RECOVER_S, self._recover)
        after = os.times()
        self.busy_s += after.user + after.system - cpu.user - cpu.system
        timer = self.runtime.next_timer_at()
        if self.runtime.has_pending_events():
            self._schedule()
        elif timer is not None:
            self._schedule(max(0.001, timer - self.now()))

    def _recover(self) -> None:
        self.runtime.restart_rounds(self.now())
        self._schedule()

    def _act(self, now: float, effects: Effects) -> None:
        self.rounds += 1
        self.owned_tables.apply_writes(effects.batch, effects.weight_writes)
        if self.handover is not None:
            self._step(
                self.handover.add_batch(now, effects.batch, effects.weight_writes, effects.proxy_updates)
            )
            effects.proxy_updates = []
        elif effects.weight_writes:
            self.store_client.write(effects.batch, effects.weight_writes)
        self.proxy_updates.send(effects.proxy_updates)
        for server in effects.health_checks:
            self._probe(now, server)
        if self.list is not None:
            for on in effects.watch_requests:
                self.list.send(m.WatchRequest(on, self.endpoint_list.version))
        elif effects.watch_requests:
            self.runtime.on_watch_event(now, m.WatchEvent("failed", self.endpoint_list.version))
        for text in effects.log_messages:
            self.log.info("module", text=text)
        self._log_decision(now, effects)

    def _step(self, steps: HandoverSteps) -> None:
        """Slices with one writer: what a move does now."""
        assert self.handover is not None
        for batch, lines in steps.writes if self.store_client.stream is not None else ():
            self.store_client.write(batch, lines)
        if steps.proxy_updates:
            self.proxy_updates.send(steps.proxy_updates)
        if self.handover.migrations and (self.handover_at is None or not self.handover_at.active()):
            self.handover_at = self.reactor.callLater(HANDOVER_S, self._handover_due)

    def _handover_due(self) -> None:
        assert self.handover is not None
        self._step(self.handover.advance(self.now()))

    def _log_decision(self, now: float, effects: Effects) -> None:
        kinds = (SetWeight, SetWithdrawn, SetAdmission)
        told = [a for a in effects.actions if isinstance(a, kinds)]
        if not told:
            return
        causes: dict[str, int] = {}
        for event in effects.events:
            causes[type(event).__name__] = causes.get(type(event).__name__, 0) + 1
        self.decisions += 1
        self.log.info(
            "decision",
            round=effects.batch,
            cause=causes,
            actions=[{type(a).__name__: [getattr(a, f) for f in a.__slots__]} for a in told[:200]],
            more=max(0, len(told) - 200),
            proxies=len(effects.proxy_updates),
            waiting=round(self.channel.queued_entries()),
            after_ms=round((self.now() - effects.first_event_at_s) * 1000, 2),
        )

    # Reports and probes -------------------------------------------------------------------------

    def _gather(self) -> None:
        now = self.now()
        self.runtime.add_events(now, *self.load_reports.drain_reports(now))
        if self.runtime.has_pending_events():
            self._schedule()
        self.reactor.callLater(self.settings.report_period_s, self._gather)

    def _probe(self, now: float, server: int) -> None:
        address = self.runtime.server_addresses.get(server, "")
        if not address or not self.settings.health_checks_enabled:
            return
        prober = self.health_checkers.get(server)
        if prober is None or prober.address != address:
            if prober is not None:
                prober.stop()
            prober = self.health_checkers[server] = HealthChecker(
                self.reactor,
                address,
                self.hello,
                self.config.probes.timeout_s,
                self.tls,
                lambda *what: self.probed(server, *what),
            )
        prober.check(now)

    def probed(self, server: int, status: int, took_s: float, values: tuple[float, ...]) -> None:
        self.runtime.add_events(
            self.now(), HealthCheckResult(server, HealthCheckStatus(status), took_s, values)
        )
        self._schedule()

    def _stats(self) -> None:
        self.log.info(
            "stats",
            cpu_s=round(sum(os.times()[:2]), 3),
            module_s=round(self.busy_s, 3),
            rounds=self.rounds,
            orders=self.decisions,
            proxies=len(self.proxies),
            slices=len(self.runtime.fencing_tokens),
            waiting=round(self.channel.queued_entries()),
            most_waiting=round(self.channel.max_queued_entries),
            messages=self.channel.messages_sent,
            most_messages=self.channel.max_messages_per_window,
            applied_late_s=round(self.proxy_updates.max_checkpoint_delay_s, 3),
            rss_kb=rss_kb(),
            **({"copies": self.peer_sessions.counts()} if self.peer_sessions is not None else {}),
        )
        self.reactor.callLater(STATS_S, self._stats)


def rss_kb() -> int:
    """Memory of this process, KiB, from the system's page counts."""
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * 4

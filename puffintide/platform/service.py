"""One real assigner: wires the parts to the runtime that holds the module. It decides nothing."""

from __future__ import annotations

import json
import os
import resource
import time
from collections.abc import Callable
from typing import Any

from puffintide.assigner.runtime import Effects, Runtime
from puffintide.decisions.director import Director
from puffintide.decisions.events import (
    CheckpointAcknowledged,
    EndpointStatus,
    Event,
    HealthCheckResult,
    HealthCheckStatus,
    StoredWeight,
)
from puffintide.platform import messages as m
from puffintide.platform import relay_outbox as relay
from puffintide.platform.config import Config, ConfigError, address, load
from puffintide.platform.endpoint_list import BEHIND_S, Listing
from puffintide.platform.health_check_client import Prober
from puffintide.platform.http_exchange import Unreadable
from puffintide.platform.identifiers import Hosts
from puffintide.platform.lifecycle import Lifecycle, reloaded
from puffintide.platform.listener import Listener
from puffintide.platform.relay_client import Caller
from puffintide.platform.relay_state import Changes, read_anew, table_anew
from puffintide.platform.relay_watch import NewsFeed
from puffintide.platform.watch_stream import Watch
from puffintide.protocol.messages import SliceOwnership, TableEntry
from puffintide.protocol.messages import WatchEvent as ListNews

EPOCH_S = 1e6  # added to the monotonic clock: times before the machine started are still above 0
TICK_S = 0.004  # what comes in within so long is one batch
READY_S = 3.0  # after so long without news of the relay, signs of life are given all the same
LIST_SILENT_S = 3.5  # discovery writes at least every 2 s
STOP_S = 0.2  # the most that the end waits for a call on its way
STATS_S = 5.0
FORGET_S = 20.0
PROBES_OVER_S = 0.15  # a round's probes go out over so long, and are answered before the next round begins
RECOVER_S = 0.25  # pause of the module's rounds after one that failed
TOLD_S = 2.0  # a line sent so lately may not be in what stands yet
RESERVE = 64  # descriptors for discovery, relay, collectors and the process itself, beside those for probes
BURST = 40  # taken in one turn, before those that give way to them are closed
STRANGERS_MOST = 400  # more cost memory, and none of them is owed a second


class Service:
    def __init__(
        self,
        reactor: Any,
        config: Config,
        path: str,
        log: Callable[..., None],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.wall = wall
        self.reactor, self.config, self.path, self.log = reactor, config, path, log
        self.settings, self.names = config.settings, config.names
        self.hosts = Hosts()
        self.runtime = Runtime(self.settings)
        self.outbox = relay.Outbox(self.settings.max_messages_per_window, self.settings.message_window_s)
        self.caller = Caller(reactor, config.relay, self.outbox, log)
        tasks = (
            len(config.known["hosts"]) if config.known and isinstance(config.known.get("hosts"), list) else 0
        )
        room = max(16, min(config.sockets - RESERVE - 2 * tasks - BURST, STRANGERS_MOST))
        self.listener = Listener(reactor, self.names.zones, self._report, log, room)
        self.news = NewsFeed(
            reactor, config.relay, self._changes, lambda: reactor.callLater(0, self._serve), log
        )
        self.list_watch = Watch(
            reactor,
            config.discovery,
            self._list_target,
            self._list_opened,
            self._members,
            self._list_lost,
            LIST_SILENT_S,
        )
        self.lifecycle, self.listing = Lifecycle(), Listing()
        self.port: Any = None
        self.probers: dict[int, Prober] = {}
        self._to_probe: list[int] = []
        self._probe_pause_s = 0.0
        self._tick_at: Any = None
        self._sent: dict[relay.Key, float] = {}  # lines handed to the outbox lately
        self.rounds = 0
        self.round_most_s = self.round_cpu_s = self.late_most_s = 0.0
        self.reports = {"heard": 0, "heat": 0}

    def now(self) -> float:
        return float(self.reactor.seconds()) + EPOCH_S

    # Start and end ------------------------------------------------------------------------------

    def start(self) -> None:
        host, port = self.config.listen
        self.port = self.reactor.listenTCP(port, self.listener, backlog=512, interface=host)
        self.listener.start(self.port)
        if self.config.known is not None:
            self._take_members(json.dumps(self.config.known).encode(), known=True)
        self.list_watch.start()
        self.news.watch.start()
        self.reactor.callLater(READY_S, self._serve)
        self.reactor.callLater(STATS_S, self._stats)
        self.reactor.callLater(FORGET_S, self._forget)
        self._schedule(0.0)
        self.log("started", listen=f"{host}:{port}", pid=os.getpid(), slices=self.settings.slice_count)

    def _serve(self) -> None:
        if self.lifecycle.ready():
            self.log("serving", listed=self.runtime.has_endpoint_list, news=self.news.settled)
            self.listener.serve()

    def reload(self) -> None:
        """SIGHUP. A file that can't be used leaves what is in force."""
        if not self.lifecycle.running:
            return
        try:
            new = load(self.path)
        except ConfigError as error:
            self.log("reload_refused", reason=str(error))
            return
        self.config, waiting = reloaded(self.config, new)
        for key in waiting:
            self.log("reload_ignored", key=key, reason="stays as it is until a restart")
        self.log("reloaded", discovery=str(new.discovery), relay=str(new.relay))
        self.caller.address = new.relay
        self.news.watch.move(new.relay)
        self.list_watch.move(new.discovery)

    def stop(self) -> None:
        """SIGTERM. Nothing new begins: no round, no call, no probe, no stream, and who connects is refused. A call
        on its way is let end, as that costs no time."""
        if not self.lifecycle.terminate():
            return
        self.log("stopping", waiting=len(self.outbox))
        self.port.stopListening()
        self.listener.stop()
        self.news.stop()
        self.list_watch.stop()
        for prober in self.probers.values():
            prober.stop()
        self._tick_stop()
        self.reactor.callLater(STOP_S, self._end)
        self.caller.stop(lambda: self.reactor.callLater(0, self._end))

    def _end(self) -> None:
        if self.lifecycle.ended():
            self.reactor.stop()

    # Discovery ----------------------------------------------------------------------------------

    def _list_target(self) -> str:
        return f"/catalog/members?follow=1&since={self.listing.version}"

    def _list_opened(self) -> None:
        self.log("list_watch", since=self.listing.version)

    def _list_lost(self, why: str) -> None:
        self.log("list_watch_lost", reason=why)

    def _members(self, line: bytes) -> None:
        if line.strip():
            self._take_members(line)

    def _take_members(self, text: bytes, known: bool = False) -> None:
        try:
            told = m.read_members(text, self.names, self.hosts, self.wall() * 1000)
        except (m.Invalid, m.Unreadable) as error:
            self.log("list_refused", reason=str(error))
            if not known:  # its changes are lost with it: they are asked for again, from the version held
                raise Unreadable("a list that can't be read") from None
            return
        behind = self.listing.behind_since
        kind = self.listing.take(self.now(), told, known)
        if kind is None:
            if behind != self.listing.behind_since:
                self.log("list_behind", version=told.seq, held=self.listing.version)
                self.reactor.callLater(BEHIND_S, self._list_behind)
            return
        news = ListNews(kind, told.seq, told.entries)
        for reason in [*told.bad, *self.runtime.on_watch_event(self.now(), news)][:5]:
            self.log("entry_refused", reason=reason)
        for number in sorted(self.probers.keys() - self.runtime.endpoints.keys()):
            self.probers.pop(number).stop()
        states = {
            self.hosts.name(e.server_id): e.status for e in told.entries if e.status != EndpointStatus.READY
        }
        self.log("list", kind=kind, version=told.seq, entries=len(told.entries), states=states)
        self._schedule()

    def _list_behind(self) -> None:
        """An agent that has not caught up is asked once more for all it has."""
        if self.listing.behind_since is not None and self.list_watch.up is not None:
            self.list_watch.up.drop("behind")

    # The relay's news ---------------------------------------------------------------------------

    def _changes(self, changes: Changes) -> None:
        if not changes:
            return
        now = self.now()
        for number in changes.left:
            self.runtime.on_proxy_disconnected(now, number)
        for row in changes.joined:
            zone = self.names.zones.get(row.az)
            if zone is None:
                self.log("news_refused", reason=f"zone {row.az[:40]!r} of proxy {row.sidecar}")
                continue
            self.runtime.on_proxy_connected(now, row.sidecar, zone, row.share, row.standing)
        for number in changes.taken:
            self.outbox.void(number)
            self.runtime.on_ownership_revoked(now, number)
        for number, table in sorted(changes.given.items()):
            self._given(now, number, table)
        for number, lines in sorted(changes.late.items()):
            self._late(now, number, lines)
        for number, table in sorted(changes.again.items()):
            self._compare(now, number, table)
        for news in changes.applied:
            self.runtime.add_events(
                now, CheckpointAcknowledged(news.sidecar, news.version, max(0.0, news.lag_ms / m.MS))
            )
        if changes.taken or changes.given or len(changes.joined) > 1:
            self.log(
                "standing",
                taken=len(changes.taken),
                given=len(changes.given),
                again=len(changes.again),
                proxies=len(self.news.standing.proxies),
                slices=len(self.news.standing.slices),
            )
        self._schedule()

    def _given(self, now: float, number: int, table: dict[str, float]) -> None:
        self.outbox.void(number)
        lines = [TableEntry(self.hosts.number(host), share) for host, share in sorted(table.items())]
        self.runtime.on_ownership_granted(now, SliceOwnership(number, 1, self.settings.assigner_index, lines))

    def _ours(self, number: int) -> set[int]:
        """Servers whose lines of a slice are on their way, or were sent so lately that the store may be behind."""
        late = self.reactor.seconds() - TOLD_S
        return {k[2] for k, at in self._sent.items() if k[1] == number and at > late} | self.outbox.servers(
            number
        )

    def _late(self, now: float, number: int, lines: dict[str, float]) -> None:
        """Further lines of a table that was passed on: the store has them beside what is known."""
        ours = self._ours(number)
        told = {self.hosts.number(host): share for host, share in sorted(lines.items())}
        self.log("lines_late", slice=number, lines=len(lines))
        self.runtime.add_events(now, *(StoredWeight(number, s, w) for s, w in told.items() if s not in ours))

    def _compare(self, now: float, number: int, table: dict[str, float]) -> None:
        stored = {self.hosts.number(host): share for host, share in table.items() if share > 0}
        decider = self.runtime.director
        view = decider.slices.get(number) if isinstance(decider, Director) else None
        believed = view.weights if view is not None else {}
        ours = self._ours(number)
        if read_anew(stored, believed, ours):
            self.log("table_differs", slice=number, stored=len(stored), believed=len(believed))
            lines = [TableEntry(s, share) for s, share in sorted(table_anew(stored, believed, ours).items())]
            self.runtime.on_ownership_granted(
                now, SliceOwnership(number, 1, self.settings.assigner_index, lines)
            )

    # Collectors and probes ----------------------------------------------------------------------

    def _report(self, message: m.Line) -> None:
        try:
            if isinstance(message, m.Heard):
                event: Event = m.load_report(message, self.names, self.hosts)
                self.reports["heard"] += 1
            elif isinstance(message, m.Heat):
                event = m.slice_heat(message, self.names, self.settings.slice_count)
                self.reports["heat"] += 1
            else:
                return
        except m.Invalid as error:
            self.listener.spoilt(str(error))
            return
        self.runtime.add_events(self.now(), event)
        self._schedule()

    def _probe_next(self) -> None:
        """One after another with a pause, so that answers are read, and timed, in between: sent together, the last
        would be timed with the work on the others' answers in it."""
        if not self._to_probe or not self.lifecycle.running:
            return
        server = self._to_probe.pop(0)
        if self._to_probe:
            self.reactor.callLater(self._probe_pause_s, self._probe_next)
        told = self.runtime.server_addresses.get(server, "")
        if not told or not self.settings.health_checks_enabled:
            return
        try:
            dial = address(told, "dial")
        except ConfigError:
            return
        prober = self.probers.get(server)
        if prober is None or prober.address != dial:
            if prober is not None:
                prober.stop()
            target = "/_load" if self.settings.load_value_names else "/ping"

            def done(status: int, took_s: float, report: dict[str, float]) -> None:
                self.runtime.add_events(
                    self.now(),
                    HealthCheckResult(server, HealthCheckStatus(status), took_s, self.names.values(report)),
                )
                self._schedule()

            prober = self.probers[server] = Prober(self.reactor, dial, target, done)
        prober.probe()

    # Ticks --------------------------------------------------------------------------------------

    def _tick_stop(self) -> None:
        if self._tick_at is not None and self._tick_at.active():
            self._tick_at.cancel()

    def _schedule(self, after_s: float = TICK_S) -> None:
        if not self.lifecycle.running:
            return
        if self._tick_at is not None and self._tick_at.active():
            if self._tick_at.getTime() <= self.reactor.seconds() + after_s:
                return
            self._tick_at.cancel()
        self._tick_at = self.reactor.callLater(after_s, self._tick)

    def _tick(self) -> None:
        began, cpu = self.now(), time.process_time()
        due = self.runtime.next_timer_at()
        if due is not None and due <= began:
            self.late_most_s = max(self.late_most_s, began - due)
        try:
            effects = self.runtime.tick(began)
            if effects is not None:
                self._act(effects)
        except Exception as error:  # a round that failed must not be the last one
            self.log("round_failed", error=f"{type(error).__name__}: {error}", place=place(error))
            self.reactor.callLater(RECOVER_S, self._recover)
        self.round_most_s = max(self.round_most_s, self.now() - began)
        self.round_cpu_s += time.process_time() - cpu
        timer = self.runtime.next_timer_at()
        if self.runtime.has_pending_events():
            self._schedule()
        elif timer is not None:
            self._schedule(max(0.001, timer - self.now()))

    def _recover(self) -> None:
        self.runtime.restart_rounds(self.now())
        self._schedule()

    def _act(self, effects: Effects) -> None:
        self.rounds += 1
        if effects.actions:
            orders, wrong = relay.orders(
                effects.actions, self.names, self.hosts.name, self.runtime.fencing_tokens
            )
            for reason in wrong:
                self.log("order_unsaid", reason=reason)
            if orders:
                now = self.reactor.seconds()
                self._sent.update((o.key, now) for o in orders if o.key[0] == "line")
                self.outbox.put(orders)
                self.caller.send_next()
                self.log(
                    "decision",
                    orders=len(orders),
                    proxies=len(self.runtime.proxy_zones),
                    withdrawals=[o.text.decode() for o in orders if o.key[0] == "server"][:5],
                    after_ms=round((self.now() - effects.first_event_at_s) * 1000, 2),
                )
        if effects.health_checks and self.news.standing.in_service:
            idle = not self._to_probe
            self._to_probe += effects.health_checks
            self._probe_pause_s = PROBES_OVER_S / len(self._to_probe)
            if idle:
                self.reactor.callLater(0, self._probe_next)
        for text in effects.log_messages:
            self.log("module", text=text)

    # Upkeep -------------------------------------------------------------------------------------

    def _forget(self) -> None:
        """What the module has forgotten is forgotten here."""
        self.reactor.callLater(FORGET_S, self._forget)
        decider = self.runtime.director
        kept = set(self.runtime.endpoints) | self.runtime.pending_server_ids()
        if isinstance(decider, Director):
            kept |= decider.servers.keys()
            for view in decider.slices.values():
                kept |= view.weights.keys()
        self.hosts.keep(kept)
        late = self.reactor.seconds() - TOLD_S
        self._sent = {k: at for k, at in self._sent.items() if at > late}

    def _stats(self) -> None:
        self.reactor.callLater(STATS_S, self._stats)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.log(
            "stats",
            cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
            round_cpu_s=round(self.round_cpu_s, 2),
            rss_mb=round(rss_mb(), 1),
            descriptors=len(os.listdir("/proc/self/fd")),
            rounds=self.rounds,
            round_most_ms=round(self.round_most_s * 1000, 1),
            late_most_ms=round(self.late_most_s * 1000, 1),
            proxies=len(self.runtime.proxy_zones),
            slices=len(self.runtime.fencing_tokens),
            servers=len(self.runtime.endpoints),
            hosts=len(self.hosts),
            probers=len(self.probers),
            reports=dict(self.reports),
            peers=dict(self.listener.counts),
            calls=self.caller.calls,
            unsure=self.outbox.unsure_calls,
            waiting=len(self.outbox),
            call_most_ms=round(self.caller.took_most_s * 1000, 1),
            stray=self.news.standing.stray,
        )
        self.round_most_s = self.late_most_s = self.caller.took_most_s = 0.0


def rss_mb() -> float:
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() / 1e6


def place(error: BaseException) -> str:
    """Where it was raised."""
    tb = error.__traceback__
    while tb is not None and tb.tb_next is not None:
        tb = tb.tb_next
    return f"{os.path.basename(tb.tb_frame.f_code.co_filename)}:{tb.tb_lineno}" if tb is not None else "?"

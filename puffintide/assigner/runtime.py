"""Turns what came in into the module's events, and the module's actions into effects. No I/O, no clock.

Everything that happens between two ticks is one batch of events, as on the bench; what the module orders in its
answer becomes one message for each proxy. The runtime decides nothing.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from puffintide.decisions.actions import (
    Action,
    LogMessage,
    SendCheckpoint,
    SendHealthCheck,
    SetAdmission,
    SetTimer,
    SetWeight,
    SetWithdrawn,
    WatchEndpoints,
)
from puffintide.decisions.director import Director
from puffintide.decisions.events import (
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ListUpdateType,
    OwnershipChanged,
    ProxyConnected,
    ProxyDisconnected,
    StoredWeight,
    TimerFired,
)
from puffintide.decisions.settings import Settings
from puffintide.protocol.checks import sound_entries
from puffintide.protocol.messages import (
    AdmissionLevel,
    EndpointEntry,
    ProxyUpdate,
    SliceOwnership,
    WatchEvent,
    WeightEntry,
)

FEW = 64  # servers no longer listed that may be remembered, beside as many as are
EARLY_MOST = 1_000_000  # events kept before the first list


class Decider(Protocol):
    """What the runtime needs of the module."""

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]: ...

    def findings(self) -> tuple[float | None, dict[int, int]]: ...


@dataclass(slots=True)
class Effects:
    """What a tick asks the service to do, in this order."""

    writes: list[WeightEntry] = field(default_factory=list)  # to the store
    orders: list[tuple[int, ProxyUpdate]] = field(default_factory=list)  # (proxy, message) for the channel
    probes: list[int] = field(default_factory=list)
    watch: list[bool] = field(default_factory=list)
    logs: list[str] = field(default_factory=list)
    batch: int = 0
    events: tuple[Event, ...] = ()
    actions: tuple[Action, ...] = ()
    heard_at: float = 0.0  # when the first event of the batch came in


class Runtime:
    """Holds what one assigner knows of its streams; nothing of it outlives the process."""

    def __init__(
        self, settings: Settings, make: Callable[[Settings], Decider] = Director, batch: int = 0
    ) -> None:
        self.settings = settings
        self.decider = make(settings)
        self.batch = batch
        self.proxies: dict[int, int] = {}  # zone by proxy
        self.addresses: dict[int, str] = {}
        self.zones: dict[int, int] = {}
        self.entries: dict[int, EndpointEntry] = {}  # as listed now, each the last good one
        self.tokens: dict[int, int] = {}  # slices in charge
        self.tenures: dict[int, int] = {}  # first token of the unbroken tenure of each
        self._started: dict[int, tuple[int, float]] = {}  # by server: its life, when that began
        self._events: list[Event] = []
        self._heard_at = 0.0
        self.listed = (
            False  # until then nothing is told: a module without a list would take all servers for gone
        )
        self._timers: list[tuple[float, int, int]] = []
        self._timer_count = 0

    # What comes in ------------------------------------------------------------------------------

    def hear(self, now: float, *events: Event) -> None:
        if not self._events:
            self._heard_at = now
        self._events.extend(events)

    def news(self, now: float, news: WatchEvent) -> list[str]:
        """A list from outside. Ages become times on our own clock once for each life of a server. Entries that
        can't be are passed over, with the reasons given back: what was last told of such a server stands."""
        update_type = ListUpdateType(news.update_type)
        good, reasons = self._good(news)
        servers = []
        for e in good:
            self.addresses[e.server_id] = e.address or self.addresses.get(e.server_id, "")
            self.zones[e.server_id] = e.zone
            servers.append(
                Endpoint(
                    e.server_id,
                    e.zone,
                    e.server_type,
                    e.cell,
                    EndpointStatus(e.status),
                    e.weight,
                    self._start(now, e),
                )
            )
        for known in (self.addresses, self.zones, self._started):  # each machine has an id of its own
            if len(known) > 2 * len(self.entries) + FEW and news.update_type != "failed":
                for sid in known.keys() - self.entries.keys():
                    del known[sid]
        if not self.listed and news.update_type != "failed":
            self.listed = True
            self._events.insert(0, EndpointListUpdate(update_type, news.version, tuple(servers)))
        else:
            self.hear(now, EndpointListUpdate(update_type, news.version, tuple(servers)))
        return reasons

    def _good(self, news: WatchEvent) -> tuple[list[EndpointEntry], list[str]]:
        if news.update_type == "failed":
            return [], []
        good, bad = sound_entries(news.servers, self.settings.zone_count)
        if news.update_type == "delta":
            self.entries |= good
        else:  # a server whose entry can't be is not one that is missing
            self.entries = good = {k: e for k, e in self.entries.items() if k in bad} | good
        self.entries = {k: e for k, e in self.entries.items() if e.status != EndpointStatus.REMOVED}
        return list(good.values()), [bad[k] for k in sorted(bad)]

    def _start(self, now: float, entry: EndpointEntry) -> float:
        if entry.age_s < 0:
            return 0.0
        life, began = self._started.get(entry.server_id, (-1, 0.0))
        if life != entry.incarnation:
            life, began = self._started[entry.server_id] = entry.incarnation, now - entry.age_s
        return began

    def charge(self, now: float, charge: SliceOwnership) -> bool:
        """A slice is given, with its table. In an unbroken tenure (True) it has been ours all the time, whatever
        the store missed: the module goes on with the table it knows."""
        held = charge.slice_id in self.tokens
        goes_on = held and charge.tenure_token and self.tenures.get(charge.slice_id) == charge.tenure_token
        self.tokens[charge.slice_id], self.tenures[charge.slice_id] = (
            charge.fencing_token,
            charge.tenure_token,
        )
        if goes_on:
            return True
        self.addresses |= {h.server_id: h.address for h in charge.entries if h.address}
        stored = [StoredWeight(charge.slice_id, h.server_id, h.weight) for h in charge.entries]
        self.hear(now, OwnershipChanged(charge.slice_id, True), *stored)
        return False

    def taken(self, now: float, number: int) -> None:
        if self.tokens.pop(number, None) is not None:
            self.hear(now, OwnershipChanged(number, False))

    def joined(self, now: float, proxy: int, zone: int, rate: float, fresh: bool) -> None:
        self.proxies[proxy] = zone
        self.hear(now, ProxyConnected(proxy, zone, rate, fresh))

    def left(self, now: float, proxy: int) -> None:
        if self.proxies.pop(proxy, None) is not None:
            self.hear(now, ProxyDisconnected(proxy))

    # Ticks --------------------------------------------------------------------------------------

    def next_timer(self) -> float | None:
        return self._timers[0][0] if self._timers else None

    def revive(self, now: float) -> None:
        """After a round that failed: its timer is lost with it, and without one the module's rounds end. Where one
        stands, what failed was not the module, and a second would double its rounds for good."""
        if self.next_timer() is None:
            self.hear(now, TimerFired(0))

    def busy(self) -> bool:
        return self.listed and bool(self._events)

    def waiting_servers(self) -> set[int]:
        """Those that events name which the module has not been handed yet."""
        return {e.server_id for e in self._events if isinstance(e, StoredWeight)}

    def tick(self, now: float) -> Effects | None:
        """Hands the waiting events and due timers to the module; None when there was nothing."""
        while self._timers and self._timers[0][0] <= now:
            _, _, name = heapq.heappop(self._timers)
            self.hear(now, TimerFired(name))
        if not self.listed:
            kept = (OwnershipChanged, StoredWeight, ProxyConnected, ProxyDisconnected)
            early: list[Event] = [e for e in self._events if isinstance(e, kept)]
            self._events = early[-EARLY_MOST:]
            return None
        if not self._events:
            return None
        events, self._events = tuple(self._events), []
        actions = tuple(self.decider.handle(now, events))
        self.batch += 1
        effects = Effects(batch=self.batch, events=events, actions=actions, heard_at=self._heard_at)
        self._carry_out(now, actions, effects)
        return effects

    def _carry_out(self, now: float, actions: tuple[Action, ...], out: Effects) -> None:
        withdrawals: dict[int, bool] = {}
        levels: list[AdmissionLevel] = []
        mark: int | None = None
        for action in actions:
            match action:
                case SetTimer(after_s, name):
                    self._timer_count += 1
                    heapq.heappush(self._timers, (now + after_s, self._timer_count, name))
                case SendHealthCheck(server):
                    out.probes.append(server)
                case WatchEndpoints(on):
                    out.watch.append(on)
                case LogMessage(text):
                    out.logs.append(text)
                case SendCheckpoint(number):
                    mark = number
                case SetWeight(table, server, weight) if table in self.tokens:
                    out.writes.append(self._line(table, server, weight))
                case SetWithdrawn(server, gone):
                    withdrawals[server] = gone
                case SetAdmission(table, classes, level, retry):
                    levels.append(AdmissionLevel(table, classes, level, retry))
        told = [s for s, gone in sorted(withdrawals.items()) if gone]
        back = [s for s, gone in sorted(withdrawals.items()) if not gone]
        size = len(out.writes) + len(told) + len(back) + len(levels)
        if not size:
            return
        cost = size + (mark is not None) + self.settings.channel_header_entries
        order = ProxyUpdate(
            self.batch,
            now,
            cost,
            out.writes,
            withdrawn_servers=told,
            readmitted_servers=back,
            admission_levels=levels,
            checkpoint_id=mark,
        )
        out.orders = [(proxy, order) for proxy in sorted(self.proxies)]

    def _line(self, table: int, server: int, weight: float) -> WeightEntry:
        address, zone = self.addresses.get(server, ""), self.zones.get(server, -1)
        return WeightEntry(table, server, weight, self.tokens[table], address, zone)

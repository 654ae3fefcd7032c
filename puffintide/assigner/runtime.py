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


class DecisionModule(Protocol):
    """What the runtime needs of the module."""

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]: ...

    def findings(self) -> tuple[float | None, dict[int, int]]: ...


@dataclass(slots=True)
class Effects:
    """What a tick asks the service to do, in this order."""

    weight_writes: list[WeightEntry] = field(default_factory=list)  # to the store
    proxy_updates: list[tuple[int, ProxyUpdate]] = field(
        default_factory=list
    )  # (proxy, message) for the channel
    health_checks: list[int] = field(default_factory=list)
    watch_requests: list[bool] = field(default_factory=list)
    log_messages: list[str] = field(default_factory=list)
    batch: int = 0
    events: tuple[Event, ...] = ()
    actions: tuple[Action, ...] = ()
    first_event_at_s: float = 0.0  # when the first event of the batch came in


class Runtime:
    """Holds what one assigner knows of its streams; nothing of it outlives the process."""

    def __init__(
        self, settings: Settings, make: Callable[[Settings], DecisionModule] = Director, batch: int = 0
    ) -> None:
        self.settings = settings
        self.director = make(settings)
        self.batch = batch
        self.proxy_zones: dict[int, int] = {}  # zone by proxy
        self.server_addresses: dict[int, str] = {}
        self.server_zones: dict[int, int] = {}
        self.endpoints: dict[int, EndpointEntry] = {}  # as listed now, each the last good one
        self.fencing_tokens: dict[int, int] = {}  # slices in charge
        self.tenure_tokens: dict[int, int] = {}  # first token of the unbroken tenure of each
        self._server_starts: dict[int, tuple[int, float]] = {}  # by server: its life, when that began
        self._events: list[Event] = []
        self._first_event_at_s = 0.0
        self.has_endpoint_list = (
            False  # until then nothing is told: a module without a list would take all servers for gone
        )
        self._timers: list[tuple[float, int, int]] = []
        self._timer_count = 0

    # What comes in ------------------------------------------------------------------------------

    def add_events(self, now: float, *events: Event) -> None:
        if not self._events:
            self._first_event_at_s = now
        self._events.extend(events)

    def on_watch_event(self, now: float, news: WatchEvent) -> list[str]:
        """A list from outside. Ages become times on our own clock once for each life of a server. Entries that
        can't be are passed over, with the reasons given back: what was last told of such a server stands."""
        update_type = ListUpdateType(news.update_type)
        good, reasons = self._good(news)
        servers = []
        for e in good:
            self.server_addresses[e.server_id] = e.address or self.server_addresses.get(e.server_id, "")
            self.server_zones[e.server_id] = e.zone
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
        for known in (
            self.server_addresses,
            self.server_zones,
            self._server_starts,
        ):  # each machine has an id of its own
            if len(known) > 2 * len(self.endpoints) + FEW and news.update_type != "failed":
                for sid in known.keys() - self.endpoints.keys():
                    del known[sid]
        if not self.has_endpoint_list and news.update_type != "failed":
            self.has_endpoint_list = True
            self._events.insert(0, EndpointListUpdate(update_type, news.version, tuple(servers)))
        else:
            self.add_events(now, EndpointListUpdate(update_type, news.version, tuple(servers)))
        return reasons

    def _good(self, news: WatchEvent) -> tuple[list[EndpointEntry], list[str]]:
        if news.update_type == "failed":
            return [], []
        good, bad = sound_entries(news.servers, self.settings.zone_count)
        if news.update_type == "delta":
            self.endpoints |= good
        else:  # a server whose entry can't be is not one that is missing
            self.endpoints = good = {k: e for k, e in self.endpoints.items() if k in bad} | good
        self.endpoints = {k: e for k, e in self.endpoints.items() if e.status != EndpointStatus.REMOVED}
        return list(good.values()), [bad[k] for k in sorted(bad)]

    def _start(self, now: float, entry: EndpointEntry) -> float:
        if entry.age_s < 0:
            return 0.0
        life, began = self._server_starts.get(entry.server_id, (-1, 0.0))
        if life != entry.incarnation:
            life, began = self._server_starts[entry.server_id] = entry.incarnation, now - entry.age_s
        return began

    def on_ownership_granted(self, now: float, charge: SliceOwnership) -> bool:
        """A slice is given, with its table. In an unbroken tenure (True) it has been ours all the time, whatever
        the store missed: the module goes on with the table it knows."""
        held = charge.slice_id in self.fencing_tokens
        goes_on = (
            held and charge.tenure_token and self.tenure_tokens.get(charge.slice_id) == charge.tenure_token
        )
        self.fencing_tokens[charge.slice_id], self.tenure_tokens[charge.slice_id] = (
            charge.fencing_token,
            charge.tenure_token,
        )
        if goes_on:
            return True
        self.server_addresses |= {h.server_id: h.address for h in charge.entries if h.address}
        stored = [StoredWeight(charge.slice_id, h.server_id, h.weight) for h in charge.entries]
        self.add_events(now, OwnershipChanged(charge.slice_id, True), *stored)
        return False

    def on_ownership_revoked(self, now: float, number: int) -> None:
        if self.fencing_tokens.pop(number, None) is not None:
            self.add_events(now, OwnershipChanged(number, False))

    def on_proxy_connected(self, now: float, proxy: int, zone: int, rate: float, fresh: bool) -> None:
        self.proxy_zones[proxy] = zone
        self.add_events(now, ProxyConnected(proxy, zone, rate, fresh))

    def on_proxy_disconnected(self, now: float, proxy: int) -> None:
        if self.proxy_zones.pop(proxy, None) is not None:
            self.add_events(now, ProxyDisconnected(proxy))

    # Ticks --------------------------------------------------------------------------------------

    def next_timer_at(self) -> float | None:
        return self._timers[0][0] if self._timers else None

    def restart_rounds(self, now: float) -> None:
        """After a round that failed: its timer is lost with it, and without one the module's rounds end. Where one
        stands, what failed was not the module, and a second would double its rounds for good."""
        if self.next_timer_at() is None:
            self.add_events(now, TimerFired(0))

    def has_pending_events(self) -> bool:
        return self.has_endpoint_list and bool(self._events)

    def pending_server_ids(self) -> set[int]:
        """Those that events name which the module has not been handed yet."""
        return {e.server_id for e in self._events if isinstance(e, StoredWeight)}

    def tick(self, now: float) -> Effects | None:
        """Hands the waiting events and due timers to the module; None when there was nothing."""
        while self._timers and self._timers[0][0] <= now:
            _, _, name = heapq.heappop(self._timers)
            self.add_events(now, TimerFired(name))
        if not self.has_endpoint_list:
            kept = (OwnershipChanged, StoredWeight, ProxyConnected, ProxyDisconnected)
            early: list[Event] = [e for e in self._events if isinstance(e, kept)]
            self._events = early[-EARLY_MOST:]
            return None
        if not self._events:
            return None
        events, self._events = tuple(self._events), []
        actions = tuple(self.director.handle(now, events))
        self.batch += 1
        effects = Effects(
            batch=self.batch, events=events, actions=actions, first_event_at_s=self._first_event_at_s
        )
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
                    out.health_checks.append(server)
                case WatchEndpoints(on):
                    out.watch_requests.append(on)
                case LogMessage(text):
                    out.log_messages.append(text)
                case SendCheckpoint(number):
                    mark = number
                case SetWeight(table, server, weight) if table in self.fencing_tokens:
                    out.weight_writes.append(self._line(table, server, weight))
                case SetWithdrawn(server, gone):
                    withdrawals[server] = gone
                case SetAdmission(table, classes, level, retry):
                    levels.append(AdmissionLevel(table, classes, level, retry))
        told = [s for s, gone in sorted(withdrawals.items()) if gone]
        back = [s for s, gone in sorted(withdrawals.items()) if not gone]
        size = len(out.weight_writes) + len(told) + len(back) + len(levels)
        if not size:
            return
        cost = size + (mark is not None) + self.settings.channel_header_entries
        order = ProxyUpdate(
            self.batch,
            now,
            cost,
            out.weight_writes,
            withdrawn_servers=told,
            readmitted_servers=back,
            admission_levels=levels,
            checkpoint_id=mark,
        )
        out.proxy_updates = [(proxy, order) for proxy in sorted(self.proxy_zones)]

    def _line(self, table: int, server: int, weight: float) -> WeightEntry:
        address, zone = self.server_addresses.get(server, ""), self.server_zones.get(server, -1)
        return WeightEntry(table, server, weight, self.fencing_tokens[table], address, zone)

"""Test helpers: default settings, and a simulated fleet that feeds a Director and applies its actions."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from puffintide.decisions.actions import Action, SendCheckpoint, SetAdmission, SetWeight, SetWithdrawn
from puffintide.decisions.director import Director
from puffintide.decisions.events import (
    CheckpointAcknowledged,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ListUpdateType,
    OwnershipChanged,
    ProxyConnected,
    ServerLoadReport,
    SliceLoadReport,
    StoredWeight,
    TimerFired,
)
from puffintide.decisions.settings import AdmissionMode, RepeatSafety, RequestClass, Settings

START = 1000.0


def settings(**changes: Any) -> Settings:
    """Return default settings with some fields replaced."""
    idempotent = RequestClass(RepeatSafety.IDEMPOTENT, "all", 0.0, 1.0, 4.0, 3.0, False)
    non_idempotent = RequestClass(RepeatSafety.NON_IDEMPOTENT, "all", 0.0, 1.5, 5.0, 5.0, False)
    base = Settings(
        assigner_index=0,
        assigner_count=1,
        seed=7,
        zone=0,
        zone_count=2,
        request_classes=(idempotent, non_idempotent),
        slice_count=12,
        proxy_count=3,
        single_writer=False,
        caches_keys=True,
        default_retry_mode=0,
        retry_wait_objectives=1.0,
        proxy_ejection_failures=3,
        admission_mode=AdmissionMode.NONE,
        channel_entries_per_s=10000.0,
        channel_header_entries=12.0,
        channel_capacity_entries=15000.0,
        channel_delay_s=0.2,
        channel_delay_max_s=0.8,
        max_messages_per_window=0,
        message_window_s=10.0,
        report_period_s=0.5,
        report_entries_per_s=300.0,
        load_value_names=("busy",),
        health_checks_enabled=False,
        watch_on_request=False,
        drain_grace_s=2.0,
        slow_start_min_fraction=0.25,
        slow_start_duration_s=10.0,
        collapse_load_ratio=3.0,
        collapse_duration_s=1.5,
        max_unserved_s=3.0,
    )
    return replace(base, **changes)


def server(
    server_id: int,
    status: EndpointStatus = EndpointStatus.READY,
    started_at_s: float = 0.0,
    weight: float = 1.0,
) -> Endpoint:
    """Return an endpoint; servers with an odd id are in zone 1, the others in zone 0."""
    return Endpoint(server_id, server_id % 2, 0, 0, status, weight, started_at_s)


class World:
    """Simulation of one assigner with its servers and the store.

    Request rates are given. The loads of servers follow from the tables that the director sets.
    """

    make: Callable[[Settings], Any] = Director

    def __init__(self, servers: Sequence[int] = (1, 2, 3, 4), **changes: Any) -> None:
        self.settings = settings(**changes)
        self.director = self.make(self.settings)
        self.now = START
        self.tables: dict[int, dict[int, float]] = {}
        self.log: list[tuple[float, list[Action]]] = []
        self.request_rates = dict.fromkeys(range(self.settings.slice_count), 5.0)
        self.capacity = dict.fromkeys(servers, 30.0)
        self.failing_servers: set[int] = set()
        self.reports_stopped = False
        self.withdrawn: set[int] = set()
        self.channel_speed = 1.0  # Fraction of the speed in the settings.
        self.channel_busy_until = START
        self.pending_checkpoints: list[tuple[float, int]] = []  # Time of application, and id.
        self.max_waiting_entries = 0.0
        events: list[Event] = [
            EndpointListUpdate(ListUpdateType.CACHED, 1, tuple(server(s) for s in servers))
        ]
        events += [ProxyConnected(p, 0, 10.0, True) for p in range(self.settings.proxy_count)]
        for slice_id in range(self.settings.slice_count):
            home = servers[slice_id % len(servers)]
            events += [OwnershipChanged(slice_id, True), StoredWeight(slice_id, home, 1.0)]
            self.tables[slice_id] = {home: 1.0}
        self.send(*events)

    def send(self, *events: Event) -> list[Action]:
        """Pass events to the director, and apply its actions."""
        actions: list[Action] = self.director.handle(self.now, events)
        self.log.append((self.now, actions))
        entries = sum(
            isinstance(a, SetWeight | SetAdmission | SetWithdrawn | SendCheckpoint) for a in actions
        )
        if entries:
            self._fill_channel(entries)
        for action in actions:
            self._apply(action)
        return actions

    def _fill_channel(self, entries: int) -> None:
        speed = self.settings.channel_entries_per_s * self.channel_speed
        sent_entries = (entries + self.settings.channel_header_entries) * self.settings.proxy_count
        self.channel_busy_until = max(self.channel_busy_until, self.now) + sent_entries / speed
        self.max_waiting_entries = max(self.max_waiting_entries, (self.channel_busy_until - self.now) * speed)

    def _apply(self, action: Action) -> None:
        match action:
            case SendCheckpoint():
                applied_at = self.channel_busy_until + self.settings.channel_delay_s
                self.pending_checkpoints.append((applied_at, action.checkpoint_id))
            case SetWithdrawn():
                (self.withdrawn.add if action.withdrawn else self.withdrawn.discard)(action.server_id)
            case SetWeight():
                self._set_weight(action)

    def _set_weight(self, action: SetWeight) -> None:
        table = self.tables.setdefault(action.slice_id, {})
        if action.weight <= 0:
            table.pop(action.server_id, None)
            return
        if self.settings.single_writer:
            table.clear()
        table[action.server_id] = action.weight

    def load(self, server_id: int) -> float:
        """Return the requests per second that the tables send to a server."""
        total = 0.0
        for slice_id in self.tables:
            table = self.admitted_weights(slice_id)
            if server_id in table:
                total += self.request_rates[slice_id] * table[server_id] / sum(table.values())
        return total

    def run(self, seconds: float) -> None:
        """Run rounds of 0.25 s, with load reports every 0.5 s."""
        for step in range(round(seconds * 4)):
            self.now += 0.25
            events: list[Event] = [TimerFired(1)]
            if step % 2 == 0 and not self.reports_stopped:
                events = self.reports() + events
            for applied_at, checkpoint_id in [(t, c) for t, c in self.pending_checkpoints if t <= self.now]:
                self.pending_checkpoints.remove((applied_at, checkpoint_id))
                events += [
                    CheckpointAcknowledged(p, checkpoint_id, 0.0) for p in range(self.settings.proxy_count)
                ]
            self.send(*events)

    def reports(self) -> list[Event]:
        """Return load reports that cover ten seconds each."""
        events: list[Event] = []
        for slice_id, rate in sorted(self.request_rates.items()):
            events.append(SliceLoadReport(slice_id, 0, round(rate * 10), 0, 10.0))
        for server_id, capacity in sorted(self.capacity.items()):
            rate = self.load(server_id)
            attempts = round(rate * 10)
            if attempts == 0:
                continue
            successes = 0 if server_id in self.failing_servers else round(min(rate, capacity) * 10)
            values = () if server_id in self.failing_servers else (min(1.0, rate / capacity),)
            events.append(ServerLoadReport(0, server_id, attempts, attempts - successes, 0.2, 10.0, values))
        return events

    def admitted_weights(self, slice_id: int) -> dict[int, float]:
        """Return a slice's table without withdrawn servers."""
        return {s: w for s, w in self.tables[slice_id].items() if s not in self.withdrawn}

    def main_servers(self, slice_id: int) -> set[int]:
        """Return the servers that a slice is on, without standby entries."""
        table = self.admitted_weights(slice_id)
        max_weight = max(table.values(), default=0.0)
        return {s for s, w in table.items() if w > max_weight / 2}

    def count_moves(self) -> int:
        """Return the number of entries of full weight that were set."""
        return sum(isinstance(a, SetWeight) and a.weight >= 1 for _, actions in self.log for a in actions)

    def slices_on(self, server_id: int) -> list[int]:
        """Return the slices whose tables hold a server, unless it is withdrawn."""
        return [n for n in self.tables if server_id in self.admitted_weights(n)]


def big_world(server_count: int, slices_per_server: int = 6) -> World:
    """Return a simulation with many servers that report all load values."""
    load_value_names = ("busy", "rif", "lat_ms")
    world = World(
        servers=tuple(range(1, server_count + 1)),
        slice_count=server_count * slices_per_server,
        load_value_names=load_value_names,
    )
    world.settings = world.director.fleet.settings
    world.request_rates = {n: 2.0 + 3.0 * (n % 7 == 0) for n in world.request_rates}
    return world

"""Helpers for tests: settings, and a clock that feeds a Director and keeps the tables it has ordered."""

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
    safe = RequestClass(RepeatSafety.IDEMPOTENT, "all", 0.0, 1.0, 4.0, 3.0, False)
    once = RequestClass(RepeatSafety.NON_IDEMPOTENT, "all", 0.0, 1.5, 5.0, 5.0, False)
    base = Settings(
        assigner_index=0,
        assigner_count=1,
        seed=7,
        zone=0,
        zone_count=2,
        request_classes=(safe, once),
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
    sid: int, state: EndpointStatus = EndpointStatus.READY, started: float = 0.0, weight: float = 1.0
) -> Endpoint:
    return Endpoint(sid, sid % 2, 0, 0, state, weight, started)


class World:
    """One assigner, its servers and the store; rates are given, loads follow from the tables."""

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
        self.channel_speed = 1.0  # of the channel, as a fraction of the speed in the settings
        self.busy_until = START
        self.pending_checkpoints: list[tuple[float, int]] = []  # when proxies have applied it, and its id
        self.max_waiting_entries = 0.0
        events: list[Event] = [
            EndpointListUpdate(ListUpdateType.CACHED, 1, tuple(server(s) for s in servers))
        ]
        events += [ProxyConnected(p, 0, 10.0, True) for p in range(self.settings.proxy_count)]
        for number in range(self.settings.slice_count):
            home = servers[number % len(servers)]
            events += [OwnershipChanged(number, True), StoredWeight(number, home, 1.0)]
            self.tables[number] = {home: 1.0}
        self.send(*events)

    def send(self, *events: Event) -> list[Action]:
        """Hand events to the director, and carry out its actions."""
        actions: list[Action] = self.director.handle(self.now, events)
        self.log.append((self.now, actions))
        entries = sum(
            isinstance(a, SetWeight | SetAdmission | SetWithdrawn | SendCheckpoint) for a in actions
        )
        if entries:
            self._load_channel(entries)
        for action in actions:
            self._carry_out(action)
        return actions

    def _load_channel(self, entries: int) -> None:
        speed = self.settings.channel_entries_per_s * self.channel_speed
        sent = (entries + self.settings.channel_header_entries) * self.settings.proxy_count
        self.busy_until = max(self.busy_until, self.now) + sent / speed
        self.max_waiting_entries = max(self.max_waiting_entries, (self.busy_until - self.now) * speed)

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendCheckpoint():
                applied_at = self.busy_until + self.settings.channel_delay_s
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

    def load(self, sid: int) -> float:
        """Requests per second that the tables send to a server."""
        total = 0.0
        for number in self.tables:
            table = self.admitted_weights(number)
            if sid in table:
                total += self.request_rates[number] * table[sid] / sum(table.values())
        return total

    def run(self, seconds: float) -> None:
        """Rounds of 0.25 s with reports each 0.5 s."""
        for step in range(round(seconds * 4)):
            self.now += 0.25
            events: list[Event] = [TimerFired(1)]
            if step % 2 == 0 and not self.reports_stopped:
                events = self.reports() + events
            for due, number in [(d, n) for d, n in self.pending_checkpoints if d <= self.now]:
                self.pending_checkpoints.remove((due, number))
                events += [CheckpointAcknowledged(p, number, 0.0) for p in range(self.settings.proxy_count)]
            self.send(*events)

    def reports(self) -> list[Event]:
        """Load reports of ten seconds each."""
        events: list[Event] = []
        for number, rate in sorted(self.request_rates.items()):
            events.append(SliceLoadReport(number, 0, round(rate * 10), 0, 10.0))
        for sid, capacity in sorted(self.capacity.items()):
            rate = self.load(sid)
            attempts = round(rate * 10)
            if attempts == 0:
                continue
            successes = 0 if sid in self.failing_servers else round(min(rate, capacity) * 10)
            values = () if sid in self.failing_servers else (min(1.0, rate / capacity),)
            events.append(ServerLoadReport(0, sid, attempts, attempts - successes, 0.2, 10.0, values))
        return events

    def admitted_weights(self, number: int) -> dict[int, float]:
        """A slice's table without the servers that are withdrawn."""
        return {s: w for s, w in self.tables[number].items() if s not in self.withdrawn}

    def main_servers(self, number: int) -> set[int]:
        """The servers that a slice is on, standby entries left out."""
        table = self.admitted_weights(number)
        top = max(table.values(), default=0.0)
        return {s for s, w in table.items() if w > top / 2}

    def count_moves(self) -> int:
        """How many entries of full weight were set."""
        return sum(isinstance(a, SetWeight) and a.weight >= 1 for _, acts in self.log for a in acts)

    def slices_on(self, sid: int) -> list[int]:
        """The slices whose tables have a server that is not withdrawn."""
        return [n for n in self.tables if sid in self.admitted_weights(n)]


def big_world(servers: int, per_server: int = 6) -> World:
    """A large fleet of servers that report all load values."""
    names = ("busy", "rif", "lat_ms")
    world = World(
        servers=tuple(range(1, servers + 1)), slice_count=servers * per_server, load_value_names=names
    )
    world.settings = world.director.fleet.settings
    world.request_rates = {n: 2.0 + 3.0 * (n % 7 == 0) for n in world.request_rates}
    return world

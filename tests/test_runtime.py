"""The runtime: every kind of event and action is carried, and the module decides as through the drill."""

import json
import struct
from collections.abc import Sequence
from dataclasses import replace

import pytest

from puffintide.assigner.channel import Channel
from puffintide.assigner.load_reports import LoadReportAggregator
from puffintide.assigner.runtime import Runtime
from puffintide.bench_adapter.__main__ import Host
from puffintide.bench_adapter.codec import encode_action, frame
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
    CheckpointAcknowledged,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    HealthCheckResult,
    HealthCheckStatus,
    ListUpdateType,
    OwnershipChanged,
    ProxyConnected,
    ProxyDisconnected,
    ServerLoadReport,
    SliceLoadReport,
    StoredWeight,
    TimerFired,
)
from puffintide.decisions.settings import parse_settings
from puffintide.protocol import messages as m
from tests.test_drill import CONF, hello
from tests.world import World, settings


class Scripted:
    """Stands for the module: notes what it hears, answers as told."""

    def __init__(self, *actions: Action) -> None:
        self.actions = list(actions)
        self.heard: list[Event] = []

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        self.heard += events
        return self.actions

    def findings(self) -> tuple[float | None, dict[int, int]]:
        return None, {}


def runtime(decider: Scripted, slices: int = 4) -> Runtime:
    made = Runtime(settings(slice_count=slices), lambda _: decider)
    for proxy in (0, 1):
        made.on_proxy_connected(0.0, proxy, proxy, 5.0, True)
    made.on_watch_event(0.0, m.WatchEvent("cached", 1, []))
    return made


def test_each_event_reaches_the_module() -> None:
    module = Scripted()
    r = runtime(module)
    entry = m.EndpointEntry(5, 1, 2, 3, EndpointStatus.READY, 2.0, 1, 4.0, "127.0.0.1:9")
    r.on_watch_event(10.0, m.WatchEvent("full", 3, [entry]))
    r.on_ownership_granted(10.0, m.SliceOwnership(2, 7, 0, [m.TableEntry(5, 0.5, "127.0.0.1:9")]))
    r.on_proxy_disconnected(10.0, 1)
    rest = (
        CheckpointAcknowledged(0, 3, 0.1),
        HealthCheckResult(5, HealthCheckStatus.OK, 0.1, ()),
        ServerLoadReport(0, 5, 2, 1, 0.1, 0.5, (1.0,)),
        SliceLoadReport(2, 0, 4, 0, 0.5),
    )
    r.add_events(10.0, *rest)
    r.on_ownership_revoked(10.0, 2)
    r.on_ownership_revoked(10.0, 3)  # never had: nothing to tell
    r.tick(10.0)
    assert module.heard == [
        EndpointListUpdate(ListUpdateType.CACHED, 1, ()),
        ProxyConnected(0, 0, 5.0, True),
        ProxyConnected(1, 1, 5.0, True),
        EndpointListUpdate(
            ListUpdateType.SNAPSHOT, 3, (Endpoint(5, 1, 2, 3, EndpointStatus.READY, 2.0, 6.0),)
        ),
        OwnershipChanged(2, True),
        StoredWeight(2, 5, 0.5),
        ProxyDisconnected(1),
        *rest,
        OwnershipChanged(2, False),
    ]


def test_the_time_of_a_start_stays_for_a_life_and_changes_with_the_next() -> None:
    module = Scripted()
    r = runtime(module)
    entry = m.EndpointEntry(5, 0, 0, 0, EndpointStatus.READY, 1.0, 1, 2.0)
    r.on_watch_event(10.0, m.WatchEvent("delta", 1, [entry]))
    r.on_watch_event(
        11.0, m.WatchEvent("delta", 2, [m.EndpointEntry(5, 0, 0, 0, EndpointStatus.DRAINING, 1.0, 1, 3.2)])
    )
    r.on_watch_event(
        20.0, m.WatchEvent("delta", 3, [m.EndpointEntry(5, 0, 0, 0, EndpointStatus.READY, 1.0, 2, 1.0)])
    )
    r.tick(20.0)
    lists = [e for e in module.heard if isinstance(e, EndpointListUpdate)]
    assert [e.endpoints[0].started_at_s for e in lists[1:]] == [8.0, 8.0, 19.0]


ORDERS = [
    (SetWeight(2, 5, 0.5), lambda o: o.weights == [m.WeightEntry(2, 5, 0.5, 7, "127.0.0.1:9")]),
    (SetWithdrawn(5, True), lambda o: o.withdrawn_servers == [5] and not o.readmitted_servers),
    (SetWithdrawn(5, False), lambda o: o.readmitted_servers == [5] and not o.withdrawn_servers),
    (SetAdmission(2, 1, 0.5, 1), lambda o: o.admission_levels == [m.AdmissionLevel(2, 1, 0.5, 1)]),
]


@pytest.mark.parametrize("action, shown", ORDERS)
def test_each_order_becomes_one_message_a_proxy(action: Action, shown) -> None:  # type: ignore[no-untyped-def]
    r = runtime(Scripted(action, SendCheckpoint(9)))
    r.on_ownership_granted(1.0, m.SliceOwnership(2, 7, 0, [m.TableEntry(5, 1.0, "127.0.0.1:9")]))
    effects = r.tick(1.0)
    assert effects is not None and [p for p, _ in effects.proxy_updates] == [0, 1]
    for _, order in effects.proxy_updates:
        assert shown(order) and order.checkpoint_id == 9
        assert order.channel_cost == 2 + r.settings.channel_header_entries  # its own line, the mark, the head
    assert bool(effects.weight_writes) == isinstance(action, SetWeight)


def test_the_other_actions_become_effects() -> None:
    r = runtime(
        Scripted(
            SendHealthCheck(5),
            WatchEndpoints(True),
            LogMessage("hm"),
            SetTimer(0.5, 3),
        )
    )
    e = r.tick(1.0)
    assert e is not None and e.proxy_updates == []
    assert (e.health_checks, e.watch_requests, e.log_messages) == ([5], [True], ["hm"])
    assert r.next_timer_at() == 1.5


def test_nothing_is_told_before_a_list_so_that_no_table_is_emptied() -> None:
    r = Runtime(settings(slice_count=4))
    r.on_proxy_connected(0.0, 0, 0, 5.0, True)
    r.on_ownership_granted(0.0, m.SliceOwnership(2, 7, 0, [m.TableEntry(5, 1.0)]))
    r.add_events(0.0, SliceLoadReport(2, 0, 4, 0, 0.5))
    for k in range(40):
        r.on_watch_event(k / 4, m.WatchEvent("failed", -1))
        assert r.tick(k / 4) is None and not r.has_pending_events()
    entries = [m.EndpointEntry(s, 0, 0, 0, EndpointStatus.READY, 1.0, 1, -1.0) for s in (5, 6)]
    r.on_watch_event(11.0, m.WatchEvent("full", 1, entries))
    for k in range(40):
        effects = r.tick(11.0 + k / 4)
        assert effects is None or not any(x.weight == 0 and x.server_id == 5 for x in effects.weight_writes)
    assert not r.has_pending_events()


def test_timers_come_due_once_and_in_order() -> None:
    module = Scripted(SetTimer(0.3, 2), SetTimer(0.1, 1))
    r = runtime(module)
    r.tick(1.0)
    module.actions = []
    r.tick(1.2)
    r.tick(1.25)
    r.tick(1.5)
    assert [e.timer_id for e in module.heard if isinstance(e, TimerFired)] == [1, 2]


def test_lines_of_slices_not_in_charge_are_not_sent() -> None:
    r = runtime(Scripted(SetWeight(3, 5, 1.0)))
    effects = r.tick(1.0)
    assert effects is not None and effects.proxy_updates == [] and effects.weight_writes == []


def list_body(number: int, version: int, form: int, servers: Sequence[Endpoint]) -> bytes:
    rows = b"".join(
        struct.pack(
            "<IBHHBfd", s.server_id, s.zone, s.server_type, s.cell, s.status, s.weight, s.started_at_s
        )
        for s in servers
    )
    listed = struct.pack("<BII", 14, number, len(servers)) + rows
    return listed + struct.pack("<BHIQB", 1, 0, number, version, form)


def drill_event(event: Event) -> bytes:
    match event:
        case EndpointListUpdate():
            form = {"delta": 0, "cached": 1, "full": 3}[event.update_type]
            return list_body(0, event.version, form, event.endpoints)
        case TimerFired(name):
            return struct.pack("<BHI", 2, 0, name)
        case ProxyConnected(proxy, zone, rate, fresh):
            return struct.pack("<BHHBfB", 6, 0, proxy, zone, rate, fresh)
        case CheckpointAcknowledged(proxy, number, took):
            return struct.pack("<BHdHQ", 8, 0, took, proxy, number)
        case ServerLoadReport():
            e = event
            head = struct.pack(
                "<BHBIIIdd",
                9,
                0,
                e.proxy_zone,
                e.server_id,
                e.attempts,
                e.failed_attempts,
                e.mean_latency_s,
                e.interval_s,
            )
            return head + struct.pack(f"<B{len(e.load_values)}f", len(e.load_values), *e.load_values)
        case SliceLoadReport(number, kind, count, bad, span):
            return struct.pack("<BHHHIId", 11, 0, number, kind, count, bad, span)
        case OwnershipChanged(number, given):
            return struct.pack("<BHHB", 12, 0, number, given)
        case StoredWeight(number, server, weight):
            return struct.pack("<BHfIH", 13, 0, weight, server, number)
    raise AssertionError(event)


class Through:
    """In a World's place of its module: plays each batch through the runtime and through the drill's adapter, and
    holds the two answers against each other, byte by byte."""

    def __init__(self, conf: dict[str, object]) -> None:
        self.host = Host()
        self.host.answer(0.0, hello(conf))
        self.runtime = Runtime(parse_settings(json.dumps(conf).encode(), 5), Director)
        self.batches = 0
        self.ordered = 0

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        due = {e.timer_id for e in events if isinstance(e, TimerFired)}
        body = b"".join(drill_event(e) for e in events)
        reply = self.host.answer(now, body)
        lives: dict[int, list[m.TableEntry]] = {}
        for e in events:
            if isinstance(e, StoredWeight):
                lives.setdefault(e.slice_id, []).append(m.TableEntry(e.server_id, e.weight))
        for e in events:
            match e:
                case EndpointListUpdate():
                    rows = [
                        m.EndpointEntry(
                            s.server_id,
                            s.zone,
                            s.server_type,
                            s.cell,
                            s.status,
                            s.weight,
                            int(s.started_at_s * 8),
                            now - s.started_at_s if s.started_at_s else -1.0,
                        )
                        for s in e.endpoints
                    ]
                    self.runtime.on_watch_event(now, m.WatchEvent(e.update_type, e.version, rows))
                case OwnershipChanged(number, True):
                    self.runtime.on_ownership_granted(
                        now, m.SliceOwnership(number, 1, 0, lives.get(number, []))
                    )
                case ProxyConnected(proxy, zone, rate, fresh):
                    self.runtime.on_proxy_connected(now, proxy, zone, rate, fresh)
                case StoredWeight() | TimerFired():
                    pass  # came with its charge; the runtime's own timers wake the module
                case _:
                    self.runtime.add_events(now, e)
        if due and self.runtime.next_timer_at() is None:
            self.runtime.add_events(now, *(TimerFired(name) for name in sorted(due)))
        effects = self.runtime.tick(now)
        assert effects is not None
        mine = frame([encode_action(0, action) for action in effects.actions])
        assert mine == reply, f"batch {self.batches} at {now}"
        self.batches += 1
        self.ordered += any(isinstance(a, SetWeight) for a in effects.actions)
        return list(effects.actions)


def test_the_runtime_gives_the_same_actions_as_the_drill_action_for_action() -> None:
    conf = dict(CONF, report={"names": ["busy"]})
    family = dict(CONF["familyInfo"], slices=12, strikes=3, warmKeys=True)  # type: ignore[call-overload]
    conf["familyInfo"] = family
    world = World(slice_count=12)
    through = Through(conf)
    world.director = through
    world.settings = replace(world.settings, slice_count=12)
    servers = tuple(Endpoint(s, 0, 0, 0, EndpointStatus.READY, 1.0, 0.0) for s in (1, 2, 3, 4))
    events: list[Event] = [EndpointListUpdate(ListUpdateType.CACHED, 1, servers)]
    events += [ProxyConnected(p, 0, 10.0, True) for p in range(3)]
    for number in range(12):
        events += [OwnershipChanged(number, True), StoredWeight(number, 1 + number % 4, 1.0)]
    world.send(*events, TimerFired(1))
    world.run(6)
    world.failing_servers = {2}
    world.request_rates[3] = 40.0
    world.run(8)
    gone = Endpoint(3, 0, 0, 0, EndpointStatus.REMOVED, 1.0, 0.0)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (gone,)))
    world.failing_servers = set()
    world.run(5)
    back = Endpoint(3, 0, 0, 0, EndpointStatus.READY, 1.0, world.now - 0.5)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (back,)))
    world.run(12)
    assert through.batches > 100 and through.ordered > 10


def order(at: float, cost: float = 10.0) -> m.ProxyUpdate:
    return m.ProxyUpdate(1, at, cost)


def test_messages_leave_in_order_at_the_stated_pace() -> None:
    channel = Channel(entries_per_s=100.0, capacity_entries=1000.0)
    for proxy in range(3):
        channel.add_proxy(proxy)
        channel.enqueue(proxy, order(0.0))
    assert channel.queued_entries() == 30
    assert channel.dequeue(0.05) == ([], [])
    assert [p for p, _ in channel.dequeue(0.1)[0]] == [0]
    assert [p for p, _ in channel.dequeue(0.31)[0]] == [1, 2]
    assert channel.queued_entries() == 0 and channel.next_departure_at() is None
    channel.enqueue(0, order(5.0))
    assert channel.next_departure_at() == pytest.approx(5.1)  # an idle channel saves nothing up


def test_a_proxy_that_does_not_read_delays_nobody_and_is_given_up_before_the_limit() -> None:
    channel = Channel(entries_per_s=1e9, capacity_entries=45.0)
    for proxy in (0, 1, 2):
        channel.add_proxy(proxy)
    channel.set_writable(0.0, 0, False)
    for k in range(3):
        channel.enqueue(0, order(k))
        channel.enqueue(1, order(k))
        sent, given_up = channel.dequeue(k + 0.5)
        assert [p for p, _ in sent] == [1] and given_up == []
    assert channel.queued_entries() == 30
    channel.set_writable(3.0, 2, False)
    channel.enqueue(2, order(3))
    channel.dequeue(3.5)
    channel.enqueue(1, order(4))  # a line too many in all: the one that holds most back goes
    sent, given_up = channel.dequeue(4.5)
    assert [p for p, _ in sent] == [1] and given_up == [0]
    assert channel.max_queued_entries <= 45 and channel.queued_entries() == 10
    assert channel.set_writable(5.0, 0, True) == [] and len(channel.set_writable(5.0, 2, True)) == 1


def test_what_waits_is_lost_with_the_stream() -> None:
    channel = Channel(100.0, 1000.0)
    channel.add_proxy(0)
    channel.add_proxy(1)
    channel.enqueue(0, order(0.0))
    channel.enqueue(1, order(0.0))
    channel.remove_proxy(0)
    assert channel.queued_entries() == 10
    channel.add_proxy(0)
    assert [p for p, _ in channel.dequeue(9.0)[0]] == [1]


def test_sums_add_up_whatever_the_report_lines_allow() -> None:
    gather = LoadReportAggregator(entries_per_s=4.0)
    heard: list[ServerLoadReport] = []
    for step in range(40):
        now = 10 + step * 0.5
        for proxy in range(3):
            rows = [m.ServerUsage(s, 2, 1, 0.5, [float(s)]) for s in range(5)]
            gather.add_usage(now, proxy % 2, m.UsageReport(0.5, rows if step < 20 else [], []))
        events = gather.drain_reports(now)
        assert len(events) <= 4
        heard += [e for e in events if isinstance(e, ServerLoadReport)]
    assert sum(e.attempts for e in heard) == 20 * 3 * 5 * 2
    assert sum(e.failed_attempts for e in heard) == 20 * 3 * 5
    assert {(e.proxy_zone, e.server_id) for e in heard[:10]} == {
        (z, s) for z in (0, 1) for s in range(5)
    }  # all take turns
    assert all(e.mean_latency_s == pytest.approx(0.5) for e in heard)

"""The runtime and the bench adapter return the same actions for the same events, byte by byte."""

from __future__ import annotations

import json
import struct
from collections.abc import Sequence
from dataclasses import replace

from puffintide.assigner.runtime import Runtime
from puffintide.bench_adapter.action_encoder import encode_action, encode_reply
from puffintide.bench_adapter.host import Host
from puffintide.decisions.actions import (
    Action,
    SetWeight,
)
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
from puffintide.decisions.settings import parse_settings
from puffintide.protocol import messages as m
from tests.test_bench_adapter import CONF, hello
from tests.world import World


def list_body(number: int, version: int, form: int, servers: Sequence[Endpoint]) -> bytes:
    rows = b"".join(
        struct.pack(
            "<IBHHBfd", s.server_id, s.zone, s.server_type, s.cell, s.status, s.weight, s.started_at_s
        )
        for s in servers
    )
    listed = struct.pack("<BII", 14, number, len(servers)) + rows
    return listed + struct.pack("<BHIQB", 1, 0, number, version, form)


def bench_event(event: Event) -> bytes:
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


class RuntimeBesideAdapter:
    """A World's decision module that gives each batch to runtime and bench adapter, and compares their answers."""

    def __init__(self, conf: dict[str, object]) -> None:
        self.host = Host()
        self.host.handle_batch(0.0, hello(conf))
        self.runtime = Runtime(parse_settings(json.dumps(conf).encode(), 5), Director)
        self.batches = 0
        self.ordered = 0

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        due_timers = {e.timer_id for e in events if isinstance(e, TimerFired)}
        body = b"".join(bench_event(e) for e in events)
        reply = self.host.handle_batch(now, body)
        stored_entries: dict[int, list[m.TableEntry]] = {}
        for e in events:
            if isinstance(e, StoredWeight):
                stored_entries.setdefault(e.slice_id, []).append(m.TableEntry(e.server_id, e.weight))
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
                        now, m.SliceOwnership(number, 1, 0, stored_entries.get(number, []))
                    )
                case ProxyConnected(proxy, zone, rate, fresh):
                    self.runtime.on_proxy_connected(now, proxy, zone, rate, fresh)
                case StoredWeight() | TimerFired():
                    pass  # came with its ownership; the runtime's own timers wake the module
                case _:
                    self.runtime.add_events(now, e)
        if due_timers and self.runtime.next_timer_at() is None:
            self.runtime.add_events(now, *(TimerFired(name) for name in sorted(due_timers)))
        effects = self.runtime.tick(now)
        assert effects is not None
        own_reply = encode_reply([encode_action(0, action) for action in effects.actions])
        assert own_reply == reply, f"batch {self.batches} at {now}"
        self.batches += 1
        self.ordered += any(isinstance(a, SetWeight) for a in effects.actions)
        return list(effects.actions)


def test_runtime_and_bench_adapter_return_the_same_actions() -> None:
    conf = dict(CONF, report={"names": ["busy"]})
    family = dict(CONF["familyInfo"], slices=12, strikes=3, warmKeys=True)  # type: ignore[call-overload]
    conf["familyInfo"] = family
    world = World(slice_count=12)
    comparison = RuntimeBesideAdapter(conf)
    world.director = comparison
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
    removed = Endpoint(3, 0, 0, 0, EndpointStatus.REMOVED, 1.0, 0.0)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (removed,)))
    world.failing_servers = set()
    world.run(5)
    returned = Endpoint(3, 0, 0, 0, EndpointStatus.READY, 1.0, world.now - 0.5)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (returned,)))
    world.run(12)
    assert comparison.batches > 100
    assert comparison.ordered > 10

"""The runtime and the bench adapter return the same actions, byte for byte, for the same events."""

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


def encode_list_update(list_id: int, version: int, update_type: int, endpoints: Sequence[Endpoint]) -> bytes:
    rows = b"".join(
        struct.pack(
            "<IBHHBfd",
            endpoint.server_id,
            endpoint.zone,
            endpoint.server_type,
            endpoint.cell,
            endpoint.status,
            endpoint.weight,
            endpoint.started_at_s,
        )
        for endpoint in endpoints
    )
    servers_record = struct.pack("<BII", 14, list_id, len(endpoints)) + rows
    return servers_record + struct.pack("<BHIQB", 1, 0, list_id, version, update_type)


def encode_event(event: Event) -> bytes:
    """Encode an event as the bench sends it to its adapter."""
    match event:
        case EndpointListUpdate():
            update_type = {"delta": 0, "cached": 1, "full": 3}[event.update_type]
            return encode_list_update(0, event.version, update_type, event.endpoints)
        case TimerFired(timer_id):
            return struct.pack("<BHI", 2, 0, timer_id)
        case ProxyConnected(proxy, zone, request_rate, first_connection):
            return struct.pack("<BHHBfB", 6, 0, proxy, zone, request_rate, first_connection)
        case CheckpointAcknowledged(proxy, checkpoint_id, delay_s):
            return struct.pack("<BHdHQ", 8, 0, delay_s, proxy, checkpoint_id)
        case ServerLoadReport():
            fixed_fields = struct.pack(
                "<BHBIIIdd",
                9,
                0,
                event.proxy_zone,
                event.server_id,
                event.attempts,
                event.failed_attempts,
                event.mean_latency_s,
                event.interval_s,
            )
            load_values = event.load_values
            return fixed_fields + struct.pack(f"<B{len(load_values)}f", len(load_values), *load_values)
        case SliceLoadReport(slice_id, class_index, requests, unanswered, interval_s):
            return struct.pack("<BHHHIId", 11, 0, slice_id, class_index, requests, unanswered, interval_s)
        case OwnershipChanged(slice_id, owned):
            return struct.pack("<BHHB", 12, 0, slice_id, owned)
        case StoredWeight(slice_id, server, weight):
            return struct.pack("<BHfIH", 13, 0, weight, server, slice_id)
    raise AssertionError(event)


class ComparingModule:
    """A World's decision module that passes each batch to the runtime and the bench adapter.

    It asserts that both return the same actions.

    Attributes:
        batches: Number of batches that were compared.
        batches_with_weights: Number of batches for which the module set weights.
    """

    def __init__(self, conf: dict[str, object]) -> None:
        self.host = Host()
        self.host.handle_batch(0.0, hello(conf))
        self.runtime = Runtime(parse_settings(json.dumps(conf).encode(), 5), Director)
        self.batches = 0
        self.batches_with_weights = 0

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        due_timers = {event.timer_id for event in events if isinstance(event, TimerFired)}
        body = b"".join(encode_event(event) for event in events)
        adapter_reply = self.host.handle_batch(now, body)
        stored_entries: dict[int, list[m.TableEntry]] = {}
        for event in events:
            if isinstance(event, StoredWeight):
                entry = m.TableEntry(event.server_id, event.weight)
                stored_entries.setdefault(event.slice_id, []).append(entry)
        for event in events:
            match event:
                case EndpointListUpdate():
                    entries = [
                        m.EndpointEntry(
                            endpoint.server_id,
                            endpoint.zone,
                            endpoint.server_type,
                            endpoint.cell,
                            endpoint.status,
                            endpoint.weight,
                            int(endpoint.started_at_s * 8),
                            now - endpoint.started_at_s if endpoint.started_at_s else -1.0,
                        )
                        for endpoint in event.endpoints
                    ]
                    watch_event = m.WatchEvent(event.update_type, event.version, entries)
                    self.runtime.on_watch_event(now, watch_event)
                case OwnershipChanged(slice_id, True):
                    self.runtime.on_ownership_granted(
                        now, m.SliceOwnership(slice_id, 1, 0, stored_entries.get(slice_id, []))
                    )
                case ProxyConnected(proxy, zone, request_rate, first_connection):
                    self.runtime.on_proxy_connected(now, proxy, zone, request_rate, first_connection)
                case StoredWeight() | TimerFired():
                    # Stored weights are passed with their ownership, and the runtime runs its own timers.
                    pass
                case _:
                    self.runtime.add_events(now, event)
        if due_timers and self.runtime.next_timer_at() is None:
            self.runtime.add_events(now, *(TimerFired(timer_id) for timer_id in sorted(due_timers)))
        effects = self.runtime.tick(now)
        assert effects is not None
        runtime_reply = encode_reply([encode_action(0, action) for action in effects.actions])
        assert runtime_reply == adapter_reply, f"replies differ in batch {self.batches} at {now} s"
        self.batches += 1
        self.batches_with_weights += any(isinstance(action, SetWeight) for action in effects.actions)
        return list(effects.actions)


def test_runtime_and_bench_adapter_return_the_same_actions() -> None:
    conf = dict(CONF, report={"names": ["busy"]})
    family_info = dict(CONF["familyInfo"], slices=12, strikes=3, warmKeys=True)  # type: ignore[call-overload]
    conf["familyInfo"] = family_info
    world = World(slice_count=12)
    comparison = ComparingModule(conf)
    world.director = comparison
    world.settings = replace(world.settings, slice_count=12)
    endpoints = tuple(Endpoint(server, 0, 0, 0, EndpointStatus.READY, 1.0, 0.0) for server in (1, 2, 3, 4))
    events: list[Event] = [EndpointListUpdate(ListUpdateType.CACHED, 1, endpoints)]
    events += [ProxyConnected(proxy, 0, 10.0, True) for proxy in range(3)]
    for slice_id in range(12):
        events += [OwnershipChanged(slice_id, True), StoredWeight(slice_id, 1 + slice_id % 4, 1.0)]
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
    assert comparison.batches_with_weights > 10

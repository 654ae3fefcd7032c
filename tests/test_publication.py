"""Tests of publication: which changes are sent and when, and the limits of the channel."""

from itertools import pairwise

import pytest

from puffintide.decisions.actions import SetAdmission, SetWeight
from puffintide.decisions.events import (
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateType,
    OwnershipChanged,
)
from puffintide.decisions.settings import AdmissionMode
from tests.world import World, server


def test_slice_with_an_empty_table_gets_an_entry() -> None:
    world = World()
    world.run(5)
    world.tables[5] = {}
    world.send(OwnershipChanged(5, False))
    world.send(OwnershipChanged(5, True))
    world.run(0.5)
    assert world.tables[5]


def test_revoked_slice_gets_no_changes() -> None:
    world = World()
    world.run(5)
    world.send(OwnershipChanged(5, False))
    log_length = len(world.log)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(2, EndpointStatus.REMOVED),)))
    world.run(3)
    changes = [a for _, actions in world.log[log_length:] for a in actions if isinstance(a, SetWeight)]
    assert changes
    assert all(a.slice_id != 5 for a in changes)


def test_added_entries_come_before_removed_ones() -> None:
    world = World()
    world.run(5)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, EndpointStatus.REMOVED),)))
    world.run(1)
    for _, actions in world.log:
        slices_with_removals: set[int] = set()
        for action in actions:
            if isinstance(action, SetWeight) and action.weight == 0:
                slices_with_removals.add(action.slice_id)
            elif isinstance(action, SetWeight):
                assert action.slice_id not in slices_with_removals


@pytest.mark.parametrize("channel_speed", [1.0, 0.5, 0.25])
def test_waiting_entries_stay_below_the_limit_however_slow_the_channel(channel_speed: float) -> None:
    world = World(
        slice_count=60,
        admission_mode=AdmissionMode.FRACTION,
        channel_capacity_entries=400.0,
        channel_entries_per_s=260.0,
    )
    world.channel_speed = channel_speed
    for step in range(40):
        server_id = 1 + step // 2 % 4
        world.send(
            EndpointListUpdate(
                ListUpdateType.DELTA,
                step,
                (server(server_id, EndpointStatus.READY if step % 2 else EndpointStatus.DRAINING),),
            )
        )
        world.request_rates = dict.fromkeys(world.request_rates, 0.5 if step % 6 < 3 else 6.0)
        world.run(1)
    assert 100.0 < world.max_waiting_entries <= 400.0


def test_messages_per_proxy_stay_under_the_limit() -> None:
    world = World(max_messages_per_window=6, message_window_s=10.0)
    for step in range(40):
        server_id = 1 + step % 4
        status = EndpointStatus.REMOVED if step % 2 else EndpointStatus.READY
        world.send(EndpointListUpdate(ListUpdateType.DELTA, step, (server(server_id, status),)))
        world.run(0.5)
    send_times = [
        sent_at
        for sent_at, actions in world.log
        if any(isinstance(a, SetWeight | SetAdmission) for a in actions)
    ]
    for first in send_times:
        assert sum(first <= sent_at < first + 10.0 for sent_at in send_times) <= 6


def test_ordinary_changes_are_batched() -> None:
    world = World()
    world.run(5)
    for step in range(20):
        world.request_rates[step % 3] = 1.0 + 30.0 * (step // 3 % 2)
        world.run(0.5)
    send_times = [sent_at for sent_at, actions in world.log if any(isinstance(a, SetWeight) for a in actions)]
    assert len(send_times) > 3
    assert all(later - earlier >= 0.99 for earlier, later in pairwise(send_times[1:]))


def test_additional_servers_of_a_slice_on_a_warming_server_are_urgent() -> None:
    world = World(slice_count=40, slow_start_duration_s=60.0)
    world.request_rates = dict.fromkeys(world.request_rates, 0.8)
    world.run(10)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, started_at_s=world.now),)))
    world.run(4)
    director = world.director
    warming_slice = next(n for n in world.tables if 1 in world.main_servers(n))
    plan = {n: sorted(world.main_servers(n)) for n in world.tables}
    additional_server = next(s for s in (2, 3, 4) if s not in plan[warming_slice])
    director.fleet.urgent_change_pending = True
    director.fleet.last_report_s = world.now - 20.0  # Reports are late.
    director.publisher.next_ordinary_s = world.now + 1.0
    actions = director.publisher.publish(plan | {warming_slice: [*plan[warming_slice], additional_server]})
    assert {a.slice_id for a in actions if isinstance(a, SetWeight)} == {warming_slice}


def test_every_table_gets_a_standby_entry_once() -> None:
    world = World()
    world.run(10)
    changes = [a for _, actions in world.log for a in actions if isinstance(a, SetWeight)]
    assert len(changes) == world.settings.slice_count
    assert all(len(table) == 2 for table in world.tables.values())


def test_delayed_reports_stop_ordinary_changes() -> None:
    world = World()
    world.run(10)
    world.reports_stopped = True
    world.run(5)
    log_length = len(world.log)
    world.request_rates[0] = 40.0
    world.run(10)
    changes = [a for _, actions in world.log[log_length:] for a in actions if isinstance(a, SetWeight)]
    assert not changes

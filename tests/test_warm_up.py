"""Tests of servers that are warming up: slow start, restarts, and a fleet without warm servers."""

import pytest

from puffintide.decisions.events import (
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateType,
)
from puffintide.decisions.placement import plan_slices
from tests.world import World, server


def test_returning_server_is_filled_to_its_current_capacity() -> None:
    world = World()
    world.run(10)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, EndpointStatus.REMOVED),)))
    world.run(10)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (server(1, started_at_s=world.now),)))
    started_at_s = world.now
    for _ in range(16):
        world.run(0.5)
        warm_up_fraction = 0.25 + 0.75 * min(1.0, (world.now - started_at_s) / 10.0)
        assert world.load(1) <= warm_up_fraction * 30.0


def test_restart_visible_only_by_the_start_time_sheds_the_excess() -> None:
    world = World()
    for slice_id in (0, 4, 8):
        world.request_rates[slice_id] = 7.0
    world.run(10)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, started_at_s=world.now),)))
    world.run(1.5)
    assert world.load(1) <= 0.5 * 30.0


@pytest.mark.parametrize("assigner_count", [1, 3])
def test_warming_server_gets_only_one_assigners_part(assigner_count: int) -> None:
    world = World(assigner_count=assigner_count, slice_count=12)
    world.run(10)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(9, started_at_s=world.now),)))
    for slice_id in world.request_rates:
        world.request_rates[slice_id] = 12.0
    world.capacity[9] = 30.0
    world.run(1.5)
    assert world.load(9) <= 0.5 * 30.0 / assigner_count


def test_only_warming_servers_get_no_more_than_a_safe_load() -> None:
    """The warm servers are removed while the others warm up, so slices cannot move to a warm server."""
    world = World(slow_start_duration_s=20.0)
    world.run(10)
    started_at_s = world.now
    world.send(
        EndpointListUpdate(
            ListUpdateType.DELTA, 2, tuple(server(s, started_at_s=started_at_s) for s in (1, 2))
        )
    )
    for step in range(40):
        warm_up_fraction = 0.25 + 0.75 * (world.now - started_at_s) / 20.0
        world.capacity.update({1: 30.0 * warm_up_fraction, 2: 30.0 * warm_up_fraction})
        world.run(0.25)
        if step == 15:
            world.send(
                EndpointListUpdate(
                    ListUpdateType.DELTA, 3, tuple(server(s, EndpointStatus.REMOVED) for s in (3, 4))
                )
            )
        if step == 3:
            world.request_rates = dict.fromkeys(world.request_rates, 9.0)
        assert step < 22 or max(world.load(1), world.load(2)) <= 0.7 * 3.0 * warm_up_fraction * 30.0


def test_restarted_server_is_relieved_at_once_while_reports_are_delayed() -> None:
    world = World()
    for slice_id in (0, 4, 8):
        world.request_rates[slice_id] = 7.0
    world.run(10)
    world.reports_stopped = True
    world.run(8)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, started_at_s=world.now),)))
    world.run(0.5)
    assert world.load(1) <= 0.5 * 30.0


def test_slices_do_not_all_return_to_an_ejected_or_warming_server() -> None:
    world = World()
    for slice_id in world.request_rates:
        world.request_rates[slice_id] = 9.0
    world.run(10)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, EndpointStatus.REMOVED),)))
    world.run(3)
    world.failing_servers.add(1)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (server(1, started_at_s=world.now),)))
    for _ in range(40):
        world.run(0.25)
        server_state = world.director.servers[1]
        warm_up_fraction = 0.25 + 0.75 * min(1.0, (world.now - server_state.endpoint.started_at_s) / 10.0)
        assert world.load(1) <= 1.5 * warm_up_fraction * 30.0
        assert server_state.recovery_level > 0 or world.load(1) <= 9.0


def test_slices_on_ejected_servers_do_not_all_return_to_a_warming_one() -> None:
    world = World()
    world.run(5)
    director = world.director
    for slice_id, slice_state in director.slices.items():
        slice_state.default_server = 1
        slice_state.assigned_servers = [2 + slice_id % 3]
        slice_state.weights = {2 + slice_id % 3: 1.0}
    for server_id in (2, 3, 4):
        director.servers[server_id].recovery_level = 0
    director.servers[1].endpoint = server(1, started_at_s=world.now)
    plan = plan_slices(director.fleet, director.estimator, director.ranking)
    assert sum(world.request_rates[n] for n, planned_ids in plan.items() if planned_ids == [1]) <= 0.5 * 30.0


def test_slice_that_is_large_for_a_warming_server_is_not_moved_there() -> None:
    """Such a slice may have a hot key, which could overload the server before the next report."""
    world = World(servers=(1, 2, 3), slice_count=12)
    # The default server of slices 0, 3, 6 and 9 is server 1.
    world.request_rates = dict.fromkeys(world.request_rates, 1.5) | {0: 5.0}
    world.request_rates |= {n: 6.0 for n in world.request_rates if n % 3}
    world.run(10)
    # Server 9 soon reaches 40% of its capacity of 30.
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(9, started_at_s=world.now - 0.5),)))
    world.capacity[9] = 12.0
    world.run(1)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (server(1, EndpointStatus.DRAINING),)))
    world.run(1)
    assert 9 not in world.main_servers(0)
    moved_slices = [n for n in (3, 6, 9) if 9 in world.main_servers(n)]
    # Slices that do move there have a second server, as reports would show a new hot key too late.
    assert moved_slices
    assert all(len(world.main_servers(n)) == 2 for n in moved_slices)
    world.request_rates[moved_slices[0]] = 40.0
    # Without the second server, server 9 would collapse.
    assert world.load(9) < 3 * 12.0 < world.load(9) + 20.0
    world.request_rates[moved_slices[0]] = 1.5
    # Later the server is still warming up, but can take a hot key, so a second server is no longer needed.
    world.run(5)
    assert world.director.fleet.warm_up_fraction(9) < 1
    assert all(len(world.main_servers(n)) == 1 for n in moved_slices)


def test_hot_slice_without_additional_servers_is_not_left_on_a_warming_server() -> None:
    """If the other parts of a split slice find no server, their load would fall on the warming server."""
    world = World(slow_start_duration_s=20.0)
    # Servers 2, 3 and 4 have a utilization of 0.95.
    world.request_rates = {n: 1.0 if n % 4 == 0 else 9.5 for n in world.request_rates}
    world.run(10)
    world.request_rates[0] = 25.0
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, started_at_s=world.now),)))
    for _ in range(8):
        world.run(1)
        warm_up_fraction = 0.25 + 0.75 * (world.now - world.director.servers[1].endpoint.started_at_s) / 20.0
        assert (
            world.load(1) <= 1.5 * warm_up_fraction * 30.0
            or world.now < world.director.servers[1].endpoint.started_at_s + 2
        )

"""Servers that are warming up: slow start, restarts, and a fleet without warm servers."""

import pytest

from puffintide.decisions.events import (
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateType,
)
from puffintide.decisions.placement import plan_slices
from tests.world import World, server


def test_returning_server_is_filled_to_its_present_capacity() -> None:
    world = World()
    world.run(10)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, EndpointStatus.REMOVED),)))
    world.run(10)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (server(1, started=world.now),)))
    born = world.now
    for _ in range(16):
        world.run(0.5)
        share = 0.25 + 0.75 * min(1.0, (world.now - born) / 10.0)
        assert world.load(1) <= share * 30.0


def test_restart_visible_only_by_the_start_time_sheds_the_excess() -> None:
    world = World()
    for number in (0, 4, 8):
        world.request_rates[number] = 7.0
    world.run(10)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, started=world.now),)))
    world.run(1.5)
    assert world.load(1) <= 0.5 * 30.0


@pytest.mark.parametrize("instances", [1, 3])
def test_server_that_is_warming_up_gets_one_assigners_part(instances: int) -> None:
    world = World(assigner_count=instances, slice_count=12)
    world.run(10)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(9, started=world.now),)))
    for number in world.request_rates:
        world.request_rates[number] = 12.0
    world.capacity[9] = 30.0
    world.run(1.5)
    assert world.load(9) <= 0.5 * 30.0 / instances


def test_only_warming_servers_get_no_more_than_a_safe_load() -> None:
    """The only warm servers are lost while the others are cold: nobody warm is left to move to."""
    world = World(slow_start_duration_s=20.0)
    world.run(10)
    born = world.now
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, tuple(server(s, started=born) for s in (1, 2))))
    for step in range(40):
        share = 0.25 + 0.75 * (world.now - born) / 20.0
        world.capacity.update({1: 30.0 * share, 2: 30.0 * share})
        world.run(0.25)
        if step == 15:
            world.send(
                EndpointListUpdate(
                    ListUpdateType.DELTA, 3, tuple(server(s, EndpointStatus.REMOVED) for s in (3, 4))
                )
            )
        if step == 3:
            world.request_rates = dict.fromkeys(world.request_rates, 9.0)
        assert step < 22 or max(world.load(1), world.load(2)) <= 0.7 * 3.0 * share * 30.0


def test_restarted_server_is_relieved_at_once_while_reports_are_delayed() -> None:
    world = World()
    for number in (0, 4, 8):
        world.request_rates[number] = 7.0
    world.run(10)
    world.reports_stopped = True
    world.run(8)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, started=world.now),)))
    world.run(0.5)
    assert world.load(1) <= 0.5 * 30.0


def test_slices_do_not_all_return_to_an_ejected_or_warming_server() -> None:
    world = World()
    for number in world.request_rates:
        world.request_rates[number] = 9.0
    world.run(10)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, EndpointStatus.REMOVED),)))
    world.run(3)
    world.failing_servers.add(1)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (server(1, started=world.now),)))
    for _ in range(40):
        world.run(0.25)
        view = world.director.servers[1]
        share = 0.25 + 0.75 * min(1.0, (world.now - view.endpoint.started_at_s) / 10.0)
        assert world.load(1) <= 1.5 * share * 30.0
        assert view.recovery_level > 0 or world.load(1) <= 9.0


def test_slices_on_ejected_servers_do_not_all_return_to_a_warming_one() -> None:
    world = World()
    world.run(5)
    director = world.director
    for number, view in director.slices.items():
        view.default_server = 1
        view.assigned_servers = [2 + number % 3]
        view.weights = {2 + number % 3: 1.0}
    for sid in (2, 3, 4):
        director.servers[sid].recovery_level = 0
    director.servers[1].endpoint = server(1, started=world.now)
    plan = plan_slices(director.fleet, director.estimator, director.ranking)
    assert sum(world.request_rates[n] for n, places in plan.items() if places == [1]) <= 0.5 * 30.0


def test_slice_that_is_large_for_a_warming_server_is_not_moved_there() -> None:
    """A hot key shows first as such a slice, and would push the server over before the next report."""
    world = World(servers=(1, 2, 3), slice_count=12)
    world.request_rates = dict.fromkeys(world.request_rates, 1.5) | {
        0: 5.0
    }  # slices 0, 3, 6 and 9 are at home on server 1
    world.request_rates |= {n: 6.0 for n in world.request_rates if n % 3}
    world.run(10)
    world.send(
        EndpointListUpdate(ListUpdateType.DELTA, 2, (server(9, started=world.now - 0.5),))
    )  # good for 40% of 30 soon
    world.capacity[9] = 12.0
    world.run(1)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (server(1, EndpointStatus.DRAINING),)))
    world.run(1)
    assert 9 not in world.main_servers(0)
    cold = [n for n in (3, 6, 9) if 9 in world.main_servers(n)]
    # What does stand there stands elsewhere too: a key that becomes hot now would be told of too late.
    assert cold
    assert all(len(world.main_servers(n)) == 2 for n in cold)
    world.request_rates[cold[0]] = 40.0
    assert world.load(9) < 3 * 12.0 < world.load(9) + 20.0  # alone it would be pushed over
    world.request_rates[cold[0]] = 1.5
    world.run(5)  # while it is cold, one place is enough again: it could bear that
    assert world.director.fleet.warm_up_fraction(9) < 1
    assert all(len(world.main_servers(n)) == 1 for n in cold)


def test_hot_slice_without_additional_servers_is_not_left_on_a_warming_server() -> None:
    """It is planned in parts; with no room for the others, all of it would fall on the one that has a place."""
    world = World(slow_start_duration_s=20.0)
    world.request_rates = {
        n: 1.0 if n % 4 == 0 else 9.5 for n in world.request_rates
    }  # servers 2, 3 and 4 at 0.95
    world.run(10)
    world.request_rates[0] = 25.0
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, started=world.now),)))
    for _ in range(8):
        world.run(1)
        cold = 0.25 + 0.75 * (world.now - world.director.servers[1].endpoint.started_at_s) / 20.0
        assert (
            world.load(1) <= 1.5 * cold * 30.0
            or world.now < world.director.servers[1].endpoint.started_at_s + 2
        )

"""Tests with large fleets and unusual endpoint lists; the cost of a round is counted in calls."""

import sys
from types import FrameType
from typing import Any

import pytest

from puffintide.decisions.events import (
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateType,
    TimerFired,
)
from tests.world import World, big_world, server


def count_calls_in_a_round(world: World) -> int:
    """Return the number of calls, built-in ones included, of one round without reports."""
    count = 0

    def count_call(_frame: FrameType, event: str, _arg: Any) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    world.now += 0.25
    sys.setprofile(count_call)
    try:
        world.director.handle(world.now, [TimerFired(1)])
    finally:
        sys.setprofile(None)
    return count


def test_work_of_a_round_does_not_grow_quadratically_with_the_fleet() -> None:
    counts = []
    for size in (40, 80, 160):
        world = big_world(size)
        world.run(6)
        counts.append(max(count_calls_in_a_round(world) for _ in range(5)))
        assert counts[-1] <= 120 * (size + len(world.request_rates))
    assert counts[1] <= 2.6 * counts[0]
    assert counts[2] <= 2.6 * counts[1]


def test_rankings_are_cached_while_the_same_servers_are_ready() -> None:
    world = big_world(40)
    world.run(6)
    ranking_ids = {n: id(world.director.ranking.alternates(n)) for n in world.request_rates}
    world.run(6)
    assert {n: id(world.director.ranking.alternates(n)) for n in world.request_rates} == ranking_ids
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, EndpointStatus.REMOVED),)))
    assert all(1 not in world.director.ranking.alternates(n) for n in world.request_rates)


@pytest.mark.parametrize("remaining", [0, 1])
def test_every_slice_is_served_again_after_the_list_shrank_to_one_or_none(remaining: int) -> None:
    world = big_world(20)
    world.run(4)
    world.send(
        EndpointListUpdate(ListUpdateType.SNAPSHOT, 2, tuple(server(s) for s in range(1, remaining + 1)))
    )
    world.run(8)
    world.send(EndpointListUpdate(ListUpdateType.SNAPSHOT, 3, tuple(server(s) for s in range(1, 21))))
    world.run(20)
    assert all(world.admitted_weights(n) for n in world.request_rates)


def test_tables_are_planned_without_proxies() -> None:
    world = World(proxy_count=0)
    world.run(5)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, EndpointStatus.REMOVED),)))
    world.run(1)
    assert all(1 not in table for table in world.tables.values())

"""Full size and beyond: the work of a round is bounded by counting calls, and odd lists do no harm."""

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


def calls_in_a_round(world: World) -> int:
    """Calls, built-in ones too, that one round makes when nothing is heard."""
    count = 0

    def tally(_frame: FrameType, event: str, _arg: Any) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    world.now += 0.25
    sys.setprofile(tally)
    try:
        world.director.handle(world.now, [TimerFired(1)])
    finally:
        sys.setprofile(None)
    return count


def test_work_of_a_round_grows_with_the_fleet_and_not_with_its_square() -> None:
    counts = []
    for size in (40, 80, 160):
        world = big_world(size)
        world.run(6)
        counts.append(max(calls_in_a_round(world) for _ in range(5)))
        assert counts[-1] <= 120 * (size + len(world.request_rates))
    assert counts[1] <= 2.6 * counts[0]
    assert counts[2] <= 2.6 * counts[1]


def test_rankings_are_cached_while_the_same_servers_are_ready() -> None:
    world = big_world(40)
    world.run(6)
    orders = {n: id(world.director.ranking.alternates(n)) for n in world.request_rates}
    world.run(6)
    assert {n: id(world.director.ranking.alternates(n)) for n in world.request_rates} == orders
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, EndpointStatus.REMOVED),)))
    assert all(1 not in world.director.ranking.alternates(n) for n in world.request_rates)


@pytest.mark.parametrize("left", [0, 1])
def test_every_slice_is_served_again_after_the_list_shrank_to_one_or_none(left: int) -> None:
    world = big_world(20)
    world.run(4)
    world.send(EndpointListUpdate(ListUpdateType.SNAPSHOT, 2, tuple(server(s) for s in range(1, left + 1))))
    world.run(8)
    world.send(EndpointListUpdate(ListUpdateType.SNAPSHOT, 3, tuple(server(s) for s in range(1, 21))))
    world.run(20)
    assert all(world.admitted_weights(n) for n in world.request_rates)


def test_tables_are_planned_without_proxies() -> None:
    world = World(proxy_count=0)
    world.run(5)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, EndpointStatus.REMOVED),)))
    world.run(1)
    assert all(1 not in t for t in world.tables.values())

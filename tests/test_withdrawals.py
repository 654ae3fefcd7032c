"""Withdrawals of lost servers, and their readmission."""

import pytest

from puffintide.decisions.actions import Action, SetWithdrawn
from puffintide.decisions.channel import ChannelBudget
from puffintide.decisions.events import (
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateType,
    ProxyConnected,
)
from tests.world import World, server


def drain_half_of_the_fleet(world: World) -> list[list[Action]]:
    """Half the fleet drains at once, more tables than the channel can rewrite within the grace."""
    world.request_rates = dict.fromkeys(world.request_rates, 40.0 / len(world.request_rates))
    world.run(5)
    mark = len(world.log)
    world.send(
        EndpointListUpdate(ListUpdateType.DELTA, 2, tuple(server(s, EndpointStatus.DRAINING) for s in (1, 2)))
    )
    world.run(1)
    return [acts for _, acts in world.log[mark:]]


def test_servers_are_withdrawn_when_rewriting_tables_would_take_too_long() -> None:
    world = World(
        slice_count=60,
        channel_entries_per_s=100.0,
        channel_capacity_entries=150.0,
        channel_header_entries=2.0,
    )
    orders = drain_half_of_the_fleet(world)
    assert {a.server_id for acts in orders for a in acts if isinstance(a, SetWithdrawn) and a.withdrawn} == {
        1,
        2,
    }
    assert world.slices_on(1) == []
    assert world.slices_on(2) == []


def test_small_drain_rewrites_tables_without_withdrawals() -> None:
    world = World()
    assert not any(isinstance(a, SetWithdrawn) for acts in drain_half_of_the_fleet(world) for a in acts)
    assert world.slices_on(1) == []


def test_withdrawn_server_is_readmitted_only_when_no_table_has_it_against_the_plan() -> None:
    world = World(
        slice_count=60,
        channel_entries_per_s=100.0,
        channel_capacity_entries=150.0,
        channel_header_entries=2.0,
    )
    drain_half_of_the_fleet(world)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, tuple(server(s) for s in (1, 2))))
    for _ in range(240):
        shut, before = set(world.withdrawn), [set(table) for table in world.tables.values()]
        world.run(0.25)
        assert not any(table & (shut - world.withdrawn) for table in before)
    assert world.withdrawn == set()


def test_withdrawals_are_resent_to_proxies_that_connect_later() -> None:
    world = World(
        slice_count=60,
        channel_entries_per_s=100.0,
        channel_capacity_entries=150.0,
        channel_header_entries=2.0,
    )
    drain_half_of_the_fleet(world)
    mark = len(world.log)
    world.send(ProxyConnected(3, 0, 5.0, True))
    world.run(2)
    again = {
        a.server_id
        for _, acts in world.log[mark:]
        for a in acts
        if isinstance(a, SetWithdrawn) and a.withdrawn
    }
    held = {s for t in world.tables.values() for s in t}
    assert again == {1, 2} & held != set()


@pytest.mark.parametrize(("room", "sent"), [(1, 0), (2, 0), (3, 3), (9, 3)])
def test_withdrawals_are_not_sent_one_by_one(room: int, sent: int) -> None:
    """Every message has a head for each proxy, so a wave's withdrawals wait for room for all of them."""
    world = World(servers=(1, 2, 3, 4, 5), slice_count=20)
    world.run(5)
    director = world.director
    for sid in (1, 2, 3):
        director.servers[sid].endpoint = server(sid, EndpointStatus.REMOVED)
        director.servers[sid].unavailable_since_s = world.now
    plan = {n: [4] for n in world.tables}
    orders = director.publisher.withdrawals.withdraw_servers(
        plan, sorted(plan), ChannelBudget(withdrawals=room * 3.0, urgent=-1.0, ordinary=-1.0)
    )
    assert [a for a in orders if isinstance(a, SetWithdrawn) and a.withdrawn] == orders
    assert len(orders) == sent
    assert director.fleet.urgent_change_pending == (sent < 3)

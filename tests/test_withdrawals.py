"""Tests of the withdrawal of unavailable servers, and of their readmission."""

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
    """Drain servers 1 and 2 of four at once, and return the actions.

    A slow channel cannot rewrite all of their tables within the grace period.
    """
    world.request_rates = dict.fromkeys(world.request_rates, 40.0 / len(world.request_rates))
    world.run(5)
    log_length = len(world.log)
    world.send(
        EndpointListUpdate(ListUpdateType.DELTA, 2, tuple(server(s, EndpointStatus.DRAINING) for s in (1, 2)))
    )
    world.run(1)
    return [actions for _, actions in world.log[log_length:]]


def test_servers_are_withdrawn_when_rewriting_tables_would_take_too_long() -> None:
    world = World(
        slice_count=60,
        channel_entries_per_s=100.0,
        channel_capacity_entries=150.0,
        channel_header_entries=2.0,
    )
    batches = drain_half_of_the_fleet(world)
    assert {
        a.server_id for actions in batches for a in actions if isinstance(a, SetWithdrawn) and a.withdrawn
    } == {
        1,
        2,
    }
    assert world.slices_on(1) == []
    assert world.slices_on(2) == []


def test_small_drain_rewrites_tables_without_withdrawals() -> None:
    world = World()
    assert not any(isinstance(a, SetWithdrawn) for actions in drain_half_of_the_fleet(world) for a in actions)
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
        withdrawn_before, tables_before = (
            set(world.withdrawn),
            [set(table) for table in world.tables.values()],
        )
        world.run(0.25)
        assert not any(table & (withdrawn_before - world.withdrawn) for table in tables_before)
    assert world.withdrawn == set()


def test_withdrawals_are_resent_to_proxies_that_connect_later() -> None:
    world = World(
        slice_count=60,
        channel_entries_per_s=100.0,
        channel_capacity_entries=150.0,
        channel_header_entries=2.0,
    )
    drain_half_of_the_fleet(world)
    log_length = len(world.log)
    world.send(ProxyConnected(3, 0, 5.0, True))
    world.run(2)
    resent_ids = {
        a.server_id
        for _, actions in world.log[log_length:]
        for a in actions
        if isinstance(a, SetWithdrawn) and a.withdrawn
    }
    table_server_ids = {s for table in world.tables.values() for s in table}
    assert resent_ids == {1, 2} & table_server_ids != set()


@pytest.mark.parametrize(("entries_per_proxy", "sent_count"), [(1, 0), (2, 0), (3, 3), (9, 3)])
def test_withdrawals_are_not_sent_one_by_one(entries_per_proxy: int, sent_count: int) -> None:
    """Each message has a header for every proxy, so withdrawals wait until all of them can be sent."""
    world = World(servers=(1, 2, 3, 4, 5), slice_count=20)
    world.run(5)
    director = world.director
    for server_id in (1, 2, 3):
        director.servers[server_id].endpoint = server(server_id, EndpointStatus.REMOVED)
        director.servers[server_id].unavailable_since_s = world.now
    plan = {n: [4] for n in world.tables}
    actions = director.publisher.withdrawals.withdraw_servers(
        plan, sorted(plan), ChannelBudget(withdrawals=entries_per_proxy * 3.0, urgent=-1.0, ordinary=-1.0)
    )
    assert [a for a in actions if isinstance(a, SetWithdrawn) and a.withdrawn] == actions
    assert len(actions) == sent_count
    assert director.fleet.urgent_change_pending == (sent_count < 3)

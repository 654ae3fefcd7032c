"""Tests of draining, removed and ejected servers: slices leave them, and no table becomes empty."""

import pytest

from puffintide.decisions.events import (
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateType,
    OwnershipChanged,
    StoredWeight,
)
from puffintide.decisions.parameters import RETURN_COOLDOWN_S
from tests.world import World, server


@pytest.mark.parametrize("status", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
def test_draining_or_removed_server_leaves_every_table_within_half_a_second(status: EndpointStatus) -> None:
    world = World()
    world.run(10)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, status),)))
    world.run(0.5)
    assert world.slices_on(1) == []
    assert all(world.tables.values())


def test_server_missing_from_a_snapshot_leaves_every_table() -> None:
    world = World()
    world.run(5)
    world.send(EndpointListUpdate(ListUpdateType.SNAPSHOT, 9, (server(2), server(3), server(4))))
    world.run(0.5)
    assert world.slices_on(1) == []


def test_slice_granted_later_with_a_draining_server_is_moved_at_once() -> None:
    world = World()
    world.run(5)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(1, EndpointStatus.DRAINING),)))
    world.run(2)
    world.send(OwnershipChanged(5, False))
    world.tables[5] = {1: 1.0}
    world.send(OwnershipChanged(5, True), StoredWeight(5, 1, 1.0))
    world.run(0.5)
    assert world.admitted_weights(5)
    assert 1 not in world.admitted_weights(5)


def test_no_table_is_left_empty_while_a_server_is_ready() -> None:
    world = World()
    world.run(5)
    for server_id in (1, 2, 3):
        world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(server_id, EndpointStatus.REMOVED),)))
        world.run(1)
        assert all(world.tables.values())


def test_tables_stay_when_only_ejected_servers_are_left() -> None:
    world = World(servers=(1, 2, 3))
    world.run(10)
    world.failing_servers.add(1)
    world.run(3)
    assert world.director.servers[1].recovery_level == 0
    world.send(
        EndpointListUpdate(
            ListUpdateType.DELTA, 2, (server(2, EndpointStatus.REMOVED), server(3, EndpointStatus.REMOVED))
        )
    )
    world.run(1)
    assert all(set(table) == {1} for table in world.tables.values())


def test_slice_that_has_just_moved_leaves_a_draining_server() -> None:
    world = World(slice_count=24)
    world.request_rates = {n: (6.0 if n % 4 == 0 else 1.0) for n in world.request_rates}
    world.run(6)
    moved_slices = (
        n for n, state in world.director.slices.items() if state.moved_at_s > world.now - RETURN_COOLDOWN_S
    )
    slice_id = next(moved_slices)
    servers = world.main_servers(slice_id)
    world.send(
        EndpointListUpdate(
            ListUpdateType.DELTA, 2, tuple(server(s, EndpointStatus.DRAINING) for s in servers)
        )
    )
    assert not world.main_servers(slice_id) & servers

"""Tests of a director whose server capacities are limited by the zone plan."""

from __future__ import annotations

import pytest

from puffintide.decisions.actions import SetWeight
from puffintide.decisions.director import Director
from puffintide.decisions.events import (
    AssignerCountChanged,
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateType,
    OwnershipChanged,
    ZoneCommandReceived,
    ZoneOperation,
)
from puffintide.zones.director import ZonedDirector
from puffintide.zones.state import ZoneLimits
from tests.world import World, server
from tests.zone_world import SERVERS


class ZonedWorld(World):
    make = staticmethod(lambda settings: ZonedDirector(settings, ZoneLimits()))

    def list_zone(self, zone: int, status: EndpointStatus) -> None:
        """Send a list update that sets the status of all servers of a zone; the servers keep running."""
        ids = [s for s in self.capacity if s % 2 == zone]
        self.send(EndpointListUpdate(ListUpdateType.DELTA, 2, tuple(server(s, status) for s in ids)))

    def placement_batch_sizes(self, since: float) -> list[int]:
        """Return the number of full-weight entries set in each round since a time, without empty rounds."""
        batch_sizes = [
            sum(isinstance(a, SetWeight) and a.weight >= 1 for a in round_actions)
            for t, round_actions in self.log
            if t >= since
        ]
        return [n for n in batch_sizes if n]


class UnzonedWorld(ZonedWorld):
    make = staticmethod(Director)  # type: ignore[assignment]


def make_eight_server_world(world_type: type[ZonedWorld], **changes: object) -> ZonedWorld:
    world = world_type(servers=SERVERS, slice_count=64, proxy_count=3, **changes)
    world.request_rates = dict.fromkeys(world.request_rates, 1.2)  # 0.32 of the capacity.
    world.run(30)
    return world


def test_zone_plan_reduces_slices_moved_at_once_when_warm_servers_return() -> None:
    largest_batches = {}
    for world_type in (UnzonedWorld, ZonedWorld):
        world = make_eight_server_world(world_type)
        world.list_zone(0, EndpointStatus.REMOVED)
        world.run(12)
        assert all(world.admitted_weights(n) for n in world.tables)
        recovery_start = world.now
        world.list_zone(0, EndpointStatus.READY)
        world.run(60)
        returned_load = sum(world.load(s) for s in SERVERS if s % 2 == 0)
        assert returned_load > 0.8 * 38.4  # 80 % of the load that the zone had before.
        largest_batches[world_type] = max(world.placement_batch_sizes(recovery_start))
    assert largest_batches[ZonedWorld] < 0.7 * largest_batches[UnzonedWorld], largest_batches


def test_drain_empties_zone_and_leaves_every_slice_a_server() -> None:
    world = make_eight_server_world(ZonedWorld)
    world.send(ZoneCommandReceived(0, ZoneOperation.DRAIN, 1.0))
    world.run(30)
    assert all(s % 2 for n in world.tables for s in world.main_servers(n))
    assert all(world.admitted_weights(n) for n in world.tables)
    # No zone may be used after this: tables are kept, and empty ones are filled.
    world.send(ZoneCommandReceived(1, ZoneOperation.HOLD, 1.0))
    world.tables[3] = {}
    world.send(OwnershipChanged(3, False), OwnershipChanged(3, True))
    world.run(10)
    assert all(world.admitted_weights(n) for n in world.tables)


def test_drain_does_not_overload_servers_at_high_load() -> None:
    world = make_eight_server_world(ZonedWorld)
    # The load is 0.85 of the capacity of both zones, too much for one zone.
    world.request_rates = dict.fromkeys(world.request_rates, 3.2)
    world.run(20)
    world.send(ZoneCommandReceived(0, ZoneOperation.DRAIN, 1.0))
    world.run(40)
    for s in SERVERS:
        assert world.load(s) <= 1.1 * world.capacity[s]


def test_zone_distances_keep_slices_of_removed_server_in_its_zone() -> None:
    zones_of_moved_slices = {}
    for distances in ((), ((0, 1), (1, 0))):
        world = make_eight_server_world(ZonedWorld, zone_distances=distances)
        slices_of_server_2 = [n for n in world.tables if world.main_servers(n) == {2}]
        world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(2, EndpointStatus.REMOVED),)))
        world.run(3)
        zones_of_moved_slices[bool(distances)] = {
            s % 2 for n in slices_of_server_2 for s in world.main_servers(n)
        }
    assert zones_of_moved_slices == {False: {0, 1}, True: {0}}


def test_remaining_assigner_uses_quota_of_failed_assigners() -> None:
    """Server 2 is overloaded, and its slices move to spare capacity of the other servers.

    An assigner may use only its quota of that capacity, which is larger the fewer assigners remain.
    """
    moved_slices = {}
    for count in (4, 1):
        world = UnzonedWorld(
            servers=SERVERS, slice_count=64, proxy_count=3, assigner_count=4, load_value_names=("busy", "rif")
        )
        world.request_rates = {n: 1.2 if world.tables[n] != {2: 1.0} else 4.5 for n in world.request_rates}
        world.send(AssignerCountChanged(count))
        world.run(20)
        moved_slices[count] = sum(2 not in world.main_servers(n) for n in world.tables if n % 8 == 1)
    assert moved_slices[1] > moved_slices[4]


def test_restarted_servers_count_as_warming_up_before_the_director_knows_them() -> None:
    """The director does not know about the restart yet, so it would report the servers as warm.

    The ramp would then hold them at its start fraction during an overload.
    """
    world = make_eight_server_world(ZonedWorld)
    world.list_zone(0, EndpointStatus.REMOVED)
    world.run(12)
    for s in (2, 4, 6, 8):
        world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (server(s, started_at_s=world.now),)))
        assert world.director.plan.capacity_limits[s] == 1.0
        world.run(0.25)


@pytest.mark.parametrize("operation", ["hold", "drain"])
def test_lifted_capacity_limit_does_not_persist_for_server_removed_meanwhile(operation: str) -> None:
    world = make_eight_server_world(ZonedWorld)
    world.send(ZoneCommandReceived(0, ZoneOperation(operation), 1.0))
    world.run(6)  # Half of the 12 s that a drain takes.
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(2, EndpointStatus.REMOVED),)))
    world.run(2)
    world.send(ZoneCommandReceived(0, ZoneOperation.RETURN, 1.0))
    world.run(60)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (server(2),)))
    world.run(60)
    assert 2 in world.main_servers(1)  # Server 2 is the default server of slice 1.
    decision_director = world.director.director
    assert decision_director.fleet.capacity_limits.get(2, 1.0) == 1.0
    assert decision_director.estimator.usable_capacity(2) > 20

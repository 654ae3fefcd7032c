"""A director with the zone plan before it."""

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


class Zoned(World):
    make = staticmethod(lambda settings: ZonedDirector(settings, ZoneLimits()))

    def list_zone(self, zone: int, state: EndpointStatus) -> None:
        """Removed from the list or listed again; its servers go on running all the time."""
        ids = [s for s in self.capacity if s % 2 == zone]
        self.send(EndpointListUpdate(ListUpdateType.DELTA, 2, tuple(server(s, state) for s in ids)))

    def batch_sizes(self, since: float) -> list[int]:
        """New entries of each batch of changes."""
        made = [
            sum(isinstance(a, SetWeight) and a.weight >= 1 for a in acts)
            for t, acts in self.log
            if t >= since
        ]
        return [n for n in made if n]


class Unzoned(Zoned):
    make = staticmethod(Director)  # type: ignore[assignment]


def fleet_of_eight(make: type[Zoned], **changes: object) -> Zoned:
    world = make(servers=SERVERS, slice_count=64, proxy_count=3, **changes)
    world.request_rates = dict.fromkeys(world.request_rates, 1.2)  # 0.32 of the capacity
    world.run(30)
    return world


def test_recovery_of_warm_servers_moves_fewer_slices_at_once_than_without_the_plan() -> None:
    largest = {}
    for make in (Unzoned, Zoned):
        world = fleet_of_eight(make)
        world.list_zone(0, EndpointStatus.REMOVED)
        world.run(12)
        assert all(world.admitted_weights(n) for n in world.tables)
        began = world.now
        world.list_zone(0, EndpointStatus.READY)
        world.run(60)
        home = sum(world.load(s) for s in SERVERS if s % 2 == 0)
        assert home > 0.8 * 38.4  # of what stood there before
        largest[make] = max(world.batch_sizes(began))
    assert largest[Zoned] < 0.7 * largest[Unzoned], largest


def test_operator_drain_empties_a_zone_and_no_slice() -> None:
    world = fleet_of_eight(Zoned)
    world.send(ZoneCommandReceived(0, ZoneOperation.DRAIN, 1.0))
    world.run(30)
    assert all(s % 2 for n in world.tables for s in world.main_servers(n))
    assert all(world.admitted_weights(n) for n in world.tables)
    world.send(
        ZoneCommandReceived(1, ZoneOperation.HOLD, 1.0)
    )  # now all are out: tables stay, and new ones are filled
    world.tables[3] = {}
    world.send(OwnershipChanged(3, False), OwnershipChanged(3, True))
    world.run(10)
    assert all(world.admitted_weights(n) for n in world.tables)


def test_drain_does_not_overload_a_full_zone() -> None:
    world = fleet_of_eight(Zoned)
    world.request_rates = dict.fromkeys(world.request_rates, 3.2)  # 0.85: one zone can't carry both
    world.run(20)
    world.send(ZoneCommandReceived(0, ZoneOperation.DRAIN, 1.0))
    world.run(40)
    for s in SERVERS:
        assert world.load(s) <= 1.1 * world.capacity[s]


def test_slices_of_a_lost_server_stay_in_its_zone_with_zone_distances() -> None:
    spread = {}
    for tiers in ((), ((0, 1), (1, 0))):
        world = fleet_of_eight(Zoned, zone_distances=tiers)
        mine = [n for n in world.tables if world.main_servers(n) == {2}]
        world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(2, EndpointStatus.REMOVED),)))
        world.run(3)
        spread[bool(tiers)] = {s % 2 for n in mine for s in world.main_servers(n)}
    assert spread == {False: {0, 1}, True: {0}}


def test_remaining_assigners_use_the_quota_of_a_dead_one() -> None:
    """Server 2 is too full; how much room others have for its slices depends on how many take from it."""
    moved = {}
    for count in (4, 1):
        world = Unzoned(
            servers=SERVERS, slice_count=64, proxy_count=3, assigner_count=4, load_value_names=("busy", "rif")
        )
        world.request_rates = {n: 1.2 if world.tables[n] != {2: 1.0} else 4.5 for n in world.request_rates}
        world.send(AssignerCountChanged(count))
        world.run(20)
        moved[count] = sum(2 not in world.main_servers(n) for n in world.tables if n % 8 == 1)
    assert moved[1] > moved[4]


def test_restarted_servers_count_as_warming_before_the_director_knows_them() -> None:
    """Asking the module would take them for warm, and hold them at the start of the ramp in an overload."""
    world = fleet_of_eight(Zoned)
    world.list_zone(0, EndpointStatus.REMOVED)
    world.run(12)
    for s in (2, 4, 6, 8):
        world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (server(s, started_at_s=world.now),)))
        assert world.director.plan.capacity_limits[s] == 1.0
        world.run(0.25)


@pytest.mark.parametrize("what", ["hold", "drain"])
def test_capacity_limit_ends_for_a_server_that_was_removed_when_it_was_lifted(what: str) -> None:
    world = fleet_of_eight(Zoned)
    world.send(ZoneCommandReceived(0, ZoneOperation(what), 1.0))
    world.run(6)  # of a drain's 12 s
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(2, EndpointStatus.REMOVED),)))
    world.run(2)
    world.send(ZoneCommandReceived(0, ZoneOperation.RETURN, 1.0))
    world.run(60)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (server(2),)))
    world.run(60)
    assert 2 in world.main_servers(1)  # the first slice whose default it is
    seen = world.director.director
    assert seen.fleet.capacity_limits.get(2, 1.0) == 1.0
    assert seen.estimator.usable_capacity(2) > 20

"""Estimates of load and capacity."""

import pytest

from puffintide.decisions.events import (
    EndpointListUpdate,
    HealthCheckResult,
    HealthCheckStatus,
    ListUpdateType,
    OwnershipChanged,
    ServerLoadReport,
    SliceLoadReport,
    TimerFired,
)
from puffintide.decisions.settings import AdmissionMode
from tests.world import World, big_world, server


def test_short_service_time_of_an_idle_server_does_not_raise_its_capacity() -> None:
    world = World(assigner_count=2, load_value_names=("busy", "rif", "lat_ms"))
    world.run(10)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(9, started=world.now),)))
    world.send(*(ServerLoadReport(0, 9, 1, 0, 0.2, 10.0, (0.01, 0.0, 3.0)) for _ in range(5)))
    world.run(5)
    fleet = max(world.director.estimator.usable_capacity(s) for s in (1, 2, 3, 4))
    assert world.director.estimator.usable_capacity(9) <= 1.1 * fleet


def test_invalid_reports_change_no_estimate() -> None:
    world = World()
    world.run(10)
    before = {s: v.capacity_per_s for s, v in world.director.servers.items()}
    world.send(
        ServerLoadReport(0, 1, 5, 0, 0.2, 0.0, (0.5,)),
        ServerLoadReport(0, 1, 5, 9, 0.2, 1.0, (0.5,)),
        ServerLoadReport(0, 77, 5, 0, 0.2, 1.0, (0.5,)),
        ServerLoadReport(0, 1, 0, 0, 0.0, 1.0, (float("nan"),)),
        SliceLoadReport(3, 0, 10, 0, 0.0),
        SliceLoadReport(999, 0, 10, 0, 1.0),
        HealthCheckResult(77, HealthCheckStatus.OK, 0.1, ()),
    )
    assert {s: v.capacity_per_s for s, v in world.director.servers.items()} == before


def test_rejected_requests_do_not_count_as_load() -> None:
    world = World(admission_mode=AdmissionMode.FRACTION)
    for number in world.request_rates:
        world.request_rates[number] = 16.0
    world.run(15)
    view = world.director.slices[0]
    came = sum(rate.per_second for rate in view.request_rates.values())
    assert world.director.fleet.request_rate(view) < 0.95 * came


@pytest.mark.parametrize("instances", [1, 2])
@pytest.mark.parametrize("shown", [0.0, 0.05, 0.4, 0.7])
def test_server_that_reports_fewer_requests_than_we_have_in_flight_loses_slices(
    instances: int, shown: float
) -> None:
    """It runs slower and reports an idle, a low or an old load: answers tell otherwise."""
    world = World(slice_count=40, assigner_count=instances, load_value_names=("busy", "rif", "lat_ms"))
    world.request_rates = {n: 2.2 if n % 4 == 0 else 0.8 for n in world.request_rates}
    world.run(10)
    before = len([n for n in world.tables if 1 in world.main_servers(n)])
    del world.capacity[1]  # what it really does is told by the reports below
    for _ in range(120):
        world.run(0.25)
        tries = round(world.load(1) * 5)
        world.send(ServerLoadReport(0, 1, tries, 0, 2.0, 5.0, (shown, shown * 4, 100.0)))
    assert len([n for n in world.tables if 1 in world.main_servers(n)]) < before


def test_capacity_is_not_learned_from_the_first_report_after_a_revocation() -> None:
    """After a start only some servers have been heard of; what they answered is not the whole."""
    world = big_world(40)
    world.run(12)
    before = world.director.estimator.capacity_per_weight
    assert before is not None
    director = world.director
    director.handle(world.now, [OwnershipChanged(3, False)])
    for state in director.servers.values():
        state.successes.clear()
    world.now += 0.25
    director.handle(world.now, [ServerLoadReport(0, 1, 5, 0, 0.2, 1.0, (0.5, 1.0, 200.0)), TimerFired(1)])
    assert director.estimator.capacity_per_weight == before

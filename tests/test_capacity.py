"""Tests of the estimates of load and capacity."""

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
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(9, started_at_s=world.now),)))
    world.send(*(ServerLoadReport(0, 9, 1, 0, 0.2, 10.0, (0.01, 0.0, 3.0)) for _ in range(5)))
    world.run(5)
    max_capacity = max(world.director.estimator.usable_capacity(s) for s in (1, 2, 3, 4))
    assert world.director.estimator.usable_capacity(9) <= 1.1 * max_capacity


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
    for slice_id in world.request_rates:
        world.request_rates[slice_id] = 16.0
    world.run(15)
    slice_state = world.director.slices[0]
    offered_rate = sum(rate.per_second for rate in slice_state.request_rates.values())
    assert world.director.fleet.request_rate(slice_state) < 0.95 * offered_rate


@pytest.mark.parametrize("assigner_count", [1, 2])
@pytest.mark.parametrize("reported_load", [0.0, 0.05, 0.4, 0.7])
def test_server_that_understates_its_requests_in_flight_loses_slices(
    assigner_count: int, reported_load: float
) -> None:
    """A slow server reports too low a load, while response latencies show far more requests in flight."""
    world = World(slice_count=40, assigner_count=assigner_count, load_value_names=("busy", "rif", "lat_ms"))
    world.request_rates = {n: 2.2 if n % 4 == 0 else 0.8 for n in world.request_rates}
    world.run(10)
    slices_before = len([n for n in world.tables if 1 in world.main_servers(n)])
    del world.capacity[1]  # The reports below replace those of the simulation.
    for _ in range(120):
        world.run(0.25)
        attempts = round(world.load(1) * 5)
        world.send(ServerLoadReport(0, 1, attempts, 0, 2.0, 5.0, (reported_load, reported_load * 4, 100.0)))
    assert len([n for n in world.tables if 1 in world.main_servers(n)]) < slices_before


def test_capacity_is_not_learned_from_the_first_report_after_a_revocation() -> None:
    """After a start or a revocation, the first reports cover only some servers and not the whole rate."""
    world = big_world(40)
    world.run(12)
    before = world.director.estimator.capacity_per_weight
    assert before is not None
    director = world.director
    director.handle(world.now, [OwnershipChanged(3, False)])
    for server_state in director.servers.values():
        server_state.successes.clear()
    world.now += 0.25
    director.handle(world.now, [ServerLoadReport(0, 1, 5, 0, 0.2, 1.0, (0.5, 1.0, 200.0)), TimerFired(1)])
    assert director.estimator.capacity_per_weight == before

"""Load shedding: which fraction of each request class is admitted, and how proxies retry."""

import pytest

from puffintide.decisions.actions import ALL_SLICES, SetAdmission
from puffintide.decisions.admission import update_admission_fractions
from puffintide.decisions.settings import AdmissionMode
from tests.world import World


@pytest.mark.parametrize("default", [0, 1])
def test_non_idempotent_requests_are_retried_only_after_proof(default: int) -> None:
    world = World(default_retry_mode=default)
    world.run(10)
    orders = [a for _, acts in world.log for a in acts if isinstance(a, SetAdmission)]
    for order in orders:
        assert order.retry_mode <= 1 or not (order.class_mask == 0 or order.class_mask & 0b10)


def test_overloaded_fleet_admits_less_of_the_class_of_least_priority() -> None:
    world = World(admission_mode=AdmissionMode.FRACTION)
    world.run(5)
    for number in world.request_rates:
        world.request_rates[number] = 16.0
    world.run(15)
    levels = world.director.fleet.admission_fractions
    assert min(levels.values()) < 0.9
    orders = [a for _, acts in world.log for a in acts if isinstance(a, SetAdmission) and a.fraction < 1]
    assert orders
    assert all(a.slice_id == ALL_SLICES for a in orders)
    for number in world.request_rates:
        world.request_rates[number] = 3.0
    world.run(20)
    assert min(world.director.fleet.admission_fractions.values()) == 1


def test_one_overloaded_server_in_an_idle_fleet_sheds_no_load() -> None:
    world = World(admission_mode=AdmissionMode.FRACTION, slice_count=40)
    for number in world.request_rates:
        world.request_rates[number] = 1.0 if number % 4 else 3.6
    world.run(20)
    assert not [a for _, acts in world.log for a in acts if isinstance(a, SetAdmission) and a.fraction < 1]


@pytest.mark.parametrize(("default", "most"), [(0, 0), (1, 1), (3, 1)])
def test_retry_mode_exceeds_neither_proof_nor_the_default(default: int, most: int) -> None:
    world = World(default_retry_mode=default, admission_mode=AdmissionMode.FRACTION)
    for rate in (5.0, 14.0, 3.0):
        world.request_rates = dict.fromkeys(world.request_rates, rate)
        world.run(10)
    orders = [a for _, acts in world.log for a in acts if isinstance(a, SetAdmission)]
    assert orders
    assert all(a.retry_mode == most for a in orders)
    assert default <= 1 or orders[0] == SetAdmission(ALL_SLICES, 0, 1.0, 1)


def test_admission_rises_when_servers_are_below_the_target_load() -> None:
    """Refused clients come again and count in the heat, while the servers have room."""
    world = World(admission_mode=AdmissionMode.FRACTION)
    world.request_rates = dict.fromkeys(world.request_rates, 16.0)
    world.run(12)
    low = min(world.director.fleet.admission_fractions.values())
    assert low < 0.9
    world.capacity = dict.fromkeys(world.capacity, 200.0)  # loads fall to a few hundredths, heat stays
    world.director.estimator.capacity_per_weight = None
    for view in world.director.servers.values():
        view.load, view.capacity_per_s = 0.1, 30.0
    update_admission_fractions(world.director.fleet, world.director.estimator)
    assert min(world.director.fleet.admission_fractions.values()) > low + 0.1

"""Tests of load shedding: admitted fractions of request classes, and retry modes."""

import pytest

from puffintide.decisions.actions import ALL_SLICES, SetAdmission
from puffintide.decisions.admission import update_admission_fractions
from puffintide.decisions.settings import AdmissionMode
from tests.world import World


@pytest.mark.parametrize("default_mode", [0, 1])
def test_non_idempotent_requests_are_retried_only_after_proof(default_mode: int) -> None:
    world = World(default_retry_mode=default_mode)
    world.run(10)
    admissions = [a for _, actions in world.log for a in actions if isinstance(a, SetAdmission)]
    for admission in admissions:
        assert admission.retry_mode <= 1 or not (admission.class_mask == 0 or admission.class_mask & 0b10)


def test_overloaded_fleet_admits_less_of_the_class_of_least_priority() -> None:
    world = World(admission_mode=AdmissionMode.FRACTION)
    world.run(5)
    for slice_id in world.request_rates:
        world.request_rates[slice_id] = 16.0
    world.run(15)
    fractions = world.director.fleet.admission_fractions
    assert min(fractions.values()) < 0.9
    admissions = [
        a for _, actions in world.log for a in actions if isinstance(a, SetAdmission) and a.fraction < 1
    ]
    assert admissions
    assert all(a.slice_id == ALL_SLICES for a in admissions)
    for slice_id in world.request_rates:
        world.request_rates[slice_id] = 3.0
    world.run(20)
    assert min(world.director.fleet.admission_fractions.values()) == 1


def test_one_overloaded_server_in_an_idle_fleet_sheds_no_load() -> None:
    world = World(admission_mode=AdmissionMode.FRACTION, slice_count=40)
    for slice_id in world.request_rates:
        world.request_rates[slice_id] = 1.0 if slice_id % 4 else 3.6
    world.run(20)
    assert not [
        a for _, actions in world.log for a in actions if isinstance(a, SetAdmission) and a.fraction < 1
    ]


@pytest.mark.parametrize(("default_mode", "expected_mode"), [(0, 0), (1, 1), (3, 1)])
def test_retry_mode_is_limited_by_proof_and_default(default_mode: int, expected_mode: int) -> None:
    world = World(default_retry_mode=default_mode, admission_mode=AdmissionMode.FRACTION)
    for rate in (5.0, 14.0, 3.0):
        world.request_rates = dict.fromkeys(world.request_rates, rate)
        world.run(10)
    admissions = [a for _, actions in world.log for a in actions if isinstance(a, SetAdmission)]
    assert admissions
    assert all(a.retry_mode == expected_mode for a in admissions)
    assert default_mode <= 1 or admissions[0] == SetAdmission(ALL_SLICES, 0, 1.0, 1)


def test_admission_rises_when_servers_are_below_the_target_load() -> None:
    """Rejected clients resend, so demand appears too high even though servers have spare capacity."""
    world = World(admission_mode=AdmissionMode.FRACTION)
    world.request_rates = dict.fromkeys(world.request_rates, 16.0)
    world.run(12)
    reduced_fraction = min(world.director.fleet.admission_fractions.values())
    assert reduced_fraction < 0.9
    world.capacity = dict.fromkeys(world.capacity, 200.0)  # Loads fall to a few percent; demand stays.
    world.director.estimator.capacity_per_weight = None
    for server_state in world.director.servers.values():
        server_state.load, server_state.capacity_per_s = 0.1, 30.0
    update_admission_fractions(world.director.fleet, world.director.estimator)
    assert min(world.director.fleet.admission_fractions.values()) > reduced_fraction + 0.1

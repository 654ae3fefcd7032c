"""Tests of placement: default servers, shedding of overloaded servers, return of slices, and hot slices."""

from dataclasses import replace

import pytest

from puffintide.decisions.actions import SetWeight
from puffintide.decisions.events import (
    Event,
    HealthCheckResult,
    HealthCheckStatus,
    ServerLoadReport,
)
from puffintide.decisions.parameters import RETURN_COOLDOWN_S
from tests.world import World

SERVER_1_SLICES = range(0, 40, 4)  # Slices whose default is server 1, with 40 slices and four servers.


def overload_first_server(world: World) -> None:
    """Raise the load of server 1 above its capacity; the other servers stay lightly loaded."""
    for slice_id in world.request_rates:
        world.request_rates[slice_id] = 1.2
    world.run(5)
    for slice_id in SERVER_1_SLICES:
        world.request_rates[slice_id] = 3.4
    world.run(20)


def test_slices_of_an_idle_fleet_stay_on_their_default_servers() -> None:
    world = World()
    before = {n: set(t) for n, t in world.tables.items()}
    world.run(20)
    assert all(world.main_servers(n) == before[n] for n in before)
    assert world.count_moves() == 0


def test_overloaded_server_sheds_to_alternates_with_capacity() -> None:
    world = World(slice_count=40)
    overload_first_server(world)
    assert world.load(1) <= 0.95 * world.capacity[1]
    assert all(world.load(s) <= world.capacity[s] for s in world.capacity)


@pytest.mark.parametrize("symptom", ["none", "slow", "timeout", "failing", "rare failures"])
def test_server_sheds_only_when_health_checks_or_failures_show_queueing(symptom: str) -> None:
    """An estimated load of 0.95 of the capacity alone is too noisy to move slices."""
    world = World(slice_count=40, health_checks_enabled=True)
    for slice_id in world.request_rates:
        world.request_rates[slice_id] = 2.85 if slice_id in SERVER_1_SLICES else 1.2
    default_reports = world.reports
    # Attempts, one of which fails, and the interval of the report in seconds.
    failures = {"failing": (2, 10.0), "rare failures": (100, 500.0)}.get(symptom)
    failure_reports = [ServerLoadReport(1, 1, failures[0], 1, 0.2, failures[1], ())] if failures else []
    world.reports = lambda: [*default_reports(), *failure_reports]  # type: ignore[method-assign]
    for step in range(40):
        times_out = symptom == "timeout" and step % 2
        status = HealthCheckStatus.TIMEOUT if times_out else HealthCheckStatus.OK
        elapsed_s = 0.02 if symptom == "slow" and step > 8 else 0.01
        world.send(*(HealthCheckResult(s, HealthCheckStatus.OK, 0.01, ()) for s in (2, 3, 4)))
        world.send(HealthCheckResult(1, status, elapsed_s, ()))
        world.run(0.25)
    assert all(world.main_servers(n) == {1} for n in SERVER_1_SLICES) == (symptom == "none")


def test_severely_overloaded_server_sheds_to_alternates_up_to_their_full_capacity() -> None:
    """A server at over twice its capacity sheds even if all others exceed ALTERNATE_MAX_UTILIZATION."""
    world = World(slice_count=80)
    server_1_slices = range(0, 80, 4)
    for slice_id in world.request_rates:
        world.request_rates[slice_id] = 1.14
    world.run(5)
    for slice_id in server_1_slices:
        world.request_rates[slice_id] = 3.5
    world.run(20)
    assert world.load(1) < 61
    assert all(world.load(s) <= world.capacity[s] for s in world.capacity if s != 1)


class QueueingWorld(World):
    """Simulation in which requests above the capacity of a server wait and do not fail."""

    def reports(self) -> list[Event]:
        events = super().reports()
        return [
            replace(event, attempts=event.attempts - event.failed_attempts, failed_attempts=0)
            if isinstance(event, ServerLoadReport)
            else event
            for event in events
        ]


@pytest.mark.parametrize(("world_type", "hot_rate"), [(World, 2.7), (QueueingWorld, 3.5)])
def test_server_without_severe_overload_keeps_its_slices_when_all_are_overloaded(
    world_type: type[World], hot_rate: float
) -> None:
    """Below twice the capacity, or without failures, moves would lose cached keys for little benefit."""
    world = world_type(slice_count=80)
    for slice_id in world.request_rates:
        world.request_rates[slice_id] = 1.14
    world.run(5)
    for slice_id in range(0, 80, 4):
        world.request_rates[slice_id] = hot_rate
    moves_before = world.count_moves()
    world.run(20)
    assert world.count_moves() == moves_before


def test_moved_slices_return_when_the_default_server_has_capacity_again() -> None:
    world = World(slice_count=40)
    overload_first_server(world)
    assert any(world.main_servers(n) != {1} for n in SERVER_1_SLICES)
    for slice_id in SERVER_1_SLICES:
        world.request_rates[slice_id] = 1.0
    world.run(25)
    assert all(world.main_servers(n) == {1} for n in SERVER_1_SLICES)


def test_hot_slice_is_spread_over_several_servers() -> None:
    world = World()
    world.run(5)
    world.request_rates[0] = 35.0
    world.run(15)
    assert len(world.main_servers(0)) >= 2


def test_hot_slice_stays_on_one_server_with_a_single_writer() -> None:
    world = World(single_writer=True)
    world.run(5)
    world.request_rates[0] = 35.0
    world.run(15)
    assert all(len(table) <= 1 or len(world.main_servers(n)) == 1 for n, table in world.tables.items())
    assert len(world.director.slices[0].weights) == 1


def test_noise_at_the_threshold_does_not_move_slices_back_and_forth() -> None:
    world = World()
    world.run(5)
    for slice_id in (0, 4, 8):
        world.request_rates[slice_id] = 8.7
    for step in range(20):
        world.request_rates[0] = 8.7 + (0.6 if step % 2 else -0.6)
        world.run(1)
    assert world.count_moves() <= 4


def test_same_events_give_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        world = World()
        world.request_rates[3] = 25.0
        world.run(10)
        logs.append(world.log)
    assert logs[0] == logs[1]


def find_oscillations(world: World, within_s: float) -> list[tuple[int, float]]:
    """Return the slices that moved to other servers and back within an interval, and the times of return."""
    found, history = [], dict[int, list[tuple[float, frozenset[int]]]]()
    tables: dict[int, dict[int, float]] = {n: {} for n in world.tables}
    for at_s, actions in world.log:
        for a in (a for a in actions if isinstance(a, SetWeight)):
            tables[a.slice_id][a.server_id] = a.weight
        for slice_id in {a.slice_id for a in actions if isinstance(a, SetWeight)}:
            servers = frozenset(s for s, w in tables[slice_id].items() if w >= 1)
            moves = history.setdefault(slice_id, [])
            if not moves or moves[-1][1] != servers:
                moves.append((at_s, servers))
            if (
                len(moves) > 2
                and moves[-3][1] == servers
                and at_s - moves[-2][0] < within_s
                and moves[-1][0] == at_s
            ):
                found.append((slice_id, at_s))
    return found


def test_varying_request_rates_do_not_move_slices_back_and_forth() -> None:
    world = World(slice_count=24)
    for step in range(40):
        is_peak = step % 2
        world.request_rates = {n: (6.0 if n % 4 == 0 and is_peak else 1.0) for n in world.request_rates}
        world.run(2.0)
    assert world.count_moves() > 0
    assert not find_oscillations(world, RETURN_COOLDOWN_S)

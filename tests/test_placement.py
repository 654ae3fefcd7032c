"""Placement: default servers, shedding of overloaded ones, return, hot slices."""

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

HOME = range(0, 40, 4)  # the slices of server 1 in a world of 40 slices and four servers


def overload_first_server(world: World) -> None:
    """A light fleet whose first server then gets more than it can do."""
    for number in world.request_rates:
        world.request_rates[number] = 1.2
    world.run(5)
    for number in HOME:
        world.request_rates[number] = 3.4
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


@pytest.mark.parametrize("sign", ["none", "slowed", "lost", "failing", "some lost on the way"])
def test_server_sheds_only_when_health_checks_or_failures_show_queueing(sign: str) -> None:
    """The reading of its load says 0.95 of its capacity, and swings."""
    world = World(slice_count=40, health_checks_enabled=True)
    for number in world.request_rates:
        world.request_rates[number] = 2.85 if number in HOME else 1.2
    usual = world.reports
    losses = {"failing": (2, 10.0), "some lost on the way": (100, 500.0)}.get(sign)  # one of so many, in s
    failed = [ServerLoadReport(1, 1, losses[0], 1, 0.2, losses[1], ())] if losses else []
    world.reports = lambda: [*usual(), *failed]  # type: ignore[method-assign]
    for step in range(40):
        lost = sign == "lost" and step % 2
        status = HealthCheckStatus.TIMEOUT if lost else HealthCheckStatus.OK
        took = 0.02 if sign == "slowed" and step > 8 else 0.01
        world.send(*(HealthCheckResult(s, HealthCheckStatus.OK, 0.01, ()) for s in (2, 3, 4)))
        world.send(HealthCheckResult(1, status, took, ()))
        world.run(0.25)
    assert all(world.main_servers(n) == {1} for n in HOME) == (sign == "none")


def test_overwhelmed_server_sheds_to_alternates_up_to_their_full_capacity() -> None:
    """All others are above ROOM: one that gets over twice what it can do must not be left so for that."""
    world = World(slice_count=80)
    home = range(0, 80, 4)
    for number in world.request_rates:
        world.request_rates[number] = 1.14
    world.run(5)
    for number in home:
        world.request_rates[number] = 3.5
    world.run(20)
    assert world.load(1) < 61
    assert all(world.load(s) <= world.capacity[s] for s in world.capacity if s != 1)


class Late(World):
    """What a full server can't do is still waiting: nothing fails."""

    def reports(self) -> list[Event]:
        events = super().reports()
        return [
            replace(e, attempts=e.attempts - e.failed_attempts, failed_attempts=0)
            if isinstance(e, ServerLoadReport)
            else e
            for e in events
        ]


@pytest.mark.parametrize(("make", "heat"), [(World, 2.7), (Late, 3.5)])
def test_server_that_is_not_overwhelmed_keeps_its_slices_when_all_are_overloaded(
    make: type[World], heat: float
) -> None:
    """Less than twice what it can do, or nothing that fails: moves would cost caches for little."""
    world = make(slice_count=80)
    for number in world.request_rates:
        world.request_rates[number] = 1.14
    world.run(5)
    for number in range(0, 80, 4):
        world.request_rates[number] = heat
    before = world.count_moves()
    world.run(20)
    assert world.count_moves() == before


def test_moved_slices_return_when_the_default_server_has_capacity_again() -> None:
    world = World(slice_count=40)
    overload_first_server(world)
    assert any(world.main_servers(n) != {1} for n in HOME)
    for number in HOME:
        world.request_rates[number] = 1.0
    world.run(25)
    assert all(world.main_servers(n) == {1} for n in HOME)


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
    assert all(len(t) <= 1 or len(world.main_servers(n)) == 1 for n, t in world.tables.items())
    assert len(world.director.slices[0].weights) == 1


def test_noise_at_the_threshold_does_not_move_slices_back_and_forth() -> None:
    world = World()
    world.run(5)
    for number in (0, 4, 8):
        world.request_rates[number] = 8.7
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


def swings(world: World, within_s: float) -> list[tuple[int, float]]:
    """Slices that went from some servers to others and back within so long, and when."""
    found, before = [], dict[int, list[tuple[float, frozenset[int]]]]()
    tables: dict[int, dict[int, float]] = {n: {} for n in world.tables}
    for at_s, actions in world.log:
        for a in (a for a in actions if isinstance(a, SetWeight)):
            tables[a.slice_id][a.server_id] = a.weight
        for number in {a.slice_id for a in actions if isinstance(a, SetWeight)}:
            main = frozenset(s for s, w in tables[number].items() if w >= 1)
            row = before.setdefault(number, [])
            if not row or row[-1][1] != main:
                row.append((at_s, main))
            if len(row) > 2 and row[-3][1] == main and at_s - row[-2][0] < within_s and row[-1][0] == at_s:
                found.append((number, at_s))
    return found


def test_varying_request_rates_do_not_move_slices_back_and_forth() -> None:
    world = World(slice_count=24)
    for step in range(40):
        crowded = step % 2
        world.request_rates = {n: (6.0 if n % 4 == 0 and crowded else 1.0) for n in world.request_rates}
        world.run(2.0)
    assert world.count_moves() > 0
    assert not swings(world, RETURN_COOLDOWN_S)

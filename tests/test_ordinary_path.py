"""The mechanism on ordinary days: default map, threshold, ordered detours, changed tables only."""

from dataclasses import replace

import pytest

from puffintide.decisions.actions import SetWeight
from puffintide.decisions.events import Event, HealthCheckResult, HealthCheckStatus, ServerLoadReport
from tests.world import World

HOME = range(0, 40, 4)  # the slices of server 1 in a world of 40 slices and four servers


def busy_first(world: World) -> None:
    """A light fleet whose first server then gets more than it can do."""
    for number in world.heat:
        world.heat[number] = 1.2
    world.run(5)
    for number in HOME:
        world.heat[number] = 3.4
    world.run(20)


def test_quiet_fleet_keeps_its_default_map() -> None:
    world = World()
    before = {n: set(t) for n, t in world.tables.items()}
    world.run(20)
    assert all(world.main(n) == before[n] for n in before)
    assert world.moves() == 0


def test_every_table_gets_a_standby_line_once() -> None:
    world = World()
    world.run(10)
    lines = [a for _, acts in world.log for a in acts if isinstance(a, SetWeight)]
    assert len(lines) == world.settings.slice_count
    assert all(len(t) == 2 for t in world.tables.values())


def test_overloaded_server_sheds_to_alternates_with_room() -> None:
    world = World(slice_count=40)
    busy_first(world)
    assert world.load(1) <= 0.95 * world.capacity[1]
    assert all(world.load(s) <= world.capacity[s] for s in world.capacity)


@pytest.mark.parametrize("sign", ["none", "slowed", "lost", "failing", "some lost on the way"])
def test_a_server_whose_probes_are_quick_sheds_only_at_a_sign_of_a_queue(sign: str) -> None:
    """The reading of its load says 0.95 of its capacity, and swings."""
    world = World(slice_count=40, health_checks_enabled=True)
    for number in world.heat:
        world.heat[number] = 2.85 if number in HOME else 1.2
    usual = world.reports
    losses = {"failing": (2, 10.0), "some lost on the way": (100, 500.0)}.get(sign)  # one of so many, in s
    failed = [ServerLoadReport(1, 1, losses[0], 1, 0.2, losses[1], ())] if losses else []
    world.reports = lambda: [*usual(), *failed]  # type: ignore[method-assign]
    for step in range(40):
        lost = sign == "lost" and step % 2
        status = HealthCheckStatus.TIMEOUT if lost else HealthCheckStatus.OK
        took = 0.02 if sign == "slowed" and step > 8 else 0.01
        world.tell(*(HealthCheckResult(s, HealthCheckStatus.OK, 0.01, ()) for s in (2, 3, 4)))
        world.tell(HealthCheckResult(1, status, took, ()))
        world.run(0.25)
    assert all(world.main(n) == {1} for n in HOME) == (sign == "none")


def test_a_sinking_server_sheds_past_the_usual_room_but_no_other_above_its_capacity() -> None:
    """All others are above ROOM: one that gets over twice what it can do must not be left so for that."""
    world = World(slice_count=80)
    home = range(0, 80, 4)
    for number in world.heat:
        world.heat[number] = 1.14
    world.run(5)
    for number in home:
        world.heat[number] = 3.5
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
def test_a_full_server_that_is_not_sinking_keeps_its_slices_where_all_are_short(
    make: type[World], heat: float
) -> None:
    """Less than twice what it can do, or nothing that fails: moves would cost caches for little."""
    world = make(slice_count=80)
    for number in world.heat:
        world.heat[number] = 1.14
    world.run(5)
    for number in range(0, 80, 4):
        world.heat[number] = heat
    before = world.moves()
    world.run(20)
    assert world.moves() == before


def test_detoured_slices_go_home_when_the_default_has_room_again() -> None:
    world = World(slice_count=40)
    busy_first(world)
    assert any(world.main(n) != {1} for n in HOME)
    for number in HOME:
        world.heat[number] = 1.0
    world.run(25)
    assert all(world.main(n) == {1} for n in HOME)


def test_hot_slice_is_spread_over_several_servers() -> None:
    world = World()
    world.run(5)
    world.heat[0] = 35.0
    world.run(15)
    assert len(world.main(0)) >= 2


def test_hot_slice_keeps_one_owner_where_there_is_a_single_writer() -> None:
    world = World(single_writer=True)
    world.run(5)
    world.heat[0] = 35.0
    world.run(15)
    assert all(len(t) <= 1 or len(world.main(n)) == 1 for n, t in world.tables.items())
    assert len(world.director.slices[0].weights) == 1


def test_noise_at_the_threshold_does_not_flip_slices() -> None:
    world = World()
    world.run(5)
    for number in (0, 4, 8):
        world.heat[number] = 8.7
    for step in range(20):
        world.heat[0] = 8.7 + (0.6 if step % 2 else -0.6)
        world.run(1)
    assert world.moves() <= 4


def test_stale_reports_hold_the_ordinary_plan_still() -> None:
    world = World()
    world.run(10)
    world.silent_reports = True
    world.run(5)
    before = len(world.log)
    world.heat[0] = 40.0
    world.run(10)
    late = [a for _, acts in world.log[before:] for a in acts if isinstance(a, SetWeight)]
    assert not late


def test_same_events_give_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        world = World()
        world.heat[3] = 25.0
        world.run(10)
        logs.append(world.log)
    assert logs[0] == logs[1]

"""The zone plan: phases of zones, path faults, and capacity limits."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffintide.decisions.events import (
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateType,
    ProxyConnected,
    ZoneCommandReceived,
    ZoneOperation,
)
from puffintide.decisions.parameters import OVERLOAD_UTILIZATION
from puffintide.zones.parameters import HOLD_DOWN_S, RAMP_PER_S, RAMP_START_FRACTION
from puffintide.zones.state import ServerHealth, ZonePhase
from tests.zone_world import SERVERS, ZONE, ZoneWorld, entry


def test_load_of_a_lost_zone_spills_over_up_to_the_configured_limit() -> None:
    world = ZoneWorld(spillover=0.5)
    world.run(60)
    world.list_zone(0, EndpointStatus.REMOVED)
    bounds = world.run(1)
    # The other's own usual load is 0.5 of it, and half of its spare may go to others: it is filled up to 0.75.
    assert world.phase(0) == ZonePhase.LOST
    assert all(OVERLOAD_UTILIZATION * bounds[s] == pytest.approx(0.75, abs=0.01) for s in bounds)
    lost = world.plan.states()[0]
    assert lost.spillover[0][0] == 1
    assert lost.spillover[0][1] == pytest.approx(0.5, abs=0.03)
    assert lost.unplaced_fraction == pytest.approx(0.5, abs=0.03)


def test_first_recovery_advances_while_load_is_low_and_goes_back_when_high() -> None:
    world = ZoneWorld()
    world.run(20)
    world.list_zone(0, EndpointStatus.REMOVED)
    world.run(5)
    world.list_zone(0, EndpointStatus.READY)
    seen = [world.run(0.25)[2]]
    assert world.phase(0) == ZonePhase.RECOVERING
    assert seen == [RAMP_START_FRACTION]
    for _ in range(3):
        seen.append(world.run(2)[2])
    assert seen[1:] == pytest.approx(
        [
            RAMP_START_FRACTION + 2 * RAMP_PER_S,
            RAMP_START_FRACTION + 4 * RAMP_PER_S,
            RAMP_START_FRACTION + 6 * RAMP_PER_S,
        ]
    )
    world.health |= {s: ServerHealth(True, 0.99) for s in SERVERS if ZONE[s] == 0}
    assert world.run(2)[2] == pytest.approx(RAMP_START_FRACTION + 4 * RAMP_PER_S)
    world.health = {s: ServerHealth(True, 0.5) for s in SERVERS}
    world.run(1 / RAMP_PER_S)
    assert world.phase(0) == ZonePhase.HEALTHY
    assert set(world.run(1).values()) == {1.0}


def test_warming_servers_are_not_limited_and_recovery_ends_when_they_are_warm() -> None:
    world = ZoneWorld()
    world.run(20)
    world.list_zone(0, EndpointStatus.REMOVED)
    world.run(5)
    world.list_zone(0, EndpointStatus.READY, is_restarted=True)
    assert world.run(9)[2] == 1.0
    assert world.phase(0) == ZonePhase.RECOVERING
    world.run(2)  # ten seconds after their start
    assert world.phase(0) == ZonePhase.HEALTHY


def test_recovery_advances_when_other_zones_are_as_loaded() -> None:
    world = ZoneWorld()
    world.run(20)
    world.list_zone(0, EndpointStatus.REMOVED)
    world.run(5)
    world.health = {s: ServerHealth(True, 0.99) for s in SERVERS}
    world.list_zone(0, EndpointStatus.READY)
    world.run(1 / RAMP_PER_S)
    assert world.phase(0) == ZonePhase.HEALTHY


def test_server_lost_during_recovery_waits_for_the_others() -> None:
    world = ZoneWorld()
    world.run(20)
    world.list_zone(0, EndpointStatus.REMOVED)
    world.run(5)
    world.list_zone(0, EndpointStatus.READY)
    world.run(2)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (entry(2, EndpointStatus.REMOVED),)))
    world.run(0.5)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 4, (entry(2, EndpointStatus.READY, world.now),)))
    rest: list[float] = []
    while world.phase(0) == ZonePhase.RECOVERING:
        bounds = world.run(1)
        rest.append(bounds[4])
        assert bounds[2] <= RAMP_START_FRACTION or rest[-1] == 1.0
    assert rest[0] < 1.0
    assert world.run(1)[2] == 1.0


@pytest.mark.parametrize("period", [3, 8, 20, 60])
def test_flapping_zone_recovers_only_a_few_times(period: int) -> None:
    world = ZoneWorld()
    world.run(20)
    returns = 0
    for _ in range(240 // period):
        world.list_zone(0, EndpointStatus.REMOVED)
        world.run(period / 2)
        world.list_zone(0, EndpointStatus.READY)
        before = world.phase(0)
        for _ in range(period * 2):
            world.run(0.25)
            if world.phase(0) == ZonePhase.RECOVERING and before != ZonePhase.RECOVERING:
                returns += 1
            before = world.phase(0)
    assert returns <= 3  # of 240 / period times that the list told it ready
    world.run(200)
    assert world.phase(0) == ZonePhase.HEALTHY


def test_hold_down_is_not_ended_by_the_endpoint_list() -> None:
    world = ZoneWorld()
    world.run(20)
    for _ in range(2):
        world.list_zone(0, EndpointStatus.REMOVED)
        world.run(2)
        world.list_zone(0, EndpointStatus.READY)
        world.run(1)
    assert world.phase(0) == ZonePhase.HELD_DOWN
    assert world.run(HOLD_DOWN_S - 2)[2] == 0.0
    world.run(3)
    assert world.phase(0) == ZonePhase.RECOVERING


def test_rolling_deploy_is_no_loss() -> None:
    world = ZoneWorld()
    world.run(20)
    for s in (2, 4, 6):
        for state in (EndpointStatus.DRAINING, EndpointStatus.REMOVED):
            world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (entry(s, state),)))
            world.run(3)
    assert world.phase(0) == ZonePhase.HEALTHY
    assert set(world.run(1).values()) == {1.0}


def test_unresponsive_servers_are_a_loss_unless_in_all_zones() -> None:
    world = ZoneWorld()
    world.run(20)
    world.health |= {s: ServerHealth(False, None) for s in SERVERS if ZONE[s] == 0}
    world.run(1)
    assert (world.phase(0), world.plan.states()[0].cause) == (ZonePhase.LOST, "silent")
    other = ZoneWorld()
    other.run(20)
    other.health = {s: ServerHealth(False, None) for s in SERVERS}
    assert set(other.run(5).values()) == {1.0}
    assert {s.phase for s in other.plan.states()} == {ZonePhase.HEALTHY}


@pytest.mark.parametrize(
    ("paths", "phase", "cause"),
    [
        ({(0, 0): 0.0, (1, 1): 0.0, (0, 1): 0.6, (1, 0): 0.6}, ZonePhase.DEGRADED, "link"),
        ({(0, 0): 0.0, (1, 1): 0.0, (0, 1): 0.0, (1, 0): 0.6}, ZonePhase.DEGRADED, "one-sided"),
        ({(0, 0): 0.6, (1, 1): 0.6, (0, 1): 0.6, (1, 0): 0.6}, ZonePhase.HEALTHY, ""),  # a common slowdown
    ],
)
def test_path_fault_is_reported_and_limits_nothing(
    paths: dict[tuple[int, int], float], phase: str, cause: str
) -> None:
    world = ZoneWorld()
    world.run(20)
    for _ in range(8):
        world.report_paths(paths)
        bounds = world.run(0.5)
    assert (world.phase(0), world.plan.states()[0].cause) == (phase, cause)
    assert set(bounds.values()) == {1.0}


def test_missing_reports_are_no_loss() -> None:
    world = ZoneWorld()
    world.send(ProxyConnected(1, 0, 1.0, True), ProxyConnected(2, 1, 1.0, True))
    for _ in range(20):
        world.report_paths({(1, 1): 0.0, (1, 0): 0.0})  # nothing of zone 0's proxies
        world.health = {s: ServerHealth(True, 0.5, health_check_succeeded=True) for s in SERVERS}
        bounds = world.run(0.5)
    assert world.plan.states()[0].cause == "reports"
    assert set(bounds.values()) == {1.0}


def test_second_lost_zone_does_not_raise_the_limit() -> None:
    world = ZoneWorld(spillover=0.5, zones=3)
    world.send(EndpointListUpdate(ListUpdateType.SNAPSHOT, 2, tuple(entry(s, zone=s % 3) for s in SERVERS)))
    world.run(30)
    for zone in (0, 1):
        rows = tuple(entry(s, EndpointStatus.REMOVED, zone=zone) for s in SERVERS if s % 3 == zone)
        world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, rows))
        bounds = world.run(5)
    assert [s.phase for s in world.plan.states()] == [ZonePhase.LOST, ZonePhase.LOST, ZonePhase.HEALTHY]
    # The limit is from its own load in ordinary times: a second loss does not raise it.
    assert list(bounds.values()) == pytest.approx([0.75 / OVERLOAD_UTILIZATION] * len(bounds), abs=0.01)


def test_operator_drains_in_steps_holds_at_once_and_returns_at_a_pace() -> None:
    world = ZoneWorld()
    world.run(20)
    world.send(ZoneCommandReceived(0, ZoneOperation.DRAIN, 2.0))
    falling = [world.run(1)[2] for _ in range(8)]
    assert falling == sorted(falling, reverse=True)
    assert 0 < falling[1] < 1
    assert falling[-1] == 0.0
    world.send(ZoneCommandReceived(0, ZoneOperation.RETURN, 1.0))
    assert world.run(0.25)[2] == pytest.approx(RAMP_START_FRACTION + RAMP_PER_S / 4)
    world.send(ZoneCommandReceived(0, ZoneOperation.HOLD, 1.0))
    assert world.run(0.25)[2] == 0.0
    assert world.run(500)[2] == 0.0  # as long as it stands


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["gone", "ready", "drain", "silent", "answer", "hot", "cool", "hold", "return", "wait"]
        ),
        st.integers(0, 1),
        st.integers(1, 12),
    ),
    max_size=25,
)


@settings(max_examples=150, deadline=None)
@given(STEPS)
def test_recovery_stays_within_its_steps_and_holds_last_for_random_events(
    steps: list[tuple[str, int, int]],
) -> None:
    world = ZoneWorld()
    world.run(15)
    last: dict[int, float] = {}
    held_until = {0: 0.0, 1: 0.0}
    for what, zone, quarters in steps:
        world.apply(what, zone)
        for _ in range(quarters):
            phases = {z: s.phase for z, s in enumerate(world.plan.states())}
            limits = world.run(0.25)
            assert all(0.0 <= limit <= 1.0 for limit in limits.values())
            for z, state in enumerate(world.plan.states()):
                if state.phase == ZonePhase.HELD_DOWN:
                    held_until[z] = state.held_until_s
                    assert all(limit == 0 for s, limit in limits.items() if ZONE[s] == z)
                if state.phase == ZonePhase.RECOVERING:
                    assert phases[z] != ZonePhase.HELD_DOWN or world.now >= held_until[z]
                    if phases[z] == ZonePhase.RECOVERING:
                        check_steps(z, last, limits)
            last = limits


def check_steps(zone: int, before: dict[int, float], after: dict[int, float]) -> None:
    """No limit of a recovering zone rises by more than a step."""
    for s in (s for s in after if ZONE[s] == zone and s in before):
        assert after[s] <= max(before[s], RAMP_START_FRACTION) + RAMP_PER_S


def test_phase_does_not_flip_between_lost_and_regained() -> None:
    world = ZoneWorld()
    world.run(20)
    world.list_zone(0, EndpointStatus.REMOVED)
    world.run(1)
    world.send(
        EndpointListUpdate(ListUpdateType.DELTA, 2, (entry(2, EndpointStatus.READY, world.now),))
    )  # one of four
    world.run(5)
    assert world.phase(0) == ZonePhase.LOST
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (entry(4, EndpointStatus.READY, world.now),)))
    world.run(1)
    assert world.phase(0) == ZonePhase.RECOVERING

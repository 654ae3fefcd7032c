"""Tests of the zone plan: phases of zones, path faults, and capacity limits."""

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
from tests.zone_world import SERVERS, ZONE_BY_SERVER, ZoneWorld, endpoint


def test_load_of_a_lost_zone_spills_over_up_to_the_configured_limit() -> None:
    world = ZoneWorld(spillover_fraction=0.5)
    world.run(60)
    world.list_zone(0, EndpointStatus.REMOVED)
    limits = world.run(1)
    # The usual load of zone 1 is 0.5. Half of its spare capacity may be used, so it is filled up to 0.75.
    assert world.phase(0) == ZonePhase.LOST
    assert all(OVERLOAD_UTILIZATION * limits[s] == pytest.approx(0.75, abs=0.01) for s in limits)
    lost_zone = world.plan.states()[0]
    assert lost_zone.spillover[0][0] == 1
    assert lost_zone.spillover[0][1] == pytest.approx(0.5, abs=0.03)
    assert lost_zone.unplaced_fraction == pytest.approx(0.5, abs=0.03)


def test_recovery_ramp_advances_at_low_load_and_goes_back_at_high_load() -> None:
    world = ZoneWorld()
    world.run(20)
    world.list_zone(0, EndpointStatus.REMOVED)
    world.run(5)
    world.list_zone(0, EndpointStatus.READY)
    ramp_fractions = [world.run(0.25)[2]]
    assert world.phase(0) == ZonePhase.RECOVERING
    assert ramp_fractions == [RAMP_START_FRACTION]
    for _ in range(3):
        ramp_fractions.append(world.run(2)[2])
    assert ramp_fractions[1:] == pytest.approx(
        [
            RAMP_START_FRACTION + 2 * RAMP_PER_S,
            RAMP_START_FRACTION + 4 * RAMP_PER_S,
            RAMP_START_FRACTION + 6 * RAMP_PER_S,
        ]
    )
    world.health |= {s: ServerHealth(True, 0.99) for s in SERVERS if ZONE_BY_SERVER[s] == 0}
    assert world.run(2)[2] == pytest.approx(RAMP_START_FRACTION + 4 * RAMP_PER_S)
    world.health = {s: ServerHealth(True, 0.5) for s in SERVERS}
    world.run(1 / RAMP_PER_S)
    assert world.phase(0) == ZonePhase.HEALTHY
    assert set(world.run(1).values()) == {1.0}


def test_warming_servers_are_not_limited_and_recovery_ends_after_slow_start() -> None:
    world = ZoneWorld()
    world.run(20)
    world.list_zone(0, EndpointStatus.REMOVED)
    world.run(5)
    world.list_zone(0, EndpointStatus.READY, is_restarted=True)
    assert world.run(9)[2] == 1.0
    assert world.phase(0) == ZonePhase.RECOVERING
    world.run(2)  # The slow start ends 10 s after the servers started.
    assert world.phase(0) == ZonePhase.HEALTHY


def test_recovery_advances_at_high_load_when_other_zones_are_as_loaded() -> None:
    world = ZoneWorld()
    world.run(20)
    world.list_zone(0, EndpointStatus.REMOVED)
    world.run(5)
    world.health = {s: ServerHealth(True, 0.99) for s in SERVERS}
    world.list_zone(0, EndpointStatus.READY)
    world.run(1 / RAMP_PER_S)
    assert world.phase(0) == ZonePhase.HEALTHY


def test_server_interrupted_during_recovery_waits_for_other_servers() -> None:
    world = ZoneWorld()
    world.run(20)
    world.list_zone(0, EndpointStatus.REMOVED)
    world.run(5)
    world.list_zone(0, EndpointStatus.READY)
    world.run(2)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (endpoint(2, EndpointStatus.REMOVED),)))
    world.run(0.5)
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 4, (endpoint(2, EndpointStatus.READY, world.now),)))
    limits_of_server_4: list[float] = []
    while world.phase(0) == ZonePhase.RECOVERING:
        limits = world.run(1)
        limits_of_server_4.append(limits[4])
        assert limits[2] <= RAMP_START_FRACTION or limits_of_server_4[-1] == 1.0
    assert limits_of_server_4[0] < 1.0
    assert world.run(1)[2] == 1.0


@pytest.mark.parametrize("period_s", [3, 8, 20, 60])
def test_flapping_zone_recovers_at_most_three_times(period_s: int) -> None:
    world = ZoneWorld()
    world.run(20)
    recovery_count = 0
    for _ in range(240 // period_s):
        world.list_zone(0, EndpointStatus.REMOVED)
        world.run(period_s / 2)
        world.list_zone(0, EndpointStatus.READY)
        phase_before = world.phase(0)
        for _ in range(period_s * 2):
            world.run(0.25)
            if world.phase(0) == ZonePhase.RECOVERING and phase_before != ZonePhase.RECOVERING:
                recovery_count += 1
            phase_before = world.phase(0)
    assert recovery_count <= 3  # The list reports the zone ready 240 / period_s times.
    world.run(200)
    assert world.phase(0) == ZonePhase.HEALTHY


def test_ready_servers_do_not_end_hold_down_early() -> None:
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


def test_rolling_deploy_does_not_mark_zone_lost() -> None:
    world = ZoneWorld()
    world.run(20)
    for s in (2, 4, 6):
        for status in (EndpointStatus.DRAINING, EndpointStatus.REMOVED):
            world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (endpoint(s, status),)))
            world.run(3)
    assert world.phase(0) == ZonePhase.HEALTHY
    assert set(world.run(1).values()) == {1.0}


def test_unresponsive_zone_is_lost_unless_all_zones_are_unresponsive() -> None:
    world = ZoneWorld()
    world.run(20)
    world.health |= {s: ServerHealth(False, None) for s in SERVERS if ZONE_BY_SERVER[s] == 0}
    world.run(1)
    assert (world.phase(0), world.plan.states()[0].cause) == (ZonePhase.LOST, "silent")
    all_unresponsive = ZoneWorld()
    all_unresponsive.run(20)
    all_unresponsive.health = {s: ServerHealth(False, None) for s in SERVERS}
    assert set(all_unresponsive.run(5).values()) == {1.0}
    assert {s.phase for s in all_unresponsive.plan.states()} == {ZonePhase.HEALTHY}


@pytest.mark.parametrize(
    ("paths", "phase", "cause"),
    [
        ({(0, 0): 0.0, (1, 1): 0.0, (0, 1): 0.6, (1, 0): 0.6}, ZonePhase.DEGRADED, "link"),
        ({(0, 0): 0.0, (1, 1): 0.0, (0, 1): 0.0, (1, 0): 0.6}, ZonePhase.DEGRADED, "one-sided"),
        ({(0, 0): 0.6, (1, 1): 0.6, (0, 1): 0.6, (1, 0): 0.6}, ZonePhase.HEALTHY, ""),  # A common slowdown.
    ],
)
def test_path_fault_is_reported_without_capacity_limits(
    paths: dict[tuple[int, int], float], phase: str, cause: str
) -> None:
    world = ZoneWorld()
    world.run(20)
    for _ in range(8):
        world.report_paths(paths)
        limits = world.run(0.5)
    assert (world.phase(0), world.plan.states()[0].cause) == (phase, cause)
    assert set(limits.values()) == {1.0}


def test_missing_load_reports_do_not_limit_capacity() -> None:
    world = ZoneWorld()
    world.send(ProxyConnected(1, 0, 1.0, True), ProxyConnected(2, 1, 1.0, True))
    for _ in range(20):
        world.report_paths({(1, 1): 0.0, (1, 0): 0.0})  # Proxies of zone 0 send no reports.
        world.health = {s: ServerHealth(True, 0.5, health_check_succeeded=True) for s in SERVERS}
        limits = world.run(0.5)
    assert world.plan.states()[0].cause == "reports"
    assert set(limits.values()) == {1.0}


def test_second_lost_zone_does_not_raise_capacity_limit() -> None:
    world = ZoneWorld(spillover_fraction=0.5, zones=3)
    world.send(
        EndpointListUpdate(ListUpdateType.SNAPSHOT, 2, tuple(endpoint(s, zone=s % 3) for s in SERVERS))
    )
    world.run(30)
    for zone in (0, 1):
        removed_endpoints = tuple(
            endpoint(s, EndpointStatus.REMOVED, zone=zone) for s in SERVERS if s % 3 == zone
        )
        world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, removed_endpoints))
        limits = world.run(5)
    assert [s.phase for s in world.plan.states()] == [ZonePhase.LOST, ZonePhase.LOST, ZonePhase.HEALTHY]
    # The limit derives from the usual load of zone 2, so a second loss does not raise it.
    assert list(limits.values()) == pytest.approx([0.75 / OVERLOAD_UTILIZATION] * len(limits), abs=0.01)


def test_drain_lowers_limit_gradually_return_starts_ramp_and_hold_applies_at_once() -> None:
    world = ZoneWorld()
    world.run(20)
    world.send(ZoneCommandReceived(0, ZoneOperation.DRAIN, 2.0))
    drain_limits = [world.run(1)[2] for _ in range(8)]
    assert drain_limits == sorted(drain_limits, reverse=True)
    assert 0 < drain_limits[1] < 1
    assert drain_limits[-1] == 0.0
    world.send(ZoneCommandReceived(0, ZoneOperation.RETURN, 1.0))
    assert world.run(0.25)[2] == pytest.approx(RAMP_START_FRACTION + RAMP_PER_S / 4)
    world.send(ZoneCommandReceived(0, ZoneOperation.HOLD, 1.0))
    assert world.run(0.25)[2] == 0.0
    assert world.run(500)[2] == 0.0  # A hold lasts until the operator ends it.


STEP_SEQUENCES = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "remove",
                "list",
                "drain",
                "stop_responding",
                "respond",
                "overload",
                "unload",
                "hold",
                "return",
                "wait",
            ]
        ),
        st.integers(0, 1),
        st.integers(1, 12),
    ),
    max_size=25,
)


@settings(max_examples=150, deadline=None)
@given(STEP_SEQUENCES)
def test_random_steps_keep_ramp_rate_and_hold_down(
    steps: list[tuple[str, int, int]],
) -> None:
    world = ZoneWorld()
    world.run(15)
    previous_limits: dict[int, float] = {}
    held_until = {0: 0.0, 1: 0.0}
    for step, zone, round_count in steps:
        world.apply_step(step, zone)
        for _ in range(round_count):
            phases = {z: s.phase for z, s in enumerate(world.plan.states())}
            limits = world.run(0.25)
            assert all(0.0 <= limit <= 1.0 for limit in limits.values())
            for z, state in enumerate(world.plan.states()):
                if state.phase == ZonePhase.HELD_DOWN:
                    held_until[z] = state.held_until_s
                    assert all(limit == 0 for s, limit in limits.items() if ZONE_BY_SERVER[s] == z)
                if state.phase == ZonePhase.RECOVERING:
                    assert phases[z] != ZonePhase.HELD_DOWN or world.now >= held_until[z]
                    if phases[z] == ZonePhase.RECOVERING:
                        assert_limits_rise_within_step(z, previous_limits, limits)
            previous_limits = limits


def assert_limits_rise_within_step(
    zone: int, limits_before: dict[int, float], limits_after: dict[int, float]
) -> None:
    """Assert that no capacity limit of a recovering zone rose by more than RAMP_PER_S."""
    for s in (s for s in limits_after if ZONE_BY_SERVER[s] == zone and s in limits_before):
        assert limits_after[s] <= max(limits_before[s], RAMP_START_FRACTION) + RAMP_PER_S


def test_zone_stays_lost_until_regained_fraction_is_available() -> None:
    world = ZoneWorld()
    world.run(20)
    world.list_zone(0, EndpointStatus.REMOVED)
    world.run(1)
    # One of four servers is below the regained fraction, two are above it.
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (endpoint(2, EndpointStatus.READY, world.now),)))
    world.run(5)
    assert world.phase(0) == ZonePhase.LOST
    world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (endpoint(4, EndpointStatus.READY, world.now),)))
    world.run(1)
    assert world.phase(0) == ZonePhase.RECOVERING

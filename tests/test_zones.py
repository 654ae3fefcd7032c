"""The zone plan: what it judges, what it bounds, and the module with it."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffintide.decisions.actions import SetWeight
from puffintide.decisions.director import Director
from puffintide.decisions.events import (
    AssignerCountChanged,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ListUpdateType,
    OwnershipChanged,
    ProxyConnected,
    ServerLoadReport,
    ZoneCommandReceived,
    ZoneOperation,
)
from puffintide.decisions.parameters import OVERLOAD_UTILIZATION
from puffintide.zones.director import ZonedDirector
from puffintide.zones.parameters import HOLD_DOWN_S, RAMP_PER_S, RAMP_START_FRACTION
from puffintide.zones.plan import ZonePlan
from puffintide.zones.state import ServerHealth, ZoneLimits, ZonePhase
from tests.world import World, server

SERVERS = tuple(range(1, 9))  # odd ones in zone 1, even ones in zone 0
ZONE = {s: s % 2 for s in SERVERS}


def entry(
    sid: int, state: EndpointStatus = EndpointStatus.READY, started: float = 0.0, zone: int | None = None
) -> Endpoint:
    return Endpoint(sid, ZONE[sid] if zone is None else zone, 0, 0, state, 2.0, started)


class Plan:
    """A plan in quarter-second rounds, and what its servers are like."""

    def __init__(self, spill: float = 0.5, zones: int = 2) -> None:
        world = World()
        self.plan = ZonePlan(replace(world.settings, zone_count=zones), ZoneLimits(spill))
        self.now = 1000.0
        self.view = {s: ServerHealth(True, 0.5) for s in SERVERS}
        self.tell(EndpointListUpdate(ListUpdateType.SNAPSHOT, 1, tuple(entry(s) for s in SERVERS)))

    def tell(self, *events: Event) -> None:
        for event in events:
            self.plan.observe(self.now, event)

    def run(self, seconds: float) -> dict[int, float]:
        found: dict[int, float] = {}
        for _ in range(max(1, round(seconds * 4))):
            self.now += 0.25
            found = self.plan.update(self.now, self.view)
        return found

    def zone(self, zone: int, state: EndpointStatus, fresh: bool = False) -> None:
        started = self.now if fresh else 0.0
        rows = tuple(entry(s, state, started) for s in SERVERS if ZONE[s] == zone)
        self.tell(EndpointListUpdate(ListUpdateType.DELTA, 2, rows))

    def phase(self, zone: int) -> str:
        return self.plan.states()[zone].phase

    def ways(self, **failed: float) -> None:
        """Tries of one zone's proxies at another's servers: w01=0.9 is those of zone 0 at zone 1, 90% failed."""
        for name, share in failed.items():
            of, to = int(name[1]), int(name[2])
            for s in (s for s in SERVERS if ZONE[s] == to):
                self.tell(ServerLoadReport(of, s, 20, round(20 * share), 0.05, 0.5, ()))


def test_load_of_a_lost_zone_spills_over_up_to_the_configured_limit() -> None:
    plan = Plan(spill=0.5)
    plan.run(60)
    plan.zone(0, EndpointStatus.REMOVED)
    bounds = plan.run(1)
    # The other's own usual load is 0.5 of it, and half of its spare may go to others: it is filled up to 0.75.
    assert plan.phase(0) == ZonePhase.LOST and all(
        OVERLOAD_UTILIZATION * bounds[s] == pytest.approx(0.75, abs=0.01) for s in bounds
    )
    lost = plan.plan.states()[0]
    assert lost.spillover[0][0] == 1 and lost.spillover[0][1] == pytest.approx(0.5, abs=0.03)
    assert lost.unplaced_fraction == pytest.approx(0.5, abs=0.03)


def test_first_recovery_advances_while_load_is_low_and_goes_back_when_high() -> None:
    plan = Plan()
    plan.run(20)
    plan.zone(0, EndpointStatus.REMOVED)
    plan.run(5)
    plan.zone(0, EndpointStatus.READY)
    seen = [plan.run(0.25)[2]]
    assert plan.phase(0) == ZonePhase.RECOVERING and seen == [RAMP_START_FRACTION]
    for _ in range(3):
        seen.append(plan.run(2)[2])
    assert seen[1:] == pytest.approx(
        [
            RAMP_START_FRACTION + 2 * RAMP_PER_S,
            RAMP_START_FRACTION + 4 * RAMP_PER_S,
            RAMP_START_FRACTION + 6 * RAMP_PER_S,
        ]
    )
    plan.view |= {s: ServerHealth(True, 0.99) for s in SERVERS if ZONE[s] == 0}
    assert plan.run(2)[2] == pytest.approx(RAMP_START_FRACTION + 4 * RAMP_PER_S)
    plan.view = {s: ServerHealth(True, 0.5) for s in SERVERS}
    plan.run(1 / RAMP_PER_S)
    assert plan.phase(0) == ZonePhase.HEALTHY and set(plan.run(1).values()) == {1.0}


def test_warming_servers_are_not_limited_and_recovery_ends_when_they_are_warm() -> None:
    plan = Plan()
    plan.run(20)
    plan.zone(0, EndpointStatus.REMOVED)
    plan.run(5)
    plan.zone(0, EndpointStatus.READY, fresh=True)
    assert plan.run(9)[2] == 1.0 and plan.phase(0) == ZonePhase.RECOVERING
    plan.run(2)  # ten seconds after their start
    assert plan.phase(0) == ZonePhase.HEALTHY


def test_restarted_servers_count_as_warming_before_the_director_knows_them() -> None:
    """Asking the module would take them for warm, and hold them at the start of the ramp in an overload."""
    world = eight(Zoned)
    world.zone(0, EndpointStatus.REMOVED)
    world.run(12)
    for s in (2, 4, 6, 8):
        world.send(EndpointListUpdate(ListUpdateType.DELTA, 3, (server(s, started=world.now),)))
        assert world.director.plan.capacity_limits[s] == 1.0
        world.run(0.25)


def test_recovery_advances_when_other_zones_are_as_loaded() -> None:
    plan = Plan()
    plan.run(20)
    plan.zone(0, EndpointStatus.REMOVED)
    plan.run(5)
    plan.view = {s: ServerHealth(True, 0.99) for s in SERVERS}
    plan.zone(0, EndpointStatus.READY)
    plan.run(1 / RAMP_PER_S)
    assert plan.phase(0) == ZonePhase.HEALTHY


def test_server_lost_during_recovery_waits_for_the_others() -> None:
    plan = Plan()
    plan.run(20)
    plan.zone(0, EndpointStatus.REMOVED)
    plan.run(5)
    plan.zone(0, EndpointStatus.READY)
    plan.run(2)
    plan.tell(EndpointListUpdate(ListUpdateType.DELTA, 3, (entry(2, EndpointStatus.REMOVED),)))
    plan.run(0.5)
    plan.tell(EndpointListUpdate(ListUpdateType.DELTA, 4, (entry(2, EndpointStatus.READY, plan.now),)))
    rest: list[float] = []
    while plan.phase(0) == ZonePhase.RECOVERING:
        bounds = plan.run(1)
        rest.append(bounds[4])
        assert bounds[2] <= RAMP_START_FRACTION or rest[-1] == 1.0
    assert rest[0] < 1.0 and plan.run(1)[2] == 1.0


@pytest.mark.parametrize("period", [3, 8, 20, 60])
def test_flapping_zone_recovers_only_a_few_times(period: int) -> None:
    plan = Plan()
    plan.run(20)
    returns = 0
    for _ in range(240 // period):
        plan.zone(0, EndpointStatus.REMOVED)
        plan.run(period / 2)
        plan.zone(0, EndpointStatus.READY)
        before = plan.phase(0)
        for _ in range(period * 2):
            plan.run(0.25)
            if plan.phase(0) == ZonePhase.RECOVERING and before != ZonePhase.RECOVERING:
                returns += 1
            before = plan.phase(0)
    assert returns <= 3  # of 240 / period times that the list told it ready
    plan.run(200)
    assert plan.phase(0) == ZonePhase.HEALTHY


def test_hold_down_is_not_ended_by_the_endpoint_list() -> None:
    plan = Plan()
    plan.run(20)
    for _ in range(2):
        plan.zone(0, EndpointStatus.REMOVED)
        plan.run(2)
        plan.zone(0, EndpointStatus.READY)
        plan.run(1)
    assert plan.phase(0) == ZonePhase.HELD_DOWN and plan.run(HOLD_DOWN_S - 2)[2] == 0.0
    plan.run(3)
    assert plan.phase(0) == ZonePhase.RECOVERING


def test_rolling_deploy_is_no_loss() -> None:
    plan = Plan()
    plan.run(20)
    for s in (2, 4, 6):
        for state in (EndpointStatus.DRAINING, EndpointStatus.REMOVED):
            plan.tell(EndpointListUpdate(ListUpdateType.DELTA, 2, (entry(s, state),)))
            plan.run(3)
    assert plan.phase(0) == ZonePhase.HEALTHY
    assert set(plan.run(1).values()) == {1.0}


def test_unresponsive_servers_are_a_loss_unless_in_all_zones() -> None:
    plan = Plan()
    plan.run(20)
    plan.view |= {s: ServerHealth(False, None) for s in SERVERS if ZONE[s] == 0}
    plan.run(1)
    assert (plan.phase(0), plan.plan.states()[0].cause) == (ZonePhase.LOST, "silent")
    other = Plan()
    other.run(20)
    other.view = {s: ServerHealth(False, None) for s in SERVERS}
    assert set(other.run(5).values()) == {1.0}
    assert {s.phase for s in other.plan.states()} == {ZonePhase.HEALTHY}


@pytest.mark.parametrize(
    ("ways", "phase", "cause"),
    [
        ({"w00": 0.0, "w11": 0.0, "w01": 0.6, "w10": 0.6}, ZonePhase.DEGRADED, "link"),
        ({"w00": 0.0, "w11": 0.0, "w01": 0.0, "w10": 0.6}, ZonePhase.DEGRADED, "one-sided"),
        ({"w00": 0.6, "w11": 0.6, "w01": 0.6, "w10": 0.6}, ZonePhase.HEALTHY, ""),  # a common slowdown
    ],
)
def test_path_fault_is_reported_and_limits_nothing(ways: dict[str, float], phase: str, cause: str) -> None:
    plan = Plan()
    plan.run(20)
    for _ in range(8):
        plan.ways(**ways)
        bounds = plan.run(0.5)
    assert (plan.phase(0), plan.plan.states()[0].cause) == (phase, cause)
    assert set(bounds.values()) == {1.0}


def test_missing_reports_are_no_loss() -> None:
    plan = Plan()
    plan.tell(ProxyConnected(1, 0, 1.0, True), ProxyConnected(2, 1, 1.0, True))
    for _ in range(20):
        plan.ways(w11=0.0, w10=0.0)  # nothing of zone 0's proxies
        plan.view = {s: ServerHealth(True, 0.5, health_check_succeeded=True) for s in SERVERS}
        bounds = plan.run(0.5)
    assert plan.plan.states()[0].cause == "reports" and set(bounds.values()) == {1.0}


def test_second_lost_zone_does_not_raise_the_limit() -> None:
    plan = Plan(spill=0.5, zones=3)
    plan.tell(EndpointListUpdate(ListUpdateType.SNAPSHOT, 2, tuple(entry(s, zone=s % 3) for s in SERVERS)))
    plan.run(30)
    for zone in (0, 1):
        rows = tuple(entry(s, EndpointStatus.REMOVED, zone=zone) for s in SERVERS if s % 3 == zone)
        plan.tell(EndpointListUpdate(ListUpdateType.DELTA, 3, rows))
        bounds = plan.run(5)
    assert [s.phase for s in plan.plan.states()] == [ZonePhase.LOST, ZonePhase.LOST, ZonePhase.HEALTHY]
    # The limit is from its own load in ordinary times: a second loss does not raise it.
    assert list(bounds.values()) == pytest.approx([0.75 / OVERLOAD_UTILIZATION] * len(bounds), abs=0.01)


def test_operator_drains_in_steps_holds_at_once_and_returns_at_a_pace() -> None:
    plan = Plan()
    plan.run(20)
    plan.tell(ZoneCommandReceived(0, ZoneOperation.DRAIN, 2.0))
    falling = [plan.run(1)[2] for _ in range(8)]
    assert falling == sorted(falling, reverse=True) and 0 < falling[1] < 1 and falling[-1] == 0.0
    plan.tell(ZoneCommandReceived(0, ZoneOperation.RETURN, 1.0))
    assert plan.run(0.25)[2] == pytest.approx(RAMP_START_FRACTION + RAMP_PER_S / 4)
    plan.tell(ZoneCommandReceived(0, ZoneOperation.HOLD, 1.0))
    assert plan.run(0.25)[2] == 0.0
    assert plan.run(500)[2] == 0.0  # as long as it stands


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
    plan = Plan()
    plan.run(15)
    last: dict[int, float] = {}
    held_until = {0: 0.0, 1: 0.0}
    for what, zone, quarters in steps:
        ids = [s for s in SERVERS if ZONE[s] == zone]
        match what:
            case "gone" | "ready":
                plan.zone(zone, EndpointStatus.REMOVED if what == "gone" else EndpointStatus.READY)
            case "drain":
                plan.tell(
                    EndpointListUpdate(
                        ListUpdateType.DELTA, 2, tuple(entry(s, EndpointStatus.DRAINING) for s in ids)
                    )
                )
            case "silent" | "answer":
                plan.view |= {s: ServerHealth(what == "answer", 0.5) for s in ids}
            case "hot" | "cool":
                plan.view |= {s: ServerHealth(True, 0.99 if what == "hot" else 0.3) for s in ids}
            case "hold" | "return":
                plan.tell(ZoneCommandReceived(zone, ZoneOperation(what), 1.0))
        for _ in range(quarters):
            phases = {z: s.phase for z, s in enumerate(plan.plan.states())}
            bounds = plan.run(0.25)
            assert all(0.0 <= b <= 1.0 for b in bounds.values())
            for z, state in enumerate(plan.plan.states()):
                if state.phase == ZonePhase.HELD_DOWN:
                    held_until[z] = state.held_until_s
                    assert all(b == 0 for s, b in bounds.items() if ZONE[s] == z)
                if phases[z] == ZonePhase.HELD_DOWN and state.phase == ZonePhase.RECOVERING:
                    assert plan.now >= held_until[z]
                if state.phase == ZonePhase.RECOVERING and phases[z] == ZonePhase.RECOVERING:
                    for s in (s for s in bounds if ZONE[s] == z and s in last):
                        assert bounds[s] <= max(last[s], RAMP_START_FRACTION) + RAMP_PER_S
            last = bounds


def test_phase_does_not_flip_between_lost_and_regained() -> None:
    plan = Plan()
    plan.run(20)
    plan.zone(0, EndpointStatus.REMOVED)
    plan.run(1)
    plan.tell(
        EndpointListUpdate(ListUpdateType.DELTA, 2, (entry(2, EndpointStatus.READY, plan.now),))
    )  # one of four
    plan.run(5)
    assert plan.phase(0) == ZonePhase.LOST
    plan.tell(EndpointListUpdate(ListUpdateType.DELTA, 2, (entry(4, EndpointStatus.READY, plan.now),)))
    plan.run(1)
    assert plan.phase(0) == ZonePhase.RECOVERING


# With the module ---------------------------------------------------------------------------------


class Zoned(World):
    make = staticmethod(lambda settings: ZonedDirector(settings, ZoneLimits()))

    def zone(self, zone: int, state: EndpointStatus) -> None:
        """Struck from the list or told again; its servers go on running all the time."""
        ids = [s for s in self.capacity if s % 2 == zone]
        self.send(EndpointListUpdate(ListUpdateType.DELTA, 2, tuple(server(s, state) for s in ids)))

    def waves(self, since: float) -> list[int]:
        """New lines of each batch of orders."""
        made = [
            sum(isinstance(a, SetWeight) and a.weight >= 1 for a in acts)
            for t, acts in self.log
            if t >= since
        ]
        return [n for n in made if n]


class Plain(Zoned):
    make = staticmethod(Director)  # type: ignore[assignment]


def eight(make: type[Zoned], **changes: object) -> Zoned:
    world = make(servers=SERVERS, slice_count=64, proxy_count=3, **changes)
    world.request_rates = dict.fromkeys(world.request_rates, 1.2)  # 0.32 of the capacity
    world.run(30)
    return world


def test_recovery_of_warm_servers_moves_fewer_slices_at_once_than_without_the_plan() -> None:
    largest = {}
    for make in (Plain, Zoned):
        world = eight(make)
        world.zone(0, EndpointStatus.REMOVED)
        world.run(12)
        assert all(world.admitted_weights(n) for n in world.tables)
        began = world.now
        world.zone(0, EndpointStatus.READY)
        world.run(60)
        home = sum(world.load(s) for s in SERVERS if s % 2 == 0)
        assert home > 0.8 * 38.4  # of what stood there before
        largest[make] = max(world.waves(began))
    assert largest[Zoned] < 0.7 * largest[Plain], largest


def test_operator_drain_empties_a_zone_and_no_slice() -> None:
    world = eight(Zoned)
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
    world = eight(Zoned)
    world.request_rates = dict.fromkeys(world.request_rates, 3.2)  # 0.85: one zone can't carry both
    world.run(20)
    world.send(ZoneCommandReceived(0, ZoneOperation.DRAIN, 1.0))
    world.run(40)
    for s in SERVERS:
        assert world.load(s) <= 1.1 * world.capacity[s]


def test_slices_of_a_lost_server_stay_in_its_zone_with_zone_distances() -> None:
    spread = {}
    for tiers in ((), ((0, 1), (1, 0))):
        world = eight(Zoned, zone_distances=tiers)
        mine = [n for n in world.tables if world.main_servers(n) == {2}]
        world.send(EndpointListUpdate(ListUpdateType.DELTA, 2, (server(2, EndpointStatus.REMOVED),)))
        world.run(3)
        spread[bool(tiers)] = {s % 2 for n in mine for s in world.main_servers(n)}
    assert spread == {False: {0, 1}, True: {0}}


def test_remaining_assigners_use_the_quota_of_a_dead_one() -> None:
    """Server 2 is too full; how much room others have for its slices depends on how many take from it."""
    moved = {}
    for count in (4, 1):
        world = Plain(
            servers=SERVERS, slice_count=64, proxy_count=3, assigner_count=4, load_value_names=("busy", "rif")
        )
        world.request_rates = {n: 1.2 if world.tables[n] != {2: 1.0} else 4.5 for n in world.request_rates}
        world.send(AssignerCountChanged(count))
        world.run(20)
        moved[count] = sum(2 not in world.main_servers(n) for n in world.tables if n % 8 == 1)
    assert moved[1] > moved[4]

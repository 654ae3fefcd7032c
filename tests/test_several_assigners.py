"""Several assigners of one fleet that share nothing: what they do together."""

from collections.abc import Iterable
from typing import Any

import pytest

from puffintide.decisions.actions import SetAdmission, SetWeight
from puffintide.decisions.director import Director
from puffintide.decisions.events import (
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ListUpdateType,
    OwnershipChanged,
    PeerObservation,
    ProxyConnected,
    ServerLoadReport,
    SliceLoadReport,
    StoredWeight,
    TimerFired,
)
from puffintide.decisions.ranking import is_exclusive
from puffintide.decisions.settings import AdmissionMode
from tests.world import START, World, server, settings

SERVERS, EACH = range(1, 11), 12


class Fleet:
    """Five Directors with 12 slices each of 60 on ten servers; servers report how busy all of them make them, or
    nothing where the settings have no reports."""

    def __init__(self, request_rate: float, servers: range = SERVERS, **changes: Any) -> None:
        self.now, self.request_rate = START, request_rate
        self.on = {n: servers[n % len(servers)] for n in range(5 * EACH)}
        self.ready = set(servers)
        self.slices_of = {k: list(range(k * EACH, (k + 1) * EACH)) for k in range(5)}
        self.directors = [
            Director(settings(assigner_index=k, assigner_count=5, slice_count=5 * EACH, **changes))
            for k in range(5)
        ]
        self.min_admission = 1.0  # smallest fraction ordered
        self.answered_fraction = 1.0  # fraction of requests that are answered
        entries = tuple(server(s) for s in servers)
        for k, director in enumerate(self.directors):
            events: list[Event] = [
                EndpointListUpdate(ListUpdateType.CACHED, 1, entries),
                ProxyConnected(0, 0, 10.0, True),
            ]
            for n in self.owned(k):
                events += [OwnershipChanged(n, True), StoredWeight(n, self.on[n], 1.0)]
            director.handle(self.now, events)

    def owned(self, k: int) -> list[int]:
        return self.slices_of[k]

    def kill(self, k: int, successor: int) -> None:
        """Its slices go to another, with their tables."""
        for n in self.slices_of[k]:
            self.send(self.directors[successor], OwnershipChanged(n, True), StoredWeight(n, self.on[n], 1.0))
        self.slices_of[successor] += self.slices_of[k]
        self.slices_of[k] = []

    def load(self, sid: int, number: Iterable[int]) -> float:
        return sum(self.request_rate for n in number if self.on[n] == sid)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 4)):
            self.now += 0.25
            for k, director in enumerate(self.directors):
                came = round(self.request_rate * 10)
                events: list[Event] = [SliceLoadReport(n, 0, came, 0, 10.0) for n in self.owned(k)]
                for sid in sorted(self.ready):
                    tries, total = self.load(sid, self.owned(k)), self.load(sid, range(5 * EACH))
                    tries *= self.answered_fraction
                    good = tries * min(1.0, 30.0 / max(total, 1.0))
                    values = (min(1.0, total / 30.0),) if director.fleet.settings.load_value_names else ()
                    counts = round(tries * 10), round((tries - good) * 10)
                    events.append(ServerLoadReport(0, sid, *counts, 0.2, 10.0, values))
                self.send(director, *events, TimerFired(1))

    def send(self, director: Director, *events: Event) -> None:
        for action in director.handle(self.now, events):
            if isinstance(action, SetWeight) and action.weight >= 1:
                self.on[action.slice_id] = action.server_id
            if isinstance(action, SetAdmission):
                self.min_admission = min(self.min_admission, action.fraction)

    def list_servers(self, *entries: Endpoint) -> None:
        self.ready = {s for s in self.ready if s not in {e.server_id for e in entries}}
        self.ready |= {e.server_id for e in entries if e.status == EndpointStatus.READY}
        for director in self.directors:
            self.send(director, EndpointListUpdate(ListUpdateType.DELTA, 2, entries))


def test_idle_fleet_without_load_reports_sheds_no_load() -> None:
    """Most servers have no slice of one assigner; at the start requests come before responses."""
    fleet = Fleet(
        request_rate=3.5, servers=range(1, 41), load_value_names=(), admission_mode=AdmissionMode.FRACTION
    )
    before = dict(fleet.on)
    for fleet.answered_fraction in (0.0, 0.3, 0.6):  # at the start requests come first, and responses late
        fleet.run(0.25)
    fleet.answered_fraction = 1.0
    fleet.run(19)
    assert fleet.min_admission == 1.0
    assert fleet.on == before
    for director in fleet.directors:  # the median server is at half of what it can do
        assert director.estimator.capacity_per_weight == pytest.approx(2 * 60 * 3.5 / 40, rel=0.3)


def test_no_load_is_shed_before_a_capacity_is_learned() -> None:
    fleet = Fleet(
        request_rate=3.5, servers=range(1, 41), load_value_names=(), admission_mode=AdmissionMode.FRACTION
    )
    fleet.answered_fraction = 0.0
    fleet.run(6)
    assert fleet.min_admission == 1.0


def test_new_server_without_load_reports_is_estimated_as_idle() -> None:
    fleet = Fleet(request_rate=8.0, servers=range(1, 21), load_value_names=())
    fleet.run(10)
    fleet.list_servers(*(server(s, started=fleet.now) for s in range(21, 31)))
    fleet.run(0.5)
    for director in fleet.directors:
        load = {s: view.load or 0.0 for s, view in director.servers.items()}
        assert max(load[s] for s in range(21, 31)) < 0.1 < min(load[s] for s in range(1, 21))


def test_overloaded_fleet_without_load_reports_sheds_load() -> None:
    fleet = Fleet(
        request_rate=3.5, servers=range(1, 41), load_value_names=(), admission_mode=AdmissionMode.FRACTION
    )
    fleet.run(10)
    fleet.request_rate = 60.0  # 90 on servers that can do 30
    fleet.run(10)
    assert fleet.min_admission < 0.8


@pytest.mark.parametrize("killed", [False, True])
def test_after_a_release_new_servers_are_used_and_none_is_overloaded(killed: bool) -> None:
    fleet = Fleet(request_rate=3.5)
    fleet.run(10)
    fleet.list_servers(*(server(s, started=fleet.now) for s in range(11, 16)))
    fleet.run(1)
    fleet.list_servers(*(server(s, state=EndpointStatus.DRAINING) for s in range(1, 6)))
    if killed:
        fleet.run(1)
        fleet.kill(1, successor=3)
    fleet.run(20)
    loads = {s: fleet.load(s, range(5 * EACH)) for s in sorted(fleet.ready)}
    # Servers exclusive to the dead one may stay idle while its successor's are elsewhere.
    assert killed or min(loads[s] for s in range(11, 16)) > 0
    assert max(loads.values()) <= (32.0 if killed else 30.0)


@pytest.mark.parametrize("count", [2, 3, 5])
def test_each_server_is_exclusive_to_one_assigner_and_passes_on_with_slices(count: int) -> None:
    for held in (1, count):
        owners = []
        for k in range(count):
            director = Director(settings(assigner_index=k, assigner_count=count, slice_count=4 * count))
            director.handle(START, [OwnershipChanged(n, True) for n in range(4 * held)])
            owners.append([is_exclusive(director.fleet, sid) for sid in range(500)])
        assert {sum(each) for each in zip(*owners, strict=True)} == {held}


def test_assigner_with_most_of_a_servers_load_sheds_most_of_it() -> None:
    world = World(servers=tuple(range(1, 9)), assigner_count=5, slice_count=48, load_value_names=("busy",))
    world.request_rates = {n: 10.0 if world.tables[n] == {1: 1.0} else 0.5 for n in world.request_rates}
    world.run(2)
    assert sum(world.request_rates[n] for n in world.tables if world.main_servers(n) == {1}) <= 30.0


def test_urgent_changes_do_not_delay_ordinary_ones_for_ever() -> None:
    world = World(servers=tuple(range(1, 25)), assigner_count=5, slice_count=96, load_value_names=("busy",))
    world.run(10)
    for sid in range(2, 16):  # a server drains each half second
        if sid == 4:
            world.request_rates = {
                n: 10.0 if world.main_servers(n) == {1} else 0.5 for n in world.request_rates
            }
        world.send(EndpointListUpdate(ListUpdateType.DELTA, sid, (server(sid, EndpointStatus.DRAINING),)))
        world.run(0.5)
    assert (
        sum(world.main_servers(n) == {1} for n in world.tables if world.request_rates[n] > 1) <= 1
    )  # of four, too hot for it


@pytest.mark.parametrize("left", [0, 4])
def test_responses_for_revoked_slices_do_not_raise_the_capacity(left: int) -> None:
    world = World(servers=tuple(range(1, 9)), assigner_count=5, slice_count=48)
    world.request_rates = dict.fromkeys(world.request_rates, 3.0)
    world.run(20)
    before = world.director.estimator.usable_capacity(1)
    world.send(*(OwnershipChanged(n, False) for n in range(left, 48)))
    for step in range(160):
        world.now += 0.25
        # Reports of before still come for 4 s, late; then those of what is left.
        met = range(1, 9) if step < 16 and not left else range(1, left + 1)
        rate = 18 if step < 16 and not left else 3
        told = [ServerLoadReport(0, sid, 10 * rate, 0, 0.2, 10.0, (0.6,)) for sid in met]
        world.send(*told, TimerFired(1))
        assert 0.6 * before < world.director.estimator.usable_capacity(1) < 1.6 * before


def test_peer_observations_count_until_replaced_by_own_ones() -> None:
    fresh = Director(settings(assigner_count=3))
    fresh.handle(START, [EndpointListUpdate(ListUpdateType.CACHED, 1, (server(1), server(2)))])
    fresh.handle(START, [PeerObservation(-1, capacity_per_s=7.0), PeerObservation(1, recovery_level=0)])
    assert fresh.findings() == (7.0, {1: 0})
    fresh.handle(START, [PeerObservation(-1, capacity_per_s=9.0)])
    assert (
        fresh.findings()[0] == 7.0
    )  # one copy is as good as the other, and none takes the place of what stands
    world = World(assigner_count=3)
    world.run(20)
    own = world.director.findings()
    world.send(PeerObservation(-1, capacity_per_s=900.0), PeerObservation(1, recovery_level=0))
    assert own[0]
    assert world.director.findings() == own

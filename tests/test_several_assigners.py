"""Tests of several assigners that serve one fleet without sharing state."""

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

SERVERS, SLICES_PER_ASSIGNER = range(1, 11), 12


class Fleet:
    """Simulation of five directors that own 12 of 60 slices each, by default on ten servers.

    Servers report the load of all assigners together, or nothing if the settings name no load values.
    """

    def __init__(self, request_rate: float, servers: range = SERVERS, **changes: Any) -> None:
        self.now, self.request_rate = START, request_rate
        self.server_by_slice = {n: servers[n % len(servers)] for n in range(5 * SLICES_PER_ASSIGNER)}
        self.ready = set(servers)
        self.slices_by_assigner = {
            k: list(range(k * SLICES_PER_ASSIGNER, (k + 1) * SLICES_PER_ASSIGNER)) for k in range(5)
        }
        self.directors = [
            Director(
                settings(assigner_index=k, assigner_count=5, slice_count=5 * SLICES_PER_ASSIGNER, **changes)
            )
            for k in range(5)
        ]
        self.min_admission = 1.0  # Smallest admission fraction that was sent.
        self.answered_fraction = 1.0  # Fraction of requests that are answered.
        endpoints = tuple(server(s) for s in servers)
        for k, director in enumerate(self.directors):
            events: list[Event] = [
                EndpointListUpdate(ListUpdateType.CACHED, 1, endpoints),
                ProxyConnected(0, 0, 10.0, True),
            ]
            for n in self.owned(k):
                events += [OwnershipChanged(n, True), StoredWeight(n, self.server_by_slice[n], 1.0)]
            director.handle(self.now, events)

    def owned(self, assigner_index: int) -> list[int]:
        """Return the slices that an assigner owns."""
        return self.slices_by_assigner[assigner_index]

    def kill(self, assigner_index: int, successor: int) -> None:
        """Transfer the slices of a failed assigner, with their tables, to its successor."""
        for n in self.slices_by_assigner[assigner_index]:
            self.send(
                self.directors[successor],
                OwnershipChanged(n, True),
                StoredWeight(n, self.server_by_slice[n], 1.0),
            )
        self.slices_by_assigner[successor] += self.slices_by_assigner[assigner_index]
        self.slices_by_assigner[assigner_index] = []

    def load(self, server_id: int, slice_ids: Iterable[int]) -> float:
        """Return the requests per second that some slices send to a server."""
        return sum(self.request_rate for n in slice_ids if self.server_by_slice[n] == server_id)

    def run(self, seconds: float) -> None:
        """Run rounds of 0.25 s, each with load reports to every director."""
        for _ in range(round(seconds * 4)):
            self.now += 0.25
            for k, director in enumerate(self.directors):
                requests = round(self.request_rate * 10)
                events: list[Event] = [SliceLoadReport(n, 0, requests, 0, 10.0) for n in self.owned(k)]
                for server_id in sorted(self.ready):
                    attempt_rate, total = (
                        self.load(server_id, self.owned(k)),
                        self.load(server_id, range(5 * SLICES_PER_ASSIGNER)),
                    )
                    attempt_rate *= self.answered_fraction
                    success_rate = attempt_rate * min(1.0, 30.0 / max(total, 1.0))
                    values = (min(1.0, total / 30.0),) if director.fleet.settings.load_value_names else ()
                    counts = round(attempt_rate * 10), round((attempt_rate - success_rate) * 10)
                    events.append(ServerLoadReport(0, server_id, *counts, 0.2, 10.0, values))
                self.send(director, *events, TimerFired(1))

    def send(self, director: Director, *events: Event) -> None:
        """Pass events to a director, and apply its actions."""
        for action in director.handle(self.now, events):
            if isinstance(action, SetWeight) and action.weight >= 1:
                self.server_by_slice[action.slice_id] = action.server_id
            if isinstance(action, SetAdmission):
                self.min_admission = min(self.min_admission, action.fraction)

    def update_endpoints(self, *endpoints: Endpoint) -> None:
        """Send a delta of the endpoint list to all directors."""
        self.ready = {s for s in self.ready if s not in {e.server_id for e in endpoints}}
        self.ready |= {e.server_id for e in endpoints if e.status == EndpointStatus.READY}
        for director in self.directors:
            self.send(director, EndpointListUpdate(ListUpdateType.DELTA, 2, endpoints))


def test_idle_fleet_without_load_reports_sheds_no_load() -> None:
    """Each assigner has slices on few of the servers, and after a start it sees requests before responses."""
    fleet = Fleet(
        request_rate=3.5, servers=range(1, 41), load_value_names=(), admission_mode=AdmissionMode.FRACTION
    )
    placement_before = dict(fleet.server_by_slice)
    for fleet.answered_fraction in (0.0, 0.3, 0.6):  # Responses lag behind requests after a start.
        fleet.run(0.25)
    fleet.answered_fraction = 1.0
    fleet.run(19)
    assert fleet.min_admission == 1.0
    assert fleet.server_by_slice == placement_before
    for director in fleet.directors:  # The median server is assumed to be at load 0.5.
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
    fleet.update_endpoints(*(server(s, started_at_s=fleet.now) for s in range(21, 31)))
    fleet.run(0.5)
    for director in fleet.directors:
        loads = {s: server_state.load or 0.0 for s, server_state in director.servers.items()}
        assert max(loads[s] for s in range(21, 31)) < 0.1 < min(loads[s] for s in range(1, 21))


def test_overloaded_fleet_without_load_reports_sheds_load() -> None:
    fleet = Fleet(
        request_rate=3.5, servers=range(1, 41), load_value_names=(), admission_mode=AdmissionMode.FRACTION
    )
    fleet.run(10)
    fleet.request_rate = 60.0  # Each server gets 90 and has a capacity of 30.
    fleet.run(10)
    assert fleet.min_admission < 0.8


@pytest.mark.parametrize("killed", [False, True])
def test_after_a_release_new_servers_are_used_and_none_is_overloaded(killed: bool) -> None:
    fleet = Fleet(request_rate=3.5)
    fleet.run(10)
    fleet.update_endpoints(*(server(s, started_at_s=fleet.now) for s in range(11, 16)))
    fleet.run(1)
    fleet.update_endpoints(*(server(s, status=EndpointStatus.DRAINING) for s in range(1, 6)))
    if killed:
        fleet.run(1)
        fleet.kill(1, successor=3)
    fleet.run(20)
    loads = {s: fleet.load(s, range(5 * SLICES_PER_ASSIGNER)) for s in sorted(fleet.ready)}
    # Servers exclusive to the killed assigner may stay idle if its successor has other ones.
    assert killed or min(loads[s] for s in range(11, 16)) > 0
    assert max(loads.values()) <= (32.0 if killed else 30.0)


@pytest.mark.parametrize("count", [2, 3, 5])
def test_each_server_is_exclusive_to_one_assigner_and_follows_its_slices(count: int) -> None:
    for ownership_factor in (1, count):
        exclusive_by_assigner = []
        for k in range(count):
            director = Director(settings(assigner_index=k, assigner_count=count, slice_count=4 * count))
            director.handle(START, [OwnershipChanged(n, True) for n in range(4 * ownership_factor)])
            exclusive_by_assigner.append([is_exclusive(director.fleet, s) for s in range(500)])
        assert {sum(flags) for flags in zip(*exclusive_by_assigner, strict=True)} == {ownership_factor}


def test_assigner_with_most_of_a_servers_load_sheds_most_of_the_excess() -> None:
    world = World(servers=tuple(range(1, 9)), assigner_count=5, slice_count=48, load_value_names=("busy",))
    world.request_rates = {n: 10.0 if world.tables[n] == {1: 1.0} else 0.5 for n in world.request_rates}
    world.run(2)
    assert sum(world.request_rates[n] for n in world.tables if world.main_servers(n) == {1}) <= 30.0


def test_urgent_changes_do_not_delay_ordinary_ones_for_ever() -> None:
    world = World(servers=tuple(range(1, 25)), assigner_count=5, slice_count=96, load_value_names=("busy",))
    world.run(10)
    for server_id in range(2, 16):  # A server drains every half second.
        if server_id == 4:
            world.request_rates = {
                n: 10.0 if world.main_servers(n) == {1} else 0.5 for n in world.request_rates
            }
        world.send(
            EndpointListUpdate(ListUpdateType.DELTA, server_id, (server(server_id, EndpointStatus.DRAINING),))
        )
        world.run(0.5)
    # The four hot slices of server 1 exceed its capacity, so at most one of them stays there.
    assert sum(world.main_servers(n) == {1} for n in world.tables if world.request_rates[n] > 1) <= 1


@pytest.mark.parametrize("remaining", [0, 4])
def test_responses_for_revoked_slices_do_not_raise_the_capacity(remaining: int) -> None:
    world = World(servers=tuple(range(1, 9)), assigner_count=5, slice_count=48)
    world.request_rates = dict.fromkeys(world.request_rates, 3.0)
    world.run(20)
    capacity_before = world.director.estimator.usable_capacity(1)
    world.send(*(OwnershipChanged(n, False) for n in range(remaining, 48)))
    for step in range(160):
        world.now += 0.25
        # Late reports of the revoked slices arrive for 4 s, then those of the remaining slices.
        server_ids = range(1, 9) if step < 16 and not remaining else range(1, remaining + 1)
        rate = 18 if step < 16 and not remaining else 3
        reports = [ServerLoadReport(0, s, 10 * rate, 0, 0.2, 10.0, (0.6,)) for s in server_ids]
        world.send(*reports, TimerFired(1))
        assert 0.6 * capacity_before < world.director.estimator.usable_capacity(1) < 1.6 * capacity_before


def test_peer_observations_count_until_replaced_by_own_ones() -> None:
    new_director = Director(settings(assigner_count=3))
    new_director.handle(START, [EndpointListUpdate(ListUpdateType.CACHED, 1, (server(1), server(2)))])
    new_director.handle(
        START, [PeerObservation(-1, capacity_per_s=7.0), PeerObservation(1, recovery_level=0)]
    )
    assert new_director.findings() == (7.0, {1: 0})
    new_director.handle(START, [PeerObservation(-1, capacity_per_s=9.0)])
    assert new_director.findings()[0] == 7.0  # Replicas are equally reliable, so the first value stays.
    world = World(assigner_count=3)
    world.run(20)
    own_findings = world.director.findings()
    world.send(PeerObservation(-1, capacity_per_s=900.0), PeerObservation(1, recovery_level=0))
    assert own_findings[0]
    assert world.director.findings() == own_findings

"""Tests of readmissions that proxies miss while they are disconnected, as a proxy keeps its withdrawals."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from puffintide.decisions.actions import Action, SendCheckpoint, SetWithdrawn
from puffintide.decisions.events import (
    CheckpointAcknowledged,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ListUpdateType,
    ProxyConnected,
    ProxyDisconnected,
)
from puffintide.decisions.withdrawal_holders import WithdrawalHolders
from tests.world import World, server

DELIVERY_S = 0.5
MAX_READMISSION_S = 4.5  # Ordinary changes are delayed by at most 4 s, and a message arrives within 0.5 s.
SETTLE_S = 30.0


@dataclass
class Proxy:
    """A proxy's stream, and the withdrawals that it holds whether or not it is connected."""

    connected: bool = True
    acknowledges: bool = True
    withdrawn: set[int] = field(default_factory=set)
    messages: list[tuple[float, list[Action]]] = field(default_factory=list)  # With their time of arrival.


class StreamWorld(World):
    """A world in which each proxy applies only what arrives over its own stream."""

    def __init__(self) -> None:
        self.proxies: dict[int, Proxy] = {}
        self.version = 1
        super().__init__(
            slice_count=60,
            channel_entries_per_s=100.0,
            channel_capacity_entries=150.0,
            channel_header_entries=2.0,
        )
        self.proxies = {proxy_id: Proxy() for proxy_id in range(self.settings.proxy_count)}
        self.request_rates = dict.fromkeys(self.request_rates, 40.0 / len(self.request_rates))

    def send(self, *events: Event) -> list[Action]:
        actions = super().send(*events)
        for proxy in self.proxies.values():
            if proxy.connected and actions:
                proxy.messages.append((self.now + DELIVERY_S, actions))
        return actions

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 4)):
            super().run(0.25)
            self.pending_checkpoints = []  # Proxies acknowledge messages themselves.
            acknowledgements = [event for p in self.proxies for event in self.deliver(p)]
            if acknowledgements:
                self.send(*acknowledgements)

    def deliver(self, proxy_id: int) -> list[Event]:
        proxy = self.proxies[proxy_id]
        events: list[Event] = []
        while proxy.messages and proxy.messages[0][0] <= self.now:
            for action in proxy.messages.pop(0)[1]:
                if isinstance(action, SetWithdrawn):
                    (proxy.withdrawn.add if action.withdrawn else proxy.withdrawn.discard)(action.server_id)
                elif isinstance(action, SendCheckpoint) and proxy.acknowledges:
                    events.append(CheckpointAcknowledged(proxy_id, action.checkpoint_id, 0.5))
        return events

    def disconnect(self, proxy_id: int, notify: bool = True) -> None:
        self.proxies[proxy_id].connected = False
        self.proxies[proxy_id].messages = []
        if notify:
            self.send(ProxyDisconnected(proxy_id))

    def connect(self, proxy_id: int, restarted: bool = False, notify: bool = True) -> None:
        proxy = self.proxies[proxy_id]
        proxy.connected = True
        if restarted:
            proxy.withdrawn = set()
        if notify:
            self.send(ProxyConnected(proxy_id, 0, 10.0, restarted))

    def list_servers(self, status: EndpointStatus, *server_ids: int) -> None:
        self.version += 1
        started_at_s = self.now - self.settings.slow_start_duration_s  # Returning servers are warm.
        endpoints = tuple(server(s, status, started_at_s) for s in server_ids)
        self.send(EndpointListUpdate(ListUpdateType.DELTA, self.version, endpoints))

    def readmissions_since(self, log_length: int) -> list[int]:
        return [
            action.server_id
            for _, actions in self.log[log_length:]
            for action in actions
            if isinstance(action, SetWithdrawn) and not action.withdrawn
        ]


@pytest.fixture
def world() -> StreamWorld:
    """Return a world whose servers 1 and 2 are withdrawn at every proxy."""
    world = StreamWorld()
    world.run(5)
    world.list_servers(EndpointStatus.DRAINING, 1, 2)
    world.run(2)
    assert all(proxy.withdrawn == {1, 2} for proxy in world.proxies.values())
    return world


# Guards against proxies that miss a readmission while they are away and keep the servers withdrawn for good.
def test_readmission_is_resent_to_a_proxy_that_was_disconnected(world: StreamWorld) -> None:
    world.disconnect(0)
    world.list_servers(EndpointStatus.READY, 1, 2)
    world.run(SETTLE_S)
    assert world.withdrawn == set()
    assert world.proxies[0].withdrawn == {1, 2}
    log_length = len(world.log)
    world.connect(0)
    world.run(MAX_READMISSION_S)
    assert world.proxies[0].withdrawn == set()
    world.run(SETTLE_S)
    assert sorted(world.readmissions_since(log_length)) == [1, 2]  # Once, as it was acknowledged.


# Guards against a readmission that was on its way over a stream that broke.
def test_readmission_lost_with_its_stream_is_sent_again(world: StreamWorld) -> None:
    world.list_servers(EndpointStatus.READY, 1, 2)
    while world.withdrawn:
        world.run(0.25)
    world.disconnect(0)
    world.run(2)
    assert world.proxies[0].withdrawn
    world.connect(0)
    world.run(MAX_READMISSION_S)
    assert world.proxies[0].withdrawn == set()


# Guards against a broken stream that the assigner has not noticed, as it was cut off itself.
def test_unacknowledged_readmission_is_sent_again(world: StreamWorld) -> None:
    world.disconnect(0, notify=False)
    world.list_servers(EndpointStatus.READY, 1, 2)
    while world.withdrawn:
        world.run(0.25)
    world.connect(0, notify=False)
    world.run(SETTLE_S)
    assert world.proxies[0].withdrawn == set()


def test_nothing_is_sent_to_a_proxy_that_restarted(world: StreamWorld) -> None:
    world.disconnect(0)
    world.list_servers(EndpointStatus.READY, 1, 2)
    world.run(SETTLE_S)
    log_length = len(world.log)
    world.connect(0, restarted=True)
    world.run(SETTLE_S)
    assert world.readmissions_since(log_length) == []


def test_server_that_is_unavailable_again_is_not_readmitted(world: StreamWorld) -> None:
    world.disconnect(0)
    world.list_servers(EndpointStatus.READY, 1, 2)
    world.run(SETTLE_S)
    world.list_servers(EndpointStatus.DRAINING, 1, 2)
    log_length = len(world.log)
    world.connect(0)
    world.run(SETTLE_S)
    assert world.readmissions_since(log_length) == []


@pytest.mark.parametrize("seed", range(30))
def test_all_proxies_hold_the_same_withdrawals_after_faults(seed: int) -> None:
    rng = random.Random(seed)
    world = StreamWorld()
    world.run(5)
    for _ in range(40):
        proxy_id = rng.randrange(world.settings.proxy_count)
        server_id = rng.randrange(1, 4)  # Server 4 stays ready.
        match rng.randrange(4):
            case 0:
                world.disconnect(proxy_id)
            case 1 if not world.proxies[proxy_id].connected:
                world.connect(proxy_id, restarted=rng.random() < 0.2)
            case 2:
                world.list_servers(EndpointStatus.DRAINING, server_id)
            case 3:
                world.list_servers(EndpointStatus.READY, server_id)
        world.run(rng.choice([0.25, 0.5, 1.0, 4.0]))
    for proxy_id in world.proxies:
        if not world.proxies[proxy_id].connected:
            world.connect(proxy_id)
    world.list_servers(EndpointStatus.READY, 1, 2, 3)
    world.run(SETTLE_S)
    assert world.withdrawn == set()
    assert [proxy.withdrawn for proxy in world.proxies.values()] == [set()] * len(world.proxies)


def test_forgotten_server_is_not_tracked() -> None:
    holders = WithdrawalHolders()
    holders.on_withdrawn(1, [0])
    holders.on_server_forgotten(1)
    assert holders.missed_readmissions([0], 0.0, 7.5) == set()


# Guards against memory for each name that a hostile peer connects under.
def test_only_the_configured_number_of_proxies_is_tracked(world: StreamWorld) -> None:
    fleet = world.director.fleet
    fleet.proxies.add(fleet.settings.proxy_count)
    actions = [SetWithdrawn(3, True)]
    world.director.publisher.withdrawals.record_sent(actions, SendCheckpoint(1))
    assert set(fleet.withdrawal_holders._holders[3]) == set(range(fleet.settings.proxy_count))

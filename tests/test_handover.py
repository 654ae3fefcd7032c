"""Handover of slices with a single writer: no two servers execute writes of a slice at the same time.

This holds although proxies reconnect, messages are delayed and the store is slow or unreachable.
"""

from __future__ import annotations

import random
from typing import Any

import pytest

from puffintide.assigner.handover import FIRST_CHECKPOINT_ID, Handover, HandoverSteps
from puffintide.assigner.proxy_leases import ProxyLeases
from puffintide.protocol.messages import ProxyUpdate, WeightEntry

WRITE_LEASE_S, MAX_WRITE_DEADLINE_S = 1.0, 2.0
PROXY_COUNT, SLICE_COUNT = 3, 3
MAX_WRITE_DURATION_S = WRITE_LEASE_S + MAX_WRITE_DEADLINE_S


def weight_entry(slice_id: int, server: int, token: int = 1) -> WeightEntry:
    return WeightEntry(slice_id, server, 1.0, token)


def batch(
    number: int, weights: list[WeightEntry], proxies: list[int], withdrawn: list[int] | None = None
) -> tuple[int, list[WeightEntry], list[tuple[int, ProxyUpdate]]]:
    return (
        number,
        weights,
        [
            (
                proxy,
                ProxyUpdate(number, 0.0, 9.0, weights, withdrawn_servers=withdrawn or [], checkpoint_id=7),
            )
            for proxy in proxies
        ],
    )


def new_handover(max_drain_s: float, proxy_count: int) -> Handover:
    return Handover(ProxyLeases(WRITE_LEASE_S, MAX_WRITE_DEADLINE_S, proxy_count), max_drain_s, 2.0)


def connected_handover(max_drain_s: float = 10.0) -> Handover:
    handover = new_handover(max_drain_s, proxy_count=2)
    for proxy in (0, 1):
        handover.on_proxy_connected(0.0, proxy)
    return handover


def servers_by_proxy(steps: HandoverSteps) -> dict[int, list[int]]:
    return {
        proxy: [entry.server_id for entry in update.weights]
        for proxy, update in steps.proxy_updates
        if update.weights
    }


def test_migration_drains_then_stores_then_sends_new_weights() -> None:
    handover = connected_handover()
    steps = handover.add_batch(1.0, *batch(5, [weight_entry(3, 8)], [0, 1], withdrawn=[4]))
    drain_requests = {proxy: update for proxy, update in steps.proxy_updates if update.cleared_slices}
    assert set(drain_requests) == {0, 1}
    assert all(update.cleared_slices == [3] and not update.weights for update in drain_requests.values())
    assert len(steps.proxy_updates) == 2
    assert all(update.withdrawn_servers == [4] for update in drain_requests.values())
    assert steps.writes == []
    checkpoint_id = drain_requests[0].checkpoint_id
    assert checkpoint_id is not None
    assert checkpoint_id >= FIRST_CHECKPOINT_ID
    assert handover.on_checkpoint_reply(1.2, 0, checkpoint_id) == HandoverSteps()
    stored = handover.on_checkpoint_reply(1.4, 1, checkpoint_id)
    assert stored.writes == [(5, [weight_entry(3, 8)])]
    assert stored.proxy_updates == []
    assert handover.on_write_acknowledged(1.5, 4) == HandoverSteps()
    assert servers_by_proxy(handover.on_write_acknowledged(1.6, 5)) == {0: [8], 1: [8]}
    assert not handover.migrations


# Guards against a draining server whose slices have to wait for the migration of others.
def test_batches_drain_at_the_same_time_and_are_stored_in_order() -> None:
    handover = connected_handover()
    first = handover.add_batch(1.0, *batch(5, [weight_entry(3, 8)], [0, 1]))
    second = handover.add_batch(1.1, *batch(6, [weight_entry(3, 7), weight_entry(4, 9)], [0, 1]))
    assert [update.cleared_slices for _, update in second.proxy_updates] == [[4], [4]]
    # A slice that drains already gets other weights. Withdrawals are sent at once to both proxies.
    third = handover.add_batch(1.1, *batch(7, [weight_entry(3, 9)], [0, 1], withdrawn=[2]))
    assert [(update.withdrawn_servers, update.cleared_slices) for _, update in third.proxy_updates] == [
        ([2], []),
        ([2], []),
    ]
    for proxy in (0, 1):
        steps = handover.on_checkpoint_reply(1.2, proxy, second.proxy_updates[0][1].checkpoint_id or 0)
        assert steps == HandoverSteps()
        steps = handover.on_checkpoint_reply(1.3, proxy, first.proxy_updates[0][1].checkpoint_id or 0)
    assert steps.writes == [(5, [weight_entry(3, 9)]), (7, [weight_entry(4, 9)])]
    assert servers_by_proxy(handover.on_write_acknowledged(1.4, 5)) == {0: [9], 1: [9]}
    final = handover.on_write_acknowledged(1.5, 7)
    assert [[entry.slice_id for entry in update.weights] for _, update in final.proxy_updates] == [[4], [4]]
    assert all(update.checkpoint_id == 7 for _, update in final.proxy_updates)
    assert not handover.migrations


def test_batches_that_arrive_while_weights_are_stored_are_merged_into_the_next_migration() -> None:
    handover = connected_handover()
    first = handover.add_batch(1.0, *batch(5, [weight_entry(3, 8)], [0, 1]))
    for proxy in (0, 1):
        handover.on_checkpoint_reply(1.2, proxy, first.proxy_updates[0][1].checkpoint_id or 0)
    weights = [weight_entry(3, 7), weight_entry(4, 9)]
    assert handover.add_batch(1.2, *batch(6, weights, [0, 1])).proxy_updates == []
    # Withdrawals are sent at once to both proxies.
    third = handover.add_batch(1.2, *batch(7, [weight_entry(3, 9)], [0, 1], withdrawn=[2]))
    assert [update.withdrawn_servers for _, update in third.proxy_updates] == [[2], [2]]
    after = handover.on_write_acknowledged(1.3, 5)
    assert servers_by_proxy(after) == {0: [8], 1: [8]}
    drain_requests = [update for _, update in after.proxy_updates if update.cleared_slices]
    assert [update.cleared_slices for update in drain_requests] == [[3, 4], [3, 4]]
    for proxy in (0, 1):
        handover.on_checkpoint_reply(1.4, proxy, drain_requests[0].checkpoint_id or 0)
    final = handover.on_write_acknowledged(1.5, 7)
    assert [
        sorted((entry.slice_id, entry.server_id) for entry in update.weights)
        for _, update in final.proxy_updates
    ] == [[(3, 9), (4, 9)]] * 2


def test_weights_of_a_dropped_slice_are_not_sent() -> None:
    handover = connected_handover()
    steps = handover.add_batch(1.0, *batch(5, [weight_entry(3, 8), weight_entry(4, 8)], [0, 1]))
    for proxy in (0, 1):
        handover.on_checkpoint_reply(1.2, proxy, steps.proxy_updates[0][1].checkpoint_id or 0)
    handover.drop_slice(3)
    assert all(
        [entry.slice_id for entry in update.weights] == [4]
        for _, update in handover.on_write_acknowledged(1.3, 5).proxy_updates
    )


def test_migration_waits_for_disconnected_proxy_until_its_writes_have_ended() -> None:
    handover = connected_handover()
    steps = handover.add_batch(1.0, *batch(5, [weight_entry(3, 8)], [0, 1]))
    handover.on_checkpoint_reply(1.1, 0, steps.proxy_updates[0][1].checkpoint_id or 0)
    assert handover.on_proxy_disconnected(1.2, 1).writes == []
    assert handover.advance(1.2 + MAX_WRITE_DURATION_S - 0.01).writes == []
    assert handover.advance(1.2 + MAX_WRITE_DURATION_S).writes != []
    assert servers_by_proxy(handover.on_write_acknowledged(4.5, 5)) == {0: [8]}
    # No migration is in progress, so a new proxy is updated at once.
    new_proxy_updates = handover.on_proxy_connected(5.0, 2).proxy_updates
    assert [(proxy, update.cleared_slices) for proxy, update in new_proxy_updates] == [(2, [])]


# Guards against writes to the former server by a proxy that connects during a migration.
def test_migration_waits_for_the_acknowledgement_of_a_proxy_that_connects_while_it_drains() -> None:
    handover = connected_handover()
    steps = handover.add_batch(1.0, *batch(5, [weight_entry(3, 8)], [0, 1]))
    handover.on_proxy_disconnected(1.1, 1)
    ((proxy, update),) = handover.on_proxy_connected(1.2, 1).proxy_updates
    assert (proxy, update.cleared_slices, update.weights) == (1, [3], [])
    assert update.checkpoint_id == steps.proxy_updates[0][1].checkpoint_id
    assert handover.on_checkpoint_reply(1.3, 0, update.checkpoint_id or 0).writes == []
    assert handover.advance(9.0).writes == []
    assert handover.on_checkpoint_reply(9.1, 1, update.checkpoint_id or 0).writes != []
    # A proxy that connects while the weights are stored receives them with the others, after its first update.
    ((_, late_update),) = handover.on_proxy_connected(9.2, 2).proxy_updates
    assert (late_update.cleared_slices, late_update.weights) == ([3], [])
    assert servers_by_proxy(handover.on_write_acknowledged(9.3, 5)) == {0: [8], 1: [8], 2: [8]}


# Guards against writes to slices that are not cleared yet when the first update lets a proxy accept writes.
def test_first_update_of_a_proxy_clears_the_slices_of_all_migrations() -> None:
    handover = connected_handover()
    requests = [
        handover.add_batch(1.0 + number / 10, *batch(number, [weight_entry(number, 8)], [0, 1])).proxy_updates
        for number in (5, 6)
    ]
    checkpoint_ids = [updates[0][1].checkpoint_id for updates in requests]
    new_proxy_updates = [update for _, update in handover.on_proxy_connected(2.0, 2).proxy_updates]
    assert [update.cleared_slices for update in new_proxy_updates] == [[5, 6], [6]]
    assert [update.checkpoint_id for update in new_proxy_updates] == checkpoint_ids


# Guards against a new owner that ignores the leases which the former owner, or its own former process, granted.
def test_first_migration_after_a_grant_waits_for_proxies_that_have_not_connected() -> None:
    handover = new_handover(10.0, proxy_count=2)
    handover.on_proxy_connected(0.9, 0)
    handover.on_slice_granted(1.0, 3, has_server=True)
    ((_, update),) = handover.add_batch(1.1, *batch(5, [weight_entry(3, 8)], [0])).proxy_updates
    assert handover.on_checkpoint_reply(1.2, 0, update.checkpoint_id or 0).writes == []
    assert handover.advance(1.0 + MAX_WRITE_DURATION_S - 0.01).writes == []
    assert handover.advance(1.0 + MAX_WRITE_DURATION_S).writes != []


def test_first_migration_after_a_grant_continues_once_all_proxies_have_acknowledged() -> None:
    handover = new_handover(10.0, proxy_count=2)
    handover.on_proxy_connected(0.9, 0)
    handover.on_slice_granted(1.0, 3, has_server=True)
    ((_, update),) = handover.add_batch(1.1, *batch(5, [weight_entry(3, 8)], [0])).proxy_updates
    handover.on_checkpoint_reply(1.2, 0, update.checkpoint_id or 0)
    handover.on_proxy_connected(1.3, 1)
    assert handover.on_checkpoint_reply(1.4, 1, update.checkpoint_id or 0).writes != []


def test_slice_without_a_server_is_assigned_one_without_waiting() -> None:
    handover = new_handover(10.0, proxy_count=2)
    handover.on_proxy_connected(0.9, 0)
    handover.on_slice_granted(1.0, 3, has_server=False)
    ((_, update),) = handover.add_batch(1.1, *batch(5, [weight_entry(3, 8)], [0])).proxy_updates
    assert handover.on_checkpoint_reply(1.2, 0, update.checkpoint_id or 0).writes != []


def test_draining_ends_at_its_deadline_and_weights_wait_for_an_unreachable_store() -> None:
    handover = connected_handover(max_drain_s=1.5)
    handover.add_batch(1.0, *batch(5, [weight_entry(3, 8)], [0, 1]))
    assert handover.advance(2.4).writes == []
    assert handover.advance(2.5).writes != []
    assert handover.advance(900.0) == HandoverSteps()
    assert handover.unacknowledged_writes() == [(5, [weight_entry(3, 8)])]
    handover.on_token_renewed(3, 44)
    assert handover.unacknowledged_writes() == [(5, [weight_entry(3, 8, 44)])]
    assert all(
        entry.fencing_token == 44
        for _, update in handover.on_write_acknowledged(901.0, 5).proxy_updates
        for entry in update.weights
    )


class Simulation:
    """A simulation of proxies with writes in flight, a store and delayed messages.

    Attributes:
        tables: The server of each slice, by proxy; cleared slices are missing.
        table_batches: Number of the batch that changed each slice last, by proxy.
        writable_until: Time until which each proxy takes writes.
        writes: The proxy, the slice, the server and the end time of each write in flight.
        messages: The arrival time, sequence number, type and content of each message in flight.
        stored: The server of each slice in the store.
        stored_batches: Number of the batch that changed each slice last in the store.
        incarnation: Number of the current connection of each proxy, which marks messages of earlier ones.
        max_servers: Highest number of servers that executed writes of one slice at the same time.
    """

    def __init__(self, seed: int, max_drain_s: float = 50.0, restart_probability: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.restart_probability = restart_probability  # In each step of a run.
        self.now = 0.0
        self.max_drain_s = max_drain_s
        self.handover = new_handover(max_drain_s, PROXY_COUNT)
        self.tables: dict[int, dict[int, int]] = {proxy: {} for proxy in range(PROXY_COUNT)}
        self.table_batches: dict[int, dict[int, int]] = {proxy: {} for proxy in range(PROXY_COUNT)}
        self.writable_until: dict[int, float] = {}
        self.writes: list[tuple[int, int, int, float]] = []
        self.messages: list[tuple[float, int, str, Any]] = []
        self.message_count = 0
        self.stored = dict.fromkeys(range(SLICE_COUNT), 0)
        self.stored_batches = dict.fromkeys(range(SLICE_COUNT), 0)
        self.incarnation: dict[int, int] = {}
        self.max_servers = 0

    def send(self, message_type: str, content: Any, max_delay_s: float = 0.4) -> None:
        self.message_count += 1
        self.messages.append(
            (self.now + self.rng.uniform(0.01, max_delay_s), self.message_count, message_type, content)
        )

    def send_in_order(self, message_type: str, content: Any) -> None:
        """Send a message that arrives after the earlier ones of its type to or from the same peer."""
        last_arrival = max(
            (
                arrives_at
                for arrives_at, _, other_type, other in self.messages
                if other_type == message_type and other[0] == content[0]
            ),
            default=0.0,
        )
        self.message_count += 1
        arrives_at = max(last_arrival, self.now + self.rng.uniform(0.01, 0.4)) + 1e-6
        self.messages.append((arrives_at, self.message_count, message_type, content))

    def apply_steps(self, steps: HandoverSteps) -> None:
        for proxy, update in steps.proxy_updates:
            self.send_in_order("update", (proxy, self.incarnation.get(proxy, 0), update))
        for number, weights in steps.writes:
            self.send_in_order("write", ("store", number, weights))

    def has_writes_in_flight(self, proxy: int, slice_ids: list[int]) -> bool:
        return any(
            writer == proxy and slice_id in slice_ids and end > self.now
            for writer, slice_id, _, end in self.writes
        )

    def run(self) -> int:
        self.incarnation = {}
        batches = 0
        for proxy in range(PROXY_COUNT):
            self.incarnation[proxy] = 1
            self.read_store(proxy)
            self.apply_steps(self.handover.on_proxy_connected(self.now, proxy))
        for _ in range(1500):
            self.now += 0.02
            for message in sorted(
                (message for message in self.messages if message[0] <= self.now), key=lambda row: row[:2]
            ):
                self.messages.remove(message)
                self.deliver(message[2], message[3])
            self.apply_steps(self.handover.advance(self.now))
            for proxy, table in self.tables.items():
                self.send_writes(proxy, table)
            if self.rng.random() < 0.02:
                batches += 1
                self.add_batch(batches)
            if self.rng.random() < 0.004 and self.connected:
                self.disconnect(self.rng.choice(self.connected))
            if self.rng.random() < self.restart_probability:
                self.restart_assigner()
            self.writes = [write for write in self.writes if write[3] > self.now]
            for slice_id in range(SLICE_COUNT):
                servers = {server for _, written_slice, server, _ in self.writes if written_slice == slice_id}
                self.max_servers = max(self.max_servers, len(servers))
        return batches

    def send_writes(self, proxy: int, table: dict[int, int]) -> None:
        for slice_id, server in table.items():
            if self.writable_until.get(proxy, 0.0) > self.now and self.rng.random() < 0.2:
                end = self.now + self.rng.uniform(0.0, MAX_WRITE_DEADLINE_S)
                self.writes.append((proxy, slice_id, server, end))

    def add_batch(self, number: int) -> None:
        slice_ids = self.rng.sample(range(SLICE_COUNT), self.rng.randint(1, SLICE_COUNT))
        weights = [weight_entry(slice_id, self.rng.randrange(10)) for slice_id in slice_ids]
        updates = [(proxy, ProxyUpdate(number, 0.0, 3.0, weights)) for proxy in self.connected]
        self.apply_steps(self.handover.add_batch(self.now, number, weights, updates))

    @property
    def connected(self) -> list[int]:
        return sorted(self.handover.proxies)

    def disconnect(self, proxy: int) -> None:
        """Close a proxy's stream, which both ends detect at once; it reconnects later and reads the store."""
        self.incarnation[proxy] += 1
        self.writable_until[proxy] = min(self.writable_until.get(proxy, 0.0), self.now + WRITE_LEASE_S)
        self.apply_steps(self.handover.on_proxy_disconnected(self.now, proxy))
        self.send("reconnect", proxy, 4.0)

    def read_store(self, proxy: int) -> None:
        """Let a proxy read the stored servers, unless its own table is newer."""
        for slice_id, server in self.stored.items():
            if self.stored_batches[slice_id] >= self.table_batches[proxy].get(slice_id, 0):
                self.tables[proxy][slice_id] = server

    def restart_assigner(self) -> None:
        """Replace the assigner by a new process, which is granted the slices and knows no proxies."""
        former_proxies = self.connected
        self.messages = [message for message in self.messages if message[2] in ("update", "reconnect")]
        self.handover = new_handover(self.max_drain_s, PROXY_COUNT)
        for proxy in former_proxies:
            self.incarnation[proxy] += 1
            self.writable_until[proxy] = min(self.writable_until.get(proxy, 0.0), self.now + WRITE_LEASE_S)
            self.send("reconnect", proxy, 4.0)
        for slice_id in range(SLICE_COUNT):
            self.handover.on_slice_granted(self.now, slice_id, has_server=True)
        self.table_batches = {
            proxy: {} for proxy in range(PROXY_COUNT)
        }  # Batches of a former tenure do not count.

    def deliver(self, message_type: str, content: Any) -> None:
        match message_type:
            case "write":
                _, number, weights = content
                for entry in weights:
                    self.stored[entry.slice_id] = entry.server_id
                    self.stored_batches[entry.slice_id] = number
                self.send_in_order("write_acknowledged", ("store", number))
            case "write_acknowledged":
                self.apply_steps(self.handover.on_write_acknowledged(self.now, content[1]))
            case "reconnect":
                assert isinstance(content, int)
                self.read_store(content)
                self.apply_steps(self.handover.on_proxy_connected(self.now, content))
            case "checkpoint_reply":
                self.deliver_checkpoint_reply(*content)
            case _:
                self.deliver_update(*content)

    def deliver_checkpoint_reply(self, proxy: int, incarnation: int, update: ProxyUpdate) -> None:
        if self.incarnation[proxy] != incarnation:
            return
        if self.has_writes_in_flight(proxy, update.cleared_slices):
            self.send("checkpoint_reply", (proxy, incarnation, update), 0.05)
        else:
            checkpoint_id = update.checkpoint_id or 0
            self.apply_steps(self.handover.on_checkpoint_reply(self.now, proxy, checkpoint_id))

    def deliver_update(self, proxy: int, incarnation: int, update: ProxyUpdate) -> None:
        if self.incarnation[proxy] != incarnation:
            return
        self.writable_until[proxy] = 1e9
        for slice_id in update.cleared_slices:
            self.tables[proxy].pop(slice_id, None)
            self.table_batches[proxy][slice_id] = update.batch
        for entry in update.weights:
            self.tables[proxy][entry.slice_id] = entry.server_id
            self.table_batches[proxy][entry.slice_id] = update.batch
        if update.checkpoint_id is not None and update.checkpoint_id >= FIRST_CHECKPOINT_ID:
            self.send("checkpoint_reply", (proxy, incarnation, update), 0.05)


@pytest.mark.parametrize("seed", range(25))
def test_no_two_servers_execute_writes_at_once(seed: int) -> None:
    simulation = Simulation(seed)
    assert simulation.run() > 5
    assert simulation.max_servers == 1


# Guards against a restarted assigner that does not wait for the proxies of its former process.
@pytest.mark.parametrize("seed", range(25))
def test_no_two_servers_execute_writes_at_once_if_the_assigner_restarts(seed: int) -> None:
    simulation = Simulation(seed, restart_probability=0.005)
    assert simulation.run() > 5
    assert simulation.max_servers == 1


def test_without_draining_two_servers_would_execute_writes_at_once() -> None:
    simulations = [Simulation(seed, max_drain_s=0.0) for seed in range(10)]
    for simulation in simulations:
        simulation.run()
    assert max(simulation.max_servers for simulation in simulations) > 1

"""Convergence of replicas under reordering, loss and duplication of messages, and under restarts."""

from __future__ import annotations

import random
from typing import Any

import pytest

from puffintide.protocol.messages import (
    ReplicationDelta,
)
from puffintide.replication import origin_state
from puffintide.replication import replica as replica_module
from puffintide.replication.replica import Replica

REPLICA_COUNT = 4


class ReplicaGroup:
    """Replicas whose deltas stay pending until they are delivered in random order, duplicated or lost."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.replicas = [self.new_replica(origin_id) for origin_id in range(REPLICA_COUNT)]
        self.pending: list[tuple[int, ReplicationDelta]] = []  # Receiver and delta.

    def new_replica(self, origin_id: int) -> Replica:
        return Replica(origin_id, 1, REPLICA_COUNT, self.rng.getrandbits(replica_module.NONCE_BITS))

    def step(self, operation: str) -> None:
        self.now += self.rng.random()
        origin_id, other_id = self.rng.sample(range(REPLICA_COUNT), 2)
        replica = self.replicas[origin_id]
        match operation:
            case "put":
                for _ in range(3):
                    row_id = self.rng.randrange(12)
                    replica.put(self.now, self.rng.choice("ab"), row_id, (float(self.rng.randrange(100)),))
            case "delete":
                rows = replica.origin_states[origin_id].rows
                for row_type, row_id in self.rng.sample(sorted(rows), min(2, len(rows))):
                    replica.delete(row_type, row_id)
            case "request":
                self.send_missing(origin_id, other_id)
            case "deliver" if self.pending:
                receiver_id, delta = self.pending.pop(self.rng.randrange(len(self.pending)))
                self.replicas[receiver_id].apply(self.now, delta)
            case "duplicate" if self.pending:
                self.pending.append(self.rng.choice(self.pending))
            case "lose" if self.pending:
                self.pending.pop(self.rng.randrange(len(self.pending)))
            case "restart":  # The new replica has no state, and its incarnation was used before.
                self.replicas[origin_id] = self.new_replica(origin_id)

    def send_missing(self, receiver_id: int, sender_id: int) -> None:
        digest = self.replicas[receiver_id].digest()
        self.replicas[sender_id].is_behind(digest)
        deltas = self.replicas[sender_id].deltas_for(self.now, digest, self.rng.choice([1, 5, 50]))
        self.pending += [(receiver_id, delta) for delta in deltas]

    def deliver_all(self) -> None:
        for _ in range(60):
            for receiver_id in range(REPLICA_COUNT):
                for sender_id in range(REPLICA_COUNT):
                    if receiver_id != sender_id:
                        self.send_missing(receiver_id, sender_id)
                        while self.pending:
                            pending_receiver_id, delta = self.pending.pop(0)
                            self.replicas[pending_receiver_id].apply(self.now, delta)

    def snapshot(self, holder_id: int) -> dict[Any, Any]:
        """Return version and value by row type, row id and origin."""
        rows = {}
        for row_type in "ab":
            for row_id, readings in self.replicas[holder_id].readings(self.now, row_type).items():
                for reading in readings:
                    rows[row_type, row_id, reading.origin_id] = (reading.version, reading.value)
        return rows


OPERATIONS = [
    *["put"] * 3,
    "delete",
    *["request"] * 3,
    *["deliver"] * 3,
    "duplicate",
    "lose",
    "restart",
]


@pytest.mark.parametrize("max_deletions", [0, 2, 100])
@pytest.mark.parametrize("first", range(0, 60, 20))
def test_replicas_converge_after_loss_duplication_reordering_and_restarts(
    max_deletions: int, first: int
) -> None:
    for seed in range(first, first + 20):
        check_convergence(seed, max_deletions)


def check_convergence(seed: int, max_deletions: int) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(origin_state, "MAX_DELETIONS", max_deletions)
        patch.setattr(replica_module, "MAX_ROWS_PER_DELTA", 2)
        group = ReplicaGroup(seed)
        for operation in group.rng.choices(OPERATIONS, k=150):
            group.step(operation)
        group.deliver_all()
        snapshots = [group.snapshot(holder_id) for holder_id in range(REPLICA_COUNT)]
        assert all(snapshot == snapshots[0] for snapshot in snapshots)
        for origin_id, replica in enumerate(group.replicas):
            # The rows held of each origin are those that it wrote itself.
            state = replica.origin_states[origin_id]
            written = {key: row.value for key, row in state.rows.items()}
            held = {key[:2]: value for key, (_, value) in snapshots[0].items() if key[2] == origin_id}
            assert held == written
            assert len(state.deletions) <= max_deletions


def test_delayed_delta_of_earlier_incarnation_is_ignored() -> None:
    earlier, current, receiver = Replica(0, 1, 2), Replica(0, 2, 2), Replica(1, 1, 2)
    for replica, value in ((earlier, 1.0), (current, 2.0)):
        for row_id in range(3):
            replica.put(0.0, "a", row_id, (value,))
    delayed_deltas = earlier.deltas_for(0.0, [], 10)
    assert [receiver.apply(1.0, delta) for delta in current.deltas_for(0.0, [], 10)] == [True]
    assert [receiver.apply(1.0, delta) for delta in delayed_deltas] == [False]
    values = {reading.value for rows in receiver.readings(1.0, "a").values() for reading in rows}
    assert values == {(2.0,)}

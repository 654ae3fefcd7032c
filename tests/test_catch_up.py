"""Sending of deltas, selection of the peer to request rows from, and catch-up of a starting assigner."""

from __future__ import annotations

from typing import Any

import pytest

from puffintide.protocol.messages import (
    ReplicationDelta,
    ReplicaVersion,
)
from puffintide.replication import replica as replica_module
from puffintide.replication.catch_up import (
    MAX_BURST_ROWS,
    CatchUp,
    DeltaSender,
    SourceSelector,
    keeps_current_stream,
)
from puffintide.replication.replica import Replica


class SimulatedNetwork:
    """Replicas with their senders and source selectors on a network with a delay of 20 ms.

    A dropped path loses every message in one direction. Replica 0 starts empty; the others hold all rows.
    """

    def __init__(self, replica_count: int, rows_per_origin: int, rows_per_s: float) -> None:
        self.replicas = [
            Replica(origin_id, 1, replica_count, origin_id) for origin_id in range(replica_count)
        ]
        for origin_id, replica in enumerate(self.replicas[1:], 1):
            # Each row is written twice, so that its first value is obsolete.
            for row_id in [*range(rows_per_origin), *range(rows_per_origin)]:
                replica.put(0.0, "a", row_id, (float(origin_id),))
        for replica in self.replicas[1:]:
            for other in self.replicas[1:]:
                for delta in other.deltas_for(0.0, replica.digest(), 10**6):
                    replica.apply(0.0, delta)
        self.now = 0.0
        self.in_transit = list[tuple[float, int, int, Any]]()  # Arrival time, sender, receiver and message.
        self.selectors = [SourceSelector(replica_count) for _ in self.replicas]
        self.senders = {
            (sender_id, receiver_id): DeltaSender(rows_per_s)
            for sender_id in range(replica_count)
            for receiver_id in range(replica_count)
            if sender_id != receiver_id
        }
        self.next_send_at: dict[tuple[int, int], float] = {}
        self.dropped_paths: set[tuple[int, int]] = set()
        self.sent_rows: dict[int, int] = dict.fromkeys(range(replica_count), 0)  # Number of rows by sender.
        self.max_rows_per_message = 0

    def send(self, sender_id: int, receiver_id: int, message: Any) -> None:
        if isinstance(message, ReplicationDelta):
            self.sent_rows[sender_id] += len(message.rows)
            self.max_rows_per_message = max(self.max_rows_per_message, len(message.rows))
        if (sender_id, receiver_id) not in self.dropped_paths:
            self.in_transit.append((self.now + 0.02, sender_id, receiver_id, message))

    def run(self, until: float) -> None:
        while self.now < until:
            is_digest_due = round(self.now * 100) % 50 == 0
            for sender_id, receiver_id in self.senders:
                if is_digest_due:
                    digest = self.selectors[sender_id].digest_for(
                        self.now, receiver_id, self.replicas[sender_id]
                    )
                    self.send(sender_id, receiver_id, digest)
                if self.next_send_at.get((sender_id, receiver_id), 9e9) <= self.now:
                    self.send_deltas(sender_id, receiver_id)
            for arrival in [entry for entry in self.in_transit if entry[0] <= self.now]:
                self.in_transit.remove(arrival)
                _, sender_id, receiver_id, message = arrival
                if isinstance(message, ReplicationDelta):
                    self.replicas[receiver_id].apply(self.now, message)
                else:
                    self.selectors[receiver_id].on_digest(sender_id, message)
                    self.senders[receiver_id, sender_id].on_digest(self.now, message)
                    if (receiver_id, sender_id) not in self.next_send_at:
                        self.send_deltas(receiver_id, sender_id)
            self.now = round(self.now + 0.01, 2)

    def send_deltas(self, sender_id: int, receiver_id: int) -> None:
        self.next_send_at.pop((sender_id, receiver_id), None)
        deltas, delay_s = self.senders[sender_id, receiver_id].next_deltas(self.now, self.replicas[sender_id])
        for delta in deltas:
            self.send(sender_id, receiver_id, delta)
        if delay_s is not None:
            self.next_send_at[sender_id, receiver_id] = self.now + max(0.01, delay_s)


@pytest.mark.parametrize(
    "dropped_paths",
    [set(), {(2, 0)}, {(1, 0), (2, 0)}],
    ids=["no path dropped", "one path dropped", "two paths dropped"],
)
def test_starting_assigner_is_sent_each_row_about_once_within_the_rate_limit(
    dropped_paths: set[tuple[int, int]],
) -> None:
    network = SimulatedNetwork(4, 3000, 4000.0)
    # The starting assigner knows the digest of one peer; those of the others arrive later.
    network.selectors[0].on_digest(1, network.replicas[1].digest())
    network.dropped_paths = dropped_paths
    network.run(0.5)
    assert 0 < sum(network.sent_rows.values()) <= 3 * (4000 * 0.5 + MAX_BURST_ROWS)
    network.run(9.0)
    assert network.replicas[0].row_count() == 9000
    # Rows are sent more than once before all digests have arrived, and if a source never answers.
    max_sends_per_row = 2 if dropped_paths else 1.35
    assert sum(network.sent_rows.values()) <= max_sends_per_row * 9000 + len(dropped_paths) * 9000
    assert network.max_rows_per_message <= replica_module.MAX_ROWS_PER_DELTA


def test_sender_observes_its_rate_limit_and_resends_rows_that_were_not_received() -> None:
    complete, empty, sender = Replica(0, 1, 2), Replica(1, 1, 2), DeltaSender(1000.0)
    for row_id in range(5000):
        complete.put(0.0, "a", row_id, (1.0,))
    sender.on_digest(0.0, empty.digest())
    sent_rows, now, lost_deltas = 0, 0.0, []
    while now < 2.0:
        deltas, delay_s = sender.next_deltas(now, complete)
        sent_rows += sum(len(delta.rows) for delta in deltas)
        assert sent_rows <= 1000 * now + MAX_BURST_ROWS
        assert sum(len(delta.rows) for delta in deltas) <= MAX_BURST_ROWS
        lost_deltas += deltas  # No delta arrives.
        sender.on_digest(now, empty.digest())
        now += delay_s if delay_s is not None else 0.1
    sequences = [row.sequence for delta in lost_deltas for row in delta.rows]
    assert len(sequences) == len(set(sequences)) > 2000
    assert empty.row_count() == 0
    now += 2.5
    sender.on_digest(now, empty.digest())  # The peer still holds no rows.
    assert sender.next_deltas(now, complete)[0][0].after_sequence == 0


def test_versions_of_unknown_origins_are_not_passed_on() -> None:
    selector, replica = SourceSelector(3), Replica(0, 1, 3)
    selector.on_digest(1, [ReplicaVersion(99, 1, 7), ReplicaVersion(2, 1, 7)])
    # The rows of origin 2 are requested from peer 1, so the digest for peer 2 states them as received.
    sequences = {version.origin_id: version.sequence for version in selector.digest_for(0.0, 2, replica)}
    assert sequences == {0: 0, 2: 7}
    assert {version.origin_id for version in selector.digest_for(0.0, 1, replica)} == {0}


CATCH_UP_CASES: list[tuple[str, list[tuple[Any, ...]], bool]] = [
    ("no digest received", [], False),
    ("caught up with all", [("on_digest", 0, False), ("on_digest", 1, False), ("on_digest", 2, False)], True),
    (
        "behind one peer",
        [("on_digest", 0, False), ("on_digest", 1, True), ("on_digest", 2, False)],
        False,
    ),
    (
        "one peer sent no digest",
        [("on_digest", 0, False), ("on_digest", 1, False), ("on_peer_connected", 2)],
        False,
    ),
    (
        "one peer unreachable",
        [("on_digest", 0, False), ("on_digest", 1, False), ("on_peer_disconnected", 2)],
        True,
    ),
    (
        "all peers unreachable",
        [("on_peer_disconnected", 0), ("on_peer_disconnected", 1), ("on_peer_disconnected", 2)],
        False,
    ),
    (
        "one peer reconnected and sent no digest",
        [
            ("on_digest", 0, False),
            ("on_peer_disconnected", 1),
            ("on_peer_disconnected", 2),
            ("on_peer_connected", 2),
        ],
        False,
    ),
]


@pytest.mark.parametrize(
    ("steps", "expected"), [case[1:] for case in CATCH_UP_CASES], ids=[case[0] for case in CATCH_UP_CASES]
)
def test_catch_up_is_complete_when_level_with_all_reachable_peers(
    steps: list[tuple[Any, ...]], expected: bool
) -> None:
    catch_up = CatchUp([0, 1, 2])
    for method, *arguments in steps:
        getattr(catch_up, method)(*arguments)
    assert catch_up.is_complete() is expected


def test_both_ends_keep_the_same_of_two_streams() -> None:
    """Either stream may be the first at either end."""
    for first, second in ((1, 1), (1, 2), (2, 1)):  # Incarnation of the peer on each of the two streams.
        for opened_by_lower_id in ((True, False), (False, True)):
            incarnations = {True: first, False: second}
            keeps_a_if_a_is_first = keeps_current_stream(
                incarnations[opened_by_lower_id[0]],
                incarnations[opened_by_lower_id[1]],
                opened_by_lower_id[1],
            )
            keeps_b_if_b_is_first = keeps_current_stream(
                incarnations[opened_by_lower_id[1]],
                incarnations[opened_by_lower_id[0]],
                opened_by_lower_id[0],
            )
            if first == second:
                assert keeps_a_if_a_is_first != keeps_b_if_b_is_first  # Both ends keep the same stream.

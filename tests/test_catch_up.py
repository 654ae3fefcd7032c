"""What is sent to a peer, which peer is asked, when an assigner has caught up."""

from __future__ import annotations

from typing import Any

import pytest

from puffintide.protocol.messages import (
    ReplicationDelta,
    ReplicaVersion,
)
from puffintide.replication import replica as core
from puffintide.replication.catch_up import (
    MAX_BURST_ROWS,
    CatchUp,
    DeltaSender,
    SourceSelector,
    keeps_current_stream,
)
from puffintide.replication.replica import Replica


class Net:
    """Replicas with what decides on what is sent; streams that deliver 20 ms later, or drop all one way."""

    def __init__(self, count: int, rows: int, rate: float) -> None:
        self.nodes = [Replica(k, 1, count, k) for k in range(count)]
        for k, node in enumerate(self.nodes[1:], 1):
            for number in [
                *range(rows),
                *range(rows),
            ]:  # each changed once: the first value is obsolete
                node.put(0.0, "a", number, (float(k),))
        for node in self.nodes[1:]:
            for other in self.nodes[1:]:
                for piece in other.deltas_for(0.0, node.digest(), 10**6):
                    node.apply(0.0, piece)
        self.now, self.rate, self.wire = 0.0, rate, list[tuple[float, int, int, Any]]()
        self.sources = [SourceSelector(count) for _ in self.nodes]
        self.senders = {(a, b): DeltaSender(rate) for a in range(count) for b in range(count) if a != b}
        self.next_send_at: dict[tuple[int, int], float] = {}
        self.dropped_paths: set[tuple[int, int]] = set()
        self.sent: dict[int, int] = dict.fromkeys(range(count), 0)  # rows, by who sent
        self.max_rows = 0  # rows in one message

    def send(self, a: int, b: int, message: Any) -> None:
        if isinstance(message, ReplicationDelta):
            self.sent[a] += len(message.rows)
            self.max_rows = max(self.max_rows, len(message.rows))
        if (a, b) not in self.dropped_paths:
            self.wire.append((self.now + 0.02, a, b, message))

    def run(self, until: float) -> None:
        while self.now < until:
            is_heartbeat = round(self.now * 100) % 50 == 0
            for a, b in self.senders:
                if is_heartbeat:
                    self.send(a, b, self.sources[a].digest_for(self.now, b, self.nodes[a]))
                if self.next_send_at.get((a, b), 9e9) <= self.now:
                    self.serve(a, b)
            for row in [r for r in self.wire if r[0] <= self.now]:
                self.wire.remove(row)
                _, a, b, message = row
                if isinstance(message, ReplicationDelta):
                    self.nodes[b].apply(self.now, message)
                else:
                    self.sources[b].on_digest(a, message)
                    self.senders[b, a].on_digest(self.now, message)
                    if (b, a) not in self.next_send_at:
                        self.serve(b, a)
            self.now = round(self.now + 0.01, 2)

    def serve(self, a: int, b: int) -> None:
        self.next_send_at.pop((a, b), None)
        pieces, wait = self.senders[a, b].next_deltas(self.now, self.nodes[a])
        for piece in pieces:
            self.send(a, b, piece)
        if wait is not None:
            self.next_send_at[a, b] = self.now + max(0.01, wait)


@pytest.mark.parametrize(
    "dropped_paths",
    [set(), {(2, 0)}, {(1, 0), (2, 0)}],
    ids=["no path dropped", "one path dropped", "two paths dropped"],
)
def test_starting_assigner_is_sent_each_row_about_once_within_the_rate(
    dropped_paths: set[tuple[int, int]],
) -> None:
    net = Net(4, 3000, 4000.0)
    net.sources[0].on_digest(
        1, net.nodes[1].digest()
    )  # it is connected to one; the others follow with their digests
    net.dropped_paths = dropped_paths
    net.run(0.5)
    assert 0 < sum(net.sent.values()) <= 3 * (4000 * 0.5 + MAX_BURST_ROWS)
    net.run(9.0)
    assert net.nodes[0].row_count() == 9000
    twice = (
        2 if dropped_paths else 1.35
    )  # rows sent before all digests arrive, and where a source never answered
    assert sum(net.sent.values()) <= twice * 9000 + len(dropped_paths) * 9000
    assert net.max_rows <= core.MAX_ROWS_PER_DELTA


def test_sender_keeps_its_rate_and_resends_what_was_not_received() -> None:
    complete, new, sender = Replica(0, 1, 2), Replica(1, 1, 2), DeltaSender(1000.0)
    for number in range(5000):
        complete.put(0.0, "a", number, (1.0,))
    sender.on_digest(0.0, new.digest())
    rows, now, dropped = 0, 0.0, []
    while now < 2.0:
        pieces, wait = sender.next_deltas(now, complete)
        rows += sum(len(p.rows) for p in pieces)
        assert rows <= 1000 * now + MAX_BURST_ROWS
        assert sum(len(p.rows) for p in pieces) <= MAX_BURST_ROWS
        dropped += pieces  # none arrives
        sender.on_digest(now, new.digest())
        now += wait if wait is not None else 0.1
    seqs = [row.sequence for piece in dropped for row in piece.rows]
    assert len(seqs) == len(set(seqs)) > 2000
    assert new.row_count() == 0
    now += 2.5
    sender.on_digest(now, new.digest())  # it still has nothing
    assert sender.next_deltas(now, complete)[0][0].after_sequence == 0


def test_versions_of_unknown_origins_are_not_passed_on() -> None:
    sources, node = SourceSelector(3), Replica(0, 1, 3)
    sources.on_digest(1, [ReplicaVersion(99, 1, 7), ReplicaVersion(2, 1, 7)])
    assert {v.origin_id: v.sequence for v in sources.digest_for(0.0, 2, node)} == {
        0: 0,
        2: 7,
    }  # asked of 1, so not of 2
    assert {v.origin_id for v in sources.digest_for(0.0, 1, node)} == {0}


CATCHING: list[tuple[str, list[tuple[Any, ...]], bool]] = [
    ("nobody told", [], False),
    ("all level", [("on_digest", 0, False), ("on_digest", 1, False), ("on_digest", 2, False)], True),
    (
        "one lacks us something",
        [("on_digest", 0, False), ("on_digest", 1, True), ("on_digest", 2, False)],
        False,
    ),
    ("one silent", [("on_digest", 0, False), ("on_digest", 1, False), ("on_peer_connected", 2)], False),
    (
        "one out of reach",
        [("on_digest", 0, False), ("on_digest", 1, False), ("on_peer_disconnected", 2)],
        True,
    ),
    (
        "all out of reach",
        [("on_peer_disconnected", 0), ("on_peer_disconnected", 1), ("on_peer_disconnected", 2)],
        False,
    ),
    (
        "back, and knows more",
        [
            ("on_digest", 0, False),
            ("on_peer_disconnected", 1),
            ("on_peer_disconnected", 2),
            ("on_peer_connected", 2),
        ],
        False,
    ),
]


@pytest.mark.parametrize(("steps", "expected"), [c[1:] for c in CATCHING], ids=[c[0] for c in CATCHING])
def test_catch_up_is_complete_when_all_reachable_peers_are_level(
    steps: list[tuple[Any, ...]], expected: bool
) -> None:
    found = CatchUp([0, 1, 2])
    for what, *words in steps:
        getattr(found, what)(*words)
    assert found.is_complete() is expected


def test_both_ends_retain_the_same_of_two_streams() -> None:
    """Whichever comes first at either end, in any incarnations of the two."""
    for first, second in ((1, 1), (1, 2), (2, 1)):  # incarnation of the one that connects, on each stream
        for by_lower in ((True, False), (False, True)):
            incarnations = {True: first, False: second}
            a_then_b = keeps_current_stream(incarnations[by_lower[0]], incarnations[by_lower[1]], by_lower[1])
            b_then_a = keeps_current_stream(incarnations[by_lower[1]], incarnations[by_lower[0]], by_lower[0])
            if first == second:
                assert a_then_b != b_then_a  # the first is retained here and closed there: the same one

"""Replicas converge whatever the order, loss, duplication and restarts."""

from __future__ import annotations

import random
from typing import Any

import pytest

from puffintide.protocol.messages import (
    ReplicationDelta,
)
from puffintide.replication import origin_state
from puffintide.replication import replica as core
from puffintide.replication.replica import Replica

COUNT = 4


class Group:
    """Replicas whose messages wait in a bag until they are delivered, duplicated or lost."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.now = 0.0
        self.nodes = [self.new(k) for k in range(COUNT)]
        self.bag: list[tuple[int, ReplicationDelta]] = []

    def new(self, k: int) -> Replica:
        return Replica(k, 1, COUNT, self.draw.getrandbits(core.NONCE_BITS))

    def step(self, what: str) -> None:
        self.now += self.draw.random()
        k, other = self.draw.sample(range(COUNT), 2)
        node = self.nodes[k]
        match what:
            case "put":
                for _ in range(3):
                    number = self.draw.randrange(12)
                    node.put(self.now, self.draw.choice("ab"), number, (float(self.draw.randrange(100)),))
            case "drop":
                for kind, number in self.draw.sample(
                    sorted(node.origin_states[k].rows), min(2, len(node.origin_states[k].rows))
                ):
                    node.delete(kind, number)
            case "ask":
                self.send_missing(k, other)
            case "deliver" if self.bag:
                to, piece = self.bag.pop(self.draw.randrange(len(self.bag)))
                self.nodes[to].apply(self.now, piece)
            case "double" if self.bag:
                self.bag.append(self.draw.choice(self.bag))
            case "lose" if self.bag:
                self.bag.pop(self.draw.randrange(len(self.bag)))
            case "restart":  # without state, under an incarnation that was used before
                self.nodes[k] = self.new(k)

    def send_missing(self, k: int, other: int) -> None:
        digest = self.nodes[k].digest()
        self.nodes[other].is_behind(digest)
        self.bag += [
            (k, p) for p in self.nodes[other].deltas_for(self.now, digest, self.draw.choice([1, 5, 50]))
        ]

    def heal(self) -> None:
        for _ in range(60):
            for k in range(COUNT):
                for other in range(COUNT):
                    if k != other:
                        self.send_missing(k, other)
                        while self.bag:
                            to, piece = self.bag.pop(0)
                            self.nodes[to].apply(self.now, piece)

    def picture(self, k: int) -> dict[Any, Any]:
        found = {}
        for kind in "ab":
            for number, rows in self.nodes[k].readings(self.now, kind).items():
                for r in rows:
                    found[kind, number, r.origin_id] = (r.version, r.value)
        return found


WORDS = [*["put"] * 3, "drop", *["ask"] * 3, *["deliver"] * 3, "double", "lose", "restart"]


@pytest.mark.parametrize("max_deletions", [0, 2, 100])
@pytest.mark.parametrize("first", range(0, 60, 20))
def test_replicas_converge_after_loss_duplication_reordering_and_restarts(
    max_deletions: int, first: int
) -> None:
    for seed in range(first, first + 20):
        one_history(seed, max_deletions)


def one_history(seed: int, max_deletions: int) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(origin_state, "MAX_DELETIONS", max_deletions)
        patch.setattr(core, "MAX_ROWS_PER_DELTA", 2)
        group = Group(seed)
        for word in group.draw.choices(WORDS, k=150):
            group.step(word)
        group.heal()
        pictures = [group.picture(k) for k in range(COUNT)]
        assert all(picture == pictures[0] for picture in pictures)
        for k, node in enumerate(group.nodes):  # what is held of each is what it wrote itself
            own = {key: row.value for key, row in node.origin_states[k].rows.items()}
            assert {key[:2]: value for key, (_, value) in pictures[0].items() if key[2] == k} == own
            assert len(node.origin_states[k].deletions) <= max_deletions


def test_delayed_delta_of_earlier_incarnation_is_ignored() -> None:
    former, present, other = Replica(0, 1, 2), Replica(0, 2, 2), Replica(1, 1, 2)
    for node, value in ((former, 1.0), (present, 2.0)):
        for number in range(3):
            node.put(0.0, "a", number, (value,))
    delayed = former.deltas_for(0.0, [], 10)
    assert [other.apply(1.0, piece) for piece in present.deltas_for(0.0, [], 10)] == [True]
    assert [other.apply(1.0, piece) for piece in delayed] == [False]
    assert {r.value for rows in other.readings(1.0, "a").values() for r in rows} == {(2.0,)}

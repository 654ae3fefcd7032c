"""Load balancing: slices of keys, and picks by weight."""

from __future__ import annotations

import random
from collections import Counter as Tally
from typing import Any

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from puffintide.proxy.load_balancing import WeightedRandom, WeightedRoundRobin, slice_for_key


def test_a_key_maps_to_the_slice_of_the_xxhash_reference() -> None:
    # xxh64, seed 0, of 8 bytes little-endian: from the algorithm's own reference implementation.
    assert slice_for_key(0, 1 << 64) == 0x34C96ACDCADB1BBB
    assert slice_for_key(b"\x00" * 8, 97) == slice_for_key(0, 97)
    assert slice_for_key(b"", 1 << 64) == 0xEF46DB3751D8E999


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("how", ["rotate", "random"])
def test_picks_over_a_hundred_thousand_requests_match_the_weights(how: str, seed: int) -> None:
    rng = random.Random(seed)
    weights = {s: rng.choice((0.5, 1.0, 1.0, 2.0, 3.5)) for s in range(12)}
    balancer = WeightedRoundRobin(rng.random) if how == "rotate" else WeightedRandom(rng.random)
    balancer.set_weights(weights)
    count = 100_000
    tally = Tally(balancer.pick() for _ in range(count))
    expected_share = {s: count * w / sum(weights.values()) for s, w in weights.items()}
    assert all(abs(tally[s] / expected_share[s] - 1) < (0.0005 if how == "rotate" else 0.05) for s in weights)
    if how == "random":  # chi-square beside what chance allows: 11 degrees of freedom, one in a million
        assert sum((tally[s] - expected_share[s]) ** 2 / expected_share[s] for s in weights) < 51


def test_picks_follow_weights_that_change_ten_times_a_second() -> None:
    rng = random.Random(3)
    balancer = WeightedRoundRobin(rng.random)
    expected: Tally[int] = Tally()
    tally: Tally[int] = Tally()
    for _ in range(1000):  # changes; a hundred requests between two
        weights = {s: rng.choice((0.004, 1.0, 2.0)) for s in rng.sample(range(8), rng.randint(1, 8))}
        balancer.set_weights(weights)
        for _ in range(100):
            server = balancer.pick()
            assert server in weights
            tally[server] += 1
        for s, w in weights.items():
            expected[s] += 100 * w / sum(weights.values())  # type: ignore[assignment]
    assert all(abs(tally[s] / expected[s] - 1) < 0.02 for s in range(8))


def test_proxies_with_equal_tables_do_not_start_with_the_same_server() -> None:
    first = Tally()  # type: Tally[Any]
    for proxy in range(400):
        balancer = WeightedRoundRobin(random.Random(proxy).random)
        balancer.set_weights(dict.fromkeys(range(4), 1.0))
        first[balancer.pick()] += 1
    assert all(60 < first[s] < 140 for s in range(4))


@given(
    st.dictionaries(st.integers(0, 9), st.sampled_from((0.004, 0.5, 1.0, 4.0)), max_size=8),
    st.frozensets(st.integers(0, 9)),
    st.integers(0, 999),
    st.booleans(),
)
def test_a_pick_avoids_servers_only_if_there_are_others(
    weights: dict[int, float], avoid: frozenset[int], seed: int, round_robin: bool
) -> None:
    rng = random.Random(seed)
    balancer = WeightedRoundRobin(rng.random) if round_robin else WeightedRandom(rng.random)
    balancer.set_weights(weights)
    for _ in range(30):
        server = balancer.pick(avoid)
        allowed = set(weights) - avoid or set(weights)
        assert (server in allowed) if allowed else server is None


def test_two_choices_pick_the_server_with_fewer_requests_in_flight() -> None:
    busy = {0: 5, 1: 0}
    balancer = WeightedRandom(random.Random(1).random, lambda s: busy[s])
    balancer.set_weights({0: 1.0, 1: 1.0})
    tally = Tally(balancer.pick() for _ in range(4000))
    assert 0.7 < tally[1] / 4000 < 0.8  # all but the quarter where both draws are server 0


def test_a_pick_compares_few_servers_of_many() -> None:
    """Operations, not time: a pick touches the heap, never all lines."""
    balancer = WeightedRoundRobin(random.Random(1).random)
    balancer.set_weights(dict.fromkeys(range(1024), 1.0))
    seen: list[int] = []

    class Watched(float):
        def __lt__(self, other: Any) -> bool:
            seen.append(1)
            return float.__lt__(self, other)

    balancer._heap = [(Watched(turn), s) for turn, s in balancer._heap]
    for _ in range(200):
        balancer.pick()
    assert len(seen) < 200 * 30
    assert np.isfinite(balancer._virtual_time)

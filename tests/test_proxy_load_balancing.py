"""Tests of key mapping and of weighted server selection."""

from __future__ import annotations

import random
from collections import Counter as Tally
from typing import Any

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from puffintide.proxy.load_balancing import WeightedRandom, WeightedRoundRobin, slice_for_key


def test_slice_for_key_matches_xxhash_reference() -> None:
    # Expected values: xxh64 with seed 0 of 8 little-endian bytes, from the xxHash reference implementation.
    assert slice_for_key(0, 1 << 64) == 0x34C96ACDCADB1BBB
    assert slice_for_key(b"\x00" * 8, 97) == slice_for_key(0, 97)
    assert slice_for_key(b"", 1 << 64) == 0xEF46DB3751D8E999


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("policy", ["rotate", "random"])
def test_picks_over_100000_requests_match_weights(policy: str, seed: int) -> None:
    rng = random.Random(seed)
    weights = {s: rng.choice((0.5, 1.0, 1.0, 2.0, 3.5)) for s in range(12)}
    balancer = WeightedRoundRobin(rng.random) if policy == "rotate" else WeightedRandom(rng.random)
    balancer.set_weights(weights)
    count = 100_000
    picks = Tally(balancer.pick() for _ in range(count))
    expected_picks = {s: count * w / sum(weights.values()) for s, w in weights.items()}
    tolerance = 0.0005 if policy == "rotate" else 0.05
    assert all(abs(picks[s] / expected_picks[s] - 1) < tolerance for s in weights)
    if policy == "random":
        # Chi-square test with 11 degrees of freedom; chance exceeds the bound once in a million.
        assert sum((picks[s] - expected_picks[s]) ** 2 / expected_picks[s] for s in weights) < 51


def test_picks_follow_frequent_weight_changes() -> None:
    rng = random.Random(3)
    balancer = WeightedRoundRobin(rng.random)
    expected: Tally[int] = Tally()
    picks: Tally[int] = Tally()
    for _ in range(1000):  # Weight changes, ten a second, with 100 requests after each.
        weights = {s: rng.choice((0.004, 1.0, 2.0)) for s in rng.sample(range(8), rng.randint(1, 8))}
        balancer.set_weights(weights)
        for _ in range(100):
            server = balancer.pick()
            assert server in weights
            picks[server] += 1
        for s, w in weights.items():
            expected[s] += 100 * w / sum(weights.values())  # type: ignore[assignment]
    assert all(abs(picks[s] / expected[s] - 1) < 0.02 for s in range(8))


def test_proxies_with_equal_tables_do_not_all_start_with_same_server() -> None:
    first_picks = Tally()  # type: Tally[Any]
    for proxy in range(400):
        balancer = WeightedRoundRobin(random.Random(proxy).random)
        balancer.set_weights(dict.fromkeys(range(4), 1.0))
        first_picks[balancer.pick()] += 1
    assert all(60 < first_picks[s] < 140 for s in range(4))


@given(
    st.dictionaries(st.integers(0, 9), st.sampled_from((0.004, 0.5, 1.0, 4.0)), max_size=8),
    st.frozensets(st.integers(0, 9)),
    st.integers(0, 999),
    st.booleans(),
)
def test_pick_returns_avoided_server_only_if_there_is_no_other(
    weights: dict[int, float], avoid: frozenset[int], seed: int, round_robin: bool
) -> None:
    rng = random.Random(seed)
    balancer = WeightedRoundRobin(rng.random) if round_robin else WeightedRandom(rng.random)
    balancer.set_weights(weights)
    for _ in range(30):
        server = balancer.pick(avoid)
        allowed = set(weights) - avoid or set(weights)
        assert (server in allowed) if allowed else server is None


def test_two_random_choices_prefer_server_with_fewer_requests_in_flight() -> None:
    in_flight = {0: 5, 1: 0}
    balancer = WeightedRandom(random.Random(1).random, lambda s: in_flight[s])
    balancer.set_weights({0: 1.0, 1: 1.0})
    picks = Tally(balancer.pick() for _ in range(4000))
    assert 0.7 < picks[1] / 4000 < 0.8  # Both draws are server 0 in a quarter of the picks.


def test_pick_compares_few_of_many_servers() -> None:
    """Count heap comparisons instead of time: a pick never scans all servers."""
    balancer = WeightedRoundRobin(random.Random(1).random)
    balancer.set_weights(dict.fromkeys(range(1024), 1.0))
    comparisons: list[int] = []

    class CountingFloat(float):
        def __lt__(self, other: Any) -> bool:
            comparisons.append(1)
            return float.__lt__(self, other)

    balancer._heap = [(CountingFloat(pass_value), s) for pass_value, s in balancer._heap]
    for _ in range(200):
        balancer.pick()
    assert len(comparisons) < 200 * 30
    assert np.isfinite(balancer._virtual_time)

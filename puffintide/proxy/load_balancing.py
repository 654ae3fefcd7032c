"""Load balancing: which slice a key belongs to, and which server of a weight table takes the next request.

No I/O, no clock and no health: a balancer spreads requests by weight over the servers that it was given.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections.abc import Callable, Mapping
from itertools import accumulate
from typing import Protocol

import xxhash

Random = Callable[[], float]  # uniform in [0, 1)
KEY_BYTES = 8
NO_SERVERS: frozenset[int] = frozenset()


def slice_for_key(key: int | bytes, slice_count: int) -> int:
    """The slice of a key: xxh64 with seed 0 of its bytes, modulo the slices.

    An integer counts as its 8 bytes, little-endian. The mapping is the same in every language that has xxHash, and
    does not change between versions.
    """
    data = key.to_bytes(KEY_BYTES, "little") if isinstance(key, int) else key
    return int(xxhash.xxh64_intdigest(data)) % slice_count


class LoadBalancer(Protocol):
    """Picks the server of the next request by weight."""

    def set_weights(self, weights: Mapping[int, float]) -> None:
        """Replace all weights; each is above 0."""

    def pick(self, avoid: frozenset[int] = NO_SERVERS) -> int | None:
        """The next server, one of `avoid` only if there is no other; None if there is no server."""


class WeightedRoundRobin:
    """Stride scheduling: each server's next turn follows its last by the inverse of its weight.

    Deterministic, O(log n) a pick, and within one request of the exact proportions for two servers. Each server
    starts at a random point of its own turn, so that proxies with equal tables don't all start with the same one.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._weights: dict[int, float] = {}
        self._heap: list[tuple[float, int]] = []  # (virtual time of the next turn, server)
        self._virtual_time = 0.0

    def set_weights(self, weights: Mapping[int, float]) -> None:
        """Replace all weights; a server that remains keeps its position within its turn."""
        turns = {server_id: turn for turn, server_id in self._heap}
        heap = []
        for server_id, weight in sorted(weights.items()):
            old_weight = self._weights.get(server_id)
            if old_weight is None:
                heap.append((self._virtual_time + self._random() / weight, server_id))
            else:
                remaining_part = max(0.0, turns[server_id] - self._virtual_time) * old_weight
                heap.append((self._virtual_time + remaining_part / weight, server_id))
        heapq.heapify(heap)
        self._heap = heap
        self._weights = dict(weights)

    def pick(self, avoid: frozenset[int] = NO_SERVERS) -> int | None:
        """The server with the earliest turn, one of `avoid` only if there is no other."""
        skipped: list[tuple[float, int]] = []
        while self._heap and self._heap[0][1] in avoid:
            skipped.append(heapq.heappop(self._heap))
        if not self._heap:
            self._heap = skipped
            heapq.heapify(self._heap)
            skipped = []
        if not self._heap:
            return None
        turn, server_id = self._heap[0]
        if not skipped:
            self._virtual_time = max(self._virtual_time, turn)
        heapq.heapreplace(self._heap, (turn + 1 / self._weights[server_id], server_id))
        for skipped_turn, skipped_id in skipped:
            # A skipped server must not save up turns, or it would get a burst on its return.
            heapq.heappush(self._heap, (max(skipped_turn, turn), skipped_id))
        return server_id


class WeightedRandom:
    """Random by weight; with `in_flight` the better of two random choices (fewer requests in flight)."""

    def __init__(self, random: Random, in_flight: Callable[[int], int] | None = None) -> None:
        self._random = random
        self._in_flight = in_flight
        self._servers: list[int] = []
        self._cumulative_weights: list[float] = []

    def set_weights(self, weights: Mapping[int, float]) -> None:
        """Replace all weights."""
        self._servers = sorted(weights)
        self._cumulative_weights = list(accumulate(weights[server_id] for server_id in self._servers))

    def pick(self, avoid: frozenset[int] = NO_SERVERS) -> int | None:
        """A random server, one of `avoid` only if there is no other."""
        if not self._servers:
            return None
        if avoid and not avoid.isdisjoint(self._servers):
            return self._pick_avoiding(avoid)
        first = self._pick_any()
        if self._in_flight is None:
            return first
        second = self._pick_any()
        return second if self._in_flight(second) < self._in_flight(first) else first

    def _pick_any(self) -> int:
        target = self._random() * self._cumulative_weights[-1]
        index = bisect_right(self._cumulative_weights, target)
        return self._servers[min(index, len(self._servers) - 1)]

    def _pick_avoiding(self, avoid: frozenset[int]) -> int:
        lower_bounds = [0.0, *self._cumulative_weights[:-1]]
        bounds = zip(self._servers, lower_bounds, self._cumulative_weights, strict=True)
        weights = {server_id: upper - lower for server_id, lower, upper in bounds}
        allowed = {server_id: w for server_id, w in weights.items() if server_id not in avoid} or weights
        remaining = self._random() * sum(allowed.values())
        for server_id, weight in sorted(allowed.items()):
            remaining -= weight
            if remaining < 0:
                return server_id
        return max(allowed)


def create_load_balancer(policy: str, random: Random, in_flight: Callable[[int], int]) -> LoadBalancer:
    """A balancer for a policy of the settings.

    Args:
        policy: "rotate" (round robin), "random", or "p2c" (the better of two random choices).
        random: Uniform random numbers in [0, 1).
        in_flight: Requests in flight at a server, for "p2c".
    """
    if policy == "rotate":
        return WeightedRoundRobin(random)
    return WeightedRandom(random, in_flight if policy == "p2c" else None)

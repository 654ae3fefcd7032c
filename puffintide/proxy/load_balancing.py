"""Load balancing: mapping of keys to slices, and weighted selection of servers.

This module does no I/O, reads no clock and tracks no server health. A balancer distributes requests by weight
over the servers that it was given.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections.abc import Callable, Mapping
from itertools import accumulate
from typing import Protocol

import xxhash

Random = Callable[[], float]  # Returns uniform random numbers in [0, 1).
KEY_BYTES = 8  # Size of an integer key.
NO_SERVERS: frozenset[int] = frozenset()


def slice_for_key(key: int | bytes, slice_count: int) -> int:
    """Return the slice of a key: the xxh64 hash of its bytes with seed 0, modulo the number of slices.

    An integer is hashed as 8 little-endian bytes. Every language with an xxHash library computes the same
    mapping, and it does not change between versions.
    """
    data = key.to_bytes(KEY_BYTES, "little") if isinstance(key, int) else key
    return int(xxhash.xxh64_intdigest(data)) % slice_count


class LoadBalancer(Protocol):
    """Picks a server for each request by weight."""

    def set_weights(self, weights: Mapping[int, float]) -> None:
        """Replace all weights; every weight must be above 0."""

    def pick(self, avoid: frozenset[int] = NO_SERVERS) -> int | None:
        """Return the next server, or None if there is none.

        Args:
            avoid: Servers that are picked only if there is no other.
        """


class WeightedRoundRobin:
    """Weighted round robin by stride scheduling.

    The server with the lowest pass value is picked, and its pass value advances by its stride, the inverse of
    its weight. Picks are deterministic and take O(log n). With two servers the picks stay within one request
    of the exact proportions. Each server starts at a random offset within its stride, so that proxies with
    equal tables do not all start with the same server.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._weights: dict[int, float] = {}
        self._heap: list[tuple[float, int]] = []  # Pairs of (pass value, server id).
        self._virtual_time = 0.0

    def set_weights(self, weights: Mapping[int, float]) -> None:
        """Replace all weights; a server that remains keeps its relative position within its stride."""
        pass_values = {server_id: pass_value for pass_value, server_id in self._heap}
        heap = []
        for server_id, weight in sorted(weights.items()):
            old_weight = self._weights.get(server_id)
            if old_weight is None:
                heap.append((self._virtual_time + self._random() / weight, server_id))
            else:
                remaining_fraction = max(0.0, pass_values[server_id] - self._virtual_time) * old_weight
                heap.append((self._virtual_time + remaining_fraction / weight, server_id))
        heapq.heapify(heap)
        self._heap = heap
        self._weights = dict(weights)

    def pick(self, avoid: frozenset[int] = NO_SERVERS) -> int | None:
        """Return the server with the lowest pass value, or None if there is no server.

        Args:
            avoid: Servers that are picked only if there is no other.
        """
        skipped: list[tuple[float, int]] = []
        while self._heap and self._heap[0][1] in avoid:
            skipped.append(heapq.heappop(self._heap))
        if not self._heap:
            self._heap = skipped
            heapq.heapify(self._heap)
            skipped = []
        if not self._heap:
            return None
        pass_value, server_id = self._heap[0]
        if not skipped:
            self._virtual_time = max(self._virtual_time, pass_value)
        heapq.heapreplace(self._heap, (pass_value + 1 / self._weights[server_id], server_id))
        for skipped_pass_value, skipped_id in skipped:
            # A skipped server must not fall behind in virtual time, or it would get a burst when it returns.
            heapq.heappush(self._heap, (max(skipped_pass_value, pass_value), skipped_id))
        return server_id


class WeightedRandom:
    """Weighted random selection, optionally the better of two random choices.

    Args:
        random: A source of uniform random numbers in [0, 1).
        in_flight: Returns the number of requests in flight at a server. If given, two servers are drawn, and
            the one with fewer requests in flight is picked.
    """

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
        """Return a random server, or None if there is no server.

        Args:
            avoid: Servers that are picked only if there is no other.
        """
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
    """Create the balancer of a load balancing policy.

    Args:
        policy: "rotate" (weighted round robin), "random" or "p2c" (the better of two random choices).
        random: A source of uniform random numbers in [0, 1).
        in_flight: Returns the number of requests in flight at a server; used by "p2c".
    """
    if policy == "rotate":
        return WeightedRoundRobin(random)
    return WeightedRandom(random, in_flight if policy == "p2c" else None)

"""Which server takes the next request of a table: evenly by weight, at O(log n) a pick. No health, no clock.

A key's slice is xxh64 with seed 0 of its bytes, modulo the slices; a whole number counts as its 8 bytes,
little-endian. That is the same in every language that has xxHash, and stays so between versions.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections.abc import Callable, Mapping
from itertools import accumulate

import xxhash


def slice_of(key: int | bytes, slices: int) -> int:
    data = key.to_bytes(8, "little") if isinstance(key, int) else key
    return int(xxhash.xxh64_intdigest(data)) % slices


class Rotation:
    """Evenly by weight without chance: each line's next turn is a weight's part after its last (stride scheduling).

    In any run of picks a line's count stays within one of its share for two lines, a few for many. Lines begin
    at a point of their own turn given by `draw`, so that many proxies with one table don't begin alike.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._weights: dict[int, float] = {}
        self._heap: list[tuple[float, int]] = []  # (next turn, server)
        self._now = 0.0

    def set(self, weights: Mapping[int, float]) -> None:
        """New weights, all above 0. A line that stays keeps its place in its turn."""
        places = {server: turn for turn, server in self._heap}
        heap = []
        for server, weight in sorted(weights.items()):
            old = self._weights.get(server)
            if old is None:
                heap.append((self._now + self._draw() / weight, server))
            else:
                left = max(0.0, places[server] - self._now) * old  # share of its turn that is left
                heap.append((self._now + left / weight, server))
        heapq.heapify(heap)
        self._heap, self._weights = heap, dict(weights)

    def pick(self, avoid: frozenset[int] = frozenset()) -> int | None:
        """The next server; one of `avoid` only where there is no other. None where there is no line."""
        passed: list[tuple[float, int]] = []
        while self._heap and self._heap[0][1] in avoid:
            passed.append(heapq.heappop(self._heap))
        if not self._heap:
            self._heap = passed
            heapq.heapify(self._heap)
            passed = []
        if not self._heap:
            return None
        turn, server = self._heap[0]
        if not passed:
            self._now = max(self._now, turn)
        heapq.heapreplace(self._heap, (turn + 1 / self._weights[server], server))
        for (
            skipped,
            other,
        ) in passed:  # what was avoided saves nothing up, or it would get a burst on its return
            heapq.heappush(self._heap, (max(skipped, turn), other))
        return server


class Lottery:
    """By chance, by weight; with `busy` the better of two drawn (fewer requests out)."""

    def __init__(self, draw: Callable[[], float], busy: Callable[[int], int] | None = None) -> None:
        self._draw, self._busy = draw, busy
        self._servers: list[int] = []
        self._sums: list[float] = []

    def set(self, weights: Mapping[int, float]) -> None:
        self._servers = sorted(weights)
        self._sums = list(accumulate(weights[s] for s in self._servers))

    def _one(self) -> int:
        return self._servers[
            min(bisect_right(self._sums, self._draw() * self._sums[-1]), len(self._servers) - 1)
        ]

    def pick(self, avoid: frozenset[int] = frozenset()) -> int | None:
        if not self._servers:
            return None
        if avoid and not avoid.isdisjoint(self._servers):
            return self._among(avoid)
        first = self._one()
        if self._busy is None:
            return first
        second = self._one()
        return second if self._busy(second) < self._busy(first) else first

    def _among(self, avoid: frozenset[int]) -> int:
        weights = {s: b - a for s, a, b in zip(self._servers, [0.0, *self._sums], self._sums, strict=False)}
        left = {s: w for s, w in weights.items() if s not in avoid} or weights
        mark = self._draw() * sum(left.values())
        for server, weight in sorted(left.items()):
            mark -= weight
            if mark < 0:
                return server
        return max(left)


Picker = Rotation | Lottery


def make(how: str, draw: Callable[[], float], busy: Callable[[int], int]) -> Picker:
    """how: "rotate", "random" or "p2c", as the settings name them."""
    if how == "rotate":
        return Rotation(draw)
    return Lottery(draw, busy if how == "p2c" else None)

"""Operations on time intervals, which are kept in sorted lists without overlaps."""

from __future__ import annotations

from bisect import bisect_right

Interval = tuple[float, float]  # Start and end, in seconds.
FOREVER = float("inf")


def intersect(first: list[Interval], second: list[Interval]) -> list[Interval]:
    """Return the intervals that are covered by both lists."""
    result = []
    i = 0
    j = 0
    while i < len(first) and j < len(second):
        begin = max(first[i][0], second[j][0])
        end = min(first[i][1], second[j][1])
        if begin < end:
            result.append((begin, end))
        if first[i][1] < second[j][1]:
            i += 1
        else:
            j += 1
    return result


def merge(intervals: list[Interval]) -> list[Interval]:
    """Sort intervals, and join those that overlap or touch."""
    result: list[Interval] = []
    for begin, end in sorted(intervals):
        if result and begin <= result[-1][1]:
            result[-1] = (result[-1][0], max(result[-1][1], end))
        else:
            result.append((begin, end))
    return result


def start_of_interval_at(intervals: list[Interval], at_s: float) -> float | None:
    """Return the start of the interval that contains a time, or None if no interval does."""
    index = bisect_right(intervals, at_s, key=lambda interval: interval[0]) - 1
    return intervals[index][0] if index >= 0 and at_s <= intervals[index][1] else None

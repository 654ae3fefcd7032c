"""Exponential averages over irregular samples, and rates made of counts."""

from __future__ import annotations

import math
from dataclasses import dataclass

from puffintide.decisions import parameters


def exponential_average(
    previous: float | None, sample: float, interval_s: float, memory_s: float | None = None
) -> float:
    """Return the average after a sample that covers an interval.

    Args:
        previous: The average so far; None before the first sample, which then is the average.
        sample: The new value.
        interval_s: Time that the sample covers.
        memory_s: Time constant; by default AVERAGE_MEMORY_S.
    """
    if previous is None:
        return sample
    memory_s = parameters.AVERAGE_MEMORY_S if memory_s is None else memory_s
    interval_s = max(interval_s, parameters.AVERAGE_MIN_INTERVAL_S)
    return previous + (sample - previous) * (1 - math.exp(-interval_s / memory_s))


def slow_average(previous: float | None, sample: float, is_certain: bool = False) -> float:
    """Return the average, one round later, of a value that seldom changes.

    Args:
        previous: The average so far, or None.
        sample: The reading of this round.
        is_certain: Whether the reading is known to be good. Such a reading, and one that differs by
            CAPACITY_JUMP_RATIO, is averaged quickly.
    """
    is_fast = is_certain
    if previous is not None:
        ratio = parameters.CAPACITY_JUMP_RATIO
        is_fast = is_certain or not previous / ratio < sample < previous * ratio
    memory_s = parameters.AVERAGE_MEMORY_S / 2 if is_fast else parameters.SLOW_AVERAGE_MEMORY_S
    return exponential_average(previous, sample, parameters.ROUND_PERIOD_S, memory_s)


@dataclass(slots=True)
class AverageRate:
    """An average of events per second, from counts over intervals."""

    per_second: float = 0.0
    updated_at_s: float = -math.inf

    def add(self, now_s: float, count: float, interval_s: float) -> None:
        """Add a count of events over an interval that ends now."""
        previous = self.per_second if self.updated_at_s > 0 else None
        self.per_second = exponential_average(previous, count / interval_s, interval_s)
        self.updated_at_s = now_s

"""Exponentially weighted averages over irregularly spaced samples, and rates computed from counts."""

from __future__ import annotations

import math
from dataclasses import dataclass

from puffintide.decisions import parameters


def exponential_average(
    previous: float | None, sample: float, interval_s: float, time_constant_s: float | None = None
) -> float:
    """Return the exponentially weighted average after one more sample.

    Args:
        previous: The average so far. It is None before the first sample, and the sample is then the result.
        sample: The new value.
        interval_s: The time that the sample covers, in seconds.
        time_constant_s: The time constant of the average, in seconds. The default is AVERAGE_TIME_CONSTANT_S.
    """
    if previous is None:
        return sample
    time_constant_s = parameters.AVERAGE_TIME_CONSTANT_S if time_constant_s is None else time_constant_s
    interval_s = max(interval_s, parameters.AVERAGE_MIN_INTERVAL_S)
    return previous + (sample - previous) * (1 - math.exp(-interval_s / time_constant_s))


def slow_average(previous: float | None, sample: float, is_reliable: bool = False) -> float:
    """Return the average of a slowly changing value, one round later.

    A reliable sample, or one that differs by CAPACITY_JUMP_RATIO, is averaged with a short time constant.

    Args:
        previous: The average so far, or None before the first sample.
        sample: The value of this round.
        is_reliable: Whether the sample is known to be accurate.
    """
    adapts_quickly = is_reliable
    if previous is not None:
        ratio = parameters.CAPACITY_JUMP_RATIO
        adapts_quickly = is_reliable or not previous / ratio < sample < previous * ratio
    time_constant_s = (
        parameters.AVERAGE_TIME_CONSTANT_S / 2 if adapts_quickly else parameters.SLOW_AVERAGE_TIME_CONSTANT_S
    )
    return exponential_average(previous, sample, parameters.ROUND_PERIOD_S, time_constant_s)


@dataclass(slots=True)
class AverageRate:
    """Average number of events per second, computed from counts over intervals."""

    per_second: float = 0.0
    updated_at_s: float = -math.inf

    def add(self, now_s: float, count: float, interval_s: float) -> None:
        """Add the number of events in an interval that ends now.

        A shorter interval than AVERAGE_MIN_INTERVAL_S counts as that long, both in the rate and in its weight
        in the average. A rate is thus finite for every finite count.
        """
        previous = self.per_second if self.updated_at_s > 0 else None
        interval_s = max(interval_s, parameters.AVERAGE_MIN_INTERVAL_S)
        self.per_second = exponential_average(previous, count / interval_s, interval_s)
        self.updated_at_s = now_s

"""Timer queue of the engine, implemented as a heap. This module reads no clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple


class TimerPurpose(Enum):
    """The timeout that a timer stands for."""

    CONNECT_TIMEOUT = auto()  # A server did not accept a connection in time.
    ATTEMPT_TIMEOUT = auto()  # An attempt was not answered in time.
    QUEUE_TIMEOUT = auto()  # A request found no available server in time.


class Timer(NamedTuple):
    """A timer; timers are ordered by due time, then by creation."""

    at_s: float
    timer_id: int
    purpose: TimerPurpose
    target_id: int  # Id of a server for CONNECT_TIMEOUT, otherwise of an attempt.


class TimerQueue:
    """A priority queue of timers by due time.

    Cancelled timers stay in the heap and are dropped when they reach the top.

    Args:
        is_current: Returns whether a timer is still valid, that is not cancelled.
    """

    def __init__(self, is_current: Callable[[Timer], bool]) -> None:
        self._is_current = is_current
        self._timers: list[Timer] = []
        self._last_id = 0

    def add(self, at_s: float, purpose: TimerPurpose, target_id: int) -> int:
        """Add a timer and return its id.

        Args:
            at_s: The time at which the timer is due, in seconds.
            purpose: The timeout that the timer stands for.
            target_id: The id of a server for CONNECT_TIMEOUT, otherwise of an attempt.
        """
        self._last_id += 1
        heapq.heappush(self._timers, Timer(at_s, self._last_id, purpose, target_id))
        return self._last_id

    def next_at_s(self) -> float | None:
        """Return the time at which the next timer is due, or None if there is no timer."""
        while self._timers:
            timer = self._timers[0]
            if self._is_current(timer):
                return timer.at_s
            heapq.heappop(self._timers)
        return None

    def pop_due(self, now_s: float) -> Timer | None:
        """Remove and return the next timer if it is due, else return None."""
        at_s = self.next_at_s()
        if at_s is None or at_s > now_s:
            return None
        return heapq.heappop(self._timers)

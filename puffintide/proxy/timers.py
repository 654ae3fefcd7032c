"""Timers of the engine, as a heap: what is to be looked at next, and when. No clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple


class TimerPurpose(Enum):
    """What a timer is for."""

    CONNECT_TIMEOUT = auto()  # of a server
    ATTEMPT_TIMEOUT = auto()
    QUEUE_TIMEOUT = auto()  # of a request without a server


class Timer(NamedTuple):
    """One timer; ordered by time, then by age."""

    at_s: float
    timer_id: int
    purpose: TimerPurpose
    target_id: int  # a server for CONNECT_TIMEOUT, else an attempt


class TimerQueue:
    """Timers by time. Cancelled ones stay until they come to the top; `is_current` tells them apart."""

    def __init__(self, is_current: Callable[[Timer], bool]) -> None:
        self._is_current = is_current
        self._timers: list[Timer] = []
        self._last_id = 0

    def add(self, at_s: float, purpose: TimerPurpose, target_id: int) -> int:
        """Set a timer, and return its id."""
        self._last_id += 1
        heapq.heappush(self._timers, Timer(at_s, self._last_id, purpose, target_id))
        return self._last_id

    def next_at_s(self) -> float | None:
        """When the next timer fires; None if there is none."""
        while self._timers:
            timer = self._timers[0]
            if self._is_current(timer):
                return timer.at_s
            heapq.heappop(self._timers)
        return None

    def pop_due(self, now_s: float) -> Timer | None:
        """Remove and return the next timer if it is due."""
        at_s = self.next_at_s()
        if at_s is None or at_s > now_s:
            return None
        return heapq.heappop(self._timers)

"""A timer that calls a function periodically until it is stopped."""

from __future__ import annotations

from collections.abc import Callable

from puffintide.protocol.clock import Clock, Timer


class PeriodicTimer:
    """Calls a function after each period.

    Args:
        clock: Clock that schedules the calls.
        period_s: Time between two calls in seconds.
        call: The function, which may stop the timer.
    """

    def __init__(self, clock: Clock, period_s: float, call: Callable[[], None]) -> None:
        self._clock = clock
        self._period_s = period_s
        self._call = call
        self._running = False
        self._timer: Timer | None = None

    def start(self) -> None:
        """Start the first period."""
        self._running = True
        self._timer = self._clock.callLater(self._period_s, self._fire)

    def stop(self) -> None:
        """Make no further calls."""
        self._running = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _fire(self) -> None:
        self._timer = None
        self._call()
        if self._running:
            self.start()

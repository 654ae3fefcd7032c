"""Schedules the rounds of the runtime: shortly after an event, and when a timer of the runtime is due."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from dataclasses import dataclass

from puffintide.assigner.runtime import Effects, Runtime
from puffintide.platform.log import Log
from puffintide.platform.reactor import Reactor, Timer

CLOCK_OFFSET_S = 1e6  # Added to the monotonic clock, so that times before the boot are positive.
BATCH_WINDOW_S = 0.004  # Events received within this time form one batch, in seconds.
MIN_TIMER_DELAY_S = 0.001
RECOVERY_DELAY_S = 0.25  # Delay between a failed round and the restart of the rounds, in seconds.


@dataclass(slots=True)
class RoundCounters:
    """Counters of rounds and their cost. The maxima cover the time since the last statistics."""

    rounds: int = 0  # Number of rounds in which the runtime had events.
    cpu_s: float = 0.0
    max_duration_s: float = 0.0
    max_timer_delay_s: float = 0.0

    def reset_maxima(self) -> None:
        """Reset the maxima at the start of a statistics interval."""
        self.max_duration_s = 0.0
        self.max_timer_delay_s = 0.0


class RoundScheduler:
    """Runs the rounds of the runtime and passes their effects to a callback."""

    def __init__(
        self, reactor: Reactor, runtime: Runtime, on_effects: Callable[[Effects], None], log: Log
    ) -> None:
        """Prepare the scheduler.

        Args:
            reactor: The reactor that provides the clock and timers.
            runtime: The runtime whose rounds are run.
            on_effects: Called with the effects of each round.
            log: The log of the assigner.
        """
        self.reactor = reactor
        self.runtime = runtime
        self.log = log
        self.counters = RoundCounters()
        self._on_effects = on_effects
        self._next_round = Timer(reactor)
        self._stopped = False

    def now_s(self) -> float:
        """Return the time used for events and decisions, in seconds."""
        return float(self.reactor.seconds()) + CLOCK_OFFSET_S

    def schedule(self, delay_s: float | None = None) -> None:
        """Schedule a round, unless an earlier one is due.

        Args:
            delay_s: The delay of the round in seconds, by default the batch window.
        """
        delay_s = BATCH_WINDOW_S if delay_s is None else delay_s
        if not self._stopped and self._next_round.due_at_s() > self.reactor.seconds() + delay_s:
            self._next_round.start(delay_s, self._run)

    def stop(self) -> None:
        """Stop running rounds."""
        self._stopped = True
        self._next_round.cancel()

    def _run(self) -> None:
        started_s = self.now_s()
        started_cpu_s = time.process_time()
        due_s = self.runtime.next_timer_at()
        if due_s is not None and due_s <= started_s:
            delay_s = started_s - due_s
            self.counters.max_timer_delay_s = max(self.counters.max_timer_delay_s, delay_s)
        self._run_guarded(started_s)
        self.counters.max_duration_s = max(self.counters.max_duration_s, self.now_s() - started_s)
        self.counters.cpu_s += time.process_time() - started_cpu_s
        self._schedule_next()

    def _run_guarded(self, now_s: float) -> None:
        try:
            effects = self.runtime.tick(now_s)
            if effects is not None:
                self.counters.rounds += 1
                self._on_effects(effects)
        except Exception as error:  # The next rounds must still run after a failed one.
            self.log("round_failed", error=f"{type(error).__name__}: {error}", location=error_location(error))
            self.reactor.callLater(RECOVERY_DELAY_S, self._recover)

    def _schedule_next(self) -> None:
        timer_s = self.runtime.next_timer_at()
        if self.runtime.has_pending_events():
            self.schedule()
        elif timer_s is not None:
            self.schedule(max(MIN_TIMER_DELAY_S, timer_s - self.now_s()))

    def _recover(self) -> None:
        self.runtime.restart_rounds(self.now_s())
        self.schedule()


def error_location(error: BaseException) -> str:
    """Return the name of the file and the line that raised an error, as FILE:LINE."""
    traceback = error.__traceback__
    if traceback is None:
        return "?"
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    return f"{os.path.basename(traceback.tb_frame.f_code.co_filename)}:{traceback.tb_lineno}"

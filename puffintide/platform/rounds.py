"""When the rounds of the runtime are run: soon after an event, and at its timers."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from dataclasses import dataclass

from puffintide.assigner.runtime import Effects, Runtime
from puffintide.platform.log import Log
from puffintide.platform.reactor import Reactor, Timer

EPOCH_S = 1e6  # added to the monotonic clock: times before the machine started are still positive
BATCH_WINDOW_S = 0.004  # events received within it are one batch
MIN_TIMER_DELAY_S = 0.001
RECOVERY_DELAY_S = 0.25  # after a round that failed


@dataclass(slots=True)
class RoundCounters:
    """What rounds have cost; the maxima are since the last statistics."""

    rounds: int = 0  # in which the runtime had events
    cpu_s: float = 0.0
    max_duration_s: float = 0.0
    max_timer_delay_s: float = 0.0

    def reset_maxima(self) -> None:
        """Start another interval."""
        self.max_duration_s = 0.0
        self.max_timer_delay_s = 0.0


class RoundScheduler:
    """Runs the rounds, and passes their effects on."""

    def __init__(
        self, reactor: Reactor, runtime: Runtime, on_effects: Callable[[Effects], None], log: Log
    ) -> None:
        """Prepare the rounds.

        Args:
            reactor: Clock of the rounds.
            runtime: What is run.
            on_effects: Called with the effects of each round.
            log: Log of the assigner.
        """
        self.reactor = reactor
        self.runtime = runtime
        self.log = log
        self.counters = RoundCounters()
        self._on_effects = on_effects
        self._next_round = Timer(reactor)
        self._stopped = False

    def now_s(self) -> float:
        """Return the time that events and decisions go by."""
        return float(self.reactor.seconds()) + EPOCH_S

    def schedule(self, delay_s: float | None = None) -> None:
        """Run a round after this delay, by default the batch window, unless one is due before."""
        delay_s = BATCH_WINDOW_S if delay_s is None else delay_s
        if not self._stopped and self._next_round.due_at_s() > self.reactor.seconds() + delay_s:
            self._next_round.start(delay_s, self._run)

    def stop(self) -> None:
        """Run no round from now on."""
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
        except Exception as error:  # a round that failed must not be the last one
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
    """Return the file and line that raised an error."""
    traceback = error.__traceback__
    if traceback is None:
        return "?"
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    return f"{os.path.basename(traceback.tb_frame.f_code.co_filename)}:{traceback.tb_lineno}"

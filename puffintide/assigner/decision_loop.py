"""Runs the rounds of the decision module: when the next one is due, what it cost, and a log of its decisions."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable
from typing import Any

from puffintide.assigner.runtime import Effects, Runtime
from puffintide.decisions.actions import Action, SetAdmission, SetWeight, SetWithdrawn
from puffintide.protocol.clock import Clock, Timer

MIN_TIMER_DELAY_S = 0.001
RESTART_DELAY_S = 0.25  # of the rounds after one that failed
MAX_LOGGED_ACTIONS = 200  # of one round
MS_PER_S = 1000


class DecisionLoop:
    """The rounds of one assigner.

    Attributes:
        module_cpu_s: Processor time of all rounds.
        round_count: Rounds that had events.
        decision_count: Rounds that changed something at the proxies.
    """

    def __init__(
        self,
        clock: Clock,
        runtime: Runtime,
        tick_s: float,
        log: Any,
        apply_effects: Callable[[float, Effects], None],
    ) -> None:
        """Create the loop without scheduling a round.

        Args:
            clock: For timers.
            runtime: Holds pending events and timers.
            tick_s: Time for which events are collected into one batch.
            log: Structured logger.
            apply_effects: Carries out what a round decided.
        """
        self.clock = clock
        self.runtime = runtime
        self.tick_s = tick_s
        self.log = log
        self.apply_effects = apply_effects
        self.module_cpu_s = 0.0
        self.round_count = 0
        self.decision_count = 0
        self._timer: Timer | None = None
        self._next_round_at = 0.0

    def schedule(self, delay_s: float | None = None) -> None:
        """Have a round after a delay, by default a tick, unless one is due earlier."""
        if delay_s is None:
            delay_s = self.tick_s
        round_at = self.clock.seconds() + delay_s
        if self._timer is not None:
            if self._next_round_at <= round_at:
                return
            self._timer.cancel()
        self._next_round_at = round_at
        self._timer = self.clock.callLater(delay_s, self._run_round)

    def log_decision(self, effects: Effects, update_count: int, queued_entries: float) -> None:
        """Log a round that changed something at the proxies."""
        decisions = [
            action
            for action in effects.actions
            if isinstance(action, SetWeight | SetWithdrawn | SetAdmission)
        ]
        if not decisions:
            return
        self.decision_count += 1
        self.log.info(
            "decision",
            round=effects.batch,
            events=dict(Counter(type(event).__name__ for event in effects.events)),
            actions=[_logged_action(action) for action in decisions[:MAX_LOGGED_ACTIONS]],
            omitted_actions=max(0, len(decisions) - MAX_LOGGED_ACTIONS),
            updates=update_count,
            queued_entries=round(queued_entries),
            after_ms=round((self.clock.seconds() - effects.first_event_at_s) * MS_PER_S, 2),
        )

    def _run_round(self) -> None:
        self._timer = None
        started_at = self.clock.seconds()
        cpu_before_s = _cpu_s()
        try:
            effects = self.runtime.tick(started_at)
            if effects is not None:
                self.round_count += 1
                self.apply_effects(started_at, effects)
        except Exception as error:  # a round that failed must not be the last one
            self.log.error("round_failed", error=f"{type(error).__name__}: {error}")
            self.clock.callLater(RESTART_DELAY_S, self._restart)
        self.module_cpu_s += _cpu_s() - cpu_before_s
        timer_at = self.runtime.next_timer_at()
        if self.runtime.has_pending_events():
            self.schedule()
        elif timer_at is not None:
            self.schedule(max(MIN_TIMER_DELAY_S, timer_at - self.clock.seconds()))

    def _restart(self) -> None:
        self.runtime.restart_rounds(self.clock.seconds())
        self.schedule()


def _cpu_s() -> float:
    times = os.times()
    return times.user + times.system


def _logged_action(action: Action) -> dict[str, list[Any]]:
    return {type(action).__name__: [getattr(action, name) for name in action.__slots__]}

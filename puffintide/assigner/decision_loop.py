"""Schedules the rounds of the decision module, measures their processor time and logs their decisions."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable
from typing import Any

from puffintide.assigner.runtime import Effects, Runtime
from puffintide.decisions.actions import Action, SetAdmission, SetWeight, SetWithdrawn
from puffintide.protocol.clock import Clock, Timer

# Minimum delay before a round that handles a timer of the decision module, in seconds.
MIN_TIMER_DELAY_S = 0.001
RESTART_DELAY_S = 0.25  # Delay before rounds are restarted after a failed round, in seconds.
MAX_LOGGED_ACTIONS = 200  # Maximum number of actions of one round in the log.
MS_PER_S = 1000


class DecisionLoop:
    """Runs the rounds of one assigner.

    Attributes:
        module_cpu_s: Processor time of all rounds, in seconds.
        round_count: Number of rounds that handed events to the decision module.
        decision_count: Number of rounds that changed weights, withdrawals or admission levels at the proxies.
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
            clock: The clock that runs the timers.
            runtime: The runtime that holds pending events and timers.
            tick_s: Time during which events are collected into one batch, in seconds.
            log: The structured logger.
            apply_effects: Called with the current time and the effects of a round, which it carries out.
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
        """Schedule a round after a delay, by default one tick, unless one is already due earlier."""
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
        """Log the decisions of a round, unless it changed nothing at the proxies."""
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
        """Run a round, then schedule the next one if events or timers are pending."""
        self._timer = None
        started_at = self.clock.seconds()
        cpu_before_s = _cpu_s()
        try:
            effects = self.runtime.tick(started_at)
            if effects is not None:
                self.round_count += 1
                self.apply_effects(started_at, effects)
        except Exception as error:  # A failed round must not end the rounds for good.
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
    """Return the processor time of this process, in seconds."""
    cpu_times = os.times()
    return cpu_times.user + cpu_times.system


def _logged_action(action: Action) -> dict[str, list[Any]]:
    """Return an action in the form in which it is logged: its class name and its field values."""
    return {type(action).__name__: [getattr(action, name) for name in action.__slots__]}

"""Driver that connects an engine to a reactor: carries out effects and schedules timers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from puffintide.proxy.effects import Effect
from puffintide.proxy.engine import Engine
from puffintide.proxy.reactor import DelayedCall, Reactor


class EngineDriver(ABC):
    """Base class that runs one engine on a reactor; subclasses implement run_effect()."""

    def __init__(self, reactor: Reactor, engine: Engine) -> None:
        self.reactor = reactor
        self.engine = engine
        self._timer: DelayedCall | None = None

    def now_s(self) -> float:
        """Return the reactor's time in seconds."""
        return float(self.reactor.seconds())

    def run_effects(self, effects: Sequence[Effect]) -> None:
        """Carry out effects in order, then schedule the engine's next timer."""
        for effect in effects:
            self.run_effect(effect)
        self._schedule_timer()

    @abstractmethod
    def run_effect(self, effect: Effect) -> None:
        """Carry out one effect."""

    def _schedule_timer(self) -> None:
        next_at_s = self.engine.next_timer_at()
        if self._timer is not None and self._timer.active():
            if next_at_s is None or self._timer.getTime() <= next_at_s:
                # A timer that fires early reschedules itself, which is cheaper than a new timer per request.
                return
            self._timer.cancel()
        self._timer = None
        if next_at_s is not None:
            delay_s = max(0.0, next_at_s - self.now_s())
            self._timer = self.reactor.callLater(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.run_effects(self.engine.on_timer(self.now_s()))

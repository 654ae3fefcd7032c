"""The decision module with the zone plan before it: one decider for an assigner."""

from __future__ import annotations

from collections.abc import Sequence

from puffintide.decisions.actions import Action, LogMessage
from puffintide.decisions.director import Director
from puffintide.decisions.events import CapacityLimitChanged, EndpointListUpdate, Event, ZoneCommandReceived
from puffintide.decisions.settings import Settings
from puffintide.zones.plan import View, ZoneLimits, ZonePlan


class ZonedDirector:
    """What comes in goes to the plan first, so that a loss is met with its bounds in the same round."""

    def __init__(self, settings: Settings, limits: ZoneLimits) -> None:
        self.director = Director(settings)
        self.plan = ZonePlan(settings, limits)
        self._told: dict[int, float] = {}

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        for event in events:
            self.plan.observe(now, event)
        bounds = self.plan.decide(now, self._view())
        # A server that went has no bound any more, and must not be met with its old one when it is back.
        lifted = dict.fromkeys(self._told.keys() - bounds.keys(), 1.0)
        now_told = sorted((lifted | bounds).items())
        changed = [CapacityLimitChanged(s, b) for s, b in now_told if self._told.get(s, 1.0) != b]
        self._told = bounds
        # Lists first, as a bound concerns a server that is known.
        lists = [e for e in events if isinstance(e, EndpointListUpdate)]
        rest = [e for e in events if not isinstance(e, EndpointListUpdate | ZoneCommandReceived)]
        actions = self.director.handle(now, [*lists, *changed, *rest])
        return actions + [LogMessage(line) for line in self.plan.changes()]

    def findings(self) -> tuple[float | None, dict[int, int]]:
        return self.director.findings()

    def _view(self) -> dict[int, View]:
        seen = self.director.servers
        return {
            s: View(v.recovery_level > 0, v.load, v.consecutive_checks > 0 if v.consecutive_checks else None)
            for s, v in sorted(seen.items())
        }

"""A director whose server capacities are limited by the zone plan."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from puffintide.decisions.actions import Action, LogMessage
from puffintide.decisions.director import Director, DirectorFindings
from puffintide.decisions.events import CapacityLimitChanged, EndpointListUpdate, Event, ZoneCommandReceived
from puffintide.decisions.settings import Settings
from puffintide.decisions.state import ServerState
from puffintide.zones.plan import ZonePlan
from puffintide.zones.recovery import UNRESTRICTED
from puffintide.zones.state import ServerHealth, ZoneLimits, ZonePhase, ZoneState

INITIAL_STATE = (ZonePhase.HEALTHY, "")


class ZonedDirector:
    """Wraps a director and applies the capacity limits of the zone plan.

    Events go to the zone plan first, so that its limits take effect in the round in which a zone is lost.

    Attributes:
        director: The director that decides the tables.
        plan: The zone plan that decides the capacity limits.
    """

    def __init__(self, settings: Settings, limits: ZoneLimits) -> None:
        self.director = Director(settings)
        self.plan = ZonePlan(settings, limits)
        self._capacity_limits: dict[int, float] = {}  # Limits last passed to the director, by server.
        self._logged_states: dict[int, tuple[str, str]] = {}  # Phase and cause last logged, by zone.

    def handle(self, now_s: float, events: Sequence[Event]) -> list[Action]:
        """Pass events to the zone plan and the director, and return the resulting actions.

        Director.handle describes the arguments.
        """
        for event in events:
            self.plan.observe(now_s, event)
        limits = self.plan.update(now_s, self._server_health())
        list_updates = [event for event in events if isinstance(event, EndpointListUpdate)]
        other_events = [
            event for event in events if not isinstance(event, EndpointListUpdate | ZoneCommandReceived)
        ]
        # List updates go first, because a limit applies only to a server that the director knows.
        actions = self.director.handle(now_s, [*list_updates, *self._changed_limits(limits), *other_events])
        return actions + self._log_messages()

    def findings(self) -> DirectorFindings:
        """Return the findings that other assigners can use."""
        return self.director.findings()

    def _server_health(self) -> dict[int, ServerHealth]:
        """Return the health of each server that the director knows."""
        servers: Iterable[tuple[int, ServerState]] = sorted(self.director.servers.items())
        return {server_id: _health_of(server) for server_id, server in servers}

    def _changed_limits(self, limits: dict[int, float]) -> list[CapacityLimitChanged]:
        """Return the limits that differ from those the director has.

        The limit of a removed server is lifted, so that the server has none when it returns.
        """
        lifted_limits = dict.fromkeys(self._capacity_limits.keys() - limits.keys(), UNRESTRICTED)
        changed = [
            CapacityLimitChanged(server_id, limit)
            for server_id, limit in sorted((lifted_limits | limits).items())
            if self._capacity_limits.get(server_id, UNRESTRICTED) != limit
        ]
        self._capacity_limits = limits
        return changed

    def _log_messages(self) -> list[LogMessage]:
        """Return a message for each zone whose phase or cause has changed."""
        messages = []
        for state in self.plan.states():
            if (state.phase, state.cause) != self._logged_states.get(state.zone, INITIAL_STATE):
                self._logged_states[state.zone] = (state.phase, state.cause)
                messages.append(LogMessage(_describe(state)))
        return messages


def _health_of(server: ServerState) -> ServerHealth:
    """Return the health of a server; one with a recovery level above 0 is responding."""
    last_check_succeeded = None if server.consecutive_checks == 0 else server.consecutive_checks > 0
    return ServerHealth(server.recovery_level > 0, server.load, last_check_succeeded)


def _describe(state: ZoneState) -> str:
    """Return the log text for the state of a zone."""
    cause = f" ({state.cause})" if state.cause else ""
    text = f"zone {state.zone} {state.phase}{cause}, {state.available_fraction:.0%} of it there"
    if state.spillover:
        spillover = ", ".join(f"zone {zone} {fraction:.0%}" for zone, fraction in state.spillover)
        text += f"; its load goes to {spillover}, {state.unplaced_fraction:.0%} beyond"
    return text

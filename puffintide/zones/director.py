"""A director with the zone plan before it."""

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
    """Passes events to the zone plan first, so that the loss of a zone is met with its limits in the same round.

    Attributes:
        director: Decides tables.
        plan: Decides capacity limits.
    """

    def __init__(self, settings: Settings, limits: ZoneLimits) -> None:
        self.director = Director(settings)
        self.plan = ZonePlan(settings, limits)
        self._capacity_limits: dict[int, float] = {}  # as the director knows them
        self._logged_states: dict[int, tuple[str, str]] = {}  # phase and cause, by zone

    def handle(self, now_s: float, events: Sequence[Event]) -> list[Action]:
        """Take in events and return the resulting actions; see Director.handle."""
        for event in events:
            self.plan.observe(now_s, event)
        limits = self.plan.update(now_s, self._server_health())
        list_updates = [event for event in events if isinstance(event, EndpointListUpdate)]
        others = [
            event for event in events if not isinstance(event, EndpointListUpdate | ZoneCommandReceived)
        ]
        # Lists are first, as a limit concerns a server that is known.
        actions = self.director.handle(now_s, [*list_updates, *self._changed_limits(limits), *others])
        return actions + self._log_messages()

    def findings(self) -> DirectorFindings:
        """Return what has been learned here that is of use to other assigners."""
        return self.director.findings()

    def _server_health(self) -> dict[int, ServerHealth]:
        servers: Iterable[tuple[int, ServerState]] = sorted(self.director.servers.items())
        return {server_id: _health_of(server) for server_id, server in servers}

    def _changed_limits(self, limits: dict[int, float]) -> list[CapacityLimitChanged]:
        """The limits that the director does not know; a server that is removed has none when it returns."""
        lifted = dict.fromkeys(self._capacity_limits.keys() - limits.keys(), UNRESTRICTED)
        changed = [
            CapacityLimitChanged(server_id, limit)
            for server_id, limit in sorted((lifted | limits).items())
            if self._capacity_limits.get(server_id, UNRESTRICTED) != limit
        ]
        self._capacity_limits = limits
        return changed

    def _log_messages(self) -> list[LogMessage]:
        """A message for each zone whose phase or cause has changed."""
        messages = []
        for state in self.plan.states():
            if (state.phase, state.cause) != self._logged_states.get(state.zone, INITIAL_STATE):
                self._logged_states[state.zone] = (state.phase, state.cause)
                messages.append(LogMessage(_describe(state)))
        return messages


def _health_of(server: ServerState) -> ServerHealth:
    succeeded = None if server.consecutive_checks == 0 else server.consecutive_checks > 0
    return ServerHealth(server.recovery_level > 0, server.load, succeeded)


def _describe(state: ZoneState) -> str:
    cause = f" ({state.cause})" if state.cause else ""
    text = f"zone {state.zone} {state.phase}{cause}, {state.available_fraction:.0%} of it there"
    if state.spillover:
        spillover = ", ".join(f"zone {zone} {fraction:.0%}" for zone, fraction in state.spillover)
        text += f"; its load goes to {spillover}, {state.unplaced_fraction:.0%} beyond"
    return text

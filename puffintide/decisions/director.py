"""The director of one assigner: a state machine that turns events into actions.

It performs no I/O and uses neither a clock nor randomness. docs/design.md explains the reasons for its
decisions.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from puffintide.decisions import observations, parameters
from puffintide.decisions.actions import Action, SetTimer, WatchEndpoints
from puffintide.decisions.admission import update_admission_fractions
from puffintide.decisions.capacity import CapacityEstimator
from puffintide.decisions.channel import Channel
from puffintide.decisions.events import (
    CheckpointAcknowledged,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    ListUpdateType,
    PeerObservation,
    TimerFired,
)
from puffintide.decisions.health import apply_health_check, schedule_health_checks, update_recovery_levels
from puffintide.decisions.placement import plan_slices
from puffintide.decisions.publication import Publisher
from puffintide.decisions.ranking import AlternateRanking
from puffintide.decisions.settings import Settings
from puffintide.decisions.state import FleetState, ServerState, SliceState

ROUND_TIMER_ID = 1


class DirectorFindings(NamedTuple):
    """Results of a director that are useful to other assigners."""

    # Capacity of a server of listed weight 1, in requests per second; None if it is not learned.
    capacity_per_s: float | None
    recovery_levels: dict[int, int]  # Levels of ready servers that are not fully recovered, by server id.


class Director:
    """Decides the tables of the slices that one assigner owns.

    Attributes:
        fleet: The known state of servers, slices and proxies.
        estimator: The estimator of load and capacity.
        ranking: The order of the alternates of each slice.
        publisher: Turns plans into actions, within the limits of the channel.
    """

    def __init__(self, settings: Settings) -> None:
        self.fleet = FleetState(settings)
        self.estimator = CapacityEstimator(self.fleet)
        self.ranking = AlternateRanking(self.fleet)
        self._channel = Channel(self.fleet)
        self.publisher = Publisher(self.fleet, self._channel, self.ranking)
        self._next_watch_s = 0.0 if settings.watch_on_request else math.inf

    @property
    def servers(self) -> Mapping[int, ServerState]:
        """Return the known servers by id, recently removed ones included."""
        return self.fleet.servers

    @property
    def slices(self) -> Mapping[int, SliceState]:
        """Return the slices that this assigner owns, by id."""
        return self.fleet.slices

    def handle(self, now_s: float, events: Sequence[Event]) -> list[Action]:
        """Apply events, run a round if one is due, and return the resulting actions in order.

        A round is due on the first call, on a TimerFired event and on an urgent change.

        Args:
            now_s: The time on the assigner's clock, in seconds. It never decreases.
            events: The events since the last call.
        """
        fleet = self.fleet
        is_first_call = fleet.now_s < 0
        runs_round = is_first_call or any(isinstance(event, TimerFired) for event in events)
        fleet.now_s = now_s
        for event in events:
            self._apply(event)
        if fleet.last_report_s > 0:
            fleet.first_report_s = min(fleet.first_report_s, now_s)
        actions: list[Action] = []
        if runs_round:
            actions.append(SetTimer(parameters.ROUND_PERIOD_S, ROUND_TIMER_ID))
        if runs_round or fleet.urgent_change_pending:
            actions.extend(self._run_round())
        return actions

    def findings(self) -> DirectorFindings:
        """Return the learned capacity and the recovery levels that other assigners can use."""
        levels = {server.server_id: server.recovery_level for server in self.fleet.ready_servers()}
        recovering = {
            server_id: level for server_id, level in levels.items() if level < parameters.MAX_RECOVERY_LEVEL
        }
        return DirectorFindings(self.estimator.capacity_per_weight, recovering)

    def _run_round(self) -> list[Action]:
        fleet = self.fleet
        actions: list[Action] = []
        if fleet.now_s >= self._next_watch_s:
            actions.append(WatchEndpoints(True))
            self._next_watch_s = math.inf
        update_recovery_levels(fleet)
        actions.extend(schedule_health_checks(fleet))
        self.estimator.update()
        plan = plan_slices(fleet, self.estimator, self.ranking)
        update_admission_fractions(fleet, self.estimator)
        actions.extend(self.publisher.publish(plan))
        return actions

    def _apply(self, event: Event) -> None:
        match event:
            case EndpointListUpdate():
                self._apply_endpoint_list(event)
            case HealthCheckResult():
                apply_health_check(self.fleet, event)
            case CheckpointAcknowledged():
                self._channel.on_acknowledged(event)
                self.fleet.withdrawal_holders.on_acknowledged(event.proxy_id, event.checkpoint_id)
            case PeerObservation():
                observations.apply_peer_observation(self.fleet, event)
                self.estimator.adopt_peer_capacity(event.capacity_per_s)
            case _:
                observations.apply_event(self.fleet, event)

    def _apply_endpoint_list(self, event: EndpointListUpdate) -> None:
        if event.update_type == ListUpdateType.FAILED:
            self._next_watch_s = self.fleet.now_s + parameters.LIST_RETRY_DELAY_S
        else:
            observations.apply_endpoint_list(self.fleet, event)

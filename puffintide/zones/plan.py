"""The zone plan: estimates the state of each zone as one assigner sees it, and limits server capacity.

It is a state machine without I/O. Its inputs are events and the director's view of the servers; its output
is a capacity limit for each server. It does not place slices: the director fills the tables, with the
capacity of each server reduced to its limit. docs/zones.md describes the design.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from puffintide.decisions import parameters as decision_parameters
from puffintide.decisions.events import (
    EndpointListUpdate,
    Event,
    ProxyConnected,
    ProxyDisconnected,
    ServerLoadReport,
    ZoneCommandReceived,
    ZoneOperation,
)
from puffintide.decisions.settings import Settings
from puffintide.zones import parameters
from puffintide.zones.paths import PathMonitor
from puffintide.zones.recovery import UNRESTRICTED, RecoveryRamp, mean_load
from puffintide.zones.servers import ZoneServers
from puffintide.zones.state import PathFault, ServerHealth, Spillover, ZoneLimits, ZonePhase, ZoneState
from puffintide.zones.usual_load import UsualLoads

MIN_SPARE_CAPACITY = 1e-9  # Lower bound on spare capacity as a divisor, in listed weight.


@dataclass(slots=True)
class _Zone:
    """Phase of a zone and the data that its transitions depend on."""

    phase: ZonePhase = ZonePhase.HEALTHY
    cause: str = ""
    held_until_s: float = 0.0  # End of the last hold-down, on the assigner's clock.
    loss_times_s: list[float] = field(default_factory=list)  # Times of recent losses, oldest first.
    transition_started_at_s: float = 0.0  # Start of the last operator command or recovery.
    command: ZoneOperation | None = None  # Operator command in force.
    pace: float = 1.0  # Speed of drain and recovery, as a multiple of the default.

    @property
    def is_impaired(self) -> bool:
        """Return whether other zones take over load of this zone."""
        return self.command is not None or not self.is_available

    @property
    def is_available(self) -> bool:
        """Return whether the phase of the zone itself imposes no capacity limit."""
        return self.phase in (ZonePhase.HEALTHY, ZonePhase.DEGRADED)


class ZonePlan:
    """Tracks the phase of each zone and computes the capacity limits of its servers.

    The caller passes every event to observe, and then calls update for the capacity limits.

    Attributes:
        servers: The listed and missing servers of each zone.
        recovery: The recovery ramps of the servers of recovering zones.
        capacity_limits: The capacity limits that update returned last, by server id.
    """

    def __init__(self, settings: Settings, limits: ZoneLimits) -> None:
        self._limits = limits
        self._zones = {zone: _Zone() for zone in range(max(1, settings.zone_count))}
        self.servers = ZoneServers(settings.slow_start_duration_s)
        self.recovery = RecoveryRamp(self.servers)
        self._paths = PathMonitor(list(self._zones))
        self._usual_loads = UsualLoads(self.servers, list(self._zones))
        self.capacity_limits: dict[int, float] = {}
        self._updated_at_s = math.inf

    def observe(self, now_s: float, event: Event) -> None:
        """Process an event; events that do not concern zones are ignored."""
        match event:
            case EndpointListUpdate():
                self.recovery.interrupt(self.servers.apply(now_s, event))
            case ServerLoadReport():
                self._paths.on_load_report(now_s, event, self.servers.zone_of(event.server_id))
            case ProxyConnected():
                self._paths.on_proxy_connected(event.proxy_id, event.zone)
            case ProxyDisconnected():
                self._paths.on_proxy_disconnected(event.proxy_id)
            case ZoneCommandReceived() if event.zone in self._zones:
                self._apply_command(now_s, event)

    def _apply_command(self, now_s: float, event: ZoneCommandReceived) -> None:
        """Put a drain or a hold in force, or end the current one and start the zone's recovery."""
        zone = self._zones[event.zone]
        zone.pace = event.pace
        if event.operation in (ZoneOperation.DRAIN, ZoneOperation.HOLD):
            zone.command = event.operation
            zone.transition_started_at_s = now_s
        elif zone.command is not None:
            zone.command = None
            zone.loss_times_s = []
            self._begin_recovery(now_s, event.zone)

    def update(self, now_s: float, health: Mapping[int, ServerHealth]) -> dict[int, float]:
        """Update the zones and return the capacity limit of each listed server.

        A capacity limit is the fraction of the server's capacity that the director may plan with. At 0, the
        server's slices are placed elsewhere as far as there is capacity. The server is used only if no other
        is left.

        Args:
            now_s: Seconds on the assigner's clock.
            health: Health of the servers that the director knows, by server id.
        """
        self.recovery.remove_servers(self.servers.purge_removed(now_s))
        self._update_phases(now_s, health)
        for zone_id, zone in sorted(self._zones.items()):
            if zone.phase == ZonePhase.RECOVERING:
                self._advance_recovery(now_s, zone_id, health)
        all_healthy = all(
            zone.phase == ZonePhase.HEALTHY and zone.command is None for zone in self._zones.values()
        )
        self._usual_loads.update(now_s, health, all_healthy)
        self._updated_at_s = now_s
        is_any_zone_impaired = any(zone.is_impaired for zone in self._zones.values())
        self.capacity_limits = {
            server_id: self._capacity_limit(now_s, server_id, endpoint.zone, is_any_zone_impaired)
            for server_id, endpoint in sorted(self.servers.endpoints.items())
            if not self.servers.is_removed(server_id)
        }
        return self.capacity_limits

    def _update_phases(self, now_s: float, health: Mapping[int, ServerHealth]) -> None:
        """Update the phase and the cause of each zone."""
        fractions = {
            zone_id: self.servers.available_fraction(zone_id, health) for zone_id in sorted(self._zones)
        }
        unresponsive_zones = [
            zone_id
            for zone_id, fraction in fractions.items()
            if fraction < parameters.LOST_BELOW_FRACTION and self.servers.ready_in(zone_id)
        ]
        # If all zones stop responding while still listed, they share one cause and no zone counts as lost.
        is_common_outage = len(unresponsive_zones) == len(fractions)
        for zone_id, zone in sorted(self._zones.items()):
            fraction = 1.0 if is_common_outage else fractions[zone_id]
            self._change_phase(now_s, zone_id, fraction)
            if zone.is_available:
                zone_health = [health[s] for s in self.servers.ready_in(zone_id) if s in health]
                fault = self._paths.find_fault(now_s, zone_id, zone_health)
                _set_phase_and_cause(zone, fraction, is_common_outage, fault)

    def _change_phase(self, now_s: float, zone_id: int, available_fraction: float) -> None:
        """Make at most one transition of a zone's phase."""
        zone = self._zones[zone_id]
        if available_fraction < parameters.LOST_BELOW_FRACTION and zone.phase != ZonePhase.LOST:
            self._mark_lost(now_s, zone_id)
        elif zone.phase == ZonePhase.LOST and available_fraction >= parameters.REGAINED_FROM_FRACTION:
            self._handle_regained_servers(now_s, zone_id)
        elif zone.phase == ZonePhase.HELD_DOWN and now_s >= zone.held_until_s:
            self._begin_recovery(now_s, zone_id)
        elif zone.phase == ZonePhase.RECOVERING and not self.recovery.is_active(zone_id):
            zone.phase = ZonePhase.HEALTHY
            zone.cause = ""
            self.recovery.end(zone_id)

    def _mark_lost(self, now_s: float, zone_id: int) -> None:
        """Set the phase of a zone to lost and record the time of the loss.

        The cause is "silent" if servers of the zone are still listed as ready, and "list" otherwise.
        """
        zone = self._zones[zone_id]
        zone.loss_times_s = [
            lost_at_s for lost_at_s in zone.loss_times_s if now_s - lost_at_s < parameters.FLAP_WINDOW_S
        ]
        zone.loss_times_s.append(now_s)
        zone.phase = ZonePhase.LOST
        zone.cause = "silent" if self.servers.ready_in(zone_id) else "list"
        self.recovery.end(zone_id)

    def _handle_regained_servers(self, now_s: float, zone_id: int) -> None:
        """Start the recovery of a lost zone whose servers are available again.

        A zone that was lost before within FLAP_WINDOW_S is held down first. Each further loss doubles the
        hold-down.
        """
        zone = self._zones[zone_id]
        earlier_losses = len(zone.loss_times_s) - 1
        if earlier_losses <= 0:
            self._begin_recovery(now_s, zone_id)
            return
        hold_down_s = parameters.HOLD_DOWN_S * 2.0 ** (earlier_losses - 1)
        zone.phase = ZonePhase.HELD_DOWN
        zone.cause = f"lost {earlier_losses + 1} times"
        zone.held_until_s = now_s + min(parameters.HOLD_DOWN_MAX_S, hold_down_s)

    def _begin_recovery(self, now_s: float, zone_id: int) -> None:
        """Set the phase of a zone to recovering and start its recovery ramp."""
        zone = self._zones[zone_id]
        zone.phase = ZonePhase.RECOVERING
        zone.cause = ""
        zone.transition_started_at_s = now_s
        self.recovery.begin(now_s, zone_id)

    def _advance_recovery(self, now_s: float, zone_id: int, health: Mapping[int, ServerHealth]) -> None:
        """Move the servers of a recovering zone along the recovery ramp."""
        zone = self._zones[zone_id]
        self.recovery.discard_removed()
        if now_s <= zone.transition_started_at_s:
            return
        self.recovery.add_new_servers(now_s, zone_id, self.capacity_limits)
        # If the other zones are as loaded, going back along the ramp would only add to their load.
        other_ids = [s for other in self._zones if other != zone_id for s in self.servers.ready_in(other)]
        max_load = max(parameters.RAMP_UP_MAX_LOAD, mean_load(other_ids, health))
        interval_s = max(0.0, min(parameters.MAX_STEP_S, now_s - self._updated_at_s))
        max_step = parameters.RAMP_PER_S * interval_s * zone.pace
        self.recovery.advance(now_s, zone_id, max_step, max_load, health)

    def _capacity_limit(
        self, now_s: float, server_id: int, zone_id: int, is_any_zone_impaired: bool
    ) -> float:
        """Return the capacity limit of a server, from 0 to 1."""
        zone = self._zones.get(zone_id, _Zone())
        if zone.command == ZoneOperation.DRAIN:
            # The limit falls linearly, so that only a few slices move, and need their keys cached, at a time.
            drained_fraction = parameters.RAMP_PER_S * zone.pace * (now_s - zone.transition_started_at_s)
            return max(0.0, UNRESTRICTED - drained_fraction)
        if zone.command is not None or zone.phase == ZonePhase.HELD_DOWN:
            return 0.0
        if zone.phase == ZonePhase.RECOVERING:
            return min(UNRESTRICTED, self.recovery.fractions.get(server_id, UNRESTRICTED))
        if is_any_zone_impaired and zone.phase != ZonePhase.LOST:
            return self._spillover_limit(zone_id)
        return UNRESTRICTED

    def _spillover_limit(self, zone_id: int) -> float:
        """Return the capacity limit of a zone's servers while another zone is impaired.

        The servers may be filled up to their usual load plus the configured fraction of their spare capacity.
        The director fills servers to OVERLOAD_UTILIZATION of their limit, so this sum is divided by it. The
        limit is at most 1.
        """
        usual_load = self._usual_loads.load_of(zone_id)
        max_load = usual_load + self._limits.spillover_fraction * (1 - usual_load)
        return min(UNRESTRICTED, max_load / decision_parameters.OVERLOAD_UTILIZATION)

    def states(self) -> list[ZoneState]:
        """Return the states of all zones as of the last update, sorted by zone number."""
        return [self._build_zone_state(zone_id) for zone_id in sorted(self._zones)]

    def _build_zone_state(self, zone_id: int) -> ZoneState:
        """Return the state of a zone as of the last update."""
        zone = self._zones[zone_id]
        ready_ids = self.servers.ready_in(zone_id)
        limits = [self.capacity_limits[s] for s in ready_ids if s in self.capacity_limits] or [0.0]
        phase = zone.phase if zone.command is None else ZonePhase.DRAINED
        spillover: Spillover = ()
        unplaced_fraction = 0.0
        if zone.is_impaired:
            spillover, unplaced_fraction = self._compute_spillover(zone_id)
        return ZoneState(
            zone=zone_id,
            phase=phase,
            cause=zone.cause if zone.command is None else f"by hand: {zone.command}",
            available_fraction=self.servers.available_fraction(zone_id, {}),
            min_capacity_fraction=min(limits),
            max_capacity_fraction=max(limits),
            held_until_s=zone.held_until_s,
            flap_count=len(zone.loss_times_s),
            spillover=spillover,
            unplaced_fraction=unplaced_fraction,
        )

    def _compute_spillover(self, zone_id: int) -> tuple[Spillover, float]:
        """Compute how the usual load of a zone is divided among the other zones.

        Returns:
            The fraction of the load that each other zone's limit admits, and the fraction that none admits.
        """
        weight = self.servers.ready_weight(zone_id) + self.servers.missing_weight(zone_id)
        demand = self._usual_loads.load_of(zone_id) * weight
        if demand <= 0:
            return (), 0.0
        spare = {
            other_id: self._spare_capacity(other_id)
            for other_id, other in sorted(self._zones.items())
            if other_id != zone_id and not other.is_impaired
        }
        total_spare = sum(spare.values())
        placed_fraction = min(1.0, total_spare / demand)
        divisor = max(total_spare, MIN_SPARE_CAPACITY)
        placed_fractions = tuple(
            (other_id, placed_fraction * other_spare / divisor) for other_id, other_spare in spare.items()
        )
        return placed_fractions, 1 - placed_fraction

    def _spare_capacity(self, zone_id: int) -> float:
        """Return the load that a zone's servers may take above their usual load, in listed weight."""
        max_load = decision_parameters.OVERLOAD_UTILIZATION * self._spillover_limit(zone_id)
        return self.servers.ready_weight(zone_id) * max(0.0, max_load - self._usual_loads.load_of(zone_id))


def _set_phase_and_cause(
    zone: _Zone, available_fraction: float, is_common_outage: bool, fault: PathFault
) -> None:
    """Set the phase of an available zone to healthy or degraded, with its cause.

    Args:
        zone: The zone to update.
        available_fraction: Fraction of the zone's usual weight that is available.
        is_common_outage: Whether all zones stopped responding while still listed.
        fault: Path or reporting fault of the zone.
    """
    has_missing_servers = available_fraction < parameters.HEALTHY_FROM_FRACTION
    has_link_fault = fault in (PathFault.LINK, PathFault.ONE_SIDED)
    zone.phase = ZonePhase.DEGRADED if has_missing_servers or has_link_fault else ZonePhase.HEALTHY
    if has_missing_servers:
        zone.cause = "servers"
    elif is_common_outage:
        zone.cause = "common"
    else:
        zone.cause = fault.value

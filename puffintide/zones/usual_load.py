"""The usual load of each zone, which it must still serve when it takes over load of another zone."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from puffintide.zones import parameters
from puffintide.zones.servers import ZoneServers
from puffintide.zones.state import ServerHealth


class UsualLoads:
    """Averages the load of each zone while all zones are healthy."""

    def __init__(self, servers: ZoneServers, zones: Sequence[int]) -> None:
        self._servers = servers
        self._zones = sorted(zones)
        self._loads: dict[int, float] = {}  # Usual loads by zone, from 0 to 1.
        self._healthy_since_s = math.inf

    def load_of(self, zone: int) -> float:
        """Return the usual load of a zone, from 0 to 1; 0 if it is not known."""
        return self._loads.get(zone, 0.0)

    def update(self, now_s: float, health: Mapping[int, ServerHealth], all_healthy: bool) -> None:
        """Add the loads of this round, if all zones have been healthy for USUAL_LOAD_MIN_HEALTHY_S.

        Args:
            now_s: Seconds on the assigner's clock.
            health: Health of the servers that the director knows, by server id.
            all_healthy: Whether all zones are healthy and no operator command is in force.
        """
        if not all_healthy:
            self._healthy_since_s = math.inf
            return
        self._healthy_since_s = min(self._healthy_since_s, now_s)
        if now_s - self._healthy_since_s >= parameters.USUAL_LOAD_MIN_HEALTHY_S:
            for zone in self._zones:
                self._update_average(zone, health)

    def _update_average(self, zone: int, health: Mapping[int, ServerHealth]) -> None:
        """Add the mean load of a zone's ready servers, weighted by their listed weights, to its average."""
        weighted_loads = [
            (self._servers.endpoints[server_id].weight, load)
            for server_id in self._servers.ready_in(zone)
            if server_id in health and (load := health[server_id].load) is not None
        ]
        weight = sum(server_weight for server_weight, _ in weighted_loads)
        if weight <= 0:
            return
        mean = sum(server_weight * load for server_weight, load in weighted_loads) / weight
        previous = self._loads.get(zone, mean)
        smoothing_factor = 1 - math.exp(-parameters.DECISION_PERIOD_S / parameters.USUAL_LOAD_TIME_CONSTANT_S)
        self._loads[zone] = previous + (mean - previous) * smoothing_factor

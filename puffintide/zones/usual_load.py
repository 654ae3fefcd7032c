"""The load of each zone in ordinary times: what it needs for itself when it has to take load of another."""

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
        self._loads: dict[int, float] = {}
        self._healthy_since_s = math.inf

    def load_of(self, zone: int) -> float:
        """Return the usual load of a zone, from 0 to 1; 0 if it is not known."""
        return self._loads.get(zone, 0.0)

    def update(self, now_s: float, health: Mapping[int, ServerHealth], all_healthy: bool) -> None:
        """Take in the loads of this round, if all zones have been healthy for long enough."""
        if not all_healthy:
            self._healthy_since_s = math.inf
            return
        self._healthy_since_s = min(self._healthy_since_s, now_s)
        if now_s - self._healthy_since_s >= parameters.USUAL_LOAD_SETTLING_S:
            for zone in self._zones:
                self._learn(zone, health)

    def _learn(self, zone: int, health: Mapping[int, ServerHealth]) -> None:
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
        gain = 1 - math.exp(-parameters.DECISION_PERIOD_S / parameters.USUAL_LOAD_MEMORY_S)
        self._loads[zone] = previous + (mean - previous) * gain

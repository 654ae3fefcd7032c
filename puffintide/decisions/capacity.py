"""Estimates of load and capacity: capacity is the rate of successful requests over the load.

A lone assigner learns the capacity of each server. Several assigners each see only a part of the requests: they
learn the capacity of a server of listed weight 1 across the fleet, and a server's speed from its service time. They
take the load that remains unexplained for that of other assigners. Where servers report no load it is derived from
requests in flight.
"""

from __future__ import annotations

from puffintide.decisions import parameters
from puffintide.decisions.averages import exponential_average, slow_average
from puffintide.decisions.state import FleetState, ServerState

Reading = tuple[ServerState, float, float]  # server, load, successful requests per second


class CapacityEstimator:
    """Estimates the load and capacity of the servers of a fleet, once a round."""

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self.capacity_per_weight: float | None = None  # per second, of a server of listed weight 1
        self._is_from_peer = False
        self._saturated_in_flight = 0.0  # requests in flight at a full server of listed weight 1

    def adopt_peer_capacity(self, capacity_per_s: float) -> None:
        """Use the capacity that another assigner learned for a server of listed weight 1, until it is learned here.

        Args:
            capacity_per_s: The capacity; 0 if it was not reported.
        """
        if capacity_per_s > 0 and not self.capacity_per_weight:
            self.capacity_per_weight = capacity_per_s
            self._is_from_peer = True

    def unrestricted_capacity(self, server_id: int) -> float:
        """What a server can do now, per second, whatever its recovery level and its limit."""
        return self._warm_capacity(server_id) * self._fleet.warm_up_fraction(server_id)

    def usable_capacity(self, server_id: int) -> float:
        """What may be planned with at a server now, per second, for all assigners together."""
        recovery_fraction = parameters.RECOVERY_LEVELS[self._fleet.servers[server_id].recovery_level]
        fraction = recovery_fraction * self._fleet.capacity_limits.get(server_id, 1.0)
        return self._warm_capacity(server_id) * fraction * self._fleet.warm_up_fraction(server_id)

    def _warm_capacity(self, server_id: int) -> float:
        server = self._fleet.servers[server_id]
        return server.capacity_per_s or (self.capacity_per_weight or 1.0) * server.endpoint.weight

    def is_learned(self) -> bool:
        """Whether any capacity was learned, here or by a peer."""
        if self.capacity_per_weight is not None:
            return True
        return any(server.capacity_per_s for server in self._fleet.ready_servers())

    def update(self) -> None:
        """Estimate the loads and capacities of this round."""
        ready = [server for server in self._fleet.ready_servers() if server.endpoint.weight > 0]
        if "busy" not in self._fleet.settings.load_value_names:
            self._derive_loads_from_in_flight(ready)
        self._disbelieve_low_loads(ready)
        readings = [
            (server, server.load, self._fleet.recent_rate(server.successes))
            for server in ready
            if server.load is not None
        ]
        self._learn_capacity_per_weight(readings)
        if self._fleet.settings.assigner_count == 1:
            self._learn_server_capacities(readings)
        elif self.capacity_per_weight is not None:
            self._learn_relative_speeds(readings)
            for server in ready:
                server.capacity_per_s = (
                    self.capacity_per_weight * server.endpoint.weight * server.relative_speed
                )
            self._learn_other_assigners_load(readings)

    def _derive_loads_from_in_flight(self, ready: list[ServerState]) -> None:
        """Set loads from requests in flight over those of a full server."""
        others_per_weight = self._others_in_flight_per_weight(ready)
        self._estimate_saturated_in_flight(ready, others_per_weight)
        if self._saturated_in_flight <= 0:
            return
        # Own requests tell all to a lone assigner, with less noise; but their time includes a slow network path.
        only_own = self._fleet.settings.assigner_count == 1 and not self._fleet.unreliable_zones
        for server in ready:
            weight = server.endpoint.weight
            own = self._fleet.recent_rate(server.own_in_flight)
            if only_own:
                in_flight = own
            elif server.in_flight is not None:
                in_flight = server.in_flight
            else:
                in_flight = own + self._others_in_flight(server, others_per_weight) * weight
            if own > 0 or (server.in_flight is None and in_flight > 0):
                server.load = min(1.0, in_flight / (weight * self._saturated_in_flight))

    def _others_in_flight_per_weight(self, ready: list[ServerState]) -> float:
        """Requests of other assigners in flight, where servers report none: spread evenly, as slices are hashed."""
        total_weight = sum(
            server.endpoint.weight for server in ready if self._fleet.is_warm(server.server_id)
        )
        own = sum(self._fleet.recent_rate(server.own_in_flight) for server in ready)
        owned_fraction = self._fleet.owned_fraction()
        is_reported = "rif" in self._fleet.settings.load_value_names
        if is_reported or owned_fraction <= 0 or total_weight <= 0:
            return 0.0
        return own * (1 / owned_fraction - 1) / total_weight

    def _others_in_flight(self, server: ServerState, others_per_weight: float) -> float:
        return others_per_weight if self._fleet.is_warm(server.server_id) else 0.0

    def _estimate_saturated_in_flight(self, ready: list[ServerState], others_per_weight: float) -> None:
        """Estimate how many requests a full server has in flight.

        As many servers are full as health checks were delayed; so the count that separates the recorded ones in
        that proportion is that of a full server. Without health checks the median server is taken to be at
        USUAL_LOAD.
        """
        recorded = self._fleet.recorded_checks
        if len(recorded) >= parameters.MIN_RECORDED_HEALTH_CHECKS:
            undelayed = sum(not is_delayed for _, is_delayed in recorded)
            counts = sorted(in_flight for in_flight, _ in recorded)
            self._saturated_in_flight = counts[min(undelayed, len(recorded) - 1)]
            return
        per_weight = sorted(
            self._fleet.recent_rate(server.own_in_flight) / server.endpoint.weight
            + self._others_in_flight(server, others_per_weight)
            for server in ready
        )
        if per_weight and per_weight[len(per_weight) // 2] > 0:
            self._saturated_in_flight = per_weight[len(per_weight) // 2] / parameters.USUAL_LOAD

    def _disbelieve_low_loads(self, ready: list[ServerState]) -> None:
        """Take a server for full that has far more of our requests in flight than it reports."""
        for server in ready:
            if server.load is None or server.load >= parameters.SATURATED_LOAD:
                continue
            if server.in_flight is None or self._fleet.unreliable_zones:
                continue
            reported = parameters.DISBELIEVED_IN_FLIGHT_RATIO * server.in_flight
            own = self._fleet.recent_rate(server.own_in_flight)
            if own > reported + parameters.DISBELIEVED_IN_FLIGHT_MARGIN:
                server.load = 1.0

    def _learn_capacity_per_weight(self, readings: list[Reading]) -> None:
        fleet = self._fleet
        work = sum(server.endpoint.weight * load for server, load, _ in readings)
        own_rate = sum(rate for _, _, rate in readings)
        rate = own_rate * max(1, fleet.settings.slice_count) / max(1, len(fleet.slices))
        total_weight = sum(server.endpoint.weight for server, _, _ in readings)
        if not fleet.slices or rate <= 0 or work <= parameters.IDLE_LOAD / 2 * total_weight:
            return
        # Responses for slices that were revoked say nothing of those that are left.
        rates_match_slices = fleet.now_s - fleet.slice_revoked_s >= fleet.rate_expiry_s()
        if rates_match_slices and self._is_fully_reported():
            self.capacity_per_weight = slow_average(self.capacity_per_weight, rate / work)
        elif fleet.ownership_changed_s <= fleet.first_report_s and not self._is_from_peer:
            self.capacity_per_weight = rate / work  # a first estimate

    def _is_fully_reported(self) -> bool:
        """Whether reports had the time to cover all that is owned."""
        since_s = max(self._fleet.first_report_s, self._fleet.ownership_changed_s)
        settling_s = parameters.SETTLING_REPORT_CYCLES * self._fleet.report_cycle_s()
        return self._fleet.now_s - since_s >= settling_s

    def _learn_server_capacities(self, readings: list[Reading]) -> None:
        is_load_reported = "busy" in self._fleet.settings.load_value_names
        for server, load, rate in readings:
            if self._fleet.is_warm(server.server_id) and load > parameters.IDLE_LOAD and rate > 0:
                shows_all = is_load_reported and load > parameters.OVERLOAD_UTILIZATION
                server.capacity_per_s = slow_average(server.capacity_per_s, rate / load, shows_all)

    def _learn_relative_speeds(self, readings: list[Reading]) -> None:
        """Learn how fast servers are from service times, where these include neither idling nor queueing."""
        timed = [
            (server, server.service_time_s)
            for server, load, _ in readings
            if parameters.IDLE_LOAD < load < parameters.SATURATED_LOAD
            and server.service_time_s
            and self._fleet.is_warm(server.server_id)
        ]
        service_times_s = sorted(service_time_s for _, service_time_s in timed)
        for server, service_time_s in timed:
            median_s = service_times_s[len(service_times_s) // 2]
            speed = min(median_s / service_time_s, parameters.CAPACITY_JUMP_RATIO)
            server.relative_speed = slow_average(server.relative_speed, speed)

    def _learn_other_assigners_load(self, readings: list[Reading]) -> None:
        """Learn the requests per second that other assigners' slices bring: the load that ours do not explain."""
        for server, load, rate in readings:
            served = load * (server.capacity_per_s or 0.0) * self._fleet.warm_up_fraction(server.server_id)
            server.other_assigners_load = exponential_average(
                server.other_assigners_load,
                max(0.0, served - rate),
                parameters.ROUND_PERIOD_S,
                parameters.SLOW_AVERAGE_MEMORY_S,
            )

"""Estimates of load and capacity: capacity is the rate of successful requests divided by the load.

A single assigner learns the capacity of each server. Each of several assigners sees only a part of the
requests. It therefore learns the fleet-wide capacity of a server of listed weight 1, and the relative speed
of each server from its service time. Load that its own requests do not explain is attributed to the other
assigners. If servers report no load, the load is derived from requests in flight.
"""

from __future__ import annotations

from puffintide.decisions import parameters
from puffintide.decisions.averages import exponential_average, slow_average
from puffintide.decisions.state import FleetState, ServerState

LoadSample = tuple[ServerState, float, float]  # A server, its load and its successful requests per second.


class CapacityEstimator:
    """Estimates the load and capacity of each server of a fleet, once per round."""

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        # Capacity of a server of listed weight 1, in requests per second.
        self.capacity_per_weight: float | None = None
        self._is_from_peer = False
        # Requests in flight at a saturated server of listed weight 1.
        self._saturated_in_flight = 0.0

    def adopt_peer_capacity(self, capacity_per_s: float) -> None:
        """Adopt the capacity per listed weight that another assigner has learned, if none is known here.

        Args:
            capacity_per_s: The capacity of a server of listed weight 1, in requests per second, or 0 if
                it was not reported.
        """
        if capacity_per_s > 0 and not self.capacity_per_weight:
            self.capacity_per_weight = capacity_per_s
            self._is_from_peer = True

    def unrestricted_capacity(self, server_id: int) -> float:
        """Return a server's current capacity in requests per second, ignoring recovery level and limit."""
        return self._warm_capacity(server_id) * self._fleet.warm_up_fraction(server_id)

    def usable_capacity(self, server_id: int) -> float:
        """Return the capacity of a server that all assigners together may plan with now, in requests per second."""
        recovery_fraction = parameters.RECOVERY_LEVELS[self._fleet.servers[server_id].recovery_level]
        fraction = recovery_fraction * self._fleet.capacity_limits.get(server_id, 1.0)
        return self._warm_capacity(server_id) * fraction * self._fleet.warm_up_fraction(server_id)

    def _warm_capacity(self, server_id: int) -> float:
        server = self._fleet.servers[server_id]
        return server.capacity_per_s or (self.capacity_per_weight or 1.0) * server.endpoint.weight

    def is_learned(self) -> bool:
        """Return whether any capacity has been learned, by this assigner or by a peer."""
        if self.capacity_per_weight is not None:
            return True
        return any(server.capacity_per_s for server in self._fleet.ready_servers())

    def update(self) -> None:
        """Update the estimated loads and capacities, once per round."""
        ready = [server for server in self._fleet.ready_servers() if server.endpoint.weight > 0]
        if "busy" not in self._fleet.settings.load_value_names:
            self._derive_loads_from_in_flight(ready)
        self._correct_understated_loads(ready)
        samples = [
            (server, server.load, self._fleet.recent_rate(server.successes))
            for server in ready
            if server.load is not None
        ]
        self._learn_capacity_per_weight(samples)
        if self._fleet.settings.assigner_count == 1:
            self._learn_server_capacities(samples)
        elif self.capacity_per_weight is not None:
            self._learn_relative_speeds(samples)
            for server in ready:
                server.capacity_per_s = (
                    self.capacity_per_weight * server.endpoint.weight * server.relative_speed
                )
            self._learn_other_assigners_load(samples)

    def _derive_loads_from_in_flight(self, ready: list[ServerState]) -> None:
        """Set each load to the requests in flight divided by those of a saturated server."""
        others_per_weight = self._others_in_flight_per_weight(ready)
        self._estimate_saturated_in_flight(ready, others_per_weight)
        if self._saturated_in_flight <= 0:
            return
        # A single assigner observes all requests in flight, with less noise than reported values. With
        # unreliable zones it prefers reported values, as the latencies include that of a slow network path.
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
        """Return the in-flight requests of other assigners per unit of listed weight.

        It is 0 if servers report their requests in flight, as no estimate is needed then. Otherwise requests
        are assumed to be spread evenly over warm servers, as slices are assigned by a hash.
        """
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
        """Estimate how many requests a saturated server has in flight.

        The fraction of saturated servers is taken to equal that of delayed health checks. The in-flight count
        of a saturated server is thus the quantile of the recorded counts at that fraction from the top. Without
        enough health checks, the median server is assumed to be at ASSUMED_MEDIAN_LOAD.
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
            self._saturated_in_flight = per_weight[len(per_weight) // 2] / parameters.ASSUMED_MEDIAN_LOAD

    def _correct_understated_loads(self, ready: list[ServerState]) -> None:
        """Treat a server as saturated if it reports far fewer requests in flight than this assigner has."""
        for server in ready:
            if server.load is None or server.load >= parameters.SATURATED_LOAD:
                continue
            if server.in_flight is None or self._fleet.unreliable_zones:
                continue
            reported = parameters.UNDERSTATED_IN_FLIGHT_RATIO * server.in_flight
            own = self._fleet.recent_rate(server.own_in_flight)
            if own > reported + parameters.UNDERSTATED_IN_FLIGHT_MARGIN:
                server.load = 1.0

    def _learn_capacity_per_weight(self, samples: list[LoadSample]) -> None:
        fleet = self._fleet
        work = sum(server.endpoint.weight * load for server, load, _ in samples)
        own_rate = sum(rate for _, _, rate in samples)
        rate = own_rate * max(1, fleet.settings.slice_count) / max(1, len(fleet.slices))
        total_weight = sum(server.endpoint.weight for server, _, _ in samples)
        if not fleet.slices or rate <= 0 or work <= parameters.IDLE_LOAD / 2 * total_weight:
            return
        # Rates that still include responses for revoked slices do not match the slices that are left.
        rates_match_slices = fleet.now_s - fleet.slice_revoked_s >= fleet.rate_expiry_s()
        if rates_match_slices and self._is_fully_reported():
            self.capacity_per_weight = slow_average(self.capacity_per_weight, rate / work)
        elif fleet.ownership_changed_s <= fleet.first_report_s and not self._is_from_peer:
            self.capacity_per_weight = rate / work  # First estimate, from incomplete reports.

    def _is_fully_reported(self) -> bool:
        """Return whether reports have had the time to cover all owned slices."""
        since_s = max(self._fleet.first_report_s, self._fleet.ownership_changed_s)
        settling_s = parameters.SETTLING_REPORT_CYCLES * self._fleet.report_cycle_s()
        return self._fleet.now_s - since_s >= settling_s

    def _learn_server_capacities(self, samples: list[LoadSample]) -> None:
        is_load_reported = "busy" in self._fleet.settings.load_value_names
        for server, load, rate in samples:
            if self._fleet.is_warm(server.server_id) and load > parameters.IDLE_LOAD and rate > 0:
                is_reliable = is_load_reported and load > parameters.OVERLOAD_UTILIZATION
                server.capacity_per_s = slow_average(server.capacity_per_s, rate / load, is_reliable)

    def _learn_relative_speeds(self, samples: list[LoadSample]) -> None:
        """Learn relative speeds from the service times of servers that are neither idle nor saturated."""
        measured = [
            (server, server.service_time_s)
            for server, load, _ in samples
            if parameters.IDLE_LOAD < load < parameters.SATURATED_LOAD
            and server.service_time_s
            and self._fleet.is_warm(server.server_id)
        ]
        service_times_s = sorted(service_time_s for _, service_time_s in measured)
        for server, service_time_s in measured:
            median_s = service_times_s[len(service_times_s) // 2]
            speed = min(median_s / service_time_s, parameters.CAPACITY_JUMP_RATIO)
            server.relative_speed = slow_average(server.relative_speed, speed)

    def _learn_other_assigners_load(self, samples: list[LoadSample]) -> None:
        """Learn the requests per second of other assigners, which this assigner's requests do not explain."""
        for server, load, rate in samples:
            served = load * (server.capacity_per_s or 0.0) * self._fleet.warm_up_fraction(server.server_id)
            server.other_assigners_load = exponential_average(
                server.other_assigners_load,
                max(0.0, served - rate),
                parameters.ROUND_PERIOD_S,
                parameters.SLOW_AVERAGE_TIME_CONSTANT_S,
            )

"""Projection of the load that a plan causes on each server, and search for servers with capacity for a slice.

Rates, loads and capacities are in requests per second. A slice that is split has several parts of equal rate,
each on a different server.
"""

from __future__ import annotations

import math

from puffintide.decisions import parameters
from puffintide.decisions.capacity import CapacityEstimator
from puffintide.decisions.ranking import AlternateRanking, is_exclusive
from puffintide.decisions.state import FleetState

Plan = dict[int, list[int]]  # Server ids by slice id.

MIN_CAPACITY = 1e-9  # Smallest divisor, in requests per second; avoids a division by zero.


def default_plan(fleet: FleetState) -> Plan:
    """Return the plan in which every slice is on its default server."""
    return {
        slice_id: [] if slice_state.default_server is None else [slice_state.default_server]
        for slice_id, slice_state in sorted(fleet.slices.items())
    }


class Projection:
    """The plan of a round under construction, and the load that it causes.

    The plan starts with every slice on its default server.

    Attributes:
        plan: The servers of each slice.
        capacity: The part of each ready server's capacity that the plan may use.
        load: The planned load of each ready server, including the load of other assigners.
        base_load: The load before slices are moved off their servers; it is the same for every assigner.
        usable: The servers that slices may be placed on.
        warm: The usable servers that have their full capacity.
        warming: The usable servers that are warming up.
        all_warming: Whether all ready servers are warming up.
        is_divided_evenly: Whether each assigner uses an equal part of every server's spare capacity.
        part_count: The number of parts into which each slice is split.
        part_rate: The rate of one part of each slice.
    """

    def __init__(self, fleet: FleetState, estimator: CapacityEstimator, ranking: AlternateRanking) -> None:
        self._fleet = fleet
        self._ranking = ranking
        self.plan = default_plan(fleet)
        self.capacity = {
            server_id: estimator.usable_capacity(server_id)
            for server_id in sorted(fleet.servers)
            if fleet.is_ready(server_id)
        }
        ranking.set_candidates(self.capacity)
        self.load = {
            server_id: fleet.servers[server_id].other_assigners_load or 0.0 for server_id in self.capacity
        }
        self.usable = self._find_usable_servers()
        if not self.usable:  # Any ready server, even an ejected one, is better than none.
            self.usable = set(self.capacity)
            self.capacity = {
                server_id: estimator.unrestricted_capacity(server_id) for server_id in self.capacity
            }
        self.warm = {server_id for server_id in self.usable if fleet.is_warm(server_id)}
        self.warming = self.usable - self.warm
        self.all_warming = not any(fleet.is_warm(server_id) for server_id in self.capacity)
        self.is_divided_evenly = self._can_divide_evenly()
        self._quota = {server_id: self._quota_of(server_id) for server_id in self.capacity}
        self.part_count: dict[int, int] = {}
        self.part_rate: dict[int, float] = {}
        self._project_load()
        self.base_load: dict[int, float] = {}
        self._total_load = sum(self.load[server_id] for server_id in self.usable)
        self._total_capacity = max(sum(self.capacity[server_id] for server_id in self.usable), MIN_CAPACITY)

    def record_base_load(self) -> None:
        """Record the current loads as the base load.

        All assigners see it alike, and each takes its quota of the spare capacity above it.
        """
        self.base_load = dict(self.load)

    def _find_usable_servers(self) -> set[int]:
        """Return the servers that may take slices: not ejected, not withdrawn, limit above 0."""
        fleet = self._fleet
        usable = {
            server_id
            for server_id in self.capacity
            if fleet.servers[server_id].recovery_level * fleet.capacity_limits.get(server_id, 1.0) > 0
        }
        return usable - fleet.withdrawn_servers

    def _can_divide_evenly(self) -> bool:
        """Return whether assigners can evenly divide every server's spare capacity and excess load.

        All assigners see the same spare capacity. If an equal part would be too small for
        MIN_SLICES_PER_QUOTA slices, each assigner instead gets all the spare capacity of some servers, and
        sheds its own part of the load.
        """
        assigner_count = self._fleet.settings.assigner_count
        required_slices = parameters.MIN_SLICES_PER_QUOTA * len(self.capacity) * assigner_count
        return assigner_count == 1 or self._fleet.settings.slice_count >= required_slices

    def _quota_of(self, server_id: int) -> float:
        """Return the fraction of a server's spare capacity that this assigner may use."""
        if self.is_divided_evenly:
            return 1 / self._fleet.settings.assigner_count
        return float(is_exclusive(self._fleet, server_id))

    def _project_load(self) -> None:
        """Determine the parts of each slice, and add its load to its default server."""
        largest_capacity = max(self.capacity.values(), default=0.0)
        for slice_id, slice_state in sorted(self._fleet.slices.items()):
            rate = self._fleet.request_rate(slice_state)
            default_ids = self.plan[slice_id]
            default_capacity = max((self.capacity.get(s, 0.0) for s in default_ids), default=0.0)
            parts = self._count_parts(
                rate, default_capacity or largest_capacity, len(slice_state.assigned_servers)
            )
            self.part_count[slice_id] = parts
            self.part_rate[slice_id] = rate / parts
            for server_id in default_ids:
                if server_id in self.load:
                    self.load[server_id] += self.cached_load(slice_id, server_id)

    def _count_parts(self, rate: float, capacity: float, current_parts: int) -> int:
        limit = parameters.SPLIT_UTILIZATION
        if current_parts > 1:
            limit = parameters.MERGE_RATIO * parameters.SPLIT_UTILIZATION
        if self._fleet.settings.single_writer or capacity <= 0 or rate <= limit * capacity:
            return 1
        needed = math.ceil(rate / (parameters.SPLIT_UTILIZATION * capacity))
        return min(parameters.MAX_SERVERS_PER_SLICE, max(current_parts, needed))

    def cached_load(self, slice_id: int, server_id: int) -> float:
        """Return the load of a part of a slice on a server that already serves it."""
        miss_cost = parameters.WARMING_CACHE_MISS_COST if server_id in self.warming else 1.0
        return self.part_rate[slice_id] * miss_cost

    def added_load(self, slice_id: int, server_id: int) -> float:
        """Return the load that a part of a slice would add to a server.

        The load is higher if the server has not cached the keys. On a warm server, split slices have no such
        extra load, as the few keys that make a slice hot are soon cached on any server.
        """
        part_rate = self.part_rate[slice_id]
        if not self._fleet.settings.caches_keys:
            return part_rate
        if server_id in self.warming:
            return part_rate * parameters.WARMING_CACHE_MISS_COST
        assigned_ids = self._fleet.slices[slice_id].assigned_servers
        if self.part_count[slice_id] > 1 or server_id in assigned_ids:
            return part_rate
        return part_rate * parameters.CACHE_MISS_COST

    def find_alternate(self, slice_id: int, max_utilization: float) -> int | None:
        """Return the first alternate that has capacity for a part of a slice, or None.

        Without zone distances, an alternate that stays below the fleet's mean utilization is preferred.
        """
        if not self._fleet.settings.zone_distances:  # Otherwise the nearest servers are filled first.
            mean_utilization = self._total_load / self._total_capacity
            alternate = self._find_alternate_below(
                slice_id, min(parameters.ALTERNATE_MAX_UTILIZATION, mean_utilization)
            )
            if alternate is not None:
                return alternate
        return self._find_alternate_below(slice_id, max_utilization)

    def _find_alternate_below(self, slice_id: int, max_utilization: float) -> int | None:
        usable = self.usable
        planned_ids = self.plan[slice_id]
        for server_id in self._ranking.alternates(slice_id):
            if server_id not in usable or server_id in planned_ids:
                continue
            added_load = self.added_load(slice_id, server_id)
            capacity = self.capacity[server_id]
            # A key that becomes hot first appears as a slice that is large for a server that is warming up.
            if server_id in self.warming and added_load > parameters.SPLIT_UTILIZATION * capacity:
                continue
            base_load = self.base_load[server_id]
            spare = (max_utilization * capacity - base_load) * self._quota[server_id]
            if self.load[server_id] + added_load <= base_load + spare:
                return server_id
        return None

    def lowest_utilization_server(self, slice_id: int) -> int | None:
        """Return the server with the lowest utilization, or None; warm servers are preferred.

        If all servers are warming up, the result is limited to a server that stays within a safe load.
        """
        candidates = [
            server_id
            for server_id in sorted(self.usable)
            if server_id not in self.plan[slice_id] and self.capacity[server_id] > 0
        ]
        best = min(
            candidates, key=lambda server_id: self._placement_sort_key(slice_id, server_id), default=None
        )
        if best is None or not self.all_warming:
            return best
        base_load = self.base_load[best]
        spare = (self.safe_load(best) - base_load) / self._fleet.settings.assigner_count
        return best if self.load[best] + self.added_load(slice_id, best) <= base_load + spare else None

    def _placement_sort_key(self, slice_id: int, server_id: int) -> tuple[bool, float]:
        """Return a key that sorts warm servers first, then by utilization with a part of the slice added."""
        load = self.load[server_id] + self.added_load(slice_id, server_id)
        return server_id not in self.warm, load / self.capacity[server_id]

    def safe_load(self, server_id: int) -> float:
        """Return a load that a warming server can take without collapsing."""
        collapse_ratio = self._fleet.settings.collapse_load_ratio
        return parameters.WARMING_SAFE_FRACTION * collapse_ratio * self.capacity[server_id]

    def move(self, slice_id: int, old_id: int | None, new_id: int) -> None:
        """Move a part of a slice between servers, or add a part if there is no old server."""
        added_load = self.added_load(slice_id, new_id)
        self.load[new_id] += added_load
        self._total_load += added_load - (self.part_rate[slice_id] if old_id in self.usable else 0.0)
        if old_id is not None:
            self.plan[slice_id].remove(old_id)
            if old_id in self.load:
                self.load[old_id] -= self.cached_load(slice_id, old_id)
        self.plan[slice_id].append(new_id)

    def drop(self, slice_id: int, server_id: int) -> None:
        """Remove a slice from the plan, and the load of one part of it from a server that is warming up."""
        self.plan[slice_id] = []
        self.load[server_id] -= self.part_rate[slice_id] * parameters.WARMING_CACHE_MISS_COST

    def split_in_two(self, slice_id: int) -> None:
        """Split a slice on a single warming server into two parts; the second one is not placed yet."""
        self.part_count[slice_id] = 2
        self.part_rate[slice_id] /= 2
        self.load[self.plan[slice_id][0]] -= self.part_rate[slice_id] * parameters.WARMING_CACHE_MISS_COST

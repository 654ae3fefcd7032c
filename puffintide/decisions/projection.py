"""The load that a plan brings to each server, and the servers that have capacity for a slice.

Rates, loads and capacities are requests per second. A slice that is spread has several parts of equal rate, each at
a server of its own.
"""

from __future__ import annotations

import math

from puffintide.decisions import parameters
from puffintide.decisions.capacity import CapacityEstimator
from puffintide.decisions.ranking import AlternateRanking, is_exclusive
from puffintide.decisions.state import FleetState

Plan = dict[int, list[int]]  # the servers of each slice

MIN_CAPACITY = 1e-9  # requests per second, in place of 0 as a divisor


def default_plan(fleet: FleetState) -> Plan:
    """Return the plan in which every slice is on its default server."""
    return {
        slice_id: [] if slice_state.default_server is None else [slice_state.default_server]
        for slice_id, slice_state in sorted(fleet.slices.items())
    }


class Projection:
    """The plan of a round while it is made, at first every slice on its default server, and the load it brings.

    Attributes:
        plan: The servers of each slice.
        capacity: What may be planned with, of each ready server.
        load: What the plan brings to each ready server, with the load of other assigners.
        base_load: The load before slices are moved off their servers, which every assigner sees alike.
        usable: Servers that slices may be placed on.
        warm: Usable servers that have all of their capacity.
        warming: Usable servers that are warming up.
        only_warming: Whether all ready servers are warming up.
        is_divided_evenly: Whether each assigner takes its part of every server's spare capacity.
        part_count: Into how many parts each slice is divided.
        part_rate: The rate of a part of each slice.
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
        if not self.usable:  # ejected servers are better than none
            self.usable = set(self.capacity)
            self.capacity = {
                server_id: estimator.unrestricted_capacity(server_id) for server_id in self.capacity
            }
        self.warm = {server_id for server_id in self.usable if fleet.is_warm(server_id)}
        self.warming = self.usable - self.warm
        self.only_warming = not any(fleet.is_warm(server_id) for server_id in self.capacity)
        self.is_divided_evenly = self._can_divide_evenly()
        self._quota = {server_id: self._quota_of(server_id) for server_id in self.capacity}
        self.part_count: dict[int, int] = {}
        self.part_rate: dict[int, float] = {}
        self._project_load()
        self.base_load: dict[int, float] = {}
        self._total_load = sum(self.load[server_id] for server_id in self.usable)
        self._total_capacity = max(sum(self.capacity[server_id] for server_id in self.usable), MIN_CAPACITY)

    def fix_base_load(self) -> None:
        """State that loads are now what every assigner sees; each takes its quota of spare capacity from there."""
        self.base_load = dict(self.load)

    def _find_usable_servers(self) -> set[int]:
        """Servers that may take slices: not ejected, not limited to nothing, not withdrawn."""
        fleet = self._fleet
        usable = {
            server_id
            for server_id in self.capacity
            if fleet.servers[server_id].recovery_level * fleet.capacity_limits.get(server_id, 1.0) > 0
        }
        return usable - fleet.withdrawn_servers

    def _can_divide_evenly(self) -> bool:
        """Whether each assigner can take its part of every server's spare capacity and excess load.

        All assigners see the same spare capacity. Where a part of it would hold less than some slices, each has all
        the spare capacity of some servers instead, and sheds its part of the load.
        """
        assigner_count = self._fleet.settings.assigner_count
        slots = parameters.MIN_SLICES_PER_QUOTA * len(self.capacity) * assigner_count
        return assigner_count == 1 or self._fleet.settings.slice_count >= slots

    def _quota_of(self, server_id: int) -> float:
        """The fraction of a server's spare capacity that this assigner may use."""
        if self.is_divided_evenly:
            return 1 / self._fleet.settings.assigner_count
        return float(is_exclusive(self._fleet, server_id))

    def _project_load(self) -> None:
        """Add the load of each slice at its default server, and work out into how many parts hot slices go."""
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
        """The load of a part of a slice at a server that it is on."""
        miss_cost = parameters.WARMING_CACHE_MISS_COST if server_id in self.warming else 1.0
        return self.part_rate[slice_id] * miss_cost

    def cost(self, slice_id: int, server_id: int) -> float:
        """The load that a part of a slice would bring to a server, more where its keys are not cached.

        The few keys that make a slice hot are soon cached anywhere.
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

        One that stays below the fleet's mean utilization is preferred.
        """
        if not self._fleet.settings.zone_distances:  # else the nearest are filled first
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
            cost = self.cost(slice_id, server_id)
            capacity = self.capacity[server_id]
            # A key that becomes hot shows first as a slice that is large for a server that is warming up.
            if server_id in self.warming and cost > parameters.SPLIT_UTILIZATION * capacity:
                continue
            base_load = self.base_load[server_id]
            spare = (max_utilization * capacity - base_load) * self._quota[server_id]
            if self.load[server_id] + cost <= base_load + spare:
                return server_id
        return None

    def lowest_utilization_server(self, slice_id: int) -> int | None:
        """Return the warm server with most spare capacity, or one that is warming up, up to a safe load."""
        candidates = [
            server_id
            for server_id in sorted(self.usable)
            if server_id not in self.plan[slice_id] and self.capacity[server_id] > 0
        ]
        best = min(candidates, key=lambda server_id: self._preference(slice_id, server_id), default=None)
        if best is None or not self.only_warming:
            return best
        base_load = self.base_load[best]
        spare = (self.safe_load(best) - base_load) / self._fleet.settings.assigner_count
        return best if self.load[best] + self.cost(slice_id, best) <= base_load + spare else None

    def _preference(self, slice_id: int, server_id: int) -> tuple[bool, float]:
        """Sorts warm servers first, then by the utilization that a part of a slice would bring."""
        load = self.load[server_id] + self.cost(slice_id, server_id)
        return server_id not in self.warm, load / self.capacity[server_id]

    def safe_load(self, server_id: int) -> float:
        """A load that a server that is warming up withstands."""
        collapse_ratio = self._fleet.settings.collapse_load_ratio
        return parameters.WARMING_SAFE_FRACTION * collapse_ratio * self.capacity[server_id]

    def move(self, slice_id: int, old_id: int | None, new_id: int) -> None:
        """Move a part of a slice between servers, or add one if there is no old server."""
        cost = self.cost(slice_id, new_id)
        self.load[new_id] += cost
        self._total_load += cost - (self.part_rate[slice_id] if old_id in self.usable else 0.0)
        if old_id is not None:
            self.plan[slice_id].remove(old_id)
            if old_id in self.load:
                self.load[old_id] -= self.cached_load(slice_id, old_id)
        self.plan[slice_id].append(new_id)

    def drop(self, slice_id: int, server_id: int) -> None:
        """Take a part of a slice off a server that is warming up, and the slice out of the plan."""
        self.plan[slice_id] = []
        self.load[server_id] -= self.part_rate[slice_id] * parameters.WARMING_CACHE_MISS_COST

    def divide_in_two(self, slice_id: int) -> None:
        """Divide a slice that is on one server, which is warming up, into two parts; the second is not placed."""
        self.part_count[slice_id] = 2
        self.part_rate[slice_id] /= 2
        self.load[self.plan[slice_id][0]] -= self.part_rate[slice_id] * parameters.WARMING_CACHE_MISS_COST

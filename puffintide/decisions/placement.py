"""Placement of slices: each round plans anew from the default servers, and detours just enough slices from them.

This is the allocator of Edge Fabric (SIGCOMM 2017, section 5.1): load is projected as if every slice were on its
default server; servers above a threshold then shed slices, in order, to alternates that have capacity.
docs/design.md tells what was added, and why.
"""

from __future__ import annotations

from collections import defaultdict

from puffintide.decisions import parameters
from puffintide.decisions.capacity import CapacityEstimator
from puffintide.decisions.health import shows_no_queueing
from puffintide.decisions.projection import Plan, Projection
from puffintide.decisions.ranking import AlternateRanking
from puffintide.decisions.state import FleetState

MIN_LOAD = 1e-9  # requests per second, in place of 0 as a divisor


def plan_slices(fleet: FleetState, estimator: CapacityEstimator, ranking: AlternateRanking) -> Plan:
    """Return the servers that each slice should be on now."""
    return PlacementPass(fleet, Projection(fleet, estimator, ranking)).run()


class PlacementPass:
    """One pass over all slices, in phases that each move some of them."""

    def __init__(self, fleet: FleetState, projection: Projection) -> None:
        self._fleet = fleet
        self._projection = projection

    def run(self) -> Plan:
        """Return the servers of each slice after all phases."""
        self._retain_current_alternates()
        self._projection.fix_base_load()
        self._move_off_unavailable_servers()
        self._shed_overloaded_servers()
        self._duplicate_fragile_slices()
        self._spread_hot_slices()
        return self._projection.plan

    def _retain_current_alternates(self) -> None:
        """Leave slices on their alternates until their default servers have capacity to spare."""
        projection = self._projection
        for slice_id, slice_state in sorted(self._fleet.slices.items()):
            default_id = slice_state.default_server
            assigned_ids = slice_state.assigned_servers
            if not assigned_ids or default_id is None or default_id in assigned_ids:
                continue
            candidates = projection.usable if default_id in projection.warm else projection.capacity
            current_id = next((server_id for server_id in assigned_ids if server_id in candidates), None)
            if current_id is None or self._has_capacity_to_return(default_id):
                continue
            if default_id not in projection.warm or self._stays_within_capacity(slice_id, current_id):
                projection.move(slice_id, default_id, current_id)

    def _has_capacity_to_return(self, server_id: int) -> bool:
        projection = self._projection
        if server_id not in projection.usable:
            return False
        limit = parameters.RETURN_UTILIZATION * projection.capacity[server_id]
        return projection.load[server_id] <= limit

    def _stays_within_capacity(self, slice_id: int, server_id: int) -> bool:
        """Whether a server can keep a part of a slice whose keys it has cached."""
        projection = self._projection
        load = projection.load[server_id] + projection.part_rate[slice_id]
        return load <= parameters.MAX_UTILIZATION * projection.capacity[server_id]

    def _would_overload(self, slice_id: int, server_id: int) -> bool:
        """Whether moving a part of a slice to a server would exceed the server's capacity."""
        projection = self._projection
        load = projection.load[server_id] + projection.cost(slice_id, server_id)
        return load > parameters.MAX_UTILIZATION * projection.capacity[server_id]

    def _find_server(self, slice_id: int) -> int | None:
        """Return an alternate that has capacity, else the least utilized server, if there is any."""
        projection = self._projection
        alternate_id = projection.find_alternate(slice_id, parameters.ALTERNATE_MAX_UTILIZATION)
        # Server 0 counts as none here, and is taken only as the least utilized.
        return alternate_id or projection.lowest_utilization_server(slice_id)

    def _move_off_unavailable_servers(self) -> None:
        """Move slices off draining and removed servers, and off ejected ones if that overloads no other."""
        projection = self._projection
        for slice_id in sorted(self._fleet.slices):
            old_id = next(iter(projection.plan[slice_id]), None)
            if old_id in projection.usable:
                continue
            new_id = self._find_server(slice_id)
            assigned_ids = self._fleet.slices[slice_id].assigned_servers
            is_still_there = old_id in projection.capacity and old_id in assigned_ids
            if new_id is not None and not (is_still_there and self._would_overload(slice_id, new_id)):
                projection.move(slice_id, old_id, new_id)
            elif old_id is not None and old_id not in projection.capacity:
                projection.plan[slice_id] = []

    def _shed_overloaded_servers(self) -> None:
        """Move slices, in the order of their ids, off servers above the threshold."""
        projection = self._projection
        slices_by_server: defaultdict[int, list[int]] = defaultdict(list)
        for slice_id in sorted(self._fleet.slices):
            for server_id in projection.plan[slice_id]:
                slices_by_server[server_id].append(slice_id)
        for server_id in sorted(projection.usable):
            is_warm = server_id in projection.warm
            if not (is_warm and shows_no_queueing(self._fleet, self._fleet.servers[server_id])):
                self._shed(server_id, slices_by_server[server_id])

    def _shed(self, server_id: int, slice_ids: list[int]) -> None:
        projection = self._projection
        capacity = projection.capacity[server_id]
        max_load = self._load_to_shed_to(server_id)
        for slice_id in slice_ids:
            if projection.load[server_id] <= max_load:
                break
            if projection.part_rate[slice_id] <= parameters.MIN_MOVED_SLICE_UTILIZATION * capacity:
                continue
            target_id = self._find_shedding_target(slice_id, server_id)
            if target_id is not None:
                projection.move(slice_id, server_id, target_id)
            elif projection.only_warming and projection.load[server_id] > projection.safe_load(server_id):
                # Nothing but servers that are warming up: a slice is left unserved rather than a server to fail.
                projection.drop(slice_id, server_id)

    def _load_to_shed_to(self, server_id: int) -> float:
        """The load down to which this assigner sheds: the threshold, and the excess that others shed."""
        projection = self._projection
        threshold = parameters.OVERLOAD_UTILIZATION * projection.capacity[server_id]
        if server_id not in projection.warm:
            return threshold
        base_load = projection.base_load[server_id]
        excess = max(0.0, base_load - threshold)
        if projection.is_divided_evenly:
            own_fraction = 1 / self._fleet.settings.assigner_count
        else:
            others_load = self._fleet.servers[server_id].other_assigners_load or 0.0
            own_fraction = 1 - others_load / max(base_load, MIN_LOAD)
        return threshold + excess * (1 - own_fraction)

    def _find_shedding_target(self, slice_id: int, server_id: int) -> int | None:
        """Return the server that takes a part of a slice from an overloaded one, or None."""
        projection = self._projection
        target_id = projection.find_alternate(slice_id, parameters.ALTERNATE_MAX_UTILIZATION)
        if target_id is None and server_id not in projection.warm:
            lowest_utilization_id = projection.lowest_utilization_server(slice_id)
            target_id = lowest_utilization_id if lowest_utilization_id in projection.warm else None
        if target_id is None and self._is_overwhelmed(server_id):
            target_id = projection.find_alternate(slice_id, parameters.MAX_UTILIZATION)
        return target_id

    def _is_overwhelmed(self, server_id: int) -> bool:
        """Whether so much is planned on a server and fails there that any other within its capacity is better."""
        projection = self._projection
        failure_fraction = self._fleet.servers[server_id].failure_fraction or 0.0
        limit = parameters.OVERWHELMED_UTILIZATION * projection.capacity[server_id]
        is_failing = failure_fraction > parameters.OVERWHELMED_FAILURE_FRACTION
        return is_failing and projection.load[server_id] > limit

    def _duplicate_fragile_slices(self) -> None:
        """Give a second server to slices that stand alone on one that a key that becomes hot would make fail."""
        if self._fleet.settings.single_writer:
            return
        projection = self._projection
        collapse_ratio = self._fleet.settings.collapse_load_ratio
        fragile_ids = {
            server_id
            for server_id in projection.warming
            if collapse_ratio * self._fleet.warm_up_fraction(server_id) < parameters.HOT_KEY_SURGE
        }
        for slice_id in sorted(self._fleet.slices):
            planned_ids = projection.plan[slice_id]
            if projection.part_count[slice_id] == 1 and planned_ids and planned_ids[0] in fragile_ids:
                projection.divide_in_two(slice_id)

    def _spread_hot_slices(self) -> None:
        """Place the further parts of slices that are divided."""
        for slice_id in sorted(self._fleet.slices):
            self._assign_additional_servers(slice_id)
            if len(self._projection.plan[slice_id]) < self._projection.part_count[slice_id]:
                self._leave_warming_servers(slice_id)

    def _assign_additional_servers(self, slice_id: int) -> None:
        projection = self._projection
        planned_ids = projection.plan[slice_id]
        while planned_ids and len(planned_ids) < projection.part_count[slice_id]:
            target_id = self._current_server_to_retain(slice_id)
            if target_id is None:
                target_id = self._find_server(slice_id)
            if target_id is None or self._would_overload(slice_id, target_id):
                break
            projection.move(slice_id, None, target_id)

    def _current_server_to_retain(self, slice_id: int) -> int | None:
        projection = self._projection
        for server_id in self._fleet.slices[slice_id].assigned_servers:
            is_candidate = server_id in projection.usable and server_id not in projection.plan[slice_id]
            if is_candidate and self._stays_within_capacity(slice_id, server_id):
                return server_id
        return None

    def _leave_warming_servers(self, slice_id: int) -> None:
        """Move a slice off servers that are warming up, as the parts without a server of their own fall on all."""
        projection = self._projection
        for server_id in [s for s in projection.plan[slice_id] if s in projection.warming]:
            target_id = projection.lowest_utilization_server(slice_id)
            if target_id in projection.warm:
                projection.move(slice_id, server_id, target_id)

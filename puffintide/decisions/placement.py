"""Placement of slices: each round starts from the default servers and moves just enough slices to alternates.

This is the allocator of Edge Fabric (SIGCOMM 2017, section 5.1). Load is projected as if every slice were on
its default server. Servers above a threshold then shed slices, in order, to alternates that have capacity.
docs/design.md describes the additions to it and their reasons.
"""

from __future__ import annotations

from collections import defaultdict

from puffintide.decisions import parameters
from puffintide.decisions.capacity import CapacityEstimator
from puffintide.decisions.health import shows_no_queueing
from puffintide.decisions.projection import Plan, Projection
from puffintide.decisions.ranking import AlternateRanking
from puffintide.decisions.state import FleetState

MIN_LOAD = 1e-9  # Smallest divisor, in requests per second; avoids a division by zero.


def plan_slices(fleet: FleetState, estimator: CapacityEstimator, ranking: AlternateRanking) -> Plan:
    """Return the plan for this round: the servers that each slice should be on."""
    return PlacementPass(fleet, Projection(fleet, estimator, ranking)).run()


class PlacementPass:
    """A pass over all slices that plans their servers in several phases."""

    def __init__(self, fleet: FleetState, projection: Projection) -> None:
        self._fleet = fleet
        self._projection = projection

    def run(self) -> Plan:
        """Run all phases and return the resulting plan."""
        self._retain_current_alternates()
        self._projection.record_base_load()
        self._move_off_unavailable_servers()
        self._shed_overloaded_servers()
        self._duplicate_slices_on_collapse_prone_servers()
        self._spread_hot_slices()
        return self._projection.plan

    def _retain_current_alternates(self) -> None:
        """Keep slices on their current alternates until their default servers have spare capacity."""
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
        """Return whether a server has capacity for a part of a slice whose keys it has cached."""
        projection = self._projection
        load = projection.load[server_id] + projection.part_rate[slice_id]
        return load <= parameters.MAX_UTILIZATION * projection.capacity[server_id]

    def _would_overload(self, slice_id: int, server_id: int) -> bool:
        """Return whether moving a part of a slice to a server would exceed the server's capacity."""
        projection = self._projection
        load = projection.load[server_id] + projection.added_load(slice_id, server_id)
        return load > parameters.MAX_UTILIZATION * projection.capacity[server_id]

    def _find_server(self, slice_id: int) -> int | None:
        """Return an alternate that has capacity, or else the server with the lowest utilization, if any."""
        projection = self._projection
        alternate_id = projection.find_alternate(slice_id, parameters.ALTERNATE_MAX_UTILIZATION)
        # An alternate with id 0 is falsy here, so server 0 is returned only as the least utilized server.
        return alternate_id or projection.lowest_utilization_server(slice_id)

    def _move_off_unavailable_servers(self) -> None:
        """Move slices off draining and removed servers, and off ejected ones unless that overloads another.

        Withdrawn servers and those with limit 0 are treated like ejected ones.
        """
        projection = self._projection
        for slice_id in sorted(self._fleet.slices):
            old_id = next(iter(projection.plan[slice_id]), None)
            if old_id in projection.usable:
                continue
            new_id = self._find_server(slice_id)
            assigned_ids = self._fleet.slices[slice_id].assigned_servers
            is_still_assigned = old_id in projection.capacity and old_id in assigned_ids
            if new_id is not None and not (is_still_assigned and self._would_overload(slice_id, new_id)):
                projection.move(slice_id, old_id, new_id)
            elif old_id is not None and old_id not in projection.capacity:
                projection.plan[slice_id] = []

    def _shed_overloaded_servers(self) -> None:
        """Move slices off servers above the overload threshold, in the order of slice ids."""
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
        target_load = self._shedding_target_load(server_id)
        for slice_id in slice_ids:
            if projection.load[server_id] <= target_load:
                break
            if projection.part_rate[slice_id] <= parameters.MIN_MOVED_SLICE_UTILIZATION * capacity:
                continue
            target_id = self._find_shedding_target(slice_id, server_id)
            if target_id is not None:
                projection.move(slice_id, server_id, target_id)
            elif projection.all_warming and projection.load[server_id] > projection.safe_load(server_id):
                # All servers are warming up. An unserved slice is better than a collapsed server.
                projection.drop(slice_id, server_id)

    def _shedding_target_load(self, server_id: int) -> float:
        """Return the load down to which this assigner sheds slices from a server.

        It is the overload threshold. For a warm server, the part of the excess that other assigners shed is
        added.
        """
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
        if target_id is None and self._is_severely_overloaded(server_id):
            target_id = projection.find_alternate(slice_id, parameters.MAX_UTILIZATION)
        return target_id

    def _is_severely_overloaded(self, server_id: int) -> bool:
        """Return whether a server is planned far above its capacity and many of its attempts fail.

        Slices then move to any server that stays within its full capacity.
        """
        projection = self._projection
        failure_fraction = self._fleet.servers[server_id].failure_fraction or 0.0
        limit = parameters.SEVERE_OVERLOAD_UTILIZATION * projection.capacity[server_id]
        is_failing = failure_fraction > parameters.SEVERE_OVERLOAD_FAILURE_FRACTION
        return is_failing and projection.load[server_id] > limit

    def _duplicate_slices_on_collapse_prone_servers(self) -> None:
        """Split slices in two that are only on a warming server that one new hot key can collapse.

        The second part is placed together with those of hot slices.
        """
        if self._fleet.settings.single_writer:
            return
        projection = self._projection
        collapse_ratio = self._fleet.settings.collapse_load_ratio
        collapse_prone_ids = {
            server_id
            for server_id in projection.warming
            if collapse_ratio * self._fleet.warm_up_fraction(server_id) < parameters.HOT_KEY_SURGE
        }
        for slice_id in sorted(self._fleet.slices):
            planned_ids = projection.plan[slice_id]
            if projection.part_count[slice_id] == 1 and planned_ids and planned_ids[0] in collapse_prone_ids:
                projection.split_in_two(slice_id)

    def _spread_hot_slices(self) -> None:
        """Place the additional parts of slices that are split over several servers."""
        for slice_id in sorted(self._fleet.slices):
            self._assign_additional_servers(slice_id)
            if len(self._projection.plan[slice_id]) < self._projection.part_count[slice_id]:
                self._move_off_warming_servers(slice_id)

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

    def _move_off_warming_servers(self, slice_id: int) -> None:
        """Move a slice off servers that are warming up.

        The load of parts for which no server was found falls on the planned servers, and could overload
        warming ones.
        """
        projection = self._projection
        for server_id in [s for s in projection.plan[slice_id] if s in projection.warming]:
            target_id = projection.lowest_utilization_server(slice_id)
            if target_id in projection.warm:
                projection.move(slice_id, server_id, target_id)

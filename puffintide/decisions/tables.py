"""The tables of slices: which weights a plan asks for, and which entries of a table have to change."""

from __future__ import annotations

from puffintide.decisions import parameters
from puffintide.decisions.actions import SetWeight
from puffintide.decisions.ranking import AlternateRanking
from puffintide.decisions.state import FleetState


class TableWriter:
    """Compares the tables that a plan asks for with those in the store, and records what is written."""

    def __init__(self, fleet: FleetState, ranking: AlternateRanking) -> None:
        self._fleet = fleet
        self._ranking = ranking

    def changes(self, slice_id: int, planned_ids: list[int], removes_withdrawn: bool) -> list[SetWeight]:
        """Return the entries of a slice's table to set, new ones first, so that it is never empty.

        Args:
            slice_id: A slice that this assigner owns.
            planned_ids: The servers that it should be on.
            removes_withdrawn: Whether entries of withdrawn servers are removed, which is never urgent.
        """
        current = self._fleet.slices[slice_id].weights
        wanted = self._wanted_weights(slice_id, planned_ids)
        if self._fleet.settings.single_writer:
            return [SetWeight(slice_id, server_id, 1.0) for server_id in wanted if server_id not in current]
        added = [
            SetWeight(slice_id, server_id, weight)
            for server_id, weight in sorted(wanted.items())
            if abs(current.get(server_id, 0.0) - weight) > parameters.WEIGHT_TOLERANCE
        ]
        removed = [
            SetWeight(slice_id, server_id, 0.0)
            for server_id in sorted(current)
            if server_id not in wanted
            and (removes_withdrawn or server_id not in self._fleet.withdrawn_servers)
        ]
        return added + removed

    def _wanted_weights(self, slice_id: int, planned_ids: list[int]) -> dict[int, float]:
        """The table for a slice: equal weights, and a standby entry for retries where there is one server."""
        weights = dict.fromkeys(planned_ids, 1.0)
        settings = self._fleet.settings
        proxies_leave_servers = settings.default_retry_mode + settings.proxy_ejection_failures > 0
        if len(planned_ids) == 1 and not settings.single_writer and proxies_leave_servers:
            standby_id = self._standby_server(slice_id, planned_ids[0])
            if standby_id is not None:
                weights[standby_id] = parameters.STANDBY_WEIGHT
        return weights

    def _standby_server(self, slice_id: int, planned_id: int) -> int | None:
        """The first alternate that is recovered and not withdrawn, if it is warm."""
        for server_id in self._ranking.alternates(slice_id):
            is_usable = self._fleet.servers[server_id].is_fully_recovered
            if is_usable and server_id != planned_id and server_id not in self._fleet.withdrawn_servers:
                return server_id if self._fleet.is_warm(server_id) else None
        return None

    def record(self, slice_id: int, planned_ids: list[int], changes: list[SetWeight]) -> None:
        """Record that changes to a slice's table are written."""
        slice_state = self._fleet.slices[slice_id]
        if slice_state.default_server is None:
            slice_state.default_server = next(iter(planned_ids), None)
        if set(planned_ids) != set(slice_state.assigned_servers):
            slice_state.previous_servers = slice_state.assigned_servers
            slice_state.moved_at_s = self._fleet.now_s
        weights = {} if self._fleet.settings.single_writer else dict(slice_state.weights)
        weights.update((change.server_id, change.weight) for change in changes)
        slice_state.weights = {server_id: weight for server_id, weight in weights.items() if weight > 0}
        slice_state.assigned_servers = list(planned_ids)

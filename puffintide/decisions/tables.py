"""Tables of slices: the weights that a plan requires, and the entries that have to change."""

from __future__ import annotations

from puffintide.decisions import parameters
from puffintide.decisions.actions import SetWeight
from puffintide.decisions.ranking import AlternateRanking
from puffintide.decisions.state import FleetState


class TableWriter:
    """Compares the tables that a plan requires with those in the store, and records written changes."""

    def __init__(self, fleet: FleetState, ranking: AlternateRanking) -> None:
        self._fleet = fleet
        self._ranking = ranking

    def changes(self, slice_id: int, planned_ids: list[int], removes_withdrawn: bool) -> list[SetWeight]:
        """Return the changes to a slice's table, added entries first, so that the table is never empty.

        Args:
            slice_id: The slice, which this assigner owns.
            planned_ids: The servers that the slice should be on.
            removes_withdrawn: Whether to remove entries of withdrawn servers, which is never urgent.
        """
        current = self._fleet.slices[slice_id].weights
        target = self._target_weights(slice_id, planned_ids)
        if self._fleet.settings.single_writer:
            return [SetWeight(slice_id, server_id, 1.0) for server_id in target if server_id not in current]
        added = [
            SetWeight(slice_id, server_id, weight)
            for server_id, weight in sorted(target.items())
            if abs(current.get(server_id, 0.0) - weight) > parameters.WEIGHT_TOLERANCE
        ]
        removed = [
            SetWeight(slice_id, server_id, 0.0)
            for server_id in sorted(current)
            if server_id not in target
            and (removes_withdrawn or server_id not in self._fleet.withdrawn_servers)
        ]
        return added + removed

    def _target_weights(self, slice_id: int, planned_ids: list[int]) -> dict[int, float]:
        """Return the weights that a slice's table should have.

        Planned servers have equal weights. A single one is joined by a standby entry for retries.
        """
        weights = dict.fromkeys(planned_ids, 1.0)
        settings = self._fleet.settings
        proxies_change_servers = settings.default_retry_mode + settings.proxy_ejection_failures > 0
        if len(planned_ids) == 1 and not settings.single_writer and proxies_change_servers:
            standby_id = self._standby_server(slice_id, planned_ids[0])
            if standby_id is not None:
                weights[standby_id] = parameters.STANDBY_WEIGHT
        return weights

    def _standby_server(self, slice_id: int, planned_id: int) -> int | None:
        """Return the first alternate that is fully recovered and not withdrawn, or None if it is not warm."""
        for server_id in self._ranking.alternates(slice_id):
            is_usable = self._fleet.servers[server_id].is_fully_recovered
            if is_usable and server_id != planned_id and server_id not in self._fleet.withdrawn_servers:
                return server_id if self._fleet.is_warm(server_id) else None
        return None

    def record(self, slice_id: int, planned_ids: list[int], changes: list[SetWeight]) -> None:
        """Record changes to a slice's table as written."""
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

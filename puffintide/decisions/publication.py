"""Publication: sends changed table entries in batches that fit into the channel to the proxies.

Urgent changes are sent at once, ordinary ones once per period. Each batch ends with a checkpoint, whose
acknowledgements show how fast the proxies apply what was sent.
"""

from __future__ import annotations

from puffintide.decisions import parameters
from puffintide.decisions.actions import Action
from puffintide.decisions.admission import admission_actions
from puffintide.decisions.channel import Channel, ChannelBudget
from puffintide.decisions.projection import Plan
from puffintide.decisions.ranking import AlternateRanking
from puffintide.decisions.state import FleetState, SliceState
from puffintide.decisions.tables import TableWriter
from puffintide.decisions.withdrawals import WithdrawalController


class Publisher:
    """Turns plans into actions for the proxies and the store."""

    def __init__(self, fleet: FleetState, channel: Channel, ranking: AlternateRanking) -> None:
        self._fleet = fleet
        self._channel = channel
        self._tables = TableWriter(fleet, ranking)
        self.withdrawals = WithdrawalController(fleet, channel, self._tables)
        self.next_ordinary_s = 0.0  # Earliest time of the next ordinary changes.
        self._last_ordinary_s = 0.0  # Time of the last ordinary changes.

    def publish(self, plan: Plan) -> list[Action]:
        """Return the actions that bring tables closer to a plan, limited to what may be sent now."""
        fleet = self._fleet
        self._channel.expire_messages()
        sends_ordinary = fleet.now_s >= self.next_ordinary_s
        if self._channel.is_message_limit_reached() or not (sends_ordinary or fleet.urgent_change_pending):
            return []
        urgent_ids = self._urgent_slices(plan)
        ordinary_ids = self._ordinary_slices(plan, urgent_ids) if sends_ordinary else []
        budget = self._channel.budget()
        actions: list[Action] = list(self.withdrawals.withdraw_servers(plan, urgent_ids, budget))
        for slice_id in urgent_ids:
            self._add_table_changes(actions, slice_id, plan[slice_id], budget.urgent, is_urgent=True)
        for slice_id in ordinary_ids:
            self._add_table_changes(actions, slice_id, plan[slice_id], budget.ordinary, is_urgent=False)
        if fleet.admission_update_pending and (sends_ordinary or actions):
            self._add_admission_updates(actions, budget)
        if actions:
            checkpoint = self._channel.record_message(len(actions))
            self.withdrawals.record_sent(actions, checkpoint)
            actions.append(checkpoint)
            self._schedule_ordinary(sends_ordinary)
        return actions

    def _urgent_slices(self, plan: Plan) -> list[int]:
        """Return the slices whose tables must change at once, the most urgent first."""
        fleet = self._fleet
        slice_ids = [
            slice_id
            for slice_id, state in sorted(fleet.slices.items())
            if self._is_urgent(state, plan[slice_id])
        ]
        warm_ready_ids = {
            server_id for server_id in fleet.servers if fleet.is_ready(server_id) and fleet.is_warm(server_id)
        }
        return sorted(slice_ids, key=lambda slice_id: self._urgency_sort_key(slice_id, warm_ready_ids))

    def _urgency_sort_key(self, slice_id: int, warm_ready_ids: set[int]) -> tuple[bool, float, int]:
        """Return a key that sorts slices without a warm, ready server first, then by falling rate."""
        state = self._fleet.slices[slice_id]
        has_warm_server = not warm_ready_ids.isdisjoint(state.assigned_servers)
        return has_warm_server, -self._fleet.request_rate(state), slice_id

    def _is_urgent(self, state: SliceState, planned_ids: list[int]) -> bool:
        """Return whether a table must change at once.

        A change is urgent if the table, without withdrawn servers, holds an unavailable server or none at
        all. It is also urgent if the slice is on a server with reduced capacity and the plan has other
        servers for it.
        """
        fleet = self._fleet
        admitted_ids = [server_id for server_id in state.weights if server_id not in fleet.withdrawn_servers]
        ready = [fleet.is_ready(server_id) for server_id in admitted_ids]
        if not all(ready) or not any(ready):
            return True
        if set(state.assigned_servers) == set(planned_ids):
            return False
        return any(self._has_reduced_capacity(server_id, planned_ids) for server_id in state.assigned_servers)

    def _has_reduced_capacity(self, server_id: int, planned_ids: list[int]) -> bool:
        """Return whether a server is warming up, or is ejected and not in the plan."""
        server = self._fleet.servers.get(server_id)
        if server is None:
            return False
        is_ejected = server.recovery_level == 0 and server_id not in planned_ids
        return is_ejected or not self._fleet.is_warm(server_id)

    def _ordinary_slices(self, plan: Plan, urgent_ids: list[int]) -> list[int]:
        """Return the other slices, sorted by id; none if reports are late or do not cover all slices yet."""
        fleet = self._fleet
        max_report_age_s = parameters.AVERAGE_TIME_CONSTANT_S + 2 * fleet.settings.report_period_s
        if fleet.now_s - fleet.last_report_s > max_report_age_s or fleet.is_settling():
            return []
        returning_ids = {
            slice_id
            for slice_id, state in fleet.slices.items()
            if self._would_return_too_early(state, plan[slice_id])
        }
        return sorted(fleet.slices.keys() - urgent_ids - returning_ids)

    def _would_return_too_early(self, state: SliceState, planned_ids: list[int]) -> bool:
        """Return whether the plan would move a slice back that has only just moved."""
        if self._fleet.now_s - state.moved_at_s >= parameters.RETURN_COOLDOWN_S:
            return False
        return set(planned_ids) == set(state.previous_servers)

    def _add_table_changes(
        self, actions: list[Action], slice_id: int, planned_ids: list[int], limit: float, is_urgent: bool
    ) -> None:
        """Add the changes to a slice's table if they fit into the limit."""
        changes = self._tables.changes(slice_id, planned_ids, removes_withdrawn=not is_urgent)
        if changes and (len(actions) + len(changes)) * self._channel.proxy_count <= limit:
            actions.extend(changes)
            self._tables.record(slice_id, planned_ids, changes)

    def _add_admission_updates(self, actions: list[Action], budget: ChannelBudget) -> None:
        updates = admission_actions(self._fleet)
        if updates and (len(actions) + len(updates)) * self._channel.proxy_count <= budget.urgent:
            actions.extend(updates)
            self._fleet.admission_update_pending = False

    def _schedule_ordinary(self, sent_ordinary: bool) -> None:
        """Delay the next ordinary changes by a period.

        The total delay is bounded, so that a steady stream of urgent changes does not block ordinary ones.
        """
        now_s = self._fleet.now_s
        if sent_ordinary:
            self._last_ordinary_s = now_s
        period_s = max(1.0, self._fleet.settings.assigner_count / 2) * parameters.PUBLISH_PERIOD_S
        latest_s = self._last_ordinary_s + max(period_s, parameters.ORDINARY_DELAY_MAX_S)
        self.next_ordinary_s = min(now_s + period_s, latest_s)

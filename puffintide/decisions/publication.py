"""Publication: sends the table entries that changed, in batches that the channel to the proxies has capacity for.

Urgent changes are sent at once, ordinary ones once in a period. All actions of a batch end with a checkpoint, whose
acknowledgements tell how fast the channel is.
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
        self.next_ordinary_s = 0.0  # when ordinary changes may be sent
        self._last_ordinary_s = 0.0  # when they last were

    def publish(self, plan: Plan) -> list[Action]:
        """Return the actions that bring tables closer to a plan, as many as may be sent now."""
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
            self._add_table(actions, slice_id, plan[slice_id], budget.urgent, is_urgent=True)
        for slice_id in ordinary_ids:
            self._add_table(actions, slice_id, plan[slice_id], budget.ordinary, is_urgent=False)
        if fleet.admission_update_pending and (sends_ordinary or actions):
            self._add_admission(actions, budget)
        if actions:
            actions.append(self._channel.record_message(len(actions)))
            self._schedule_ordinary(sends_ordinary)
        return actions

    def _urgent_slices(self, plan: Plan) -> list[int]:
        """Slices whose tables must not wait: those of lost servers first, each time the hottest first."""
        fleet = self._fleet
        slice_ids = [
            slice_id
            for slice_id, state in sorted(fleet.slices.items())
            if self._is_urgent(state, plan[slice_id])
        ]
        sound_ids = {
            server_id for server_id in fleet.servers if fleet.is_ready(server_id) and fleet.is_warm(server_id)
        }
        return sorted(slice_ids, key=lambda slice_id: self._urgency(slice_id, sound_ids))

    def _urgency(self, slice_id: int, sound_ids: set[int]) -> tuple[bool, float, int]:
        """Sorts slices without a sound server first, then the hottest first."""
        state = self._fleet.slices[slice_id]
        has_sound_server = not sound_ids.isdisjoint(state.assigned_servers)
        return has_sound_server, -self._fleet.request_rate(state), slice_id

    def _is_urgent(self, state: SliceState, planned_ids: list[int]) -> bool:
        """Whether a table has a lost server, none that can be used, or should leave a weak one."""
        fleet = self._fleet
        admitted_ids = [server_id for server_id in state.weights if server_id not in fleet.withdrawn_servers]
        ready = [fleet.is_ready(server_id) for server_id in admitted_ids]
        if not all(ready) or not any(ready):
            return True
        if set(state.assigned_servers) == set(planned_ids):
            return False
        return any(self._is_weak(server_id, planned_ids) for server_id in state.assigned_servers)

    def _is_weak(self, server_id: int, planned_ids: list[int]) -> bool:
        """Whether a server is warming up, or ejected and not planned."""
        server = self._fleet.servers.get(server_id)
        if server is None:
            return False
        is_ejected = server.recovery_level == 0 and server_id not in planned_ids
        return is_ejected or not self._fleet.is_warm(server_id)

    def _ordinary_slices(self, plan: Plan, urgent_ids: list[int]) -> list[int]:
        """The other slices, by id; none while reports are late or too few."""
        fleet = self._fleet
        latest_s = parameters.AVERAGE_MEMORY_S + 2 * fleet.settings.report_period_s
        if fleet.now_s - fleet.last_report_s > latest_s or fleet.is_settling():
            return []
        returning_ids = {
            slice_id for slice_id, state in fleet.slices.items() if self._returns_early(state, plan[slice_id])
        }
        return sorted(fleet.slices.keys() - urgent_ids - returning_ids)

    def _returns_early(self, state: SliceState, planned_ids: list[int]) -> bool:
        """Whether a slice that has just moved would move back."""
        if self._fleet.now_s - state.moved_at_s >= parameters.RETURN_COOLDOWN_S:
            return False
        return set(planned_ids) == set(state.previous_servers)

    def _add_table(
        self, actions: list[Action], slice_id: int, planned_ids: list[int], limit: float, is_urgent: bool
    ) -> None:
        """Add the changes to a slice's table if the channel has capacity for them."""
        changes = self._tables.changes(slice_id, planned_ids, removes_withdrawn=not is_urgent)
        if changes and (len(actions) + len(changes)) * self._channel.proxy_count <= limit:
            actions.extend(changes)
            self._tables.record(slice_id, planned_ids, changes)

    def _add_admission(self, actions: list[Action], budget: ChannelBudget) -> None:
        updates = admission_actions(self._fleet)
        if updates and (len(actions) + len(updates)) * self._channel.proxy_count <= budget.urgent:
            actions.extend(updates)
            self._fleet.admission_update_pending = False

    def _schedule_ordinary(self, was_ordinary: bool) -> None:
        """Delay ordinary changes by a period, but not for ever where urgent ones never stop."""
        now_s = self._fleet.now_s
        if was_ordinary:
            self._last_ordinary_s = now_s
        period_s = max(1.0, self._fleet.settings.assigner_count / 2) * parameters.PUBLISH_PERIOD_S
        latest_s = self._last_ordinary_s + max(period_s, parameters.ORDINARY_DELAY_MAX_S)
        self.next_ordinary_s = min(now_s + period_s, latest_s)

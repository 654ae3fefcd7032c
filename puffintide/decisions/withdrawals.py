"""Withdrawals: one entry takes an unavailable server out of all tables if rewriting them would take too long.

A server is unavailable while it drains or after it was removed.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from puffintide.decisions import parameters
from puffintide.decisions.actions import Action, SendCheckpoint, SetWithdrawn
from puffintide.decisions.channel import Channel, ChannelBudget
from puffintide.decisions.projection import Plan
from puffintide.decisions.state import FleetState
from puffintide.decisions.tables import TableWriter


class WithdrawalController:
    """Decides which servers are withdrawn and which are readmitted."""

    def __init__(self, fleet: FleetState, channel: Channel, tables: TableWriter) -> None:
        self._fleet = fleet
        self._channel = channel
        self._tables = tables

    def withdraw_servers(
        self, plan: Plan, urgent_slice_ids: Collection[int], budget: ChannelBudget
    ) -> list[SetWithdrawn]:
        """Withdraw unavailable servers, readmit others, and resend what reconnected proxies have missed.

        This sets fleet.urgent_change_pending to whether some unavailable servers could not be withdrawn now.

        Args:
            plan: The servers that each slice should be on.
            urgent_slice_ids: The slices whose tables must be rewritten if no server is withdrawn.
            budget: The numbers of entries that the channel has capacity for.
        """
        fleet = self._fleet
        table_server_ids = {server_id for state in fleet.slices.values() for server_id in state.weights}
        unavailable_ids = self._servers_to_withdraw(table_server_ids, plan, urgent_slice_ids, budget)
        readmitted_ids = self._servers_to_readmit(plan)
        resent_ids = (
            sorted(fleet.withdrawn_servers & table_server_ids) if fleet.withdrawals_resend_pending else []
        )
        missed_ids = self._missed_readmissions()
        pending_ids = unavailable_ids + readmitted_ids + resent_ids
        limit = self._entry_limit(len(unavailable_ids), budget)
        sent_ids = pending_ids[:limit]
        missed_ids = missed_ids[: limit - len(sent_ids)]
        fleet.urgent_change_pending = len(sent_ids) < len(unavailable_ids)
        fleet.withdrawals_resend_pending = len(sent_ids) < len(pending_ids)
        fleet.withdrawn_servers = fleet.withdrawn_servers.union(unavailable_ids[:limit]).difference(
            set(readmitted_ids) & set(sent_ids)
        )
        return [
            SetWithdrawn(server_id, server_id not in readmitted_ids) for server_id in dict.fromkeys(sent_ids)
        ] + [SetWithdrawn(server_id, False) for server_id in missed_ids]

    def record_sent(self, actions: Iterable[Action], checkpoint: SendCheckpoint) -> None:
        """Record the withdrawals and readmissions of a message that ends with a checkpoint."""
        fleet = self._fleet
        holders = fleet.withdrawal_holders
        # A peer may connect under any id; those beyond the configured number are not tracked.
        proxy_ids = {proxy_id for proxy_id in fleet.proxies if proxy_id < fleet.settings.proxy_count}
        for action in actions:
            if not isinstance(action, SetWithdrawn):
                continue
            if action.withdrawn:
                holders.on_withdrawn(action.server_id, proxy_ids)
            else:
                holders.on_readmitted(action.server_id, proxy_ids, checkpoint.checkpoint_id, fleet.now_s)

    def _missed_readmissions(self) -> list[int]:
        """Return ready servers that were readmitted while a proxy that is now connected could not be told."""
        fleet = self._fleet
        missed_ids = fleet.withdrawal_holders.missed_readmissions(
            fleet.proxies, fleet.now_s, self._channel.lost_after_s()
        )
        return [
            server_id
            for server_id in sorted(missed_ids - fleet.withdrawn_servers)
            if fleet.is_ready(server_id)
        ]

    def _servers_to_withdraw(
        self, table_server_ids: set[int], plan: Plan, urgent_slice_ids: Collection[int], budget: ChannelBudget
    ) -> list[int]:
        """Return unavailable servers that are in tables; none if the tables can be rewritten in time."""
        fleet = self._fleet
        unavailable_ids = [
            server_id
            for server_id in sorted(table_server_ids - fleet.withdrawn_servers)
            if server_id in fleet.servers and not fleet.is_ready(server_id)
        ]
        if not unavailable_ids:
            return []
        entries = sum(
            len(self._tables.changes(slice_id, plan[slice_id], removes_withdrawn=False))
            for slice_id in urgent_slice_ids
        )
        entries_before_stop = self._remaining_grace_s(unavailable_ids) * fleet.settings.channel_entries_per_s
        max_entries = min(entries_before_stop - self._channel.outstanding_entries, budget.urgent)
        return [] if entries * self._channel.proxy_count <= max_entries else unavailable_ids

    def _remaining_grace_s(self, unavailable_ids: list[int]) -> float:
        """Return the time left to send entries that must arrive before the first unavailable server stops."""
        fleet = self._fleet
        unavailable_since_s = min(
            fleet.servers[server_id].unavailable_since_s or fleet.now_s for server_id in unavailable_ids
        )
        elapsed_s = fleet.now_s - unavailable_since_s
        settings = fleet.settings
        return settings.drain_grace_s - elapsed_s - settings.channel_delay_max_s - parameters.ROUND_PERIOD_S

    def _servers_to_readmit(self, plan: Plan) -> list[int]:
        """Return withdrawn servers that are ready or forgotten, and in no table against the plan."""
        fleet = self._fleet
        unplanned_ids = {
            server_id
            for slice_id, state in fleet.slices.items()
            for server_id in state.weights
            if server_id not in plan[slice_id]
        }
        return [
            server_id
            for server_id in sorted(fleet.withdrawn_servers - unplanned_ids)
            if fleet.is_ready(server_id) or server_id not in fleet.servers
        ]

    def _entry_limit(self, unavailable_count: int, budget: ChannelBudget) -> int:
        """Return how many entries may be sent now.

        It is 0 while the channel has capacity for only a few of the withdrawals. Sending them one by one would
        cost a header for every proxy each time.
        """
        proxy_count = self._channel.proxy_count
        if budget.withdrawals < min(parameters.RESERVED_ENTRIES_PER_PROXY, unavailable_count) * proxy_count:
            return 0
        return int(budget.withdrawals / proxy_count)

"""Withdrawals: one entry takes a lost server out of all tables, where rewriting these would take too long."""

from __future__ import annotations

from collections.abc import Collection

from puffintide.decisions import parameters
from puffintide.decisions.actions import SetWithdrawn
from puffintide.decisions.channel import Channel, ChannelBudget
from puffintide.decisions.projection import Plan
from puffintide.decisions.state import FleetState
from puffintide.decisions.tables import TableWriter


class WithdrawalController:
    """Decides which servers are withdrawn, and which are readmitted."""

    def __init__(self, fleet: FleetState, channel: Channel, tables: TableWriter) -> None:
        self._fleet = fleet
        self._channel = channel
        self._tables = tables

    def withdraw_servers(
        self, plan: Plan, urgent_slice_ids: Collection[int], budget: ChannelBudget
    ) -> list[SetWithdrawn]:
        """Withdraw lost servers, readmit others, and resend withdrawals to proxies that connected.

        Sets fleet.urgent_change_pending if not all lost servers could be withdrawn now.

        Args:
            plan: The servers that each slice should be on.
            urgent_slice_ids: Slices whose tables must be rewritten without the withdrawals.
            budget: What the channel has capacity for.
        """
        fleet = self._fleet
        listed_ids = {server_id for state in fleet.slices.values() for server_id in state.weights}
        unavailable_ids = self._servers_to_withdraw(listed_ids, plan, urgent_slice_ids, budget)
        readmitted_ids = self._servers_to_readmit(plan)
        resent_ids = sorted(fleet.withdrawn_servers & listed_ids) if fleet.withdrawals_resend_pending else []
        wanted_ids = unavailable_ids + readmitted_ids + resent_ids
        limit = self._entry_limit(len(unavailable_ids), budget)
        sent_ids = wanted_ids[:limit]
        fleet.urgent_change_pending = len(sent_ids) < len(unavailable_ids)
        fleet.withdrawals_resend_pending = len(sent_ids) < len(wanted_ids)
        fleet.withdrawn_servers = fleet.withdrawn_servers.union(unavailable_ids[:limit]).difference(
            set(readmitted_ids) & set(sent_ids)
        )
        return [
            SetWithdrawn(server_id, server_id not in readmitted_ids) for server_id in dict.fromkeys(sent_ids)
        ]

    def _servers_to_withdraw(
        self, listed_ids: set[int], plan: Plan, urgent_slice_ids: Collection[int], budget: ChannelBudget
    ) -> list[int]:
        """Lost servers that are in tables, unless these can be rewritten in time."""
        fleet = self._fleet
        unavailable_ids = [
            server_id
            for server_id in sorted(listed_ids - fleet.withdrawn_servers)
            if server_id in fleet.servers and not fleet.is_ready(server_id)
        ]
        if not unavailable_ids:
            return []
        entries = sum(
            len(self._tables.changes(slice_id, plan[slice_id], removes_withdrawn=False))
            for slice_id in urgent_slice_ids
        )
        in_time = self._remaining_grace_s(unavailable_ids) * fleet.settings.channel_entries_per_s
        sendable = min(in_time - self._channel.waiting_entries, budget.urgent)
        return [] if entries * self._channel.proxy_count <= sendable else unavailable_ids

    def _remaining_grace_s(self, unavailable_ids: list[int]) -> float:
        """The time in which an entry must leave the channel to arrive before the first lost server stops."""
        fleet = self._fleet
        unavailable_since_s = min(
            fleet.servers[server_id].unavailable_since_s or fleet.now_s for server_id in unavailable_ids
        )
        elapsed_s = fleet.now_s - unavailable_since_s
        settings = fleet.settings
        return settings.drain_grace_s - elapsed_s - settings.channel_delay_max_s - parameters.ROUND_PERIOD_S

    def _servers_to_readmit(self, plan: Plan) -> list[int]:
        """Withdrawn servers that are ready, or forgotten, and in no table against the plan."""
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
        """How many entries may be sent; none while lost servers could only be sent one by one.

        Each message costs a header at every proxy.
        """
        proxy_count = self._channel.proxy_count
        if budget.withdrawals < min(parameters.RESERVED_ENTRIES_PER_PROXY, unavailable_count) * proxy_count:
            return 0
        return int(budget.withdrawals / proxy_count)

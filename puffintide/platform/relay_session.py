"""Connects this assigner to the relay: passes its state to the runtime and sends it the director's orders."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from puffintide.assigner.runtime import Effects
from puffintide.decisions.actions import Action, SetWeight
from puffintide.decisions.director import Director
from puffintide.decisions.events import CheckpointAcknowledged, StoredWeight
from puffintide.platform.config import Address
from puffintide.platform.context import Context
from puffintide.platform.message_decoding import MS_PER_S, quoted
from puffintide.platform.relay_client import RelayClient
from puffintide.platform.relay_messages import CheckpointApplied, ProxyJoined
from puffintide.platform.relay_orders import Order, OrderEncoder, OrderType
from puffintide.platform.relay_outbox import Outbox
from puffintide.platform.relay_sent_weights import UnsettledServers
from puffintide.platform.relay_state import RelayChanges, differing_servers, merge_tables, tables_differ
from puffintide.platform.relay_watch import RelayWatch
from puffintide.protocol.messages import SliceOwnership, TableEntry

RESEND_DELAY_S = 0.01  # Lets the orders of the next round replace weights that would be sent again.
FENCING_TOKEN = 1  # A constant suffices because the relay itself fences writers.
MAX_LOGGED_WITHDRAWALS = 5  # Maximum withdrawals of one round in the log.


class RelaySession:
    """The watch of the relay's state and the calls to the relay."""

    def __init__(self, context: Context, address: Address, on_first_state: Callable[[], None]) -> None:
        """Prepare the session.

        Args:
            context: Shared objects of the assigner.
            address: The relay's address.
            on_first_state: Called once, before the initial state is passed to the runtime.
        """
        settings = context.settings
        self.context = context
        self.log = context.log
        self.outbox = Outbox(settings.max_messages_per_window, settings.message_window_s)
        self.client = RelayClient(context.reactor, address, self.outbox, context.log)
        self.watch = RelayWatch(context.reactor, address, self.on_changes, on_first_state, context.log)
        self._encoder = OrderEncoder(context.names, context.hosts)

    def start(self) -> None:
        """Open the watch."""
        self.watch.watch.start()

    def change_address(self, address: Address) -> None:
        """Change the relay's address: for the watch immediately, for calls from the next one on."""
        self.client.address = address
        self.watch.watch.change_address(address)

    def stop_watch(self) -> None:
        """Close the watch."""
        self.watch.stop()

    def stop_calls(self, on_stopped: Callable[[], None]) -> None:
        """Stop making calls, and call on_stopped once none is in flight."""
        self.client.stop(on_stopped)

    def forget_old_weights(self) -> None:
        """Forget sent weights that are no longer compared with the relay's tables."""
        self.outbox.sent_weights.forget_old(self.context.reactor.seconds())

    # From the relay ---------------------------------------------------------------------------------

    def on_changes(self, changes: RelayChanges) -> None:
        """Pass changes of the relay's state to the runtime."""
        if not changes:
            return
        now_s = self.context.rounds.now_s()
        self._apply_proxies(now_s, changes)
        self._apply_tables(now_s, changes)
        for checkpoint in changes.applied_checkpoints:
            self._apply_checkpoint(now_s, checkpoint)
        if changes.revoked_slices or changes.granted_tables or len(changes.joined_proxies) > 1:
            self.log(
                "ownership_changed",
                revoked=len(changes.revoked_slices),
                granted=len(changes.granted_tables),
                retained=len(changes.retained_tables),
                proxies=len(self.watch.state.proxies),
                slices=len(self.watch.state.slices),
            )
        self.context.rounds.schedule()

    def _apply_proxies(self, now_s: float, changes: RelayChanges) -> None:
        for proxy_id in changes.departed_proxies:
            self.context.runtime.on_proxy_disconnected(now_s, proxy_id)
        for proxy in changes.joined_proxies:
            self._apply_joined(now_s, proxy)

    def _apply_joined(self, now_s: float, proxy: ProxyJoined) -> None:
        zone = self.context.names.zones.get(proxy.zone)
        if zone is None:
            reason = f"cannot add proxy {proxy.proxy_id}: unknown zone {quoted(proxy.zone)}"
            self.log("relay_message_rejected", reason=reason)
            return
        self.context.runtime.on_proxy_connected(
            now_s, proxy.proxy_id, zone, proxy.request_rate, proxy.first_connection
        )

    def _apply_tables(self, now_s: float, changes: RelayChanges) -> None:
        for slice_id in changes.revoked_slices:
            self.outbox.revoke_slice(slice_id)
            self.context.runtime.on_ownership_revoked(now_s, slice_id)
        for slice_id, table in sorted(changes.granted_tables.items()):
            self.outbox.revoke_slice(slice_id)
            self._grant_ownership(now_s, slice_id, self._by_server_id(table))
        for slice_id, weights in sorted(changes.added_weights.items()):
            self._add_weights(now_s, slice_id, weights)
        for slice_id, table in sorted(changes.retained_tables.items()):
            self._compare_table(now_s, slice_id, table)
        if changes.completed_slices:  # After the next round, so that the director has received the tables.
            self.context.reactor.callLater(RESEND_DELAY_S, self._confirm_tables, changes.completed_slices)

    def _apply_checkpoint(self, now_s: float, checkpoint: CheckpointApplied) -> None:
        elapsed_s = max(0.0, checkpoint.elapsed_ms / MS_PER_S)
        event = CheckpointAcknowledged(checkpoint.proxy_id, checkpoint.checkpoint_id, elapsed_s)
        self.context.runtime.add_events(now_s, event)

    def _by_server_id(self, weights: dict[str, float]) -> dict[int, float]:
        return {self.context.hosts.register(host): weight for host, weight in sorted(weights.items())}

    def _grant_ownership(self, now_s: float, slice_id: int, table: dict[int, float]) -> None:
        entries = [TableEntry(server_id, weight) for server_id, weight in table.items()]
        assigner_index = self.context.settings.assigner_index
        self.context.runtime.on_ownership_granted(
            now_s, SliceOwnership(slice_id, FENCING_TOKEN, assigner_index, entries)
        )

    def _unsettled_servers(self, slice_id: int) -> UnsettledServers:
        return self.outbox.unsettled_servers(slice_id, self.watch.granted_at_s.get(slice_id, 0.0))

    def _add_weights(self, now_s: float, slice_id: int, weights: dict[str, float]) -> None:
        """Add entries to a table that the runtime has already received."""
        newer = self._unsettled_servers(slice_id).newer
        added = self._by_server_id(weights)
        self.log("weights_added", slice=slice_id, weights=len(weights))
        events = [
            StoredWeight(slice_id, server_id, weight)
            for server_id, weight in added.items()
            if server_id not in newer
        ]
        self.context.runtime.add_events(now_s, *events)

    def _compare_table(self, now_s: float, slice_id: int, table: dict[str, float]) -> None:
        """Replace the table of a slice that another assigner has modified during a reconnection.

        Weights that may have had no effect are sent again, as the slice may have been another assigner's.
        """
        hosts = self.context.hosts
        stored = {hosts.register(host): weight for host, weight in table.items() if weight > 0}
        expected = self._expected_table(slice_id)
        unsettled = self._unsettled_servers(slice_id)
        unsettled_ids = unsettled.newer | unsettled.uncertain
        if tables_differ(stored, expected, unsettled_ids):
            self.log("table_differs", slice=slice_id, stored=len(stored), believed=len(expected))
            merged = merge_tables(stored, expected, unsettled_ids)
            self._grant_ownership(now_s, slice_id, dict(sorted(merged.items())))
        differing = differing_servers(stored, expected, unsettled.uncertain)
        if differing:
            self._queue_weights(slice_id, expected, differing)
            self.context.reactor.callLater(RESEND_DELAY_S, self.client.send_next)

    def _expected_table(self, slice_id: int) -> dict[int, float]:
        """Return the director's table of a slice, which is empty if the slice is not owned."""
        director = self.context.runtime.director
        view = director.slices.get(slice_id) if isinstance(director, Director) else None
        return view.weights if view is not None else {}

    def _confirm_tables(self, slice_ids: list[int]) -> None:
        """Send entries of granted tables that a call of an earlier ownership may have replaced."""
        for slice_id in slice_ids:
            granted_at_s = self.watch.granted_at_s.get(slice_id, 0.0)
            former = self.outbox.former_servers(slice_id, granted_at_s)
            former -= self._unsettled_servers(slice_id).newer
            if former:
                self._queue_weights(slice_id, self._expected_table(slice_id), former)
        self.client.send_next()

    def _queue_weights(self, slice_id: int, table: Mapping[int, float], server_ids: Iterable[int]) -> None:
        """Queue the entries of a table for some servers; a missing entry is removed."""
        actions = [
            SetWeight(slice_id, server_id, table.get(server_id, 0.0)) for server_id in sorted(server_ids)
        ]
        self.log("weights_resent", slice=slice_id, weights=len(actions))
        self._queue(actions)

    # To the relay -----------------------------------------------------------------------------------

    def send(self, effects: Effects) -> None:
        """Queue the orders of a round, and make the next call if possible."""
        if not effects.actions:
            return
        orders = self._queue(effects.actions)
        if orders:
            self.client.send_next()
            self._log_decision(effects, orders)

    def _queue(self, actions: Iterable[Action]) -> list[Order]:
        """Queue the orders of actions, and return them."""
        orders, errors = self._encoder.encode(actions, self.context.runtime.fencing_tokens)
        for error in errors:
            self.log("order_invalid", reason=error)
        self.outbox.put(orders)
        return orders

    def _log_decision(self, effects: Effects, orders: list[Order]) -> None:
        withdrawals = [
            order.text.decode() for order in orders if order.key.order_type is OrderType.WITHDRAWAL
        ]
        self.log(
            "decision",
            orders=len(orders),
            proxies=len(self.context.runtime.proxy_zones),
            withdrawals=withdrawals[:MAX_LOGGED_WITHDRAWALS],
            after_ms=round((self.context.rounds.now_s() - effects.first_event_at_s) * MS_PER_S, 2),
        )

"""Everything between this assigner and the relay: its state into the runtime, and the director's orders to it."""

from __future__ import annotations

from collections.abc import Callable

from puffintide.assigner.runtime import Effects
from puffintide.decisions.director import Director
from puffintide.decisions.events import CheckpointAcknowledged, StoredWeight
from puffintide.platform.config import Address
from puffintide.platform.context import Context
from puffintide.platform.message_decoding import MS_PER_S, quoted
from puffintide.platform.relay_client import RelayClient
from puffintide.platform.relay_messages import CheckpointApplied, ProxyJoined
from puffintide.platform.relay_orders import Order, OrderEncoder, OrderKey, OrderType
from puffintide.platform.relay_outbox import Outbox
from puffintide.platform.relay_state import RelayChanges, merge_tables, tables_differ
from puffintide.platform.relay_watch import RelayWatch
from puffintide.protocol.messages import SliceOwnership, TableEntry

SETTLING_S = 2.0  # within which a weight that was sent may be missing from the relay's tables
FENCING_TOKEN = 1  # the relay fences writers itself
MAX_LOGGED_WITHDRAWALS = 5  # of one round


class RelaySession:
    """The watch of the relay, and the calls to it."""

    def __init__(self, context: Context, address: Address, on_first_state: Callable[[], None]) -> None:
        """Prepare the session.

        Args:
            context: Shared objects of the assigner.
            address: The relay's address.
            on_first_state: Called once, before the initial state is passed on for the first time.
        """
        settings = context.settings
        self.context = context
        self.log = context.log
        self.outbox = Outbox(settings.max_messages_per_window, settings.message_window_s)
        self.client = RelayClient(context.reactor, address, self.outbox, context.log)
        self.watch = RelayWatch(context.reactor, address, self.on_changes, on_first_state, context.log)
        self._encoder = OrderEncoder(context.names, context.hosts)
        self._sent_weights: dict[OrderKey, float] = {}  # when each was queued last

    def start(self) -> None:
        """Open the watch."""
        self.watch.watch.start()

    def change_address(self, address: Address) -> None:
        """Use another address: for the watch at once, for calls from the next one on."""
        self.client.address = address
        self.watch.watch.change_address(address)

    def stop_watch(self) -> None:
        """Close the watch."""
        self.watch.stop()

    def stop_calls(self, on_stopped: Callable[[], None]) -> None:
        """Make no call from now on; on_stopped is called once none is in flight."""
        self.client.stop(on_stopped)

    def forget_settled(self) -> None:
        """Forget weights that the relay's tables have by now."""
        settled_s = self.context.reactor.seconds() - SETTLING_S
        self._sent_weights = {key: at_s for key, at_s in self._sent_weights.items() if at_s > settled_s}

    # From the relay ---------------------------------------------------------------------------------

    def on_changes(self, changes: RelayChanges) -> None:
        """Pass changes of the relay's state on to the runtime."""
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
            reason = f"zone {quoted(proxy.zone)} of proxy {proxy.proxy_id}"
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
            self._own(now_s, slice_id, self._by_server_id(table))
        for slice_id, weights in sorted(changes.added_weights.items()):
            self._add_weights(now_s, slice_id, weights)
        for slice_id, table in sorted(changes.retained_tables.items()):
            self._compare_table(now_s, slice_id, table)

    def _apply_checkpoint(self, now_s: float, checkpoint: CheckpointApplied) -> None:
        elapsed_s = max(0.0, checkpoint.elapsed_ms / MS_PER_S)
        event = CheckpointAcknowledged(checkpoint.proxy_id, checkpoint.checkpoint_id, elapsed_s)
        self.context.runtime.add_events(now_s, event)

    def _by_server_id(self, weights: dict[str, float]) -> dict[int, float]:
        return {self.context.hosts.register(host): weight for host, weight in sorted(weights.items())}

    def _own(self, now_s: float, slice_id: int, table: dict[int, float]) -> None:
        entries = [TableEntry(server_id, weight) for server_id, weight in table.items()]
        assigner_index = self.context.settings.assigner_index
        self.context.runtime.on_ownership_granted(
            now_s, SliceOwnership(slice_id, FENCING_TOKEN, assigner_index, entries)
        )

    def _unsettled_servers(self, slice_id: int) -> set[int]:
        """Servers whose weights in a slice are in flight, or were sent so lately that the relay may be behind."""
        settled_s = self.context.reactor.seconds() - SETTLING_S
        recent = {
            key.item_id
            for key, at_s in self._sent_weights.items()
            if key.slice_id == slice_id and at_s > settled_s
        }
        return recent | self.outbox.pending_servers(slice_id)

    def _add_weights(self, now_s: float, slice_id: int, weights: dict[str, float]) -> None:
        """Add entries to a table that was passed on before."""
        unsettled = self._unsettled_servers(slice_id)
        added = self._by_server_id(weights)
        self.log("weights_added", slice=slice_id, weights=len(weights))
        events = [
            StoredWeight(slice_id, server_id, weight)
            for server_id, weight in added.items()
            if server_id not in unsettled
        ]
        self.context.runtime.add_events(now_s, *events)

    def _compare_table(self, now_s: float, slice_id: int, table: dict[str, float]) -> None:
        """Read a table anew if another assigner has owned its slice meanwhile."""
        hosts = self.context.hosts
        stored = {hosts.register(host): weight for host, weight in table.items() if weight > 0}
        director = self.context.runtime.director
        view = director.slices.get(slice_id) if isinstance(director, Director) else None
        believed = view.weights if view is not None else {}
        unsettled = self._unsettled_servers(slice_id)
        if tables_differ(stored, believed, unsettled):
            self.log("table_differs", slice=slice_id, stored=len(stored), believed=len(believed))
            self._own(now_s, slice_id, dict(sorted(merge_tables(stored, believed, unsettled).items())))

    # To the relay -----------------------------------------------------------------------------------

    def send(self, effects: Effects) -> None:
        """Queue the orders of a round, and make the next call."""
        if not effects.actions:
            return
        orders, errors = self._encoder.encode(effects.actions, self.context.runtime.fencing_tokens)
        for error in errors:
            self.log("order_invalid", reason=error)
        if not orders:
            return
        now_s = self.context.reactor.seconds()
        self._sent_weights.update((order.key, now_s) for order in orders if order.is_weight)
        self.outbox.put(orders)
        self.client.send_next()
        self._log_decision(effects, orders)

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

"""The queue of orders to the relay, with one order for each state that orders set. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable

from puffintide.platform.relay_calls import orders_of_next_call
from puffintide.platform.relay_orders import Order, OrderKey, servers_with_weights


class OrderQueue:
    """Orders in sending sequence. A newer order replaces a queued one that has the same key."""

    def __init__(self) -> None:
        self._orders: dict[OrderKey, Order] = {}

    def __len__(self) -> int:
        return len(self._orders)

    def put(self, orders: Iterable[Order]) -> None:
        """Queue orders at the end, in place of queued ones that have the same key."""
        for order in orders:
            self._orders.pop(order.key, None)
            self._orders[order.key] = order

    def put_back(self, orders: Iterable[Order]) -> None:
        """Queue older orders ahead of all others, except those replaced by a queued order."""
        older = {order.key: order for order in orders if order.key not in self._orders}
        self._orders = older | self._orders

    def take_next(self) -> list[Order]:
        """Remove and return the orders of the next call."""
        selected = orders_of_next_call(list(self._orders.values()))
        for order in selected:
            del self._orders[order.key]
        return selected

    def drop_weights(self, slice_id: int) -> None:
        """Remove the weights of a slice."""
        self._orders = {
            key: order
            for key, order in self._orders.items()
            if not (order.is_weight and key.slice_id == slice_id)
        }

    def servers_with_weights(self, slice_id: int) -> set[int]:
        """Return the ids of the servers whose weights in a slice are queued."""
        return servers_with_weights(slice_id, self._orders.values())

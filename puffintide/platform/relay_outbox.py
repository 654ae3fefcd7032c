"""Orders on their way to the relay: which go into the next call, and what each answer means. Performs no I/O.

The orders of one round are one call, and so one message to each proxy; calls are made one after another. Of orders
with the same key only the newest is sent: repeating a call that may have been carried out never replaces a newer
value by an older one. Whether it was carried out is read from the relay's tables first, as the weights of a large
call would not fit into the channel twice.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from puffintide.platform.http_exchange import RequestResult, Response
from puffintide.platform.relay_answers import INVALID, THROTTLED, CallAnswer, parse_answer
from puffintide.platform.relay_calls import Call, NextStep, StoredTables
from puffintide.platform.relay_orders import Order, OrderKey
from puffintide.platform.relay_state import WEIGHT_TOLERANCE

MAX_CALL_BYTES = 60_000
CALL_HEAD = b'{"orders":['
CALL_TAIL = b"]}"
EMPTY_CALL_BYTES = len(CALL_HEAD + CALL_TAIL)
INITIAL_BACKOFF_S = 0.02  # before a call or a snapshot is repeated, doubled up to the maximum
MAX_BACKOFF_S = 0.5
THROTTLED_RETRY_S = 0.25
MAX_SNAPSHOTS = 5  # that fail, before an uncertain call is repeated without
MAX_INVALID_ANSWERS = 3  # before the orders of a call are dropped
MAX_LOGGED_BODY_BYTES = 120


@dataclass(slots=True)
class Outbox:
    """Queue of orders: put() them, make the call of next_call(), and give its response to on_response().

    Where the next step asks for a snapshot, on_snapshot() takes it.
    """

    max_messages_per_window: int = 0  # to one proxy; 0: no limit
    message_window_s: float = 10.0
    uncertain_calls: int = 0
    dropped_orders: int = 0
    _queue: dict[OrderKey, Order] = field(default_factory=dict)
    _call: Call | None = None
    _call_times: deque[float] = field(
        default_factory=deque
    )  # of calls that were or may have been carried out
    _invalid_answers: int = 0
    _rejected_once: set[OrderKey] = field(default_factory=set)
    _backoff_s: float = INITIAL_BACKOFF_S
    _failed_snapshots: int = 0

    def __len__(self) -> int:
        return len(self._queue) + (len(self._call.orders) if self._call else 0)

    @property
    def in_flight(self) -> bool:
        """Whether a call is in flight or uncertain."""
        return self._call is not None

    def put(self, orders: Iterable[Order]) -> None:
        """Queue orders, each in place of an older one with its key."""
        for order in orders:
            self._queue.pop(order.key, None)
            self._queue[order.key] = order

    def revoke_slice(self, slice_id: int) -> None:
        """Drop the queued weights of a slice that is no longer owned, and repeat none that are in flight."""
        if self._call is not None:
            self._call.revoked_slices.add(slice_id)
        self._queue = {
            key: order
            for key, order in self._queue.items()
            if not (order.is_weight and key.slice_id == slice_id)
        }

    def pending_servers(self, slice_id: int) -> set[int]:
        """Return the servers of a slice's weights that are queued or in flight."""
        pending = list(self._queue.values())
        if self._call is not None:
            pending += [order for order in self._call.orders if self._call.may_repeat(order)]
        return {order.key.item_id for order in pending if order.is_weight and order.key.slice_id == slice_id}

    def ready_in_s(self, now_s: float) -> float | None:
        """Return the seconds until a call may be made; None: nothing is queued, or a call is in flight."""
        if self._call is not None or not self._queue:
            return None
        while self._call_times and self._call_times[0] <= now_s - self.message_window_s:
            self._call_times.popleft()
        if self.max_messages_per_window and len(self._call_times) >= self.max_messages_per_window:
            return max(0.0, self._call_times[0] + self.message_window_s - now_s)
        return 0.0

    def next_call(self) -> Call:
        """Return the next call; what exceeds its size is sent later, in an order of priority that is safe."""
        orders = list(self._queue.values())
        if sum(len(order.text) + 1 for order in orders) + EMPTY_CALL_BYTES > MAX_CALL_BYTES:
            orders.sort(key=lambda order: order.priority)
        size = EMPTY_CALL_BYTES
        chosen = []
        for order in orders:
            size += len(order.text) + 1
            if size > MAX_CALL_BYTES:
                break
            chosen.append(order)
        for order in chosen:
            del self._queue[order.key]
        self._call = Call(chosen, CALL_HEAD + b",".join(order.text for order in chosen) + CALL_TAIL)
        return self._call

    def on_response(self, now_s: float, response: Response) -> NextStep:
        """Handle the response to the call in flight."""
        order_count = len(self._current_call().orders)
        answer = CallAnswer()
        if response.result is RequestResult.ANSWERED:
            answer = parse_answer(response.status, response.body, order_count)
        if answer.accepted is not None:
            return self._on_accepted(now_s, answer.accepted, order_count)
        if answer.error == THROTTLED:
            self.restore()
            return NextStep(THROTTLED_RETRY_S)
        if answer.error == INVALID:
            return self._on_invalid(response, order_count)
        return self._on_uncertain(now_s, response, order_count)

    def _on_accepted(self, now_s: float, accepted: int, order_count: int) -> NextStep:
        self._backoff_s = INITIAL_BACKOFF_S
        rejected = self.accept(now_s, accepted)
        if rejected is None:
            return NextStep()
        fields = {"order": rejected.text.decode(), "accepted": accepted, "of": order_count}
        return NextStep(event="order_rejected", fields=fields)

    def _on_invalid(self, response: Response, order_count: int) -> NextStep:
        delay_s = self._next_backoff_s()
        dropped = self.reject()
        fields = {"orders": order_count, "body": _logged_body(response)}
        return NextStep(delay_s, event="call_dropped" if dropped else "", fields=fields)

    def _on_uncertain(self, now_s: float, response: Response, order_count: int) -> NextStep:
        """Read the tables if they tell whether the call was carried out, or else repeat it."""
        delay_s = self._next_backoff_s()
        self.uncertain_calls += 1
        reachable = response.result is not RequestResult.UNREACHABLE
        snapshot = reachable and self.has_weights_in_flight
        if snapshot:
            self._failed_snapshots = 0
        else:
            self.repeat(now_s, maybe_applied=reachable)
        fields = {
            "result": response.result,
            "status": response.status,
            "orders": order_count,
            "body": _logged_body(response),
        }
        return NextStep(delay_s, snapshot, "call_uncertain", fields)

    def on_snapshot(self, now_s: float, tables: StoredTables | None, complete: bool = True) -> NextStep:
        """Handle a snapshot of the relay's tables after an uncertain call.

        Args:
            now_s: The current time.
            tables: Tables of the owned slices; None: the snapshot failed.
            complete: All of it was received; else entries may be missing.
        """
        if tables is not None:
            self._backoff_s = INITIAL_BACKOFF_S
            applied = self.resolve(now_s, tables, complete)
            return NextStep(event="call_resolved", fields={"applied": applied})
        self._failed_snapshots += 1
        if self._failed_snapshots < MAX_SNAPSHOTS:
            return NextStep(self._next_backoff_s(), snapshot=True)
        self.repeat(now_s, maybe_applied=True)
        return NextStep(self._next_backoff_s())

    def _next_backoff_s(self) -> float:
        delay_s = self._backoff_s
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
        return delay_s

    def _current_call(self) -> Call:
        assert self._call is not None, "no call is in flight"
        return self._call

    def _end_call(self) -> Call:
        call = self._current_call()
        self._call = None
        return call

    def _requeue(self, call: Call, orders: list[Order]) -> None:
        """Queue orders of a call again before all others, except those that newer ones have replaced."""
        repeated = {
            order.key: order for order in orders if call.may_repeat(order) and order.key not in self._queue
        }
        self._queue = repeated | self._queue

    def accept(self, now_s: float, accepted: int) -> Order | None:
        """End the call of which this many orders were accepted.

        The order after the last accepted one is wrong, and the rest is sent without it. It is sent once more by
        itself, as an answer may be wrong in ways that can be read.

        Returns:
            The order that is rejected for the second time and dropped, if there is one.
        """
        call = self._end_call()
        self._invalid_answers = 0
        if accepted > 0:
            self._call_times.append(now_s)
            self._rejected_once.difference_update(order.key for order in call.orders[:accepted])
        if accepted >= len(call.orders):
            return None
        rejected = call.orders[accepted]
        remaining = call.orders[accepted + 1 :]
        if rejected.key not in self._rejected_once:
            self._rejected_once.add(rejected.key)
            self._requeue(call, [*remaining, rejected])
            return None
        self._rejected_once.discard(rejected.key)
        self.dropped_orders += 1
        self._requeue(call, remaining)
        return rejected

    def repeat(self, now_s: float, maybe_applied: bool) -> None:
        """Queue the orders of the call again."""
        call = self._end_call()
        if maybe_applied:
            self._call_times.append(now_s)
        self._requeue(call, call.orders)

    @property
    def has_weights_in_flight(self) -> bool:
        """Whether the relay's tables tell if the call in flight was carried out."""
        return self._call is not None and any(order.weight for order in self._call.orders)

    def resolve(self, now_s: float, tables: StoredTables, complete: bool) -> bool:
        """Decide by the relay's tables whether the call was carried out, as it was in full or not at all.

        An absent table decides nothing; if all are absent, the call counts as not carried out, as no order may be
        lost. Nor does an absent entry show that it was removed, unless the snapshot is complete.

        Returns:
            Whether it was carried out; else its orders are queued again.
        """
        call = self._current_call()
        weights = [
            order.weight
            for order in call.orders
            if order.weight is not None and call.may_repeat(order) and order.weight.slice_id in tables
        ]
        all_agree = all(
            abs(tables[slice_id].get(host, 0.0) - weight) < WEIGHT_TOLERANCE
            for slice_id, host, weight in weights
        )
        any_present = any(entry.weight > 0 for entry in weights)
        applied = all_agree and (any_present or (complete and bool(weights)))
        if applied:
            self.accept(now_s, len(call.orders))
        else:
            self.repeat(now_s, maybe_applied=not complete)
        return applied

    def reject(self) -> bool:
        """End a call that the relay has not understood.

        Returns:
            Whether its orders are dropped after some attempts, so that they don't block all others.
        """
        call = self._end_call()
        self._invalid_answers += 1
        if self._invalid_answers < MAX_INVALID_ANSWERS:
            self._requeue(call, call.orders)
            return False
        self._invalid_answers = 0
        self.dropped_orders += len(call.orders)
        return True

    def restore(self) -> None:
        """End a call that was not carried out, and queue its orders again."""
        call = self._end_call()
        self._requeue(call, call.orders)


def _logged_body(response: Response) -> str:
    return response.body[:MAX_LOGGED_BODY_BYTES].decode("utf-8", "replace")

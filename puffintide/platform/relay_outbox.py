"""Queues orders for the relay, builds calls from them and interprets the responses. Performs no I/O.

The orders of one round form one call, and therefore one message to each proxy. Calls are made sequentially.
Only the newest of several orders with the same key is sent, so retrying a call that may have been applied
never replaces a newer value by an older one. Before such a retry the relay's tables are read to find out
whether the call was applied, because the weights of a large call would not fit into the channel twice.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from puffintide.platform.http_exchange import RequestResult, Response
from puffintide.platform.relay_answers import INVALID, THROTTLED, CallAnswer, parse_answer
from puffintide.platform.relay_calls import Call, CallOutcome, NextStep, StoredTables
from puffintide.platform.relay_message_window import MessageWindow
from puffintide.platform.relay_order_queue import OrderQueue
from puffintide.platform.relay_orders import Order, OrderKey, servers_with_weights
from puffintide.platform.relay_sent_weights import (
    SETTLING_S,
    SentTimes,
    SentWeights,
    UnsettledServers,
    classify_unsettled,
)

INITIAL_BACKOFF_S = 0.02  # Delay before the first retry of a call or a snapshot. Doubles with each retry.
MAX_BACKOFF_S = 0.5
THROTTLED_RETRY_S = 0.25
MAX_SNAPSHOT_ATTEMPTS = 5  # After this many failed snapshots an uncertain call is retried without one.
MAX_INVALID_ANSWERS = 3  # After this many INVALID responses the orders of the call are dropped.
MAX_LOGGED_BODY_BYTES = 120


@dataclass(slots=True)
class Outbox:
    """Queue of orders to the relay.

    Orders are queued with put(). next_call() returns the call to make, and on_response() handles its
    response. If the returned step requires a snapshot, on_snapshot() handles its result.
    """

    max_messages_per_window: int = 0  # Maximum messages to one proxy in `message_window_s`. 0 means no limit.
    message_window_s: float = 10.0
    uncertain_calls: int = 0
    dropped_orders: int = 0
    sent_weights: SentWeights = field(default_factory=SentWeights)
    _queue: OrderQueue = field(default_factory=OrderQueue)
    _call: Call | None = None
    _window: MessageWindow = field(init=False)  # Counts calls that were or may have been applied.
    _invalid_answers: int = 0
    _rejected_once: set[OrderKey] = field(default_factory=set)
    _backoff_s: float = INITIAL_BACKOFF_S
    _failed_snapshots: int = 0

    def __post_init__(self) -> None:
        self._window = MessageWindow(self.max_messages_per_window, self.message_window_s)

    def __len__(self) -> int:
        return len(self._queue) + (len(self._call.orders) if self._call else 0)

    @property
    def in_flight(self) -> bool:
        """Whether a call is in flight, or its outcome is uncertain."""
        return self._call is not None

    def put(self, orders: Iterable[Order]) -> None:
        """Queue orders, and replace queued orders that have the same key."""
        self._queue.put(orders)

    def revoke_slice(self, slice_id: int) -> None:
        """Drop the queued weights of a revoked slice, and exclude those in flight from retries."""
        self.sent_weights.revoke_slice(slice_id)
        if self._call is not None:
            self._call.revoked_slices.add(slice_id)
        self._queue.drop_weights(slice_id)

    def unsettled_servers(self, slice_id: int, granted_at_s: float) -> UnsettledServers:
        """Return the servers whose weights in a slice its listed table may not show.

        Args:
            slice_id: The slice.
            granted_at_s: Time at which the grant of the slice was received, in seconds.
        """
        queued = self._queue.servers_with_weights(slice_id)
        sent = self.sent_weights.owned_since(slice_id, granted_at_s - SETTLING_S)
        call = self._call
        if call is not None:
            in_flight = SentTimes(call.started_at_s, ended_at_s=math.inf)
            resendable = filter(call.may_resend, call.orders)
            sent |= dict.fromkeys(servers_with_weights(slice_id, resendable), in_flight)
        return classify_unsettled(queued, sent, granted_at_s)

    def former_servers(self, slice_id: int, granted_at_s: float) -> set[int]:
        """Return the servers whose weights of an earlier ownership may be newer than a granted table.

        The relay may have applied a call after it wrote the grant, if the call began before the grant and the
        revocation before it were received.
        """
        former = set(self.sent_weights.former_since(slice_id, granted_at_s - SETTLING_S))
        call = self._call
        if call is not None and slice_id in call.revoked_slices:
            former |= servers_with_weights(slice_id, call.orders)
        return former

    def ready_in_s(self, now_s: float) -> float | None:
        """Return the seconds until the next call may be made.

        Returns:
            The delay in seconds, or None if nothing is queued or a call is in flight.
        """
        if self._call is not None or not self._queue:
            return None
        return self._window.ready_in_s(now_s)

    def next_call(self, now_s: float) -> Call:
        """Build and return the next call.

        If the queue exceeds the size limit, orders are selected by priority and the rest stays queued.
        """
        self._call = Call(self._queue.take_next(), now_s)
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
            self.requeue_throttled()
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
        """Request a snapshot if it can show whether the call was applied, otherwise retry the call."""
        delay_s = self._next_backoff_s()
        self.uncertain_calls += 1
        reachable = response.result is not RequestResult.UNREACHABLE
        snapshot = reachable and self.has_weights_in_flight
        if snapshot:
            self._failed_snapshots = 0
        else:
            delay_s = max(delay_s, self.retry(now_s, maybe_applied=reachable))
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
            now_s: The current time, in seconds.
            tables: The tables of the owned slices, or None if the snapshot failed.
            complete: Whether the whole snapshot was received. Otherwise entries may be missing.
        """
        if tables is not None:
            return self._on_resolved(now_s, self._current_call().outcome(tables, complete))
        self._failed_snapshots += 1
        if self._failed_snapshots < MAX_SNAPSHOT_ATTEMPTS:
            return NextStep(self._next_backoff_s(), snapshot=True)
        return NextStep(max(self._next_backoff_s(), self.retry(now_s, maybe_applied=True)))

    def _on_resolved(self, now_s: float, outcome: CallOutcome) -> NextStep:
        """End the call in flight by what a snapshot shows, and requeue its orders if it was not applied."""
        applied = outcome is CallOutcome.APPLIED
        delay_s = 0.0
        if applied:
            self._backoff_s = INITIAL_BACKOFF_S
            self.accept(now_s, len(self._current_call().orders))
        else:
            delay_s = self.retry(now_s, maybe_applied=outcome is CallOutcome.UNKNOWN)
        return NextStep(delay_s, event="call_resolved", fields={"applied": applied})

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
        """Requeue orders of a call ahead of all others, except those replaced by newer orders."""
        self._queue.put_back(order for order in orders if call.may_resend(order))

    def accept(self, now_s: float, accepted: int) -> Order | None:
        """End a call of which the relay accepted the first `accepted` orders.

        The order after the last accepted one was rejected. The remaining orders are requeued, and the
        rejected order is requeued once after them, because the number in a response may be readable but
        wrong.

        Returns:
            The order that was rejected for the second time and is dropped, or None.
        """
        call = self._end_call()
        self._invalid_answers = 0
        if accepted > 0:
            self._count_call(now_s, call, call.orders[:accepted])
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

    def retry(self, now_s: float, maybe_applied: bool) -> float:
        """End a call that is not known to be applied, and requeue its orders.

        Args:
            now_s: The current time, in seconds.
            maybe_applied: Whether the call may have been applied and counts towards the message limit.

        Returns:
            The minimum delay of the next call that keeps messages free for urgent orders, in seconds.
        """
        call = self._end_call()
        if maybe_applied:
            self._count_call(now_s, call, call.orders)
        self._requeue(call, call.orders)
        return self._window.retry_delay_s(now_s) if maybe_applied else 0.0

    def _count_call(self, now_s: float, call: Call, orders: list[Order]) -> None:
        """Count a call that was or may have been applied, with the orders that the relay accepted."""
        self._window.record(now_s)
        times = SentTimes(call.started_at_s, ended_at_s=now_s)
        self.sent_weights.record(orders, call.revoked_slices, times)

    @property
    def has_weights_in_flight(self) -> bool:
        """Whether the relay's tables can show if the call in flight was applied."""
        return self._call is not None and any(order.weight for order in self._call.orders)

    def reject(self) -> bool:
        """End a call that the relay answered with INVALID, and requeue or drop its orders.

        Returns:
            Whether the orders are dropped. This happens after MAX_INVALID_ANSWERS attempts, so that they do
            not block all other orders.
        """
        call = self._end_call()
        self._invalid_answers += 1
        if self._invalid_answers < MAX_INVALID_ANSWERS:
            self._requeue(call, call.orders)
            return False
        self._invalid_answers = 0
        self.dropped_orders += len(call.orders)
        return True

    def requeue_throttled(self) -> None:
        """End a throttled call, which was not applied, and requeue its orders."""
        call = self._end_call()
        self._requeue(call, call.orders)


def _logged_body(response: Response) -> str:
    return response.body[:MAX_LOGGED_BODY_BYTES].decode("utf-8", "replace")

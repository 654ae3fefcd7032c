"""Tests of order encoding, the outbox and the parsing of the relay's responses."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from puffintide.decisions.actions import (
    ALL_SLICES,
    Action,
    LogMessage,
    SendCheckpoint,
    SendHealthCheck,
    SetAdmission,
    SetWeight,
    SetWithdrawn,
)
from puffintide.platform.http_exchange import RequestResult, Response
from puffintide.platform.identifiers import HostRegistry
from puffintide.platform.relay_answers import parse_answer
from puffintide.platform.relay_calls import MAX_CALL_BYTES, CallOutcome
from puffintide.platform.relay_orders import (
    Order,
    OrderedWeight,
    OrderEncoder,
    OrderKey,
    OrderType,
    SendPriority,
)
from puffintide.platform.relay_outbox import INITIAL_BACKOFF_S, MAX_BACKOFF_S, Outbox
from tests.platform_config import NAMES


def test_orders_are_encoded_with_the_platforms_field_names() -> None:
    hosts = HostRegistry()
    server_id = hosts.register("s-1")
    actions: list[Action] = [
        SetWithdrawn(server_id, True),
        SetWithdrawn(server_id, False),
        SetWeight(2, server_id, 1.5),
        SetWeight(2, server_id, 0.0),
        SetWeight(3, server_id, 1.0),
        SetWeight(2, 99, 1.0),
        SetAdmission(ALL_SLICES, 0, 1.0, 1),
        SetAdmission(2, 2, 0.25, 0),
        SendCheckpoint(77),
        SendHealthCheck(server_id),
        LogMessage("x"),
    ]
    orders, errors = OrderEncoder(NAMES, hosts).encode(actions, [2])
    assert [json.loads(o.text) for o in orders] == [
        {"do": "OUT", "host": "s-1"},
        {"do": "IN", "host": "s-1"},
        {"do": "SET", "group": 2, "host": "s-1", "share": 1.5},
        {"do": "SET", "group": 2, "host": "s-1", "share": 0.0},
        {"do": "LIMIT", "gate": 1.0, "again": 1},
        {"do": "LIMIT", "group": 2, "for": ["start"], "gate": 0.25, "again": 0},
        {"do": "SYNC", "stamp": 77, "yes": 0},
    ]
    assert len(errors) == 1
    assert "99" in errors[0]


def weight_key(slice_id: int, server_id: int) -> OrderKey:
    return OrderKey(OrderType.WEIGHT, slice_id, server_id)


def withdrawal_key(server_id: int) -> OrderKey:
    return OrderKey(OrderType.WITHDRAWAL, item_id=server_id)


def added_weight(slice_id: int, server_id: int) -> Order:
    """Return the order of a weight, which a snapshot of the relay's tables can contain."""
    weight = OrderedWeight(slice_id, f"s-{server_id}", 1.0)
    return Order(weight_key(slice_id, server_id), b"{}", SendPriority.ADDED_WEIGHT, weight)


def removed_weight(slice_id: int, server_id: int) -> Order:
    weight = OrderedWeight(slice_id, f"s-{server_id}", 0.0)
    return Order(weight_key(slice_id, server_id), b"{}", SendPriority.REMOVED_WEIGHT, weight)


def weight_order(server_id: int, weight: float, slice_id: int = 0, size: int = 0) -> Order:
    text = json.dumps(
        {"do": "SET", "group": slice_id, "host": f"s-{server_id}{'x' * size}", "share": weight}
    ).encode()
    priority = SendPriority.ADDED_WEIGHT if weight > 0 else SendPriority.REMOVED_WEIGHT
    return Order(weight_key(slice_id, server_id), text, priority)


def withdrawal_order(server_id: int) -> Order:
    return Order(withdrawal_key(server_id), b'{"do":"OUT"}', SendPriority.WITHDRAWAL)


def next_orders(outbox: Outbox) -> list[Order]:
    call = outbox.next_call(0.0)
    assert [json.loads(o.text) for o in call.orders] == json.loads(call.body)["orders"]
    assert len(call.body) <= MAX_CALL_BYTES
    return call.orders


def resolve(outbox: Outbox, now_s: float, tables: dict[int, dict[str, float]], complete: bool) -> bool:
    """Return whether the outbox takes the call in flight for applied, as these tables show."""
    return outbox.on_snapshot(now_s, tables, complete).fields["applied"] is True


def unsettled_servers(outbox: Outbox, slice_id: int) -> set[int]:
    unsettled = outbox.unsettled_servers(slice_id, granted_at_s=0.0)
    return set(unsettled.newer | unsettled.uncertain)


def test_one_batch_is_one_call_and_calls_do_not_overlap() -> None:
    outbox = Outbox()
    assert outbox.ready_in_s(0.0) is None
    outbox.put([withdrawal_order(1), weight_order(2, 1.0), weight_order(1, 0.0)])
    assert outbox.ready_in_s(0.0) == 0.0
    assert [o.key.order_type for o in next_orders(outbox)] == [
        OrderType.WITHDRAWAL,
        OrderType.WEIGHT,
        OrderType.WEIGHT,
    ]
    outbox.put([weight_order(3, 1.0)])
    assert outbox.ready_in_s(0.0) is None  # The first call has no response yet.
    assert outbox.accept(0.0, 3) is None
    assert [o.key for o in next_orders(outbox)] == [weight_key(0, 3)]


def test_rejected_order_is_dropped_and_the_rest_is_sent() -> None:
    outbox = Outbox()
    outbox.put([weight_order(1, 1.0), weight_order(2, 1.0), weight_order(3, 1.0)])
    outbox.next_call(0.0)
    assert outbox.accept(0.0, 1) is None
    # The rejected order is retried once, after the others.
    assert [o.key.item_id for o in next_orders(outbox)] == [3, 2]
    rejected = outbox.accept(0.0, 1)
    assert rejected is not None
    assert rejected.key == weight_key(0, 2)
    assert len(outbox) == 0


def test_retry_of_an_uncertain_call_never_replaces_a_newer_order() -> None:
    outbox = Outbox()
    outbox.put([weight_order(1, 1.0), weight_order(2, 1.0)])
    outbox.next_call(0.0)
    outbox.put([weight_order(1, 0.0), weight_order(4, 1.0)])
    outbox.retry(0.0, maybe_applied=True)
    assert [(o.key.item_id, json.loads(o.text)["share"]) for o in next_orders(outbox)] == [
        (2, 1.0),
        (1, 0.0),
        (4, 1.0),
    ]
    assert outbox.accept(0.0, 3) is None
    assert len(outbox) == 0


def test_relay_tables_resolve_an_uncertain_call() -> None:
    cases: list[tuple[dict[int, dict[str, float]], bool]] = [
        ({0: {"s-1": 1.0}}, False),
        ({0: {"s-2": 1.0}}, True),
        ({}, False),
        ({7: {"s-9": 1.0}}, False),
    ]
    for tables, applied in cases:
        outbox = Outbox()
        outbox.put([withdrawal_order(9), added_weight(0, 2), removed_weight(0, 1)])
        outbox.next_call(0.0)
        assert outbox.has_weights_in_flight
        assert resolve(outbox, 0.0, tables, complete=False) is applied
        assert len(outbox) == (0 if applied else 3)
    outbox = Outbox()
    outbox.put([withdrawal_order(1)])
    outbox.next_call(0.0)
    assert not outbox.has_weights_in_flight


@pytest.mark.parametrize(("complete", "applied"), [(False, False), (True, True)])
def test_missing_weight_proves_its_removal_only_in_a_complete_snapshot(complete: bool, applied: bool) -> None:
    outbox = Outbox(max_messages_per_window=1, message_window_s=10.0)
    outbox.put([removed_weight(0, 1)])
    outbox.next_call(0.0)
    assert resolve(outbox, 0.0, {0: {}}, complete) is applied
    assert len(outbox) == (0 if applied else 1)
    assert outbox.ready_in_s(1.0) in (None, 9.0)  # A call that may have been applied counts as a message.


def test_weights_in_flight_are_not_retried_after_their_slice_was_revoked() -> None:
    """The slice may be granted again with another table, which old weights must not overwrite."""
    end_calls: list[Callable[[Outbox], Any]] = [
        lambda outbox: outbox.retry(0.0, maybe_applied=True),
        lambda outbox: outbox.requeue_throttled(),
        lambda outbox: outbox.reject(),
        lambda outbox: outbox.accept(0.0, 0),
        lambda outbox: resolve(outbox, 0.0, {5: {"s-9": 1.0}, 6: {}}, complete=True),
    ]
    for end_call in end_calls:
        outbox = Outbox()
        outbox.put(added_weight(s, 1) for s in (5, 6))
        outbox.next_call(0.0)
        outbox.revoke_slice(5)
        assert unsettled_servers(outbox, 6) == {1}
        assert not unsettled_servers(outbox, 5)
        end_call(outbox)
        assert [o.key for o in next_orders(outbox)] == [weight_key(6, 1)]


def test_next_step_after_each_result_of_a_call() -> None:
    def step_after(
        result: RequestResult, body: bytes = b"", *, with_weight: bool = True
    ) -> tuple[bool, bool, int]:
        outbox = Outbox()
        outbox.put([added_weight(0, 2) if with_weight else withdrawal_order(1)])
        outbox.next_call(0.0)
        step = outbox.on_response(0.0, Response(result, 200, body))
        return step.snapshot, step.delay_s > 0, len(outbox)

    assert step_after(RequestResult.ANSWERED, b'{"accepted":1}') == (False, False, 0)
    assert (
        step_after(RequestResult.ANSWERED, b'{"error":"throttled"}')
        == step_after(RequestResult.ANSWERED, b'{"error":"invalid"}')
        == (False, True, 1)
    )
    assert step_after(RequestResult.UNREACHABLE) == (False, True, 1)  # The call was certainly not applied.
    for result, body in (
        (RequestResult.DISCONNECTED, b""),
        (RequestResult.TIMED_OUT, b""),
        (RequestResult.MALFORMED, b""),
        (RequestResult.ANSWERED, b"{"),
        (RequestResult.ANSWERED, b"[]"),
    ):
        assert step_after(result, body) == (True, True, 1)
        assert step_after(result, body, with_weight=False) == (False, True, 1)


def test_failed_snapshots_are_repeated_a_limited_number_of_times() -> None:
    outbox = Outbox()
    outbox.put([added_weight(0, 2)])
    outbox.next_call(0.0)
    step, snapshots, delays = outbox.on_response(0.0, Response(RequestResult.TIMED_OUT)), 0, list[float]()
    while step.snapshot:
        snapshots, delays = snapshots + 1, [*delays, step.delay_s]
        step = outbox.on_snapshot(0.0, None)
    assert snapshots == 5
    assert delays == sorted(delays)
    assert not outbox.in_flight
    assert len(outbox) == 1


def test_calls_that_may_have_been_applied_count_towards_the_message_limit() -> None:
    outbox = Outbox(max_messages_per_window=2, message_window_s=10.0)
    for now, applied in ((0.0, True), (1.0, False), (2.0, True)):
        outbox.put([weight_order(1, now)])
        assert outbox.ready_in_s(now) == 0.0
        outbox.next_call(0.0)
        outbox.retry(now, applied)
    assert outbox.ready_in_s(3.0) == 7.0  # Two of the three calls may have been applied.
    assert outbox.ready_in_s(10.5) == 0.0


DRAIN_GRACE_S = 3.6  # As in the example of the platform's settings.
CHANNEL_DELAY_MAX_S = 1.1


@pytest.mark.parametrize("max_messages", [10, 20])
@pytest.mark.parametrize("fault_s", [0.5 * k for k in range(1, 31)])
def test_retries_of_calls_that_may_have_been_applied_leave_room_for_later_orders(
    max_messages: int, fault_s: float
) -> None:
    """Guards against drains that wait for the message window: a call without weights cannot be resolved."""
    outbox = Outbox(max_messages, message_window_s=10.0)
    outbox.put([withdrawal_order(1)])
    now_s, calls_at_s = 0.0, list[float]()
    while now_s < fault_s:
        calls_at_s.append(now_s)
        outbox.next_call(now_s)
        step = outbox.on_response(now_s, Response(RequestResult.DISCONNECTED))
        assert not step.snapshot
        now_s += step.delay_s
        now_s += outbox.ready_in_s(now_s) or 0.0
    assert now_s - fault_s <= DRAIN_GRACE_S - CHANNEL_DELAY_MAX_S
    for start_s in calls_at_s:
        assert sum(start_s <= call_s < start_s + 10.0 for call_s in calls_at_s) <= max_messages


@pytest.mark.parametrize(
    ("table", "complete", "outcome"),
    [
        ({"s-2": 1.0}, False, CallOutcome.APPLIED),
        ({"s-1": 1.0}, False, CallOutcome.NOT_APPLIED),  # The entry that it removes is there.
        ({"s-1": 1.0, "s-2": 1.0}, False, CallOutcome.NOT_APPLIED),
        ({"s-2": 0.5}, False, CallOutcome.NOT_APPLIED),
        ({}, False, CallOutcome.UNKNOWN),  # The entry that it adds may follow.
        ({}, True, CallOutcome.NOT_APPLIED),
        (None, True, CallOutcome.UNKNOWN),  # The slice belongs to another assigner by now.
    ],
)
def test_call_counts_towards_the_message_limit_unless_a_table_proves_that_it_was_not_applied(
    table: dict[str, float] | None, complete: bool, outcome: CallOutcome
) -> None:
    outbox = Outbox(max_messages_per_window=1, message_window_s=10.0)
    outbox.put([added_weight(0, 2), removed_weight(0, 1)])
    call = outbox.next_call(0.0)
    tables = {7: {"s-9": 1.0}} if table is None else {0: table}
    assert call.outcome(tables, complete) is outcome
    assert resolve(outbox, 0.0, tables, complete) is (outcome is CallOutcome.APPLIED)
    outbox.put([withdrawal_order(1)])
    assert outbox.ready_in_s(1.0) == (0.0 if outcome is CallOutcome.NOT_APPLIED else 9.0)


def test_retry_delay_grows_until_a_call_is_applied() -> None:
    """Guards against rapid retries: a snapshot that showed a call not to be applied reset the delay."""
    outbox = Outbox()
    outbox.put([added_weight(0, 2), removed_weight(0, 1)])
    delays_s = list[float]()
    for table in [{"s-1": 1.0}] * 7 + [{"s-2": 1.0}]:
        outbox.next_call(0.0)
        delays_s.append(outbox.on_response(0.0, Response(RequestResult.DISCONNECTED)).delay_s)
        outbox.on_snapshot(0.0, {0: table}, complete=False)
    assert delays_s == [min(INITIAL_BACKOFF_S * 2**k, MAX_BACKOFF_S) for k in range(8)]
    outbox.put([added_weight(0, 3)])
    outbox.next_call(0.0)
    assert outbox.on_response(0.0, Response(RequestResult.DISCONNECTED)).delay_s == INITIAL_BACKOFF_S


def test_batch_over_the_size_limit_is_sent_in_parts_that_are_safe_by_themselves() -> None:
    outbox = Outbox()
    outbox.put(
        [weight_order(1, 0.0), *(weight_order(k, 1.0, k, 400) for k in range(2, 302)), withdrawal_order(1)]
    )
    parts: list[list[int]] = []
    while outbox.ready_in_s(0.0) is not None:
        parts.append([o.priority for o in next_orders(outbox)])
        outbox.accept(0.0, len(parts[-1]))
    assert len(parts) > 1
    assert parts[0][0] == 0
    assert sum(map(len, parts)) == 302
    assert not any(2 in part for part in parts[:-1])  # No weight is removed before all are added.


def test_throttled_call_is_requeued_and_invalid_call_is_dropped_after_three_attempts() -> None:
    outbox = Outbox(max_messages_per_window=1)
    outbox.put([weight_order(1, 1.0)])
    outbox.next_call(0.0)
    outbox.requeue_throttled()
    assert outbox.ready_in_s(0.0) == 0.0  # A throttled call does not count as a message.
    for _ in range(2):
        outbox.next_call(0.0)
        assert not outbox.reject()
    outbox.next_call(0.0)
    assert outbox.reject()
    assert len(outbox) == 0


@pytest.mark.parametrize(
    ("started_at_s", "ended_at_s", "newer", "uncertain"),
    [
        (1.0, 1.1, False, False),  # Long before the grant: the listed table is right.
        (8.5, 8.6, False, True),  # The slice may have been another assigner's.
        (1.0, 9.9, False, True),  # The call was given up shortly before the grant.
        (9.9, None, False, True),  # In flight as the grant was received.
        (10.1, None, True, False),
        (10.1, 10.2, True, False),
    ],
)
def test_only_a_call_that_began_after_a_grant_is_newer_than_the_granted_table(
    started_at_s: float, ended_at_s: float | None, newer: bool, uncertain: bool
) -> None:
    outbox = Outbox()
    outbox.put([added_weight(0, 2)])
    outbox.next_call(started_at_s)
    if ended_at_s is not None:
        outbox.accept(ended_at_s, 1)
    unsettled = outbox.unsettled_servers(0, granted_at_s=10.0)
    assert (2 in unsettled.newer, 2 in unsettled.uncertain) == (newer, uncertain)
    outbox.revoke_slice(0)
    assert not unsettled_servers(outbox, 0)
    assert outbox.former_servers(0, granted_at_s=10.0) == ({2} if newer or uncertain else set())


def test_queued_weights_of_a_revoked_slice_are_dropped() -> None:
    outbox = Outbox()
    outbox.put([weight_order(1, 1.0, 5), weight_order(1, 1.0, 6), withdrawal_order(5)])
    outbox.revoke_slice(5)
    assert [o.key for o in next_orders(outbox)] == [weight_key(6, 1), withdrawal_key(5)]
    assert unsettled_servers(outbox, 6) == {1}
    assert not unsettled_servers(outbox, 5)


@pytest.mark.parametrize(
    ("status", "body", "accepted", "error"),
    [
        (200, b'{"accepted":2}', 2, ""),
        (200, b'{"accepted":0}', 0, ""),
        (200, b'{"accepted":4}', None, ""),
        (200, b'{"accepted":-1}', None, ""),
        (200, b'{"accepted":true}', None, ""),
        (200, b'{"accepted":"2"}', None, ""),
        (200, b"{", None, ""),
        (200, b"[]", None, ""),
        (200, b"", None, ""),
        (500, b'{"accepted":2}', None, ""),
        (429, b'{"error":"throttled"}', None, "throttled"),
        (503, b'{"error":{"code":"throttled"}}', None, "throttled"),
    ],
)
def test_relay_responses_are_parsed(status: int, body: bytes, accepted: int | None, error: str) -> None:
    answer = parse_answer(status, body, 3)
    assert (answer.accepted, answer.error) == (accepted, error)

"""The engine: events in, effects out, over the course of requests."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from puffintide.protocol import messages as m
from puffintide.proxy.effects import (
    CancelAttempt,
    CompleteRequest,
    ConnectServer,
    DisconnectServer,
    SendAttempt,
)
from tests.proxy_engines import (
    IDEMPOTENCY_KEY,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    effects_of,
    engine,
    retry_mode_update,
    start,
)
from tests.proxy_random_history import RandomHistory


def test_a_request_is_sent_once_its_server_is_connected_and_completes_with_the_response() -> None:
    e = engine()
    effects = e.on_request(1.0, "a", 7, 0, IDEMPOTENT, 2.0)
    (connect,) = effects
    assert isinstance(connect, ConnectServer)
    (send,) = e.on_server_connected(1.1, connect.server_id)
    assert isinstance(send, SendAttempt)
    assert send.remaining_s < 1.9
    assert send.handle == "a"
    assert e.on_response(1.3, send.server_id, send.attempt_id, m.AttemptStatus.OK, [3.0]) == [
        CompleteRequest("a", m.AttemptStatus.OK, 0.0, True)
    ]
    assert e.on_response(1.4, send.server_id, send.attempt_id, m.AttemptStatus.OK, []) == []
    assert e.late_responses == 1
    report = e.take_usage_report(2.0, 0, 0.5)
    assert report is not None
    assert report.servers == [m.ServerUsage(send.server_id, 1, 0, 0.2, [3.0])]
    assert report.slices == [m.SliceUsage(0, IDEMPOTENT, 1, 0)]
    assert e.take_usage_report(2.5, 0, 0.5) is None


def test_without_a_retry_mode_no_failure_is_retried() -> None:
    e = engine()
    send = start(e, 1.0)
    assert e.on_server_disconnected(1.1, send.server_id) == [
        CompleteRequest(1, m.AttemptStatus.RESET, 0.0, True)
    ]
    e = engine()
    send = start(e, 1.0)
    assert e.on_response(1.1, send.server_id, send.attempt_id, m.AttemptStatus.SATURATED, []) == [
        CompleteRequest(1, m.AttemptStatus.SATURATED, 0.5, False)
    ]
    e = engine()
    (connect,) = e.on_request(1.0, 1, 1, 0, IDEMPOTENT, 4.0)
    assert isinstance(connect, ConnectServer)
    assert e.on_timer(1.3) == [
        DisconnectServer(connect.server_id),
        CompleteRequest(1, m.AttemptStatus.UNREACHABLE, 0.5, False),
    ]


@pytest.mark.parametrize("kind", [IDEMPOTENT, IDEMPOTENCY_KEY, NON_IDEMPOTENT])
def test_an_attempt_proven_not_executed_is_retried_at_another_server_in_any_class(kind: int) -> None:
    for how in ("full", "refused", "silent"):
        e = engine()
        e.on_proxy_update(0.5, 0, retry_mode_update(1))
        effects = e.on_request(1.0, 1, 1, 0, kind, 4.0)
        (connect,) = effects_of(effects, ConnectServer)
        if how == "full":
            (send,) = e.on_server_connected(1.0, connect.server_id)
            effects = e.on_response(1.1, send.server_id, send.attempt_id, m.AttemptStatus.SATURATED, [])  # type: ignore[union-attr]
        elif how == "refused":
            effects = e.on_server_disconnected(1.1, connect.server_id)
        else:
            effects = e.on_timer(1.26)
        (again,) = effects_of(effects, ConnectServer)
        assert again.server_id != connect.server_id
        (second,) = effects_of(e.on_server_connected(1.3, again.server_id), SendAttempt)
        assert second.attempt_number == 1
        assert e.on_response(1.4, second.server_id, second.attempt_id, m.AttemptStatus.SATURATED, []) == [
            CompleteRequest(1, m.AttemptStatus.SATURATED, 0.5, False)
        ]


def test_a_non_idempotent_request_that_may_have_been_executed_is_never_retried() -> None:
    for retry_mode in (1, 2, 3):
        e = engine()
        e.on_proxy_update(0.5, 0, retry_mode_update(retry_mode))
        send = start(e, 1.0, kind=NON_IDEMPOTENT)
        assert effects_of(e.on_timer(4.99), SendAttempt) == []
        assert e.requests == {}
        e = engine()
        e.on_proxy_update(0.5, 0, retry_mode_update(retry_mode))
        send = start(e, 1.0, kind=NON_IDEMPOTENT)
        assert e.on_response(1.2, send.server_id, send.attempt_id, m.AttemptStatus.ERROR, []) == [
            CompleteRequest(1, m.AttemptStatus.ERROR, 0.0, True)
        ]


def test_a_retry_with_an_idempotency_key_stays_in_its_zone_and_window() -> None:
    e = engine(servers=4)
    e.on_proxy_update(0.5, 0, retry_mode_update(3))
    send = start(e, 1.0, kind=IDEMPOTENCY_KEY)
    effects = e.on_timer(1.51)  # half a latency objective has passed
    assert effects_of(effects, CancelAttempt) == [CancelAttempt(send.server_id, send.attempt_id)]
    (connect,) = effects_of(effects, ConnectServer)
    assert connect.server_id != send.server_id
    assert connect.server_id % 2 == send.server_id % 2
    e.on_server_connected(1.6, connect.server_id)
    third = effects_of(e.on_timer(2.2), SendAttempt)
    assert len(third) == 1
    assert third[0].server_id % 2 == send.server_id % 2
    assert effects_of(e.on_timer(3.2), SendAttempt) == []
    late = engine(servers=4)
    late.on_proxy_update(0.5, 0, retry_mode_update(2))
    send = start(late, 1.0, kind=IDEMPOTENCY_KEY, remaining_s=9.0)
    late.settings = late.dispatcher.settings = replace(late.settings, retry_wait_objectives=3.0)
    (finish,) = late.on_response(
        3.1, send.server_id, send.attempt_id, m.AttemptStatus.ERROR, []
    )  # the window of two seconds is over
    assert finish == CompleteRequest(1, m.AttemptStatus.ERROR, 0.0, True)


def test_a_request_without_a_server_is_queued_then_rejected_or_sent() -> None:
    e = engine()
    e.on_proxy_update(0.5, 0, m.ProxyUpdate(1, 0.0, 1.0, withdrawn_servers=[0, 1, 2]))
    assert e.on_request(1.0, 1, 1, 0, IDEMPOTENT, 4.0) == []
    assert e.on_request(1.1, 2, 2, 0, IDEMPOTENT, 4.0) == []
    assert e.on_timer(1.21) == [CompleteRequest(1, m.AttemptStatus.SATURATED, 0.5, False)]
    effects = e.on_proxy_update(1.25, 0, m.ProxyUpdate(2, 0.0, 1.0, readmitted_servers=[1]))
    assert [c.server_id for c in effects_of(effects, ConnectServer)] == [1]
    e.on_request(1.3, 3, 3, 1, IDEMPOTENT, 4.0)
    small_queue = engine(max_queued_requests=1)
    small_queue.on_proxy_update(0.5, 0, m.ProxyUpdate(1, 0.0, 1.0, withdrawn_servers=[0, 1, 2]))
    small_queue.on_request(1.0, 1, 1, 0, IDEMPOTENT, 4.0)
    assert small_queue.on_request(1.0, 2, 2, 0, IDEMPOTENT, 4.0) == [
        CompleteRequest(2, m.AttemptStatus.SATURATED, 0.5, False)
    ]


def test_an_admission_fraction_of_0_rejects_queued_and_new_requests() -> None:
    e = engine()
    e.on_proxy_update(0.5, 0, m.ProxyUpdate(1, 0.0, 1.0, withdrawn_servers=[0, 1, 2]))
    e.on_request(1.0, 1, 1, 0, IDEMPOTENT, 4.0)
    e.on_request(1.0, 2, 2, 0, NON_IDEMPOTENT, 4.0)
    assert e.on_proxy_update(1.1, 0, retry_mode_update(0, 0.0, classes=1)) == [
        CompleteRequest(1, m.AttemptStatus.SATURATED, 0.5, False)
    ]
    assert e.on_request(1.1, 3, 3, 0, IDEMPOTENT, 4.0) == [
        CompleteRequest(3, m.AttemptStatus.SATURATED, 0.5, False)
    ]
    assert len(e.dispatcher.queued) == 1


def test_a_changed_table_concerns_the_next_request() -> None:
    e = engine(servers=1)
    send = start(e, 1.0)
    e.on_proxy_update(
        1.1,
        0,
        m.ProxyUpdate(
            1, 0.0, 1.0, weights=[m.WeightEntry(0, 5, 1.0, 1, "127.0.0.1:5"), m.WeightEntry(0, 0, 0.0, 1)]
        ),
    )
    second = start(e, 1.2, handle=2)
    assert (send.server_id, second.server_id) == (0, 5)
    assert e.on_response(1.3, 0, send.attempt_id, m.AttemptStatus.OK, []) == [
        CompleteRequest(1, m.AttemptStatus.OK, 0.0, True)
    ]


def test_writes_stop_one_lease_after_the_assigner_is_lost_until_its_next_update() -> None:
    e = engine(single_writer=True, write_lease_s=1.0, queue_timeout_s=0.1)
    assert (
        effects_of(e.on_request(9.0, 9, 9, 0, IDEMPOTENCY_KEY, 0.05), ConnectServer) == []
    )  # none before its first update
    e.on_proxy_update(9.5, 0, m.ProxyUpdate(1, 0.0, 1.0))
    e.on_assigner_disconnected(10.0, 0)
    assert effects_of(e.on_request(10.9, 1, 1, 0, IDEMPOTENCY_KEY, 4.0), ConnectServer)
    assert e.on_request(11.1, 2, 2, 0, IDEMPOTENCY_KEY, 4.0) == []  # entries, then refused
    assert e.on_request(11.1, 3, 3, 0, IDEMPOTENT, 4.0) != [] or e.requests
    assert CompleteRequest(2, m.AttemptStatus.SATURATED, 0.5, False) in e.on_timer(11.3)
    e.on_slice_ownerships(11.4, [m.SliceOwnership(0, 9, 0, [m.TableEntry(1, 1.0, "127.0.0.1:1")])])
    assert (
        e.on_request(11.4, 5, 5, 0, IDEMPOTENCY_KEY, 4.0) == []
    )  # the store knows of no move that is under way
    e.on_timer(11.6)
    e.on_proxy_update(11.7, 0, m.ProxyUpdate(2, 0.0, 1.0))
    assert 4 not in [
        f.handle for f in effects_of(e.on_request(11.8, 4, 4, 0, IDEMPOTENCY_KEY, 4.0), CompleteRequest)
    ]
    assert not e.dispatcher.queued


def test_consecutive_failures_eject_a_server_for_a_while() -> None:
    e = engine(servers=2, ejection_failures=2)
    failed = 0
    for handle in range(4):
        send = start(e, 1.0 + handle / 100, handle=handle)
        e.on_response(
            1.0 + handle / 100,
            send.server_id,
            send.attempt_id,
            m.AttemptStatus.ERROR if send.server_id == 0 else m.AttemptStatus.OK,
            [],
        )
        failed += send.server_id == 0
    assert failed == 2
    assert {start(e, 1.5, handle=100 + k).server_id for k in range(40)} == {1}
    back = [start(e, 3.5, handle=200 + k).server_id for k in range(6)]
    assert 2 <= back.count(0) <= 4  # its part again, and no burst for the time it was away


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.integers(0, 10**9))
def test_whatever_happens_each_request_completes_once_in_time_and_usage_adds_up(seed: int) -> None:
    history = RandomHistory(seed)
    history.play()
    assert history.completed.keys() == history.deadlines_s.keys()
    assert not history.engine.requests
    assert not history.engine.dispatcher.queued
    assert history.reported_requests == len(history.deadlines_s)
    sent = sum(len(attempts) for attempts in history.attempts.values())
    assert history.reported_attempts >= sent  # attempts that were never sent count as failed too
    unsuccessful = sum(end.status != m.AttemptStatus.OK for end in history.completed.values())
    rejected_on_arrival = unsuccessful - history.reported_unanswered
    assert 0 <= rejected_on_arrival <= unsuccessful


def test_a_write_in_flight_is_reported_and_a_read_is_not() -> None:
    e = engine(single_writer=True)
    e.on_proxy_update(9.5, 0, m.ProxyUpdate(1, 0.0, 1.0))
    for handle, kind in ((1, IDEMPOTENT), (2, IDEMPOTENCY_KEY)):
        for c in effects_of(e.on_request(10.0, handle, handle, 0, kind, 4.0), ConnectServer):
            e.on_server_connected(10.0, c.server_id)
        assert e.has_writes_in_flight([0]) is (kind == IDEMPOTENCY_KEY)
        assert not e.has_writes_in_flight([1])
    e.on_timer(60.0)
    assert not e.has_writes_in_flight([0])

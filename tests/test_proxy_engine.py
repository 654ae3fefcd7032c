"""Tests of the proxy's engine: the effects that it returns for events."""

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
    create_engine,
    effects_of_type,
    retry_mode_update,
    start_request,
)
from tests.proxy_random_history import RandomHistory


def test_request_is_sent_after_server_connects_and_completes_with_response() -> None:
    engine = create_engine()
    effects = engine.on_request(1.0, "a", 7, 0, IDEMPOTENT, 2.0)
    (connect,) = effects
    assert isinstance(connect, ConnectServer)
    (send,) = engine.on_server_connected(1.1, connect.server_id)
    assert isinstance(send, SendAttempt)
    assert send.remaining_s < 1.9
    assert send.handle == "a"
    assert engine.on_response(1.3, send.server_id, send.attempt_id, m.AttemptStatus.OK, [3.0]) == [
        CompleteRequest("a", m.AttemptStatus.OK, 0.0, True)
    ]
    assert engine.on_response(1.4, send.server_id, send.attempt_id, m.AttemptStatus.OK, []) == []
    assert engine.late_responses == 1
    report = engine.take_usage_report(2.0, 0, 0.5)
    assert report is not None
    assert report.servers == [m.ServerUsage(send.server_id, 1, 0, 0.2, [3.0])]
    assert report.slices == [m.SliceUsage(0, IDEMPOTENT, 1, 0)]
    assert engine.take_usage_report(2.5, 0, 0.5) is None


def test_retry_mode_none_retries_no_failure() -> None:
    engine = create_engine()
    send = start_request(engine, 1.0)
    assert engine.on_server_disconnected(1.1, send.server_id) == [
        CompleteRequest(1, m.AttemptStatus.RESET, 0.0, True)
    ]
    engine = create_engine()
    send = start_request(engine, 1.0)
    assert engine.on_response(1.1, send.server_id, send.attempt_id, m.AttemptStatus.SATURATED, []) == [
        CompleteRequest(1, m.AttemptStatus.SATURATED, 0.5, False)
    ]
    engine = create_engine()
    (connect,) = engine.on_request(1.0, 1, 1, 0, IDEMPOTENT, 4.0)
    assert isinstance(connect, ConnectServer)
    assert engine.on_timer(1.3) == [
        DisconnectServer(connect.server_id),
        CompleteRequest(1, m.AttemptStatus.UNREACHABLE, 0.5, False),
    ]


@pytest.mark.parametrize("class_index", [IDEMPOTENT, IDEMPOTENCY_KEY, NON_IDEMPOTENT])
def test_attempt_proven_not_executed_is_retried_at_another_server_in_any_class(class_index: int) -> None:
    for failure in ("saturated", "refused", "connect_timeout"):
        engine = create_engine()
        engine.on_proxy_update(0.5, 0, retry_mode_update(1))
        effects = engine.on_request(1.0, 1, 1, 0, class_index, 4.0)
        (connect,) = effects_of_type(effects, ConnectServer)
        if failure == "saturated":
            (send,) = engine.on_server_connected(1.0, connect.server_id)
            effects = engine.on_response(1.1, send.server_id, send.attempt_id, m.AttemptStatus.SATURATED, [])  # type: ignore[union-attr]
        elif failure == "refused":
            effects = engine.on_server_disconnected(1.1, connect.server_id)
        else:
            effects = engine.on_timer(1.26)
        (retry_connect,) = effects_of_type(effects, ConnectServer)
        assert retry_connect.server_id != connect.server_id
        (second,) = effects_of_type(engine.on_server_connected(1.3, retry_connect.server_id), SendAttempt)
        assert second.attempt_number == 1
        assert engine.on_response(
            1.4, second.server_id, second.attempt_id, m.AttemptStatus.SATURATED, []
        ) == [CompleteRequest(1, m.AttemptStatus.SATURATED, 0.5, False)]


def test_possibly_executed_non_idempotent_request_is_never_retried() -> None:
    for retry_mode in (1, 2, 3):
        engine = create_engine()
        engine.on_proxy_update(0.5, 0, retry_mode_update(retry_mode))
        send = start_request(engine, 1.0, class_index=NON_IDEMPOTENT)
        assert effects_of_type(engine.on_timer(4.99), SendAttempt) == []
        assert engine.requests == {}
        engine = create_engine()
        engine.on_proxy_update(0.5, 0, retry_mode_update(retry_mode))
        send = start_request(engine, 1.0, class_index=NON_IDEMPOTENT)
        assert engine.on_response(1.2, send.server_id, send.attempt_id, m.AttemptStatus.ERROR, []) == [
            CompleteRequest(1, m.AttemptStatus.ERROR, 0.0, True)
        ]


def test_retry_with_idempotency_key_stays_in_zone_and_deduplication_window() -> None:
    engine = create_engine(servers=4)
    engine.on_proxy_update(0.5, 0, retry_mode_update(3))
    send = start_request(engine, 1.0, class_index=IDEMPOTENCY_KEY)
    effects = engine.on_timer(1.51)  # Half a latency objective has passed.
    assert effects_of_type(effects, CancelAttempt) == [CancelAttempt(send.server_id, send.attempt_id)]
    (connect,) = effects_of_type(effects, ConnectServer)
    assert connect.server_id != send.server_id
    assert connect.server_id % 2 == send.server_id % 2
    engine.on_server_connected(1.6, connect.server_id)
    third = effects_of_type(engine.on_timer(2.2), SendAttempt)
    assert len(third) == 1
    assert third[0].server_id % 2 == send.server_id % 2
    assert effects_of_type(engine.on_timer(3.2), SendAttempt) == []
    late_engine = create_engine(servers=4)
    late_engine.on_proxy_update(0.5, 0, retry_mode_update(2))
    send = start_request(late_engine, 1.0, class_index=IDEMPOTENCY_KEY, remaining_s=9.0)
    late_engine.settings = late_engine.dispatcher.settings = replace(
        late_engine.settings, retry_wait_objectives=3.0
    )
    # The deduplication window of two seconds has ended.
    (complete,) = late_engine.on_response(3.1, send.server_id, send.attempt_id, m.AttemptStatus.ERROR, [])
    assert complete == CompleteRequest(1, m.AttemptStatus.ERROR, 0.0, True)


def test_request_without_available_server_is_queued_then_rejected_or_sent() -> None:
    engine = create_engine()
    engine.on_proxy_update(0.5, 0, m.ProxyUpdate(1, 0.0, 1.0, withdrawn_servers=[0, 1, 2]))
    assert engine.on_request(1.0, 1, 1, 0, IDEMPOTENT, 4.0) == []
    assert engine.on_request(1.1, 2, 2, 0, IDEMPOTENT, 4.0) == []
    assert engine.on_timer(1.21) == [CompleteRequest(1, m.AttemptStatus.SATURATED, 0.5, False)]
    effects = engine.on_proxy_update(1.25, 0, m.ProxyUpdate(2, 0.0, 1.0, readmitted_servers=[1]))
    assert [connect.server_id for connect in effects_of_type(effects, ConnectServer)] == [1]
    engine.on_request(1.3, 3, 3, 1, IDEMPOTENT, 4.0)
    small_queue = create_engine(max_queued_requests=1)
    small_queue.on_proxy_update(0.5, 0, m.ProxyUpdate(1, 0.0, 1.0, withdrawn_servers=[0, 1, 2]))
    small_queue.on_request(1.0, 1, 1, 0, IDEMPOTENT, 4.0)
    assert small_queue.on_request(1.0, 2, 2, 0, IDEMPOTENT, 4.0) == [
        CompleteRequest(2, m.AttemptStatus.SATURATED, 0.5, False)
    ]


def test_admission_fraction_0_rejects_queued_and_new_requests() -> None:
    engine = create_engine()
    engine.on_proxy_update(0.5, 0, m.ProxyUpdate(1, 0.0, 1.0, withdrawn_servers=[0, 1, 2]))
    engine.on_request(1.0, 1, 1, 0, IDEMPOTENT, 4.0)
    engine.on_request(1.0, 2, 2, 0, NON_IDEMPOTENT, 4.0)
    assert engine.on_proxy_update(1.1, 0, retry_mode_update(0, 0.0, class_mask=1)) == [
        CompleteRequest(1, m.AttemptStatus.SATURATED, 0.5, False)
    ]
    assert engine.on_request(1.1, 3, 3, 0, IDEMPOTENT, 4.0) == [
        CompleteRequest(3, m.AttemptStatus.SATURATED, 0.5, False)
    ]
    assert len(engine.dispatcher.queued) == 1


def test_table_change_applies_to_later_requests() -> None:
    engine = create_engine(servers=1)
    send = start_request(engine, 1.0)
    engine.on_proxy_update(
        1.1,
        0,
        m.ProxyUpdate(
            1, 0.0, 1.0, weights=[m.WeightEntry(0, 5, 1.0, 1, "127.0.0.1:5"), m.WeightEntry(0, 0, 0.0, 1)]
        ),
    )
    second = start_request(engine, 1.2, handle=2)
    assert (send.server_id, second.server_id) == (0, 5)
    assert engine.on_response(1.3, 0, send.attempt_id, m.AttemptStatus.OK, []) == [
        CompleteRequest(1, m.AttemptStatus.OK, 0.0, True)
    ]


def test_writes_stop_one_lease_after_assigner_disconnects_until_its_next_update() -> None:
    engine = create_engine(single_writer=True, write_lease_s=1.0, queue_timeout_s=0.1)
    # There is no lease before the assigner's first update.
    assert effects_of_type(engine.on_request(9.0, 9, 9, 0, IDEMPOTENCY_KEY, 0.05), ConnectServer) == []
    engine.on_proxy_update(9.5, 0, m.ProxyUpdate(1, 0.0, 1.0))
    engine.on_assigner_disconnected(10.0, 0)
    assert effects_of_type(engine.on_request(10.9, 1, 1, 0, IDEMPOTENCY_KEY, 4.0), ConnectServer)
    # The request is queued, and rejected after the queue timeout.
    assert engine.on_request(11.1, 2, 2, 0, IDEMPOTENCY_KEY, 4.0) == []
    assert engine.on_request(11.1, 3, 3, 0, IDEMPOTENT, 4.0) != [] or engine.requests
    assert CompleteRequest(2, m.AttemptStatus.SATURATED, 0.5, False) in engine.on_timer(11.3)
    engine.on_slice_ownerships(11.4, [m.SliceOwnership(0, 9, 0, [m.TableEntry(1, 1.0, "127.0.0.1:1")])])
    # A table from the store renews no lease, as the store has no record of a migration in progress.
    assert engine.on_request(11.4, 5, 5, 0, IDEMPOTENCY_KEY, 4.0) == []
    engine.on_timer(11.6)
    engine.on_proxy_update(11.7, 0, m.ProxyUpdate(2, 0.0, 1.0))
    effects = engine.on_request(11.8, 4, 4, 0, IDEMPOTENCY_KEY, 4.0)
    assert 4 not in [complete.handle for complete in effects_of_type(effects, CompleteRequest)]
    assert not engine.dispatcher.queued


def test_consecutive_failures_eject_server_temporarily() -> None:
    engine = create_engine(servers=2, ejection_failures=2)
    failed = 0
    for handle in range(4):
        send = start_request(engine, 1.0 + handle / 100, handle=handle)
        engine.on_response(
            1.0 + handle / 100,
            send.server_id,
            send.attempt_id,
            m.AttemptStatus.ERROR if send.server_id == 0 else m.AttemptStatus.OK,
            [],
        )
        failed += send.server_id == 0
    assert failed == 2
    assert {start_request(engine, 1.5, handle=100 + k).server_id for k in range(40)} == {1}
    servers_after_ejection = [start_request(engine, 3.5, handle=200 + k).server_id for k in range(6)]
    # The server gets its share again, and no burst for the time during which it was ejected.
    assert 2 <= servers_after_ejection.count(0) <= 4


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.integers(0, 10**9))
def test_random_events_complete_each_request_once_in_time_and_usage_adds_up(seed: int) -> None:
    history = RandomHistory(seed)
    history.run()
    assert history.completed.keys() == history.deadlines_s.keys()
    assert not history.engine.requests
    assert not history.engine.dispatcher.queued
    assert history.reported_requests == len(history.deadlines_s)
    sent = sum(len(attempts) for attempts in history.attempts.values())
    assert history.reported_attempts >= sent  # Attempts that were never sent count as failed too.
    unsuccessful = sum(completion.status != m.AttemptStatus.OK for completion in history.completed.values())
    rejected_on_arrival = unsuccessful - history.reported_unanswered
    assert 0 <= rejected_on_arrival <= unsuccessful


def test_only_writes_in_flight_are_reported() -> None:
    engine = create_engine(single_writer=True)
    engine.on_proxy_update(9.5, 0, m.ProxyUpdate(1, 0.0, 1.0))
    for handle, class_index in ((1, IDEMPOTENT), (2, IDEMPOTENCY_KEY)):
        effects = engine.on_request(10.0, handle, handle, 0, class_index, 4.0)
        for connect in effects_of_type(effects, ConnectServer):
            engine.on_server_connected(10.0, connect.server_id)
        assert engine.has_writes_in_flight([0]) is (class_index == IDEMPOTENCY_KEY)
        assert not engine.has_writes_in_flight([1])
    engine.on_timer(60.0)
    assert not engine.has_writes_in_flight([0])


# Guards against a write that is sent to a slice's former server after the proxy has acknowledged the migration.
def test_write_that_waits_for_the_connection_to_its_server_is_in_flight() -> None:
    engine = create_engine(servers=1, single_writer=True, queue_timeout_s=1.0)
    assert engine.on_request(9.0, 1, 1, 0, IDEMPOTENCY_KEY, 4.0) == []
    assert not engine.has_writes_in_flight([0])  # It is queued without a server, as there is no lease.
    (connect,) = effects_of_type(engine.on_proxy_update(9.5, 0, m.ProxyUpdate(1, 0.0, 1.0)), ConnectServer)
    engine.on_proxy_update(9.6, 0, m.ProxyUpdate(2, 0.0, 1.0, cleared_slices=[0]))
    assert engine.has_writes_in_flight([0])
    (send,) = effects_of_type(engine.on_server_connected(9.7, connect.server_id), SendAttempt)
    assert engine.has_writes_in_flight([0])
    engine.on_response(9.8, connect.server_id, send.attempt_id, m.AttemptStatus.OK, [])
    assert not engine.has_writes_in_flight([0])

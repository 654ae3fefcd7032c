"""The proxy's pure cores: choice, levels, further tries, sums, and the course of requests, beside plain oracles."""

from __future__ import annotations

import random
from collections import Counter as Tally
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from puffintide.decisions.settings import AdmissionMode, RepeatSafety
from puffintide.protocol import messages as m
from puffintide.proxy.admission import AdmissionControl
from puffintide.proxy.connection_attempts import ConnectionAttempts
from puffintide.proxy.effects import (
    CancelAttempt,
    CompleteRequest,
    ConnectServer,
    DisconnectServer,
    Effect,
    SendAttempt,
)
from puffintide.proxy.engine import Engine
from puffintide.proxy.load_balancing import WeightedRandom, WeightedRoundRobin, slice_for_key
from puffintide.proxy.retry_policy import (
    AttemptHistory,
    DeduplicationScope,
    RequestClassPolicy,
    attempt_deadline,
    next_attempt,
)
from puffintide.proxy.settings import EngineSettings
from puffintide.proxy.state import StateError, capture_state, load_state, restore_state, save_state
from puffintide.proxy.weight_tables import WeightTables

KINDS = (
    RequestClassPolicy(RepeatSafety.IDEMPOTENT, DeduplicationScope.ALL, 0, 1.0),
    RequestClassPolicy(RepeatSafety.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 2.0, 1.0),
    RequestClassPolicy(RepeatSafety.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 1.0),
)
READ, KEYED, ONCE = 0, 1, 2


def test_a_key_has_the_same_slice_everywhere() -> None:
    # xxh64, seed 0, of 8 bytes little-endian: from the algorithm's own reference implementation.
    assert slice_for_key(0, 1 << 64) == 0x34C96ACDCADB1BBB
    assert slice_for_key(b"\x00" * 8, 97) == slice_for_key(0, 97)
    assert slice_for_key(b"", 1 << 64) == 0xEF46DB3751D8E999


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("how", ["rotate", "random"])
def test_choices_over_a_hundred_thousand_requests_match_the_weights(how: str, seed: int) -> None:
    rng = random.Random(seed)
    weights = {s: rng.choice((0.5, 1.0, 1.0, 2.0, 3.5)) for s in range(12)}
    picker = WeightedRoundRobin(rng.random) if how == "rotate" else WeightedRandom(rng.random)
    picker.set_weights(weights)
    count = 100_000
    tally = Tally(picker.pick() for _ in range(count))
    share = {s: count * w / sum(weights.values()) for s, w in weights.items()}
    assert all(abs(tally[s] / share[s] - 1) < (0.0005 if how == "rotate" else 0.05) for s in weights)
    if how == "random":  # chi-square beside what chance allows: 11 degrees of freedom, one in a million
        assert sum((tally[s] - share[s]) ** 2 / share[s] for s in weights) < 51


def test_choices_follow_weights_that_change_ten_times_a_second() -> None:
    rng = random.Random(3)
    picker = WeightedRoundRobin(rng.random)
    expected: Tally[int] = Tally()
    tally: Tally[int] = Tally()
    for _ in range(1000):  # changes; a hundred requests between two
        weights = {s: rng.choice((0.004, 1.0, 2.0)) for s in rng.sample(range(8), rng.randint(1, 8))}
        picker.set_weights(weights)
        for _ in range(100):
            server = picker.pick()
            assert server in weights
            tally[server] += 1
        for s, w in weights.items():
            expected[s] += 100 * w / sum(weights.values())  # type: ignore[assignment]
    assert all(abs(tally[s] / expected[s] - 1) < 0.02 for s in range(8))


def test_proxies_with_one_table_do_not_begin_alike() -> None:
    first = Tally()  # type: Tally[Any]
    for proxy in range(400):
        picker = WeightedRoundRobin(random.Random(proxy).random)
        picker.set_weights(dict.fromkeys(range(4), 1.0))
        first[picker.pick()] += 1
    assert all(60 < first[s] < 140 for s in range(4))


@given(
    st.dictionaries(st.integers(0, 9), st.sampled_from((0.004, 0.5, 1.0, 4.0)), max_size=8),
    st.frozensets(st.integers(0, 9)),
    st.integers(0, 999),
    st.booleans(),
)
def test_a_pick_avoids_what_it_can_and_never_lacks_one(
    weights: dict[int, float], avoid: frozenset[int], seed: int, by_turn: bool
) -> None:
    rng = random.Random(seed)
    picker = WeightedRoundRobin(rng.random) if by_turn else WeightedRandom(rng.random)
    picker.set_weights(weights)
    for _ in range(30):
        server = picker.pick(avoid)
        allowed = set(weights) - avoid or set(weights)
        assert (server in allowed) if allowed else server is None


def test_the_better_of_two_drawn_takes_it() -> None:
    busy = {0: 5, 1: 0}
    picker = WeightedRandom(random.Random(1).random, lambda s: busy[s])
    picker.set_weights({0: 1.0, 1: 1.0})
    tally = Tally(picker.pick() for _ in range(4000))
    assert 0.7 < tally[1] / 4000 < 0.8  # all but the quarter where both draws are server 0


def test_levels_are_shares_dealt_evenly() -> None:
    gate = AdmissionControl(AdmissionMode.FRACTION)
    run = [gate.admits(0, 0, 0.3, True) for _ in range(1000)]
    assert sum(run) in (299, 300, 301) and max(sum(run[k : k + 10]) for k in range(990)) <= 4
    assert gate.admits(0, 1, 0.0, False) and not gate.admits(0, 1, 0.0, True)
    assert all(AdmissionControl(AdmissionMode.NONE).admits(0, 0, 0.0, True) for _ in range(9))


def may_follow(
    kind: RequestClassPolicy, mode: int, past: AttemptHistory, now: float, deadline: float
) -> bool:
    """The rule in plain words, written another way."""
    if (
        now + 0.01 >= deadline
        or past.last_attempt_number >= (0, 1, 1, 2)[mode]
        or (mode == 1 and not past.proven_not_executed)
    ):
        return False
    if past.maybe_executed_at_s is None or kind.repeat_safety == "repeatable":
        return True
    return (
        kind.repeat_safety == "by_key"
        and kind.deduplication_scope in ("all", "zone")
        and now - past.maybe_executed_at_s < kind.deduplication_window_s
    )


@given(
    st.sampled_from(
        [
            *KINDS,
            RequestClassPolicy(RepeatSafety.IDEMPOTENCY_KEY, DeduplicationScope.ALL, 2.0, 1.0),
            RequestClassPolicy(RepeatSafety.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 2.0, 1.0),
        ]
    ),
    st.integers(0, 3),
    st.integers(0, 3),
    st.booleans(),
    st.one_of(st.none(), st.floats(0, 5)),
    st.floats(5, 6),
)
def test_further_tries_beside_a_plain_oracle(
    kind: RequestClassPolicy, mode: int, number: int, proved: bool, ran_at: float | None, deadline: float
) -> None:
    past = AttemptHistory(number, proved, ran_at, 1)
    following = next_attempt(kind, mode, past, 5.0, deadline)
    assert (following is not None) == may_follow(kind, mode, past, 5.0, deadline)
    if (
        following is not None
        and kind.deduplication_scope == "zone"
        and ran_at is not None
        and kind.repeat_safety == "by_key"
    ):
        assert following.required_zone == 1
    assert attempt_deadline(kind, mode, number, 0.5, 5.0, deadline) <= deadline


SETTINGS = EngineSettings(
    slice_count=4,
    request_classes=KINDS,
    same_zone_only=(False, False, False),
    default_retry_mode=0,
    retry_wait_objectives=0.5,
    ejection_failures=0,
    ejection_s=2.0,
    admission_mode=AdmissionMode.FRACTION,
    load_balancing_policy="rotate",
    queue_timeout_s=0.2,
    retry_after_s=0.5,
    zone=0,
)


def engine(servers: int = 3, **changes: Any) -> Engine:
    made = Engine(replace(SETTINGS, **changes), random.Random(1).random)
    held = [m.TableEntry(s, 1.0, f"127.0.0.1:{s}", s % 2) for s in range(servers)]
    made.on_slice_ownerships(0.0, [m.SliceOwnership(n, n + 1, 0, held) for n in range(4)])
    return made


def only(effects: list[Effect], kind: type) -> list[Any]:
    return [e for e in effects if isinstance(e, kind)]


def mode(way: int, level: float = 1.0, classes: int = 0) -> m.ProxyUpdate:
    return m.ProxyUpdate(1, 0.0, 1.0, admission_levels=[m.AdmissionLevel(0xFFFF, classes, level, way)])


def start(e: Engine, now: float, ref: int = 1, kind: int = READ, left_s: float = 4.0) -> SendAttempt:
    """A request that has gone out to a server."""
    effects = e.on_request(now, ref, ref, 0, kind, left_s)
    for connect in only(effects, ConnectServer):
        effects = effects + e.on_server_connected(now, connect.server_id)
    (send,) = only(effects, SendAttempt)
    assert isinstance(send, SendAttempt)
    return send


def test_a_request_goes_out_once_its_server_has_greeted_and_ends_with_the_answer() -> None:
    e = engine()
    effects = e.on_request(1.0, "a", 7, 0, READ, 2.0)
    (connect,) = effects
    assert isinstance(connect, ConnectServer)
    (send,) = e.on_server_connected(1.1, connect.server_id)
    assert isinstance(send, SendAttempt) and send.remaining_s < 1.9 and send.handle == "a"
    assert e.on_response(1.3, send.server_id, send.attempt_id, m.AttemptStatus.OK, [3.0]) == [
        CompleteRequest("a", m.AttemptStatus.OK, 0.0, True)
    ]
    assert (
        e.on_response(1.4, send.server_id, send.attempt_id, m.AttemptStatus.OK, []) == []
        and e.late_responses == 1
    )  # a second answer
    sums = e.take_usage_report(2.0, 0, 0.5)
    assert sums is not None and sums.servers == [m.ServerUsage(send.server_id, 1, 0, 0.2, [3.0])]
    assert sums.slices == [m.SliceUsage(0, READ, 1, 0)] and e.take_usage_report(2.5, 0, 0.5) is None


def test_without_an_order_no_further_try_is_made_whatever_happens() -> None:
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
    (connect,) = e.on_request(1.0, 1, 1, 0, READ, 4.0)
    assert isinstance(connect, ConnectServer)
    assert e.on_timer(1.3) == [
        DisconnectServer(connect.server_id),
        CompleteRequest(1, m.AttemptStatus.UNREACHABLE, 0.5, False),
    ]


@pytest.mark.parametrize("kind", [READ, KEYED, ONCE])
def test_with_proof_that_nothing_ran_any_class_goes_to_another_server(kind: int) -> None:
    for how in ("full", "refused", "silent"):
        e = engine()
        e.on_proxy_update(0.5, 0, mode(1))
        effects = e.on_request(1.0, 1, 1, 0, kind, 4.0)
        (connect,) = only(effects, ConnectServer)
        if how == "full":
            (send,) = e.on_server_connected(1.0, connect.server_id)
            effects = e.on_response(1.1, send.server_id, send.attempt_id, m.AttemptStatus.SATURATED, [])  # type: ignore[union-attr]
        elif how == "refused":
            effects = e.on_server_disconnected(1.1, connect.server_id)
        else:
            effects = e.on_timer(1.26)
        (again,) = only(effects, ConnectServer)
        assert again.server_id != connect.server_id
        (second,) = only(e.on_server_connected(1.3, again.server_id), SendAttempt)
        assert second.attempt_number == 1
        assert e.on_response(1.4, second.server_id, second.attempt_id, m.AttemptStatus.SATURATED, []) == [
            CompleteRequest(1, m.AttemptStatus.SATURATED, 0.5, False)
        ]


def test_a_once_request_that_may_have_run_is_never_sent_again() -> None:
    for way in (1, 2, 3):
        e = engine()
        e.on_proxy_update(0.5, 0, mode(way))
        send = start(e, 1.0, kind=ONCE)
        assert only(e.on_timer(4.99), SendAttempt) == []
        assert e.requests == {}
        e = engine()
        e.on_proxy_update(0.5, 0, mode(way))
        send = start(e, 1.0, kind=ONCE)
        assert e.on_response(1.2, send.server_id, send.attempt_id, m.AttemptStatus.ERROR, []) == [
            CompleteRequest(1, m.AttemptStatus.ERROR, 0.0, True)
        ]


def test_a_keyed_repeat_stays_in_its_zone_and_window() -> None:
    e = engine(servers=4)
    e.on_proxy_update(0.5, 0, mode(3))
    send = start(e, 1.0, kind=KEYED)
    effects = e.on_timer(1.51)  # half an aim has passed
    assert only(effects, CancelAttempt) == [CancelAttempt(send.server_id, send.attempt_id)]
    (connect,) = only(effects, ConnectServer)
    assert connect.server_id != send.server_id and connect.server_id % 2 == send.server_id % 2
    e.on_server_connected(1.6, connect.server_id)
    third = only(e.on_timer(2.2), SendAttempt)
    assert (
        len(third) == 1 and third[0].server_id % 2 == send.server_id % 2
    )  # both are tried; the zone holds all the same
    assert only(e.on_timer(3.2), SendAttempt) == []
    late = engine(servers=4)
    late.on_proxy_update(0.5, 0, mode(2))
    send = start(late, 1.0, kind=KEYED, left_s=9.0)
    late.settings = late.dispatcher.settings = replace(late.settings, retry_wait_objectives=3.0)
    (finish,) = late.on_response(
        3.1, send.server_id, send.attempt_id, m.AttemptStatus.ERROR, []
    )  # the window of two seconds is over
    assert finish == CompleteRequest(1, m.AttemptStatus.ERROR, 0.0, True)


def test_a_request_without_a_server_waits_and_is_refused_or_served() -> None:
    e = engine()
    e.on_proxy_update(0.5, 0, m.ProxyUpdate(1, 0.0, 1.0, withdrawn_servers=[0, 1, 2]))
    assert e.on_request(1.0, 1, 1, 0, READ, 4.0) == []
    assert e.on_request(1.1, 2, 2, 0, READ, 4.0) == []
    assert e.on_timer(1.21) == [CompleteRequest(1, m.AttemptStatus.SATURATED, 0.5, False)]
    effects = e.on_proxy_update(1.25, 0, m.ProxyUpdate(2, 0.0, 1.0, readmitted_servers=[1]))
    assert [c.server_id for c in only(effects, ConnectServer)] == [1]
    e.on_request(1.3, 3, 3, 1, READ, 4.0)
    few = engine(max_queued_requests=1)
    few.on_proxy_update(0.5, 0, m.ProxyUpdate(1, 0.0, 1.0, withdrawn_servers=[0, 1, 2]))
    few.on_request(1.0, 1, 1, 0, READ, 4.0)
    assert few.on_request(1.0, 2, 2, 0, READ, 4.0) == [
        CompleteRequest(2, m.AttemptStatus.SATURATED, 0.5, False)
    ]


def test_a_level_of_0_stops_what_is_held_and_refuses_at_once() -> None:
    e = engine()
    e.on_proxy_update(0.5, 0, m.ProxyUpdate(1, 0.0, 1.0, withdrawn_servers=[0, 1, 2]))
    e.on_request(1.0, 1, 1, 0, READ, 4.0)
    e.on_request(1.0, 2, 2, 0, ONCE, 4.0)
    assert e.on_proxy_update(1.1, 0, mode(0, 0.0, classes=1)) == [
        CompleteRequest(1, m.AttemptStatus.SATURATED, 0.5, False)
    ]
    assert e.on_request(1.1, 3, 3, 0, READ, 4.0) == [
        CompleteRequest(3, m.AttemptStatus.SATURATED, 0.5, False)
    ]
    assert len(e.dispatcher.queued) == 1


def test_a_table_that_changes_concerns_the_next_request() -> None:
    e = engine(servers=1)
    send = start(e, 1.0)
    e.on_proxy_update(
        1.1,
        0,
        m.ProxyUpdate(
            1, 0.0, 1.0, weights=[m.WeightEntry(0, 5, 1.0, 1, "127.0.0.1:5"), m.WeightEntry(0, 0, 0.0, 1)]
        ),
    )
    second = start(e, 1.2, ref=2)
    assert (send.server_id, second.server_id) == (0, 5)
    assert e.on_response(1.3, 0, send.attempt_id, m.AttemptStatus.OK, []) == [
        CompleteRequest(1, m.AttemptStatus.OK, 0.0, True)
    ]


def test_writes_stop_a_lease_after_the_assigner_is_lost_until_it_orders_again() -> None:
    e = engine(single_writer=True, write_lease_s=1.0, queue_timeout_s=0.1)
    assert only(e.on_request(9.0, 9, 9, 0, KEYED, 0.05), ConnectServer) == []  # none before its first order
    e.on_proxy_update(9.5, 0, m.ProxyUpdate(1, 0.0, 1.0))
    e.on_assigner_disconnected(10.0, 0)
    assert only(e.on_request(10.9, 1, 1, 0, KEYED, 4.0), ConnectServer)
    assert e.on_request(11.1, 2, 2, 0, KEYED, 4.0) == []  # held, then refused
    assert e.on_request(11.1, 3, 3, 0, READ, 4.0) != [] or e.requests
    assert CompleteRequest(2, m.AttemptStatus.SATURATED, 0.5, False) in e.on_timer(11.3)
    e.on_slice_ownerships(11.4, [m.SliceOwnership(0, 9, 0, [m.TableEntry(1, 1.0, "127.0.0.1:1")])])
    assert e.on_request(11.4, 5, 5, 0, KEYED, 4.0) == []  # the store knows of no move that is under way
    e.on_timer(11.6)
    e.on_proxy_update(11.7, 0, m.ProxyUpdate(2, 0.0, 1.0))
    assert (
        4 not in [f.handle for f in only(e.on_request(11.8, 4, 4, 0, KEYED, 4.0), CompleteRequest)]
        and not e.dispatcher.queued
    )


def test_failures_in_a_row_shun_a_server_for_a_while() -> None:
    e = engine(servers=2, ejection_failures=2)
    failed = 0
    for ref in range(4):
        send = start(e, 1.0 + ref / 100, ref=ref)
        e.on_response(
            1.0 + ref / 100,
            send.server_id,
            send.attempt_id,
            m.AttemptStatus.ERROR if send.server_id == 0 else m.AttemptStatus.OK,
            [],
        )
        failed += send.server_id == 0
    assert failed == 2
    assert {start(e, 1.5, ref=100 + k).server_id for k in range(40)} == {1}
    back = [start(e, 3.5, ref=200 + k).server_id for k in range(6)]
    assert 2 <= back.count(0) <= 4  # its part again, and no burst for the time it was away


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.integers(0, 10**9))
def test_whatever_happens_each_request_ends_once_in_time_and_sums_add_up(seed: int) -> None:
    """A seeded world: servers that answer, fail, refuse, go silent, break; tables and levels that change."""
    rng = random.Random(seed)
    e = engine(
        servers=4,
        default_retry_mode=rng.choice((0, 1)),
        ejection_failures=rng.choice((0, 2)),
        single_writer=rng.random() < 0.2,
        max_queued_requests=5,
    )
    now, asked, ended = 1.0, {}, {}  # type: ignore[var-annotated]
    sends: dict[int, list[SendAttempt]] = {}
    proved: dict[int, bool] = {}
    connecting: set[int] = set()
    out: list[SendAttempt] = []
    asked_sum = tries_sum = unanswered_sum = 0
    ways = dict.fromkeys(range(3), e.settings.default_retry_mode)

    def take(effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case ConnectServer(server):
                    assert server not in connecting
                    connecting.add(server)
                case SendAttempt():
                    assert effect.remaining_s > 0
                    ref = effect.handle
                    assert isinstance(ref, int)
                    earlier = sends.setdefault(ref, [])
                    if earlier:
                        kind = KINDS[effect.class_index]
                        assert effect.attempt_number <= 2
                        if kind.repeat_safety == "once":
                            assert all(proved.get(s.attempt_id) for s in earlier)
                    earlier.append(effect)
                    out.append(effect)
                case CompleteRequest(ref):
                    assert ref not in ended and ref in asked
                    assert now <= asked[ref] + 1e-6
                    ended[ref] = effect
                case DisconnectServer(server):
                    connecting.discard(server)

    for step in range(150):
        now += rng.random() * 0.1
        step_end = now
        while (due := e.next_timer_at()) is not None and due <= step_end:
            now = due
            take(e.on_timer(due))
        now = step_end
        match rng.randrange(9):
            case 0 | 1 | 2:
                left = rng.uniform(0.05, 3)
                asked[step] = now + left
                asked_sum += 1
                take(e.on_request(now, step, step, rng.randrange(4), rng.randrange(3), left))
            case 3 if connecting:
                server = rng.choice(sorted(connecting))
                connecting.discard(server)
                if rng.random() < 0.7:
                    take(e.on_server_connected(now, server))
                else:
                    take(e.on_server_disconnected(now, server))
            case 4 | 5 if out:
                send = out.pop(rng.randrange(len(out)))
                status = rng.choice(
                    (
                        m.AttemptStatus.OK,
                        m.AttemptStatus.OK,
                        m.AttemptStatus.OK,
                        m.AttemptStatus.SATURATED,
                        m.AttemptStatus.ERROR,
                    )
                )
                proved[send.attempt_id] = status == m.AttemptStatus.SATURATED
                take(e.on_response(now, send.server_id, send.attempt_id, status, []))
                if rng.random() < 0.1:
                    take(e.on_response(now, send.server_id, send.attempt_id, m.AttemptStatus.OK, []))
            case 6:
                server = rng.randrange(4)
                out = [s for s in out if s.server_id != server]
                connecting.discard(server)
                take(e.on_server_disconnected(now, server))
            case 7:
                way, level = rng.randrange(4), rng.choice((1.0, 1.0, 0.5, 0.0))
                ways = dict.fromkeys(range(3), way)
                lines = [
                    m.WeightEntry(rng.randrange(4), s, rng.choice((0.0, 1.0)), 9, f"127.0.0.1:{s}", s % 2)
                    for s in range(4)
                ]
                take(
                    e.on_proxy_update(
                        now,
                        0,
                        m.ProxyUpdate(
                            1,
                            now,
                            1.0,
                            weights=lines,
                            admission_levels=[m.AdmissionLevel(0xFFFF, 0, level, way)],
                        ),
                    )
                )
            case 8:
                sums = e.take_usage_report(now, 0, 0.1)
                if sums is not None:
                    tries_sum += sum(s.attempts for s in sums.servers)
                    unanswered_sum += sum(s.unanswered for s in sums.slices)
                    asked_sum -= sum(s.requests for s in sums.slices)
    while (due := e.next_timer_at()) is not None:
        now = max(now, due)
        take(e.on_timer(now))
    assert ended.keys() == asked.keys() and not e.requests and not e.dispatcher.queued
    sums = e.take_usage_report(now, 0, 0.1)
    if sums is not None:
        tries_sum += sum(s.attempts for s in sums.servers)
        unanswered_sum += sum(s.unanswered for s in sums.slices)
        asked_sum -= sum(s.requests for s in sums.slices)
    assert asked_sum == 0 and len(ways) == 3
    sent = sum(len(row) for row in sends.values())
    assert tries_sum >= sent  # tries that never went out count as failed too
    finished_badly = sum(f.status != m.AttemptStatus.OK for f in ended.values())
    refused_at_the_door = finished_badly - unanswered_sum
    assert 0 <= refused_at_the_door <= finished_badly


def test_tables_come_back_from_their_file_and_a_damaged_one_is_told(tmp_path: Path) -> None:
    e = engine()
    e.on_proxy_update(
        1.0,
        0,
        m.ProxyUpdate(
            1,
            0.0,
            1.0,
            withdrawn_servers=[2],
            admission_levels=[m.AdmissionLevel(0xFFFF, 1, 0.5, 1), m.AdmissionLevel(2, 2, 0.25, 3)],
        ),
    )
    path = str(tmp_path / "tables.json")
    save_state(path, capture_state(e.tables, 5.0))
    again = WeightTables(4, 0, "rotate", lambda: 0.5)
    restore_state(again, load_state(path))
    for number in range(4):
        assert again.available_weights(number) == e.tables.available_weights(number)
        for kind in range(3):
            assert again.admission_fraction(number, kind) == e.tables.admission_fraction(number, kind)
            assert again.retry_mode(number, kind) == e.tables.retry_mode(number, kind)
    assert again.addresses == e.tables.addresses and again.zones == e.tables.zones
    data = Path(path).read_bytes()
    for bad in (data[:-20], b"", b"{}", data.replace(b'"format":1', b'"format":9')):
        Path(path).write_bytes(bad)
        with pytest.raises(StateError, match=r"tables\.json"):
            load_state(path)
    with pytest.raises(StateError, match="not there"):
        load_state(path + "x")
    assert msgspec.json.encode(capture_state(e.tables, 5.0)) == data


def test_picks_stay_cheap_with_many_lines() -> None:
    """Operations, not time: a pick touches the heap, never all lines."""
    picker = WeightedRoundRobin(random.Random(1).random)
    picker.set_weights(dict.fromkeys(range(1024), 1.0))
    seen: list[int] = []

    class Watched(float):
        def __lt__(self, other: Any) -> bool:
            seen.append(1)
            return float.__lt__(self, other)

    picker._heap = [(Watched(turn), s) for turn, s in picker._heap]
    for _ in range(200):
        picker.pick()
    assert len(seen) < 200 * 30
    assert np.isfinite(picker._virtual_time)


def test_a_retry_storm_never_passes_what_was_ordered() -> None:
    """A fleet suddenly twice as slow at 90% load: tries stay within the way ordered."""
    from benchmarks.retry_storm import World

    for way, most in ((0, 1.0), (1, 2.0), (2, 2.0), (3, 3.0)):
        world = World(way, 0.9, 1)
        world.run()
        assert world.first <= world.asked
        assert world.tries / world.first <= most and (way == 0) == (world.tries == world.first)
        assert world.once_again == 0 and not world.engine.requests


def test_where_a_slice_has_one_writer_a_new_line_takes_the_old_ones_place() -> None:
    e = engine(servers=1, single_writer=True)
    e.on_proxy_update(
        1.0, 0, m.ProxyUpdate(1, 0.0, 1.0, weights=[m.WeightEntry(0, 5, 1.0, 1, "127.0.0.1:5")])
    )
    assert e.tables.available_weights(0) == {5: 1.0}
    assert {start(e, 1.2, ref=k).server_id for k in range(5)} == {5}


def test_an_older_reading_of_the_store_undoes_no_order_and_a_newer_one_holds() -> None:
    tables = engine(servers=1).tables
    old = m.SliceOwnership(0, 1, 0, [m.TableEntry(0, 1.0, "127.0.0.1:0")], 4)
    tables.apply_update(
        0,
        m.ProxyUpdate(
            5, 0.0, 1.0, weights=[m.WeightEntry(0, 1, 1.0, 1, "127.0.0.1:1"), m.WeightEntry(0, 0, 0.0, 1)]
        ),
    )
    tables.apply_ownership(old)
    assert tables.available_weights(0) == {1: 1.0}
    tables.apply_ownership(m.SliceOwnership(0, 1, 0, old.entries, 6))
    assert tables.available_weights(0) == {0: 1.0}


@given(
    st.lists(
        st.tuples(st.sampled_from(["ask", "stood", "failed", "lost", "ready", "drop"]), st.integers(0, 9))
    )
)
def test_openings_are_bounded_by_what_has_stood_and_lose_no_try(steps: list[tuple[str, int]]) -> None:
    found = ConnectionAttempts(6)
    waiting: set[int] = set()
    key = stood = 0
    for what, which in steps:
        if what == "ask":
            key += 1
            if found.enqueue(key):
                waiting.add(key)
            else:
                assert found.established + found.connecting >= 6 or len(waiting) >= 6
        elif what == "stood" and found.connecting:
            found.on_established()
            stood += 1
        elif what == "failed" and found.connecting:
            ended = found.on_connect_failed()
            stood = 0
            assert set(ended) == waiting  # each would have met the same
            waiting = set()
        elif what == "lost" and found.established:
            found.on_connection_lost()
            stood = stood if found.established else 0
        elif what == "ready" and found.established:
            taken = found.pop_waiting()
            assert taken == (min(waiting) if waiting else None)
            waiting.discard(taken or 0)
        elif what == "drop":
            assert found.discard(which) == (which in waiting)
            waiting.discard(which)
        before = found.connecting  # those begun earlier go on
        found.begin_connecting()
        assert (
            found.connecting <= max(before, min(1 + stood, 6)) and found.established + found.connecting <= 6
        )
        # Whoever waits will have an answer: a connection is under way, or one that stands is in use.
        assert not waiting or found.connecting or found.established


def test_a_write_in_hand_is_told_as_such_and_a_reading_is_not() -> None:
    e = engine(single_writer=True)
    e.on_proxy_update(9.5, 0, m.ProxyUpdate(1, 0.0, 1.0))
    for ref, kind in ((1, READ), (2, KEYED)):
        for c in only(e.on_request(10.0, ref, ref, 0, kind, 4.0), ConnectServer):
            e.on_server_connected(10.0, c.server_id)
        assert e.has_writes_in_flight([0]) is (kind == KEYED) and not e.has_writes_in_flight([1])
    e.on_timer(60.0)
    assert not e.has_writes_in_flight([0])

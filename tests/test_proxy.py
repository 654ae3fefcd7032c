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

from puffintide.protocol import messages as m
from puffintide.proxy.admit import Gate
from puffintide.proxy.choice import Lottery, Rotation, slice_of
from puffintide.proxy.engine import Cancel, Close, Connect, Effect, Engine, Finish, Limits, Send
from puffintide.proxy.openings import Openings
from puffintide.proxy.state import StateError, load_state, save_state
from puffintide.proxy.tables import Tables
from puffintide.proxy.tries import Kind, Past, further, patience

KINDS = (Kind("repeatable", "all", 0, 1.0), Kind("by_key", "zone", 2.0, 1.0), Kind("once", "all", 0, 1.0))
READ, KEYED, ONCE = 0, 1, 2


def test_a_key_has_the_same_slice_everywhere() -> None:
    # xxh64, seed 0, of 8 bytes little-endian: from the algorithm's own reference implementation.
    assert slice_of(0, 1 << 64) == 0x34C96ACDCADB1BBB
    assert slice_of(b"\x00" * 8, 97) == slice_of(0, 97)
    assert slice_of(b"", 1 << 64) == 0xEF46DB3751D8E999


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("how", ["rotate", "random"])
def test_choices_over_a_hundred_thousand_requests_match_the_weights(how: str, seed: int) -> None:
    rng = random.Random(seed)
    weights = {s: rng.choice((0.5, 1.0, 1.0, 2.0, 3.5)) for s in range(12)}
    picker = Rotation(rng.random) if how == "rotate" else Lottery(rng.random)
    picker.set(weights)
    count = 100_000
    tally = Tally(picker.pick() for _ in range(count))
    share = {s: count * w / sum(weights.values()) for s, w in weights.items()}
    assert all(abs(tally[s] / share[s] - 1) < (0.0005 if how == "rotate" else 0.05) for s in weights)
    if how == "random":  # chi-square beside what chance allows: 11 degrees of freedom, one in a million
        assert sum((tally[s] - share[s]) ** 2 / share[s] for s in weights) < 51


def test_choices_follow_weights_that_change_ten_times_a_second() -> None:
    rng = random.Random(3)
    picker = Rotation(rng.random)
    expected: Tally[int] = Tally()
    tally: Tally[int] = Tally()
    for _ in range(1000):  # changes; a hundred requests between two
        weights = {s: rng.choice((0.004, 1.0, 2.0)) for s in rng.sample(range(8), rng.randint(1, 8))}
        picker.set(weights)
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
        picker = Rotation(random.Random(proxy).random)
        picker.set(dict.fromkeys(range(4), 1.0))
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
    picker = Rotation(rng.random) if by_turn else Lottery(rng.random)
    picker.set(weights)
    for _ in range(30):
        server = picker.pick(avoid)
        allowed = set(weights) - avoid or set(weights)
        assert (server in allowed) if allowed else server is None


def test_the_better_of_two_drawn_takes_it() -> None:
    busy = {0: 5, 1: 0}
    picker = Lottery(random.Random(1).random, lambda s: busy[s])
    picker.set({0: 1.0, 1: 1.0})
    tally = Tally(picker.pick() for _ in range(4000))
    assert 0.7 < tally[1] / 4000 < 0.8  # all but the quarter where both draws are server 0


def test_levels_are_shares_dealt_evenly() -> None:
    gate = Gate("fraction")
    run = [gate.admits(0, 0, 0.3, True) for _ in range(1000)]
    assert sum(run) in (299, 300, 301) and max(sum(run[k : k + 10]) for k in range(990)) <= 4
    assert gate.admits(0, 1, 0.0, False) and not gate.admits(0, 1, 0.0, True)
    assert all(Gate("silent").admits(0, 0, 0.0, True) for _ in range(9))


def may_follow(kind: Kind, mode: int, past: Past, now: float, deadline: float) -> bool:
    """The rule in plain words, written another way."""
    if now + 0.01 >= deadline or past.number >= (0, 1, 1, 2)[mode] or (mode == 1 and not past.proved):
        return False
    if past.ran_at is None or kind.effect == "repeatable":
        return True
    return kind.effect == "by_key" and kind.group in ("all", "zone") and now - past.ran_at < kind.window_s


@given(
    st.sampled_from([*KINDS, Kind("by_key", "all", 2.0, 1.0), Kind("by_key", "cell", 2.0, 1.0)]),
    st.integers(0, 3),
    st.integers(0, 3),
    st.booleans(),
    st.one_of(st.none(), st.floats(0, 5)),
    st.floats(5, 6),
)
def test_further_tries_beside_a_plain_oracle(
    kind: Kind, mode: int, number: int, proved: bool, ran_at: float | None, deadline: float
) -> None:
    past = Past(number, proved, ran_at, 1)
    following = further(kind, mode, past, 5.0, deadline)
    assert (following is not None) == may_follow(kind, mode, past, 5.0, deadline)
    if following is not None and kind.group == "zone" and ran_at is not None and kind.effect == "by_key":
        assert following.only_zone == 1
    assert patience(kind, mode, number, 0.5, 5.0, deadline) <= deadline


LIMITS = Limits(
    slices=4,
    kinds=KINDS,
    own_zone=(False, False, False),
    retry_default=0,
    retry_wait_aims=0.5,
    shun_after=0,
    shun_s=2.0,
    admit="fraction",
    pick="rotate",
    hold_s=0.2,
    again_s=0.5,
    zone=0,
)


def engine(servers: int = 3, **changes: Any) -> Engine:
    made = Engine(replace(LIMITS, **changes), random.Random(1).random)
    held = [m.TableEntry(s, 1.0, f"127.0.0.1:{s}", s % 2) for s in range(servers)]
    made.charges(0.0, [m.SliceOwnership(n, n + 1, 0, held) for n in range(4)])
    return made


def only(effects: list[Effect], kind: type) -> list[Any]:
    return [e for e in effects if isinstance(e, kind)]


def mode(way: int, level: float = 1.0, classes: int = 0) -> m.ProxyUpdate:
    return m.ProxyUpdate(1, 0.0, 1.0, admission_levels=[m.AdmissionLevel(0xFFFF, classes, level, way)])


def start(e: Engine, now: float, ref: int = 1, kind: int = READ, left_s: float = 4.0) -> Send:
    """A request that has gone out to a server."""
    effects = e.asked(now, ref, ref, 0, kind, left_s)
    for connect in only(effects, Connect):
        effects = effects + e.server_up(now, connect.server)
    (send,) = only(effects, Send)
    assert isinstance(send, Send)
    return send


def test_a_request_goes_out_once_its_server_has_greeted_and_ends_with_the_answer() -> None:
    e = engine()
    effects = e.asked(1.0, "a", 7, 0, READ, 2.0)
    (connect,) = effects
    assert isinstance(connect, Connect)
    (send,) = e.server_up(1.1, connect.server)
    assert isinstance(send, Send) and send.left_s < 1.9 and send.ref == "a"
    assert e.answered(1.3, send.server, send.key, m.AttemptStatus.OK, [3.0]) == [
        Finish("a", m.AttemptStatus.OK, 0.0, True)
    ]
    assert (
        e.answered(1.4, send.server, send.key, m.AttemptStatus.OK, []) == [] and e.late_answers == 1
    )  # a second answer
    sums = e.take_sums(2.0, 0, 0.5)
    assert sums is not None and sums.servers == [m.ServerUsage(send.server, 1, 0, 0.2, [3.0])]
    assert sums.slices == [m.SliceUsage(0, READ, 1, 0)] and e.take_sums(2.5, 0, 0.5) is None


def test_without_an_order_no_further_try_is_made_whatever_happens() -> None:
    e = engine()
    send = start(e, 1.0)
    assert e.server_lost(1.1, send.server) == [Finish(1, m.AttemptStatus.RESET, 0.0, True)]
    e = engine()
    send = start(e, 1.0)
    assert e.answered(1.1, send.server, send.key, m.AttemptStatus.SATURATED, []) == [
        Finish(1, m.AttemptStatus.SATURATED, 0.5, False)
    ]
    e = engine()
    (connect,) = e.asked(1.0, 1, 1, 0, READ, 4.0)
    assert e.due(1.3) == [Close(connect.server), Finish(1, m.AttemptStatus.UNREACHABLE, 0.5, False)]  # type: ignore[union-attr]


@pytest.mark.parametrize("kind", [READ, KEYED, ONCE])
def test_with_proof_that_nothing_ran_any_class_goes_to_another_server(kind: int) -> None:
    for how in ("full", "refused", "silent"):
        e = engine()
        e.order(0.5, 0, mode(1))
        effects = e.asked(1.0, 1, 1, 0, kind, 4.0)
        (connect,) = only(effects, Connect)
        if how == "full":
            (send,) = e.server_up(1.0, connect.server)
            effects = e.answered(1.1, send.server, send.key, m.AttemptStatus.SATURATED, [])  # type: ignore[union-attr]
        elif how == "refused":
            effects = e.server_lost(1.1, connect.server)
        else:
            effects = e.due(1.26)
        (again,) = only(effects, Connect)
        assert again.server != connect.server
        (second,) = only(e.server_up(1.3, again.server), Send)
        assert second.number == 1
        assert e.answered(1.4, second.server, second.key, m.AttemptStatus.SATURATED, []) == [
            Finish(1, m.AttemptStatus.SATURATED, 0.5, False)
        ]


def test_a_once_request_that_may_have_run_is_never_sent_again() -> None:
    for way in (1, 2, 3):
        e = engine()
        e.order(0.5, 0, mode(way))
        send = start(e, 1.0, kind=ONCE)
        assert only(e.due(4.99), Send) == []
        assert e.requests == {}
        e = engine()
        e.order(0.5, 0, mode(way))
        send = start(e, 1.0, kind=ONCE)
        assert e.answered(1.2, send.server, send.key, m.AttemptStatus.ERROR, []) == [
            Finish(1, m.AttemptStatus.ERROR, 0.0, True)
        ]


def test_a_keyed_repeat_stays_in_its_zone_and_window() -> None:
    e = engine(servers=4)
    e.order(0.5, 0, mode(3))
    send = start(e, 1.0, kind=KEYED)
    effects = e.due(1.51)  # half an aim has passed
    assert only(effects, Cancel) == [Cancel(send.server, send.key)]
    (connect,) = only(effects, Connect)
    assert connect.server != send.server and connect.server % 2 == send.server % 2
    e.server_up(1.6, connect.server)
    third = only(e.due(2.2), Send)
    assert (
        len(third) == 1 and third[0].server % 2 == send.server % 2
    )  # both are tried; the zone holds all the same
    assert only(e.due(3.2), Send) == []
    late = engine(servers=4)
    late.order(0.5, 0, mode(2))
    send = start(late, 1.0, kind=KEYED, left_s=9.0)
    late.limits = replace(late.limits, retry_wait_aims=3.0)
    (finish,) = late.answered(
        3.1, send.server, send.key, m.AttemptStatus.ERROR, []
    )  # the window of two seconds is over
    assert finish == Finish(1, m.AttemptStatus.ERROR, 0.0, True)


def test_a_request_without_a_server_waits_and_is_refused_or_served() -> None:
    e = engine()
    e.order(0.5, 0, m.ProxyUpdate(1, 0.0, 1.0, withdrawn_servers=[0, 1, 2]))
    assert e.asked(1.0, 1, 1, 0, READ, 4.0) == []
    assert e.asked(1.1, 2, 2, 0, READ, 4.0) == []
    assert e.due(1.21) == [Finish(1, m.AttemptStatus.SATURATED, 0.5, False)]
    effects = e.order(1.25, 0, m.ProxyUpdate(2, 0.0, 1.0, readmitted_servers=[1]))
    assert [c.server for c in only(effects, Connect)] == [1]
    e.asked(1.3, 3, 3, 1, READ, 4.0)
    few = engine(held_most=1)
    few.order(0.5, 0, m.ProxyUpdate(1, 0.0, 1.0, withdrawn_servers=[0, 1, 2]))
    few.asked(1.0, 1, 1, 0, READ, 4.0)
    assert few.asked(1.0, 2, 2, 0, READ, 4.0) == [Finish(2, m.AttemptStatus.SATURATED, 0.5, False)]


def test_a_level_of_0_stops_what_is_held_and_refuses_at_once() -> None:
    e = engine()
    e.order(0.5, 0, m.ProxyUpdate(1, 0.0, 1.0, withdrawn_servers=[0, 1, 2]))
    e.asked(1.0, 1, 1, 0, READ, 4.0)
    e.asked(1.0, 2, 2, 0, ONCE, 4.0)
    assert e.order(1.1, 0, mode(0, 0.0, classes=1)) == [Finish(1, m.AttemptStatus.SATURATED, 0.5, False)]
    assert e.asked(1.1, 3, 3, 0, READ, 4.0) == [Finish(3, m.AttemptStatus.SATURATED, 0.5, False)]
    assert len(e.held) == 1


def test_a_table_that_changes_concerns_the_next_request() -> None:
    e = engine(servers=1)
    send = start(e, 1.0)
    e.order(
        1.1,
        0,
        m.ProxyUpdate(
            1, 0.0, 1.0, weights=[m.WeightEntry(0, 5, 1.0, 1, "127.0.0.1:5"), m.WeightEntry(0, 0, 0.0, 1)]
        ),
    )
    second = start(e, 1.2, ref=2)
    assert (send.server, second.server) == (0, 5)
    assert e.answered(1.3, 0, send.key, m.AttemptStatus.OK, []) == [Finish(1, m.AttemptStatus.OK, 0.0, True)]


def test_writes_stop_a_lease_after_the_assigner_is_lost_until_it_orders_again() -> None:
    e = engine(single_writer=True, write_lease_s=1.0, hold_s=0.1)
    assert only(e.asked(9.0, 9, 9, 0, KEYED, 0.05), Connect) == []  # none before its first order
    e.order(9.5, 0, m.ProxyUpdate(1, 0.0, 1.0))
    e.assigner_lost(10.0, 0)
    assert only(e.asked(10.9, 1, 1, 0, KEYED, 4.0), Connect)
    assert e.asked(11.1, 2, 2, 0, KEYED, 4.0) == []  # held, then refused
    assert e.asked(11.1, 3, 3, 0, READ, 4.0) != [] or e.requests
    assert Finish(2, m.AttemptStatus.SATURATED, 0.5, False) in e.due(11.3)
    e.charges(11.4, [m.SliceOwnership(0, 9, 0, [m.TableEntry(1, 1.0, "127.0.0.1:1")])])
    assert e.asked(11.4, 5, 5, 0, KEYED, 4.0) == []  # the store knows of no move that is under way
    e.due(11.6)
    e.order(11.7, 0, m.ProxyUpdate(2, 0.0, 1.0))
    assert 4 not in [f.ref for f in only(e.asked(11.8, 4, 4, 0, KEYED, 4.0), Finish)] and not e.held


def test_failures_in_a_row_shun_a_server_for_a_while() -> None:
    e = engine(servers=2, shun_after=2)
    failed = 0
    for ref in range(4):
        send = start(e, 1.0 + ref / 100, ref=ref)
        e.answered(
            1.0 + ref / 100,
            send.server,
            send.key,
            m.AttemptStatus.ERROR if send.server == 0 else m.AttemptStatus.OK,
            [],
        )
        failed += send.server == 0
    assert failed == 2
    assert {start(e, 1.5, ref=100 + k).server for k in range(40)} == {1}
    back = [start(e, 3.5, ref=200 + k).server for k in range(6)]
    assert 2 <= back.count(0) <= 4  # its part again, and no burst for the time it was away


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.integers(0, 10**9))
def test_whatever_happens_each_request_ends_once_in_time_and_sums_add_up(seed: int) -> None:
    """A seeded world: servers that answer, fail, refuse, go silent, break; tables and levels that change."""
    rng = random.Random(seed)
    e = engine(
        servers=4,
        retry_default=rng.choice((0, 1)),
        shun_after=rng.choice((0, 2)),
        single_writer=rng.random() < 0.2,
        held_most=5,
    )
    now, asked, ended = 1.0, {}, {}  # type: ignore[var-annotated]
    sends: dict[int, list[Send]] = {}
    proved: dict[int, bool] = {}
    connecting: set[int] = set()
    out: list[Send] = []
    asked_sum = tries_sum = unanswered_sum = 0
    ways = dict.fromkeys(range(3), e.limits.retry_default)

    def take(effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Connect(server):
                    assert server not in connecting
                    connecting.add(server)
                case Send():
                    assert effect.left_s > 0
                    ref = effect.ref
                    assert isinstance(ref, int)
                    earlier = sends.setdefault(ref, [])
                    if earlier:
                        kind = KINDS[effect.request_class]
                        assert effect.number <= 2
                        if kind.effect == "once":
                            assert all(proved.get(s.key) for s in earlier)
                    earlier.append(effect)
                    out.append(effect)
                case Finish(ref):
                    assert ref not in ended and ref in asked
                    assert now <= asked[ref] + 1e-6
                    ended[ref] = effect
                case Close(server):
                    connecting.discard(server)

    for step in range(150):
        now += rng.random() * 0.1
        step_end = now
        while (due := e.next_due()) is not None and due <= step_end:
            now = due
            take(e.due(due))
        now = step_end
        match rng.randrange(9):
            case 0 | 1 | 2:
                left = rng.uniform(0.05, 3)
                asked[step] = now + left
                asked_sum += 1
                take(e.asked(now, step, step, rng.randrange(4), rng.randrange(3), left))
            case 3 if connecting:
                server = rng.choice(sorted(connecting))
                connecting.discard(server)
                if rng.random() < 0.7:
                    take(e.server_up(now, server))
                else:
                    take(e.server_lost(now, server))
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
                proved[send.key] = status == m.AttemptStatus.SATURATED
                take(e.answered(now, send.server, send.key, status, []))
                if rng.random() < 0.1:
                    take(e.answered(now, send.server, send.key, m.AttemptStatus.OK, []))
            case 6:
                server = rng.randrange(4)
                out = [s for s in out if s.server != server]
                connecting.discard(server)
                take(e.server_lost(now, server))
            case 7:
                way, level = rng.randrange(4), rng.choice((1.0, 1.0, 0.5, 0.0))
                ways = dict.fromkeys(range(3), way)
                lines = [
                    m.WeightEntry(rng.randrange(4), s, rng.choice((0.0, 1.0)), 9, f"127.0.0.1:{s}", s % 2)
                    for s in range(4)
                ]
                take(
                    e.order(
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
                sums = e.take_sums(now, 0, 0.1)
                if sums is not None:
                    tries_sum += sum(s.attempts for s in sums.servers)
                    unanswered_sum += sum(s.unanswered for s in sums.slices)
                    asked_sum -= sum(s.requests for s in sums.slices)
    while (due := e.next_due()) is not None:
        now = max(now, due)
        take(e.due(now))
    assert ended.keys() == asked.keys() and not e.requests and not e.held
    sums = e.take_sums(now, 0, 0.1)
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
    e.order(
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
    save_state(path, e.tables.saved(5.0))
    again = Tables(4, 0, "rotate", lambda: 0.5)
    again.load(load_state(path))
    for number in range(4):
        assert again.open(number) == e.tables.open(number)
        for kind in range(3):
            assert again.level(number, kind) == e.tables.level(number, kind)
            assert again.retry(number, kind) == e.tables.retry(number, kind)
    assert again.addresses == e.tables.addresses and again.zones == e.tables.zones
    data = Path(path).read_bytes()
    for bad in (data[:-20], b"", b"{}", data.replace(b'"format":1', b'"format":9')):
        Path(path).write_bytes(bad)
        with pytest.raises(StateError, match=r"tables\.json"):
            load_state(path)
    with pytest.raises(StateError, match="not there"):
        load_state(path + "x")
    assert msgspec.json.encode(e.tables.saved(5.0)) == data


def test_picks_stay_cheap_with_many_lines() -> None:
    """Operations, not time: a pick touches the heap, never all lines."""
    picker = Rotation(random.Random(1).random)
    picker.set(dict.fromkeys(range(1024), 1.0))
    seen: list[int] = []

    class Watched(float):
        def __lt__(self, other: Any) -> bool:
            seen.append(1)
            return float.__lt__(self, other)

    picker._heap = [(Watched(turn), s) for turn, s in picker._heap]
    for _ in range(200):
        picker.pick()
    assert len(seen) < 200 * 30
    assert np.isfinite(picker._now)


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
    e.order(1.0, 0, m.ProxyUpdate(1, 0.0, 1.0, weights=[m.WeightEntry(0, 5, 1.0, 1, "127.0.0.1:5")]))
    assert e.tables.open(0) == {5: 1.0}
    assert {start(e, 1.2, ref=k).server for k in range(5)} == {5}


def test_an_older_reading_of_the_store_undoes_no_order_and_a_newer_one_holds() -> None:
    tables = engine(servers=1).tables
    old = m.SliceOwnership(0, 1, 0, [m.TableEntry(0, 1.0, "127.0.0.1:0")], 4)
    tables.order(
        0,
        m.ProxyUpdate(
            5, 0.0, 1.0, weights=[m.WeightEntry(0, 1, 1.0, 1, "127.0.0.1:1"), m.WeightEntry(0, 0, 0.0, 1)]
        ),
    )
    tables.charge(old)
    assert tables.open(0) == {1: 1.0}
    tables.charge(m.SliceOwnership(0, 1, 0, old.entries, 6))
    assert tables.open(0) == {0: 1.0}


@given(
    st.lists(
        st.tuples(st.sampled_from(["ask", "stood", "failed", "lost", "ready", "drop"]), st.integers(0, 9))
    )
)
def test_openings_are_bounded_by_what_has_stood_and_lose_no_try(steps: list[tuple[str, int]]) -> None:
    found = Openings(6)
    waiting: set[int] = set()
    key = stood = 0
    for what, which in steps:
        if what == "ask":
            key += 1
            if found.ask(key):
                waiting.add(key)
            else:
                assert found.standing + found.opening >= 6 or len(waiting) >= 6
        elif what == "stood" and found.opening:
            found.stood()
            stood += 1
        elif what == "failed" and found.opening:
            ended = found.failed()
            stood = 0
            assert set(ended) == waiting  # each would have met the same
            waiting = set()
        elif what == "lost" and found.standing:
            found.lost()
            stood = stood if found.standing else 0
        elif what == "ready" and found.standing:
            taken = found.next()
            assert taken == (min(waiting) if waiting else None)
            waiting.discard(taken or 0)
        elif what == "drop":
            assert found.drop(which) == (which in waiting)
            waiting.discard(which)
        before = found.opening  # those begun earlier go on
        found.open_now()
        assert found.opening <= max(before, min(1 + stood, 6)) and found.standing + found.opening <= 6
        # Whoever waits will have an answer: a connection is under way, or one that stands is in use.
        assert not waiting or found.opening or found.standing


def test_a_write_in_hand_is_told_as_such_and_a_reading_is_not() -> None:
    e = engine(single_writer=True)
    e.order(9.5, 0, m.ProxyUpdate(1, 0.0, 1.0))
    for ref, kind in ((1, READ), (2, KEYED)):
        for c in only(e.asked(10.0, ref, ref, 0, kind, 4.0), Connect):
            e.server_up(10.0, c.server)
        assert e.writing([0]) is (kind == KEYED) and not e.writing([1])
    e.due(60.0)
    assert not e.writing([0])

"""The audit: a kept day is not flagged, and a day on which one rule alone is broken is, whatever its form."""

from __future__ import annotations

import json
from collections.abc import Callable

import pytest

from puffintide.audit.ground_truth import ServerRun
from puffintide.audit.records import read_records
from puffintide.audit.report import Rule
from puffintide.protocol import messages as m
from tests.records import KEYED, ONCE, READ, Tape, broken

Bend = Callable[[], Tape]
NOBODY, TWICE, DRAIN, COLD, QUEUE, OWNER = (
    Rule.AVAILABLE_SERVERS,
    Rule.NO_DUPLICATE_EXECUTION,
    Rule.GRACEFUL_DRAINING,
    Rule.SLOW_START,
    Rule.CHANNEL_CAPACITY,
    Rule.SINGLE_OWNER,
)


def eventful() -> Tape:
    """Much happens and every rule is kept, some with little to spare."""
    t = Tape()
    for k in range(40):
        t.request(101 + k * 0.1, k % 4, k % 3, k % 4, kind=READ)
    t.request(102, 0, kind=ONCE, status=m.AttemptStatus.SATURATED)
    t.request(102.2, 1, kind=ONCE, request=t.requests, attempt=1)  # proved never to have run
    t.request(103, 0, kind=KEYED, status=m.AttemptStatus.ERROR)
    t.request(104.9, 2, kind=KEYED, request=t.requests, attempt=1)  # within window and zone
    t.news(110, 0, t.entry(0, state=2))
    t.request(111.9, 0, number=0)  # within the grace
    t.request(115, 0, number=1)  # slice 1 is assigner 1's, which was told nothing
    for p in range(3):
        t.order(112, 0, p, (0, 2, 1.0), (0, 0, 0.0), out=(0,), ordered=111.9)
    t.news(120, 1, t.entry(1, state=0))
    for p in range(3):
        t.order(121, 1, p, (1, 1, 0.0))  # bare from here, filled within the limit
        t.order(123.5, 1, p, (1, 3, 1.0))
    t.truth.server_runs[2] = ServerRun(2, 130.0, 1e9, False, 2.0, 0.5, 8.0)
    for a in (0, 1):
        t.news(130.5, a, t.entry(2, life=2, age=0.5))
    for k in range(12):
        t.request(131 + k * 0.3, 2, number=2, work=0.7)
    t.news(135, 0, t.entry(0))
    t.rows.sort(key=lambda r: (r.received_at_s, r.number))
    return t


def test_records_that_keep_all_rules_have_no_findings() -> None:
    report = eventful().evaluate()
    assert report.findings == []
    assert all(report.case_counts[rule] for rule in (NOBODY, TWICE, DRAIN, COLD, QUEUE))
    assert 0.9 < report.peak_ratios[DRAIN] <= 1
    assert 0.5 < report.peak_ratios[COLD] <= 1


# Rule 1 ---------------------------------------------------------------------------------------------------


def bare(
    proxies: tuple[int, ...] = (0,), how: str = "zero", number: int = 0, until: float | None = None
) -> Tape:
    t = eventful()
    a = number % 2
    for p in proxies:
        match how:
            case "zero":
                t.order(140, a, p, (number, number, 0.0), *[(number, s, 0.0) for s in range(4)])
            case "clear":
                t.order(140, a, p, clear=(number,))
            case "out":
                t.order(140, a, p, out=(0, 1, 2, 3))
            case "charge":
                t.add(
                    140,
                    "store",
                    "proxy",
                    p,
                    m.SliceOwnerships([m.SliceOwnership(number, 90, a, [])]),
                    back=True,
                )
        if until is not None:
            t.order(until, a, p, (number, number, 1.0), back=(0, 1, 2, 3), token=99)
    t.request(150, 3, number=3)
    return t


NOBODY_FORMS: list[Bend] = [
    lambda: bare(),
    lambda: bare((0, 1, 2)),
    lambda: bare((1,), "clear"),
    lambda: bare((2,), "clear", 1),
    lambda: bare((0,), "out"),
    lambda: bare((1,), "out", 3),
    lambda: bare((0,), "charge"),
    lambda: bare((0,), "charge", 2),
    lambda: bare((0,), "zero", 3),
    lambda: bare((0,), until=143.2),
    lambda: bare((2,), "out", until=143.5),
    lambda: bare((1,), "clear", 2, until=144),
]

# Rule 2 ---------------------------------------------------------------------------------------------------


def twice(kind: int, first: int, second: int, gap: float, **how: object) -> Tape:
    t = eventful()
    status = how.pop("status", m.AttemptStatus.ERROR)
    number = t.request(140, first, kind=kind, status=status, **how)  # type: ignore[arg-type]
    t.request(140 + gap, second, kind=kind, request=number, attempt=1)
    return t


def thrice() -> Tape:
    """The first was full, the second may have run, the third is one too many."""
    t = eventful()
    number = t.request(140, 0, kind=ONCE, status=m.AttemptStatus.SATURATED)
    t.request(140.3, 1, kind=ONCE, request=number, attempt=1, status=m.AttemptStatus.ERROR)
    t.request(140.6, 2, kind=ONCE, request=number, attempt=2)
    return t


TWICE_FORMS: list[Bend] = [
    lambda: twice(ONCE, 0, 1, 0.2),
    lambda: twice(ONCE, 0, 0, 0.2),
    lambda: twice(ONCE, 0, 1, 0.2, status=m.AttemptStatus.RESET),
    lambda: twice(ONCE, 0, 1, 1.0, status=m.AttemptStatus.TIMEOUT),
    lambda: twice(ONCE, 0, 1, 0.2, status=None),
    lambda: twice(ONCE, 0, 1, 0.2, status=m.AttemptStatus.OK),
    lambda: twice(ONCE, 0, 1, 0.2, went=None, status=None),
    lambda: twice(KEYED, 0, 2, 2.5),
    lambda: twice(KEYED, 0, 1, 0.5),
    lambda: twice(KEYED, 1, 0, 0.5, status=None),
    lambda: twice(KEYED, 0, 3, 0.5, status=m.AttemptStatus.TIMEOUT),
    thrice,
]

# Rule 3 ---------------------------------------------------------------------------------------------------


def late(state: int = 2, after: float = 2.2, proxy: int = 0, number: int = 0, kind: str = "delta") -> Tape:
    t = eventful()
    a = number % 2
    entries = [t.entry(3, state=state)] if kind == "delta" else [t.entry(s) for s in (0, 1, 2)]
    t.news(140, a, *entries, kind=kind)
    t.request(140 + after, 3, proxy, number)
    return t


def rejoined(after: float) -> Tape:
    """A proxy that joins anew has the grace once more, and not longer."""
    t = eventful()
    t.news(140, 0, t.entry(3, state=0))
    t.hang_up(141, "order:0", "proxy", 0)
    t.dial(143, "order:0", "proxy", 0)
    t.request(143 + after, 3, 0, 0)
    return t


def given(after: float) -> Tape:
    """So has a slice that is given anew."""
    t = eventful()
    t.news(140, 0, t.entry(3, state=0))
    t.charge(145, 1, 0, 3, token=70)
    t.request(145 + after, 3, 0, 1)
    return t


def gone_then_drained() -> Tape:
    t = late(state=2, after=1.0)
    t.news(141, 0, t.entry(3, state=0))  # the grace runs from the first news
    t.request(142.5, 3)
    return t


DRAIN_FORMS: list[Bend] = [
    lambda: late(),
    lambda: late(state=0),
    lambda: late(after=9.0),
    lambda: late(proxy=2),
    lambda: late(number=1),
    lambda: late(number=2, state=0, after=2.01),
    lambda: late(kind="full"),
    lambda: late(kind="full", number=3, proxy=1),
    lambda: rejoined(2.1),
    lambda: given(2.1),
    gone_then_drained,
]

# Rule 4 ---------------------------------------------------------------------------------------------------


def pushed(
    work: float,
    count: int = 10,
    after: float = 2.5,
    spread: float = 1.0,
    ordered: bool = False,
    server: int = 1,
    proxies: int = 1,
) -> Tape:
    """Server 1 starts cold at 150 and is told of at 150.2; then work comes."""
    t = eventful()
    t.truth.server_runs[server] = ServerRun(server, 150.0, 1e9, False, 2.0, 0.5, 8.0)
    for a in (0, 1):
        t.news(150.2, a, t.entry(server, life=2, age=0.2))
    if ordered:
        for p in range(proxies):
            t.order(150.4, 1, p, (1, server, 1.0))
    for k in range(count):
        t.request(150 + after + k * spread / count, server, k % proxies, 1, work=work / count, status=None)
    return t


COLD_FORMS: list[Bend] = [
    lambda: pushed(8.0),
    lambda: pushed(8.0, count=3),
    lambda: pushed(8.0, proxies=3),
    lambda: pushed(20.0, spread=0.1),
    lambda: pushed(6.0, after=0.5, ordered=True),
    lambda: pushed(6.0, after=0.5, ordered=True, proxies=3),
    lambda: pushed(12.0, after=5.0),
    lambda: pushed(9.0, server=3),
    lambda: pushed(9.0, server=3, count=1),
    lambda: pushed(40.0, count=40, spread=4.0),
]

# Rule 5 ---------------------------------------------------------------------------------------------------


def queued(
    count: int, cost: float, spread: float = 1.0, assigner: int = 0, claim: float | None = 140.0
) -> Tape:
    """Orders of one time, leaving one after another."""
    t = eventful()
    for k in range(count):
        at = 141 + k * spread / count
        t.order(at, assigner, k % 3, (0, 0, 1.0), ordered=claim, cost=cost, batch=500)
    return t


def contradicted() -> Tape:
    """An assigner that claims to have ordered as late as each left; its own write to the store says otherwise."""
    t = eventful()
    t.add(140, "store", "assigner", 0, m.WriteRequest(500, []))
    for k in range(9):
        t.order(141 + k * 0.1, 0, k % 3, (0, 0, 1.0), cost=13, batch=500)
    return t


def understated() -> Tape:
    """The cost told is less than what the message holds."""
    t = eventful()
    for k in range(3):
        lines = [(0, s, 1.0) for s in range(40)]
        t.order(141 + k * 0.1, 0, k, *lines, ordered=140.0, cost=1.0, batch=500)
    return t


def many(count: int, span: float, assigner: int = 0, proxy: int = 0) -> Tape:
    t = eventful()
    for k in range(count):
        t.order(141 + k * span / count, assigner, proxy, (assigner, 3, 1.0))
    return t


QUEUE_FORMS: list[Bend] = [
    lambda: queued(9, 12),
    lambda: queued(3, 40),
    lambda: queued(1, 101),
    lambda: queued(4, 30, assigner=1),
    lambda: queued(12, 9, spread=0.01),
    contradicted,
    understated,
    lambda: many(6, 1.0),
    lambda: many(6, 9.9),
    lambda: many(7, 5.0, assigner=1, proxy=2),
    lambda: many(30, 40.0, proxy=1),
]

FORMS = [
    (rule, form)
    for rule, forms in (
        (NOBODY, NOBODY_FORMS),
        (TWICE, TWICE_FORMS),
        (DRAIN, DRAIN_FORMS),
        (COLD, COLD_FORMS),
        (QUEUE, QUEUE_FORMS),
    )
    for form in forms
]


@pytest.mark.parametrize(("rule", "form"), FORMS)
def test_records_that_violate_one_rule_have_findings_of_that_rule_alone(rule: Rule, form: Bend) -> None:
    report = form().evaluate()
    assert broken(report) == {rule}
    assert all(f.records for f in report.findings)
    assert report.peak_ratios[rule] >= 1


ALMOST: list[Bend] = [
    lambda: bare(until=142.9),
    lambda: bare((0, 1), "out", until=142.8),
    lambda: twice(ONCE, 0, 1, 0.2, status=m.AttemptStatus.SATURATED),
    lambda: twice(KEYED, 0, 2, 1.9),
    lambda: twice(READ, 0, 1, 9.0),
    lambda: late(after=1.9),
    lambda: rejoined(1.9),
    lambda: given(1.9),
    lambda: pushed(8.0, after=0.5),  # nobody could know yet
    lambda: pushed(4.0),
    lambda: queued(8, 12),
    lambda: many(5, 5.0),
]


@pytest.mark.parametrize("form", ALMOST)
def test_records_just_within_the_limits_have_no_findings(form: Bend) -> None:
    assert broken(form().evaluate()) == set()


def test_empty_tables_do_not_count_while_no_warm_server_is_listed() -> None:
    t = bare()
    t.news(139, 0, *[t.entry(s, state=0) for s in range(4)])
    assert NOBODY not in broken(t.evaluate())


def test_a_killed_assigner_owns_nothing() -> None:
    t = late(after=5.0)
    t.truth.kills[0] = [140.5]
    assert broken(t.evaluate()) == set()


def test_a_paused_assigner_is_notified_when_it_resumes() -> None:
    t = late(after=5.0)
    t.truth.pauses[0] = [(139.0, 143.5)]
    assert broken(t.evaluate()) == set()
    t.truth.pauses[0] = [(139.0, 142.5)]
    assert broken(t.evaluate()) == {DRAIN}


def owned(*writes: tuple[float, int, float], epochs: tuple[tuple[float, int], ...] = ()) -> Tape:
    """Writes of slice 0 (time, server, time to the answer); epochs: when the assigner gave it to whom."""
    t = Tape(deployment={"single_writer": "yes"})
    for at, server in epochs:
        t.add(at, "store", "assigner", 0, m.WriteRequest(int(at), [m.WeightEntry(0, server, 1.0, 1)]))
    for at, server, took in writes:
        t.request(at, server, kind=KEYED, answered=took)
    t.rows.sort(key=lambda r: (r.received_at_s, r.number))
    return t


@pytest.mark.parametrize(
    ("tape", "kept"),
    [
        (lambda: owned((110, 0, 0.1), (111, 0, 0.1)), True),
        (lambda: owned((110, 0, 0.1), (112, 1, 0.1), (115, 0, 0.1), epochs=((111, 1), (114, 0))), True),
        (lambda: owned((110, 0, 2.0), (111.5, 1, 0.1), epochs=((111, 1),)), False),  # both have one in hand
        (lambda: owned((110, 0, 0.1), (112, 1, 0.1), (113, 0, 0.1), epochs=((111, 1),)), False),
        (
            lambda: owned((112, 1, 0.1), (113, 0, 0.1), epochs=((111, 1),)),
            False,
        ),  # the former owner after the later
    ],
)
def test_writes_go_to_a_single_owner(tape: Bend, kept: bool) -> None:
    assert (OWNER not in broken(tape().evaluate())) == kept


def test_a_server_that_has_ended_has_no_writes_in_flight() -> None:
    def tape() -> Tape:
        t = Tape(deployment={"single_writer": "yes"})
        t.request(110, 0, kind=KEYED, status=None)
        t.add(112, "store", "assigner", 0, m.WriteRequest(1, [m.WeightEntry(0, 1, 1.0, 1)]))
        t.request(113, 1, kind=KEYED)
        return t

    assert broken(tape().evaluate()) == {OWNER}
    gone = tape()
    gone.truth.server_runs[0] = ServerRun(0, 0.0, 111.0, True, 2.0, 0.3, 8.0)
    assert broken(gone.evaluate()) == set()


def lines(count: int) -> list[bytes]:
    rows = [
        b'{"i":%d,"t":%d.5,"o":null,"l":"try:1","c":1,"d":0,"m":{"t":"cancel","id":%d}}\n' % (k, k, k)
        for k in range(1, count + 1)
    ]
    return [*rows, json.dumps({"end": count}).encode()]


def test_a_complete_file_has_no_gap() -> None:
    capture = read_records(lines(5), "tap.jsonl")
    assert len(capture.records) == 5
    assert capture.gaps == []
    assert capture.records[2].message == m.CancelAttempt(3)
    assert capture.records[2].delivered_at_s is None


@pytest.mark.parametrize(
    ("bend", "words"),
    [
        (lambda rows: rows[:2] + rows[3:], "record 4 follows record 2"),
        (lambda rows: rows[:-1], "closing count is missing"),
        (lambda rows: rows[:-2] + rows[-1:], "closing count is 5 records, last record is 4"),
        (lambda rows: [*rows[:2], rows[2][:20], *rows[3:]], "record is not valid JSON"),
        (
            lambda rows: [*rows[:2], rows[2].replace(b'"cancel"', b'"cancer"'), *rows[3:]],
            "record is invalid: MessageDecodeError: ",
        ),
        (lambda rows: [rows[1], rows[0], *rows[2:]], "record 2 follows record 0"),
    ],
)
def test_gaps_are_reported(bend: Callable[[list[bytes]], list[bytes]], words: str) -> None:
    assert any(words in gap for gap in read_records(bend(lines(5)), "tap.jsonl").gaps)


def test_withdrawals_end_for_a_proxy_that_reconnects() -> None:
    bare = {}
    for anew in (False, True):
        t = Tape()
        for a in (0, 1):
            t.order(110, a, 0, out=(0, 1, 2, 3))
        if anew:
            t.add(111, "order:0", "proxy", 0, m.Welcome(m.PROTOCOL_VERSION, "assigner", 0), back=True)
        t.request(140, 1, proxy=1, number=1)
        bare[anew] = {f.subject for f in t.evaluate().findings if f.rule == NOBODY}
    assert {"proxy 0, slice 0, assigner 0", "proxy 0, slice 1, assigner 1"} <= bare[False]
    assert "proxy 0, slice 1, assigner 1" in bare[True]
    assert not any("assigner 0" in who for who in bare[True])


def test_an_invalid_endpoint_entry_is_no_notice() -> None:
    found = {}
    for entries in ([0], [0, 0]):  # gone; told twice
        t = Tape()
        t.news(110, 0, *[t.entry(s, state=0) for s in entries])
        t.request(120, 0, number=0)
        found[len(entries)] = broken(t.evaluate())
    assert found == {1: {DRAIN}, 2: set()}

"""The audit finds each violation of a single rule, and nothing in a scenario that keeps all rules."""

from __future__ import annotations

import json
from collections.abc import Callable

import pytest

from puffintide.audit.ground_truth import ServerRun
from puffintide.audit.records import read_records
from puffintide.audit.report import Rule
from puffintide.protocol import messages as m
from tests.records import KEYED, ONCE, READ, RecordedScenario, violated_rules

ScenarioFactory = Callable[[], RecordedScenario]
AVAILABLE_SERVERS, DUPLICATE_EXECUTION, DRAINING, SLOW_START, CHANNEL_CAPACITY, SINGLE_OWNER = (
    Rule.AVAILABLE_SERVERS,
    Rule.NO_DUPLICATE_EXECUTION,
    Rule.GRACEFUL_DRAINING,
    Rule.SLOW_START,
    Rule.CHANNEL_CAPACITY,
    Rule.SINGLE_OWNER,
)


def kept_scenario() -> RecordedScenario:
    """Return a scenario with faults that keeps every rule, some of them just within the limit."""
    scenario = RecordedScenario()
    for k in range(40):
        scenario.send_attempt(101 + k * 0.1, k % 4, k % 3, k % 4, class_index=READ)
    scenario.send_attempt(102, 0, class_index=ONCE, status=m.AttemptStatus.SATURATED)
    # The first attempt was saturated and therefore not executed.
    scenario.send_attempt(102.2, 1, class_index=ONCE, request_id=scenario.last_request_id, attempt_number=1)
    scenario.send_attempt(103, 0, class_index=KEYED, status=m.AttemptStatus.ERROR)
    # The repetition is within the deduplication window and zone.
    scenario.send_attempt(104.9, 2, class_index=KEYED, request_id=scenario.last_request_id, attempt_number=1)
    scenario.send_endpoints(110, 0, scenario.endpoint(0, status=2))
    scenario.send_attempt(111.9, 0, slice_id=0)  # This is within the grace period.
    scenario.send_attempt(115, 0, slice_id=1)  # Assigner 1 owns slice 1 and was not notified.
    for proxy_id in range(3):
        scenario.send_update(112, 0, proxy_id, (0, 2, 1.0), (0, 0, 0.0), withdrawn=(0,), ordered_at_s=111.9)
    scenario.send_endpoints(120, 1, scenario.endpoint(1, status=0))
    for proxy_id in range(3):
        # Slice 1 has no server from here, and gets one within the limit.
        scenario.send_update(121, 1, proxy_id, (1, 1, 0.0))
        scenario.send_update(123.5, 1, proxy_id, (1, 3, 1.0))
    scenario.truth.server_runs[2] = ServerRun(2, 130.0, 1e9, False, 2.0, 0.5, 8.0)
    for assigner_id in (0, 1):
        scenario.send_endpoints(130.5, assigner_id, scenario.endpoint(2, incarnation=2, age_s=0.5))
    for k in range(12):
        scenario.send_attempt(131 + k * 0.3, 2, slice_id=2, work_s=0.7)
    scenario.send_endpoints(135, 0, scenario.endpoint(0))
    scenario.records.sort(key=lambda record: (record.received_at_s, record.number))
    return scenario


def test_records_that_keep_all_rules_have_no_findings() -> None:
    report = kept_scenario().evaluate()
    assert report.findings == []
    checked_rules = (AVAILABLE_SERVERS, DUPLICATE_EXECUTION, DRAINING, SLOW_START, CHANNEL_CAPACITY)
    assert all(report.case_counts[rule] for rule in checked_rules)
    assert 0.9 < report.peak_ratios[DRAINING] <= 1
    assert 0.5 < report.peak_ratios[SLOW_START] <= 1


# Rule AVAILABLE_SERVERS -----------------------------------------------------------------------------------


def emptied_tables(
    proxy_ids: tuple[int, ...] = (0,), method: str = "zero", slice_id: int = 0, until_s: float | None = None
) -> RecordedScenario:
    """Return a scenario in which tables of a slice lose all available servers at 140 s, by a given method."""
    scenario = kept_scenario()
    assigner_id = slice_id % 2
    for proxy_id in proxy_ids:
        match method:
            case "zero":
                weights = [(slice_id, server_id, 0.0) for server_id in range(4)]
                scenario.send_update(140, assigner_id, proxy_id, (slice_id, slice_id, 0.0), *weights)
            case "clear":
                scenario.send_update(140, assigner_id, proxy_id, cleared_slices=(slice_id,))
            case "withdraw":
                scenario.send_update(140, assigner_id, proxy_id, withdrawn=(0, 1, 2, 3))
            case "ownership":
                scenario.add(
                    140,
                    "store",
                    "proxy",
                    proxy_id,
                    m.SliceOwnerships([m.SliceOwnership(slice_id, 90, assigner_id, [])]),
                    to_initiator=True,
                )
        if until_s is not None:
            scenario.send_update(
                until_s, assigner_id, proxy_id, (slice_id, slice_id, 1.0), readmitted=(0, 1, 2, 3), token=99
            )
    scenario.send_attempt(150, 3, slice_id=3)
    return scenario


AVAILABLE_SERVERS_VIOLATIONS: list[ScenarioFactory] = [
    lambda: emptied_tables(),
    lambda: emptied_tables((0, 1, 2)),
    lambda: emptied_tables((1,), "clear"),
    lambda: emptied_tables((2,), "clear", 1),
    lambda: emptied_tables((0,), "withdraw"),
    lambda: emptied_tables((1,), "withdraw", 3),
    lambda: emptied_tables((0,), "ownership"),
    lambda: emptied_tables((0,), "ownership", 2),
    lambda: emptied_tables((0,), "zero", 3),
    lambda: emptied_tables((0,), until_s=143.2),
    lambda: emptied_tables((2,), "withdraw", until_s=143.5),
    lambda: emptied_tables((1,), "clear", 2, until_s=144),
]

# Rule NO_DUPLICATE_EXECUTION ------------------------------------------------------------------------------


def repeated_attempt(
    class_index: int, first_server: int, second_server: int, delay_s: float, **options: object
) -> RecordedScenario:
    """Return a scenario with two attempts of a request; the first fails unless `status` is given."""
    scenario = kept_scenario()
    status = options.pop("status", m.AttemptStatus.ERROR)
    request_id = scenario.send_attempt(140, first_server, class_index=class_index, status=status, **options)  # type: ignore[arg-type]
    scenario.send_attempt(
        140 + delay_s, second_server, class_index=class_index, request_id=request_id, attempt_number=1
    )
    return scenario


def three_attempts() -> RecordedScenario:
    """Return a scenario with three attempts of a request.

    The first is answered as saturated, the second may have been executed, and the third is a violation.
    """
    scenario = kept_scenario()
    request_id = scenario.send_attempt(140, 0, class_index=ONCE, status=m.AttemptStatus.SATURATED)
    scenario.send_attempt(
        140.3, 1, class_index=ONCE, request_id=request_id, attempt_number=1, status=m.AttemptStatus.ERROR
    )
    scenario.send_attempt(140.6, 2, class_index=ONCE, request_id=request_id, attempt_number=2)
    return scenario


DUPLICATE_EXECUTION_VIOLATIONS: list[ScenarioFactory] = [
    lambda: repeated_attempt(ONCE, 0, 1, 0.2),
    lambda: repeated_attempt(ONCE, 0, 0, 0.2),
    lambda: repeated_attempt(ONCE, 0, 1, 0.2, status=m.AttemptStatus.RESET),
    lambda: repeated_attempt(ONCE, 0, 1, 1.0, status=m.AttemptStatus.TIMEOUT),
    lambda: repeated_attempt(ONCE, 0, 1, 0.2, status=None),
    lambda: repeated_attempt(ONCE, 0, 1, 0.2, status=m.AttemptStatus.OK),
    lambda: repeated_attempt(ONCE, 0, 1, 0.2, delivered_at_s=None, status=None),
    lambda: repeated_attempt(KEYED, 0, 2, 2.5),
    lambda: repeated_attempt(KEYED, 0, 1, 0.5),
    lambda: repeated_attempt(KEYED, 1, 0, 0.5, status=None),
    lambda: repeated_attempt(KEYED, 0, 3, 0.5, status=m.AttemptStatus.TIMEOUT),
    three_attempts,
]

# Rule GRACEFUL_DRAINING -----------------------------------------------------------------------------------


def attempt_after_loss(
    status: int = 2, delay_s: float = 2.2, proxy_id: int = 0, slice_id: int = 0, update_type: str = "delta"
) -> RecordedScenario:
    """Return a scenario with an attempt at server 3 after the owner of the slice was notified of its loss."""
    scenario = kept_scenario()
    if update_type == "delta":
        entries = [scenario.endpoint(3, status=status)]
    else:
        entries = [scenario.endpoint(server_id) for server_id in (0, 1, 2)]
    scenario.send_endpoints(140, slice_id % 2, *entries, update_type=update_type)
    scenario.send_attempt(140 + delay_s, 3, proxy_id, slice_id)
    return scenario


def attempt_after_reconnection(delay_s: float) -> RecordedScenario:
    """Return a scenario in which the grace period starts again, at full length, as the proxy reconnects."""
    scenario = kept_scenario()
    scenario.send_endpoints(140, 0, scenario.endpoint(3, status=0))
    scenario.disconnect(141, "order:0", "proxy", 0)
    scenario.connect(143, "order:0", "proxy", 0)
    scenario.send_attempt(143 + delay_s, 3, 0, 0)
    return scenario


def attempt_after_ownership_change(delay_s: float) -> RecordedScenario:
    """Return a scenario in which the grace period starts again, at full length, as the slice changes owner."""
    scenario = kept_scenario()
    scenario.send_endpoints(140, 0, scenario.endpoint(3, status=0))
    scenario.send_ownership(145, 1, 0, 3, token=70)
    scenario.send_attempt(145 + delay_s, 3, 0, 1)
    return scenario


def attempt_after_drain_and_removal() -> RecordedScenario:
    """Return a scenario in which a server drains and is then removed; the grace period starts at the drain."""
    scenario = attempt_after_loss(status=2, delay_s=1.0)
    scenario.send_endpoints(141, 0, scenario.endpoint(3, status=0))
    scenario.send_attempt(142.5, 3)
    return scenario


DRAINING_VIOLATIONS: list[ScenarioFactory] = [
    lambda: attempt_after_loss(),
    lambda: attempt_after_loss(status=0),
    lambda: attempt_after_loss(delay_s=9.0),
    lambda: attempt_after_loss(proxy_id=2),
    lambda: attempt_after_loss(slice_id=1),
    lambda: attempt_after_loss(slice_id=2, status=0, delay_s=2.01),
    lambda: attempt_after_loss(update_type="full"),
    lambda: attempt_after_loss(update_type="full", slice_id=3, proxy_id=1),
    lambda: attempt_after_reconnection(2.1),
    lambda: attempt_after_ownership_change(2.1),
    attempt_after_drain_and_removal,
]

# Rule SLOW_START ------------------------------------------------------------------------------------------


def work_during_slow_start(
    work_s: float,
    count: int = 10,
    delay_s: float = 2.5,
    duration_s: float = 1.0,
    has_update: bool = False,
    server_id: int = 1,
    proxy_count: int = 1,
) -> RecordedScenario:
    """Return a scenario in which attempts share some work at a server in slow start.

    The server starts at 150 s, and the assigners are notified at 150.2 s.
    """
    scenario = kept_scenario()
    scenario.truth.server_runs[server_id] = ServerRun(server_id, 150.0, 1e9, False, 2.0, 0.5, 8.0)
    for assigner_id in (0, 1):
        scenario.send_endpoints(150.2, assigner_id, scenario.endpoint(server_id, incarnation=2, age_s=0.2))
    if has_update:
        for proxy_id in range(proxy_count):
            scenario.send_update(150.4, 1, proxy_id, (1, server_id, 1.0))
    for k in range(count):
        at_s = 150 + delay_s + k * duration_s / count
        scenario.send_attempt(at_s, server_id, k % proxy_count, 1, work_s=work_s / count, status=None)
    return scenario


SLOW_START_VIOLATIONS: list[ScenarioFactory] = [
    lambda: work_during_slow_start(8.0),
    lambda: work_during_slow_start(8.0, count=3),
    lambda: work_during_slow_start(8.0, proxy_count=3),
    lambda: work_during_slow_start(20.0, duration_s=0.1),
    lambda: work_during_slow_start(6.0, delay_s=0.5, has_update=True),
    lambda: work_during_slow_start(6.0, delay_s=0.5, has_update=True, proxy_count=3),
    lambda: work_during_slow_start(12.0, delay_s=5.0),
    lambda: work_during_slow_start(9.0, server_id=3),
    lambda: work_during_slow_start(9.0, server_id=3, count=1),
    lambda: work_during_slow_start(40.0, count=40, duration_s=4.0),
]

# Rule CHANNEL_CAPACITY ------------------------------------------------------------------------------------


def queued_updates(
    count: int,
    cost: float,
    duration_s: float = 1.0,
    assigner_id: int = 0,
    ordered_at_s: float | None = 140.0,
) -> RecordedScenario:
    """Return a scenario with updates that are ordered at the same time and sent one after another."""
    scenario = kept_scenario()
    for k in range(count):
        scenario.send_update(
            141 + k * duration_s / count,
            assigner_id,
            k % 3,
            (0, 0, 1.0),
            ordered_at_s=ordered_at_s,
            cost=cost,
            batch=500,
        )
    return scenario


def order_times_later_than_write() -> RecordedScenario:
    """Return a scenario whose assigner states the send times as order times, but wrote the batch before."""
    scenario = kept_scenario()
    scenario.add(140, "store", "assigner", 0, m.WriteRequest(500, []))
    for k in range(9):
        scenario.send_update(141 + k * 0.1, 0, k % 3, (0, 0, 1.0), cost=13, batch=500)
    return scenario


def costs_below_entry_counts() -> RecordedScenario:
    """Return a scenario in which the stated cost of each update is below its number of entries."""
    scenario = kept_scenario()
    for k in range(3):
        weights = [(0, server_id, 1.0) for server_id in range(40)]
        scenario.send_update(141 + k * 0.1, 0, k, *weights, ordered_at_s=140.0, cost=1.0, batch=500)
    return scenario


def many_messages(count: int, duration_s: float, assigner_id: int = 0, proxy_id: int = 0) -> RecordedScenario:
    """Return a scenario in which one proxy receives a number of updates within a time."""
    scenario = kept_scenario()
    for k in range(count):
        scenario.send_update(141 + k * duration_s / count, assigner_id, proxy_id, (assigner_id, 3, 1.0))
    return scenario


CHANNEL_CAPACITY_VIOLATIONS: list[ScenarioFactory] = [
    lambda: queued_updates(9, 12),
    lambda: queued_updates(3, 40),
    lambda: queued_updates(1, 101),
    lambda: queued_updates(4, 30, assigner_id=1),
    lambda: queued_updates(12, 9, duration_s=0.01),
    order_times_later_than_write,
    costs_below_entry_counts,
    lambda: many_messages(6, 1.0),
    lambda: many_messages(6, 9.9),
    lambda: many_messages(7, 5.0, assigner_id=1, proxy_id=2),
    lambda: many_messages(30, 40.0, proxy_id=1),
]

VIOLATIONS = [
    (rule, violation)
    for rule, violations in (
        (AVAILABLE_SERVERS, AVAILABLE_SERVERS_VIOLATIONS),
        (DUPLICATE_EXECUTION, DUPLICATE_EXECUTION_VIOLATIONS),
        (DRAINING, DRAINING_VIOLATIONS),
        (SLOW_START, SLOW_START_VIOLATIONS),
        (CHANNEL_CAPACITY, CHANNEL_CAPACITY_VIOLATIONS),
    )
    for violation in violations
]


@pytest.mark.parametrize(("rule", "violation"), VIOLATIONS)
def test_records_that_violate_one_rule_have_findings_of_that_rule_alone(
    rule: Rule, violation: ScenarioFactory
) -> None:
    report = violation().evaluate()
    assert violated_rules(report) == {rule}
    assert all(finding.records for finding in report.findings)
    assert report.peak_ratios[rule] >= 1


WITHIN_LIMITS: list[ScenarioFactory] = [
    lambda: emptied_tables(until_s=142.9),
    lambda: emptied_tables((0, 1), "withdraw", until_s=142.8),
    lambda: repeated_attempt(ONCE, 0, 1, 0.2, status=m.AttemptStatus.SATURATED),
    lambda: repeated_attempt(KEYED, 0, 2, 1.9),
    lambda: repeated_attempt(READ, 0, 1, 9.0),
    lambda: attempt_after_loss(delay_s=1.9),
    lambda: attempt_after_reconnection(1.9),
    lambda: attempt_after_ownership_change(1.9),
    lambda: work_during_slow_start(8.0, delay_s=0.5),  # No proxy could know of the start yet.
    lambda: work_during_slow_start(4.0),
    lambda: queued_updates(8, 12),
    lambda: many_messages(5, 5.0),
]


@pytest.mark.parametrize("scenario", WITHIN_LIMITS)
def test_records_just_within_the_limits_have_no_findings(scenario: ScenarioFactory) -> None:
    assert violated_rules(scenario().evaluate()) == set()


def test_empty_tables_do_not_count_while_no_warm_server_is_listed() -> None:
    scenario = emptied_tables()
    scenario.send_endpoints(139, 0, *[scenario.endpoint(server_id, status=0) for server_id in range(4)])
    assert AVAILABLE_SERVERS not in violated_rules(scenario.evaluate())


def test_a_killed_assigner_owns_nothing() -> None:
    scenario = attempt_after_loss(delay_s=5.0)
    scenario.truth.kills[0] = [140.5]
    assert violated_rules(scenario.evaluate()) == set()


def test_a_paused_assigner_is_notified_when_it_resumes() -> None:
    scenario = attempt_after_loss(delay_s=5.0)
    scenario.truth.pauses[0] = [(139.0, 143.5)]
    assert violated_rules(scenario.evaluate()) == set()
    scenario.truth.pauses[0] = [(139.0, 142.5)]
    assert violated_rules(scenario.evaluate()) == {DRAINING}


def single_writer_scenario(
    *writes: tuple[float, int, float], assignments: tuple[tuple[float, int], ...] = ()
) -> RecordedScenario:
    """Return a scenario with a single writer per slice.

    Args:
        writes: Writes of slice 0, as time, server and response delay.
        assignments: Assignments of slice 0, as time and server.
    """
    scenario = RecordedScenario(deployment={"single_writer": "yes"})
    for at_s, server_id in assignments:
        write = m.WriteRequest(int(at_s), [m.WeightEntry(0, server_id, 1.0, 1)])
        scenario.add(at_s, "store", "assigner", 0, write)
    for at_s, server_id, response_delay_s in writes:
        scenario.send_attempt(at_s, server_id, class_index=KEYED, response_delay_s=response_delay_s)
    scenario.records.sort(key=lambda record: (record.received_at_s, record.number))
    return scenario


@pytest.mark.parametrize(
    ("scenario", "is_kept"),
    [
        (lambda: single_writer_scenario((110, 0, 0.1), (111, 0, 0.1)), True),
        (
            lambda: single_writer_scenario(
                (110, 0, 0.1), (112, 1, 0.1), (115, 0, 0.1), assignments=((111, 1), (114, 0))
            ),
            True,
        ),
        # Both servers have a write in flight.
        (
            lambda: single_writer_scenario((110, 0, 2.0), (111.5, 1, 0.1), assignments=((111, 1),)),
            False,
        ),
        (
            lambda: single_writer_scenario(
                (110, 0, 0.1), (112, 1, 0.1), (113, 0, 0.1), assignments=((111, 1),)
            ),
            False,
        ),
        # The former owner receives a write after the later owner.
        (
            lambda: single_writer_scenario((112, 1, 0.1), (113, 0, 0.1), assignments=((111, 1),)),
            False,
        ),
    ],
)
def test_writes_go_to_a_single_owner(scenario: ScenarioFactory, is_kept: bool) -> None:
    assert (SINGLE_OWNER not in violated_rules(scenario().evaluate())) == is_kept


def test_a_server_that_has_ended_has_no_writes_in_flight() -> None:
    def write_without_response() -> RecordedScenario:
        scenario = RecordedScenario(deployment={"single_writer": "yes"})
        scenario.send_attempt(110, 0, class_index=KEYED, status=None)
        write = m.WriteRequest(1, [m.WeightEntry(0, 1, 1.0, 1)])
        scenario.add(112, "store", "assigner", 0, write)
        scenario.send_attempt(113, 1, class_index=KEYED)
        return scenario

    assert violated_rules(write_without_response().evaluate()) == {SINGLE_OWNER}
    ended_server = write_without_response()
    ended_server.truth.server_runs[0] = ServerRun(0, 0.0, 111.0, True, 2.0, 0.3, 8.0)
    assert violated_rules(ended_server.evaluate()) == set()


def record_lines(count: int) -> list[bytes]:
    """Return the lines of a complete file of a recording proxy, with the closing count."""
    rows = [
        b'{"i":%d,"t":%d.5,"o":null,"l":"try:1","c":1,"d":0,"m":{"t":"cancel","id":%d}}\n' % (k, k, k)
        for k in range(1, count + 1)
    ]
    return [*rows, json.dumps({"end": count}).encode()]


def test_a_complete_file_has_no_gap() -> None:
    capture = read_records(record_lines(5), "tap.jsonl")
    assert len(capture.records) == 5
    assert capture.gaps == []
    assert capture.records[2].message == m.CancelAttempt(3)
    assert capture.records[2].delivered_at_s is None


@pytest.mark.parametrize(
    ("damage", "expected_text"),
    [
        (lambda rows: rows[:2] + rows[3:], "record 4 follows record 2"),
        (lambda rows: rows[:-1], "closing count is missing"),
        (lambda rows: rows[:-2] + rows[-1:], "closing count is 5 records, last record is 4"),
        (lambda rows: [*rows[:2], rows[2][:20], *rows[3:]], "record is not valid JSON"),
        (lambda rows: [*rows[:2], rows[2].replace(b'"cancel"', b'"cancer"'), *rows[3:]], "record is invalid"),
        (lambda rows: [rows[1], rows[0], *rows[2:]], "record 2 follows record 0"),
    ],
)
def test_gaps_are_reported(damage: Callable[[list[bytes]], list[bytes]], expected_text: str) -> None:
    gaps = read_records(damage(record_lines(5)), "tap.jsonl").gaps
    assert any(expected_text in gap for gap in gaps)


def test_withdrawals_end_for_a_proxy_that_reconnects() -> None:
    subjects = {}
    for reconnects in (False, True):
        scenario = RecordedScenario()
        for assigner_id in (0, 1):
            scenario.send_update(110, assigner_id, 0, withdrawn=(0, 1, 2, 3))
        if reconnects:
            welcome = m.Welcome(m.PROTOCOL_VERSION, "assigner", 0)
            scenario.add(111, "order:0", "proxy", 0, welcome, to_initiator=True)
        scenario.send_attempt(140, 1, proxy_id=1, slice_id=1)
        findings = scenario.evaluate().findings
        subjects[reconnects] = {f.subject for f in findings if f.rule == AVAILABLE_SERVERS}
    assert {"proxy 0, slice 0, assigner 0", "proxy 0, slice 1, assigner 1"} <= subjects[False]
    assert "proxy 0, slice 1, assigner 1" in subjects[True]
    assert not any("assigner 0" in subject for subject in subjects[True])


def test_an_invalid_endpoint_entry_is_no_notice() -> None:
    rules_by_entry_count = {}
    for server_ids in ([0], [0, 0]):  # A server that is listed twice makes its entries invalid.
        scenario = RecordedScenario()
        scenario.send_endpoints(110, 0, *[scenario.endpoint(server_id, status=0) for server_id in server_ids])
        scenario.send_attempt(120, 0, slice_id=0)
        rules_by_entry_count[len(server_ids)] = violated_rules(scenario.evaluate())
    assert rules_by_entry_count == {1: {DRAINING}, 2: set()}

"""Fault injection in a whole deployment on a virtual clock; the audit evaluates the records of each scenario.

docs/review-of-parts.md has the table of combinations that these cases and those of related tests cover.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from puffintide.audit.report import Rule
from tests.deployment import SECTIONS, Deployment

ALWAYS_REQUIRED_RULES = (Rule.AVAILABLE_SERVERS, Rule.NO_DUPLICATE_EXECUTION, Rule.CHANNEL_CAPACITY)
DRAINING, SLOW_START, SINGLE_OWNER = Rule.GRACEFUL_DRAINING, Rule.SLOW_START, Rule.SINGLE_OWNER
ZONE_1_SERVERS = [1, 3, 5, 7]


@dataclass
class Case:
    """A scenario of the deployment and what its result must show.

    Args:
        faults: Fault sections by name.
        steps: Calls with the deployment at times in seconds since the first request.
        changes: Changed keys of the configuration by section.
        required_rules: Rules that must have applied at least once, besides those of every case.
        min_score: Minimum ratio of the answered to the requested priority weight.
    """

    faults: dict[str, dict[str, Any]] = field(default_factory=dict)
    steps: list[tuple[float, Any]] = field(default_factory=list)
    changes: dict[str, dict[str, Any]] = field(default_factory=dict)
    required_rules: tuple[Rule, ...] = ()
    min_score: float = 0.8


def fault(kind: str, start_s: float = 4, duration_s: float = 6, **keys: Any) -> dict[str, Any]:
    return {"kind": kind, "at_s": start_s, "for_s": duration_s} | keys


def single_fault(kind: str, *required_rules: Rule, min_score: float = 0.8, **keys: Any) -> Case:
    return Case({"f": fault(kind, **keys)}, required_rules=required_rules, min_score=min_score)


def two_faults(
    a: dict[str, Any], b: dict[str, Any], *required_rules: Rule, min_score: float = 0.7, **changes: Any
) -> Case:
    return Case({"a": a, "b": b}, changes=changes, required_rules=required_rules, min_score=min_score)


def process_steps(
    begin_operation: str, begin_s: float, end_operation: str, end_s: float, *names: str
) -> list[tuple[float, Any]]:
    """Return steps that apply an operation to processes and later the operation that ends it."""
    return [
        *((begin_s, lambda d, name=name: d.control_process(begin_operation, name)) for name in names),
        *((end_s, lambda d, name=name: d.control_process(end_operation, name)) for name in names),
    ]


def store_engine_full(is_full: bool) -> Any:
    return lambda d: setattr(d.engine, "full", is_full)


def endpoint_list_empty(is_empty: bool) -> Any:
    def apply(d: Deployment) -> None:
        d.fleet.endpoint_list.is_empty = is_empty
        for stream in sorted(d.fleet.endpoint_list.watchers, key=lambda s: str(s.peer)):
            d.fleet.endpoint_list.send_snapshot(stream)

    return apply


def link_fault_steps(begin_s: float, end_s: float, **effects: Any) -> list[tuple[float, Any]]:
    return [(begin_s, lambda d: d.set_link_fault("w", **effects)), (end_s, lambda d: d.set_link_fault("w"))]


ADMISSION_CONTROL = {"deployment": {"admit": "fraction"}, "reports": {"names": "busy"}}
TWO_RETRIES = {"deployment": {"retry_default": 3}}
SINGLE_WRITER = {"deployment": {"single_writer": "yes", "shun_after": 0}}
# The channel is so narrow that servers are withdrawn.
NARROW_CHANNEL = {"deployment": {"slices": 48}, "channel": {"lines_per_s": 80, "limit": 160}}
CASES = {
    "no fault": Case(min_score=0.95),
    "crash": single_fault("crash", SLOW_START, servers=2),
    "crash, shown by the list before requests fail": Case(
        {"f": fault("crash", servers="2, 3")},
        required_rules=(SLOW_START,),
        changes={"fleet": {"notice_s": 0.05}},
    ),
    "hang": single_fault("hang", servers="0, 3", duration_s=8),
    "slow": single_fault("slow", servers="0, 3", size=6, duration_s=8),
    "all servers slow": single_fault("shared_slow", size=2, min_score=0.5),
    "pauses": single_fault("pauses", servers="0, 1", size=1.5, extra=3),
    "drain": single_fault("deploy", SLOW_START, servers="1, 2", size=1, extra=3),
    "drains at the same time": single_fault(
        "preempt", DRAINING, servers="1, 2, 4, 7", extra=4, min_score=0.7
    ),
    "cold restarts": single_fault("mass_restart", SLOW_START, servers="1, 2, 4", extra=1, min_score=0.7),
    "server flaps": Case(
        {f"f{k}": fault("crash", 3 + 3 * k, 1.5, servers=2) for k in range(4)}, required_rules=(SLOW_START,)
    ),
    "zone lost": single_fault("zone_loss", SLOW_START, zone=1, min_score=0.5),
    "zone lost with its assigner": single_fault("zone_loss", SLOW_START, zone=1, way="all", min_score=0.5),
    "zone flaps": single_fault("zone_flap", zone=1, size=4, duration_s=12, min_score=0.4),
    "list delayed": Case(
        {"f": fault("deploy", servers="1, 2", size=1, extra=3)},
        required_rules=(SLOW_START,),
        changes={"net": {"list_late_s": 1.2}},
    ),
    "list unavailable": two_faults(fault("list_down", 3, 9), fault("crash", 5, 5, servers=3)),
    "list empty": Case(
        steps=[(5, endpoint_list_empty(True)), (8, endpoint_list_empty(False))], min_score=0.4
    ),
    "reports delayed": single_fault("report_late", size=4, duration_s=9),
    "reports lost": Case(
        steps=link_fault_steps(4, 12, kinds=["order"], words=["sums"], direction=0, lose=0.7)
    ),
    "reports false": single_fault("false_reports", servers="0, 1, 2", size=0.1),
    "assigner killed": single_fault("balancer_crash", assigners="0"),
    "both assigners killed": single_fault("balancer_crash", assigners="0, 1"),
    "assigner paused": single_fault("balancer_stop", assigners="0", duration_s=7),
    "assigner killed in a drain": two_faults(
        fault("deploy", 4, 4, servers="1, 2", size=2, extra=5), fault("balancer_crash", 4.3, 5, assigners="0")
    ),
    "store unavailable": two_faults(fault("store_down", 3, 8), fault("crash", 5, 9, servers=2)),
    "store killed": two_faults(fault("store_crash", 3, 4), fault("crash", 4, 9, servers=2)),
    "store rejects writes": Case(
        {"f": fault("crash", 5, 8, servers=2)}, [(3, store_engine_full(True)), (10, store_engine_full(False))]
    ),
    "proxy restarted": Case(
        {"f": fault("crash", 5, 6, servers=2)},
        process_steps("kill", 5.5, "start", 7, "proxy:0", "proxy:1"),
        min_score=0.6,
    ),
    "proxy paused": Case(
        {"f": fault("deploy", servers="1, 2", size=1, extra=3)},
        process_steps("stop", 5.5, "wake", 9, "proxy:0"),
        min_score=0.6,
    ),
    "proxy cut off": two_faults(fault("counter_down", 4, 5, part=0.5), fault("crash", 5, 6, servers=2)),
    "proxy gets no updates": two_faults(
        fault("counter_down", 4, 5, part=0.5, way="empty"), fault("crash", 5, 6, servers=2)
    ),
    "proxy does not read": two_faults(
        fault("slow_reader", 4, 8, part=0.5), fault("deploy", 5, 6, servers="1, 2", size=1)
    ),
    "slow channel": Case(
        {"f": fault("preempt", servers="1, 2, 4", extra=4)},
        required_rules=(DRAINING,),
        min_score=0.7,
        changes={"channel": {"lines_per_s": 800, "limit": 1600}, "net": {"order_late_s": 0.4}},
    ),
    "slow link": single_fault("slow_link", size=0.3, extra=0.2, min_score=0.5),
    "one-sided": single_fault("one_sided", size=0.6, min_score=0.5),
    "hot slice": single_fault("hot_key", size=0.4),
    "retry storm": Case(
        {"f": fault("give_up", size=0.15, duration_s=10)},
        changes={"load": {"retries": 3, "honour": 0.2, "requests_per_s": 110}},
        min_score=0.3,
    ),
    "retry storm with admission levels": Case(
        {"f": fault("shared_slow", size=2, duration_s=8)},
        min_score=0.2,
        changes=ADMISSION_CONTROL | {"load": {"requests_per_s": 110, "retries": 3, "honour": 0.2}},
    ),
    "crash with two retries": Case(
        {"f": fault("crash", servers="2, 5")}, changes=TWO_RETRIES, required_rules=(SLOW_START,)
    ),
    "hang with two retries": Case({"f": fault("hang", servers="2, 5")}, changes=TWO_RETRIES),
    "hang with two retries, deduplication by zone": Case(
        {"f": fault("hang", 1, 8, servers="2, 5")},
        changes=TWO_RETRIES | {"class start": SECTIONS["class start"] | {"group": "zone"}},
    ),
    "crash with a single writer": Case(
        {"f": fault("crash", servers=2)}, changes=SINGLE_WRITER, required_rules=(SINGLE_OWNER,)
    ),
    "assigner killed with a single writer": Case(
        {
            "f": fault("balancer_crash", assigners="0"),
            "g": fault("deploy", 5, 5, servers="1, 2", size=1, extra=3),
        },
        changes=SINGLE_WRITER,
        required_rules=(SINGLE_OWNER,),
        min_score=0.6,
    ),
    "assigner paused with a single writer": Case(
        {"f": fault("balancer_stop", 5, 7, assigners="0"), "g": fault("crash", 5.2, 6, servers="1, 2")},
        changes=SINGLE_WRITER,
        required_rules=(SINGLE_OWNER,),
        min_score=0.6,
    ),
    "assigner paused, crash": two_faults(
        fault("balancer_stop", 5, 7, assigners="0"), fault("crash", 5.2, 9, servers="1, 2")
    ),
    "crash, crash": two_faults(
        fault("crash", 4, 5, servers=2), fault("crash", 7, 5, servers="3, 4"), SLOW_START
    ),
    "zone recovers, hang": two_faults(
        fault("zone_loss", 3, 6, zone=1), fault("hang", 8.5, 6, servers=2), SLOW_START, min_score=0.4
    ),
    "zone recovers, assigner killed": two_faults(
        fault("zone_loss", 3, 6, zone=1), fault("balancer_crash", 9.5, 4, assigners="0"), min_score=0.4
    ),
    "hot slice, drain": two_faults(
        fault("hot_key", 3, 10, size=0.3), fault("deploy", 5, 6, servers="0, 1, 2", size=1), SLOW_START
    ),
    "store unavailable, assigner killed": two_faults(
        fault("store_down", 4, 5), fault("balancer_crash", 5, 6, assigners="1")
    ),
    "list unavailable, zone lost": two_faults(
        fault("list_down", 3, 9), fault("zone_loss", 4, 6, zone=1), min_score=0.3
    ),
    "withdrawn, readmitted while proxies are cut off": Case(
        {"f": fault("crash", 3, 6, servers="1, 2, 4, 7")},
        link_fault_steps(6, 16, kinds=["order"], cut="refuse", proxies=[0, 1]),
        NARROW_CHANNEL,
        (SLOW_START,),
        0.5,
    ),
    "withdrawn, then both assigners killed": Case(
        {
            "f": fault("crash", 3, 7, servers="1, 2, 4, 7"),
            "g": fault("balancer_crash", 6, 3, assigners="0, 1"),
        },
        changes=NARROW_CHANNEL,
        required_rules=(SLOW_START,),
        min_score=0.5,
    ),
    "p2c": Case(
        {"f": fault("crash", servers=2)},
        changes={"deployment": {"pick": "p2c"}},
        required_rules=(SLOW_START,),
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_rules_hold_and_tables_converge_after_a_fault(name: str, tmp_path: Path) -> None:
    case = CASES[name]
    deployment = Deployment(tmp_path, case.faults, case.steps, **case.changes)
    result = deployment.play()
    assert not result.gaps
    assert not result.report.findings
    for rule in (*ALWAYS_REQUIRED_RULES, *case.required_rules):
        assert result.report.case_counts[rule] > 0, rule
    assert not deployment.inconsistencies()
    assert deployment.clients.done()
    assert not any(proxy.engine.requests for proxy in deployment.proxies.values())
    assert result.service.score >= case.min_score

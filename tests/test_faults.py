"""Faults against stages: whole made-up days on a virtual clock, each judged by the audit at its end.

docs/review-of-parts.md has the table of cells that these cases and their neighbours fill.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from puffintide.audit.report import Rule
from tests.deployment import SECTIONS, Deployment

ALWAYS = (Rule.AVAILABLE_SERVERS, Rule.NO_DUPLICATE_EXECUTION, Rule.CHANNEL_CAPACITY)
DRAIN, COLD, OWNER = Rule.GRACEFUL_DRAINING, Rule.SLOW_START, Rule.SINGLE_OWNER
ODD = [1, 3, 5, 7]  # the servers of zone 1


@dataclass
class Case:
    """needs: rules that must have been put to the test, beside those that always are. least: worth served."""

    faults: dict[str, dict[str, Any]] = field(default_factory=dict)
    steps: list[tuple[float, Any]] = field(default_factory=list)
    changes: dict[str, dict[str, Any]] = field(default_factory=dict)
    needs: tuple[Rule, ...] = ()
    least: float = 0.8


def fault(kind: str, at: float = 4, last: float = 6, **more: Any) -> dict[str, Any]:
    return {"kind": kind, "at_s": at, "for_s": last} | more


def one(kind: str, *needs: Rule, least: float = 0.8, **more: Any) -> Case:
    return Case({"f": fault(kind, **more)}, needs=needs, least=least)


def pair(a: dict[str, Any], b: dict[str, Any], *needs: Rule, least: float = 0.7, **changes: Any) -> Case:
    return Case({"a": a, "b": b}, changes=changes, needs=needs, least=least)


def hand(what: str, at: float, back: str, until: float, *names: str) -> list[tuple[float, Any]]:
    """Something done to processes, and its end."""
    return [
        *((at, lambda d, n=n: d.control_process(what, n)) for n in names),
        *((until, lambda d, n=n: d.control_process(back, n)) for n in names),
    ]


def full(on: bool) -> Any:
    return lambda d: setattr(d.engine, "full", on)


def empty(on: bool) -> Any:
    def do(d: Deployment) -> None:
        d.fleet.endpoint_list.is_empty = on
        for stream in sorted(d.fleet.endpoint_list.watchers, key=lambda s: str(s.peer)):
            d.fleet.endpoint_list.send_snapshot(stream)

    return do


def ways(at: float, until: float, **how: Any) -> list[tuple[float, Any]]:
    return [(at, lambda d: d.set_link_fault("w", **how)), (until, lambda d: d.set_link_fault("w"))]


SHED = {"deployment": {"admit": "fraction"}, "reports": {"names": "busy"}}
TWICE = {"deployment": {"retry_default": 3}}
WRITERS = {"deployment": {"single_writer": "yes", "shun_after": 0}}
NARROW = {"deployment": {"slices": 48}, "channel": {"lines_per_s": 80, "limit": 160}}  # servers are withdrawn
CASES = {
    "calm": Case(least=0.95),
    "crash": one("crash", COLD, servers=2),
    "crash, told before": Case(
        {"f": fault("crash", servers="2, 3")}, needs=(COLD,), changes={"fleet": {"notice_s": 0.05}}
    ),
    "hang": one("hang", servers="0, 3", last=8),
    "slow": one("slow", servers="0, 3", size=6, last=8),
    "all slow": one("shared_slow", size=2, least=0.5),
    "pauses": one("pauses", servers="0, 1", size=1.5, extra=3),
    "drain": one("deploy", COLD, servers="1, 2", size=1, extra=3),
    "drains in a wave": one("preempt", DRAIN, servers="1, 2, 4, 7", extra=4, least=0.7),
    "cold restarts": one("mass_restart", COLD, servers="1, 2, 4", extra=1, least=0.7),
    "server flaps": Case(
        {f"f{k}": fault("crash", 3 + 3 * k, 1.5, servers=2) for k in range(4)}, needs=(COLD,)
    ),
    "zone lost": one("zone_loss", COLD, zone=1, least=0.5),
    "zone lost with its assigner": one("zone_loss", COLD, zone=1, way="all", least=0.5),
    "zone flaps": one("zone_flap", zone=1, size=4, last=12, least=0.4),
    "list late": Case(
        {"f": fault("deploy", servers="1, 2", size=1, extra=3)},
        needs=(COLD,),
        changes={"net": {"list_late_s": 1.2}},
    ),
    "list silent": pair(fault("list_down", 3, 9), fault("crash", 5, 5, servers=3)),
    "list empty": Case(steps=[(5, empty(True)), (8, empty(False))], least=0.4),
    "reports late": one("report_late", size=4, last=9),
    "reports lost": Case(steps=ways(4, 12, kinds=["order"], words=["sums"], direction=0, lose=0.7)),
    "reports false": one("false_reports", servers="0, 1, 2", size=0.1),
    "assigner killed": one("balancer_crash", assigners="0"),
    "both assigners killed": one("balancer_crash", assigners="0, 1"),
    "assigner paused": one("balancer_stop", assigners="0", last=7),
    "assigner killed in a drain": pair(
        fault("deploy", 4, 4, servers="1, 2", size=2, extra=5), fault("balancer_crash", 4.3, 5, assigners="0")
    ),
    "store away": pair(fault("store_down", 3, 8), fault("crash", 5, 9, servers=2)),
    "store killed": pair(fault("store_crash", 3, 4), fault("crash", 4, 9, servers=2)),
    "store refuses": Case({"f": fault("crash", 5, 8, servers=2)}, [(3, full(True)), (10, full(False))]),
    "proxy restarted": Case(
        {"f": fault("crash", 5, 6, servers=2)}, hand("kill", 5.5, "start", 7, "proxy:0", "proxy:1"), least=0.6
    ),
    "proxy paused": Case(
        {"f": fault("deploy", servers="1, 2", size=1, extra=3)},
        hand("stop", 5.5, "wake", 9, "proxy:0"),
        least=0.6,
    ),
    "proxy cut off": pair(fault("counter_down", 4, 5, part=0.5), fault("crash", 5, 6, servers=2)),
    "proxy gets no orders": pair(
        fault("counter_down", 4, 5, part=0.5, way="empty"), fault("crash", 5, 6, servers=2)
    ),
    "proxy does not read": pair(
        fault("slow_reader", 4, 8, part=0.5), fault("deploy", 5, 6, servers="1, 2", size=1)
    ),
    "slow channel": Case(
        {"f": fault("preempt", servers="1, 2, 4", extra=4)},
        needs=(DRAIN,),
        least=0.7,
        changes={"channel": {"lines_per_s": 800, "limit": 1600}, "net": {"order_late_s": 0.4}},
    ),
    "slow link": one("slow_link", size=0.3, extra=0.2, least=0.5),
    "one-sided": one("one_sided", size=0.6, least=0.5),
    "hot slice": one("hot_key", size=0.4),
    "client storm": Case(
        {"f": fault("give_up", size=0.15, last=10)},
        changes={"load": {"retries": 3, "honour": 0.2, "requests_per_s": 110}},
        least=0.3,
    ),
    "storm with levels": Case(
        {"f": fault("shared_slow", size=2, last=8)},
        least=0.2,
        changes=SHED | {"load": {"requests_per_s": 110, "retries": 3, "honour": 0.2}},
    ),
    "crash with further tries": Case({"f": fault("crash", servers="2, 5")}, changes=TWICE, needs=(COLD,)),
    "hang with further tries": Case({"f": fault("hang", servers="2, 5")}, changes=TWICE),
    "hang, repeats dropped by zone": Case(
        {"f": fault("hang", 1, 8, servers="2, 5")},
        changes=TWICE | {"class start": SECTIONS["class start"] | {"group": "zone"}},
    ),
    "crash with writers": Case({"f": fault("crash", servers=2)}, changes=WRITERS, needs=(OWNER,)),
    "assigner killed with writers": Case(
        {
            "f": fault("balancer_crash", assigners="0"),
            "g": fault("deploy", 5, 5, servers="1, 2", size=1, extra=3),
        },
        changes=WRITERS,
        needs=(OWNER,),
        least=0.6,
    ),
    "assigner paused with writers": Case(
        {"f": fault("balancer_stop", 5, 7, assigners="0"), "g": fault("crash", 5.2, 6, servers="1, 2")},
        changes=WRITERS,
        needs=(OWNER,),
        least=0.6,
    ),
    "assigner paused, crash": pair(
        fault("balancer_stop", 5, 7, assigners="0"), fault("crash", 5.2, 9, servers="1, 2")
    ),
    "crash, crash": pair(fault("crash", 4, 5, servers=2), fault("crash", 7, 5, servers="3, 4"), COLD),
    "zone back, hang": pair(
        fault("zone_loss", 3, 6, zone=1), fault("hang", 8.5, 6, servers=2), COLD, least=0.4
    ),
    "zone back, assigner killed": pair(
        fault("zone_loss", 3, 6, zone=1), fault("balancer_crash", 9.5, 4, assigners="0"), least=0.4
    ),
    "hot slice, drain": pair(
        fault("hot_key", 3, 10, size=0.3), fault("deploy", 5, 6, servers="0, 1, 2", size=1), COLD
    ),
    "store away, assigner killed": pair(
        fault("store_down", 4, 5), fault("balancer_crash", 5, 6, assigners="1")
    ),
    "list silent, zone lost": pair(fault("list_down", 3, 9), fault("zone_loss", 4, 6, zone=1), least=0.3),
    "withdrawn, then back while cut off": Case(
        {"f": fault("crash", 3, 6, servers="1, 2, 4, 7")},
        ways(6, 16, kinds=["order"], cut="refuse", proxies=[0, 1]),
        NARROW,
        (COLD,),
        0.5,
    ),
    "withdrawn, then its assigner anew": Case(
        {
            "f": fault("crash", 3, 7, servers="1, 2, 4, 7"),
            "g": fault("balancer_crash", 6, 3, assigners="0, 1"),
        },
        changes=NARROW,
        needs=(COLD,),
        least=0.5,
    ),
    "p2c": Case({"f": fault("crash", servers=2)}, changes={"deployment": {"pick": "p2c"}}, needs=(COLD,)),
}


@pytest.mark.parametrize("name", CASES)
def test_rules_are_kept_and_tables_agree_in_the_end(name: str, tmp_path: Path) -> None:
    case = CASES[name]
    deployment = Deployment(tmp_path, case.faults, case.steps, **case.changes)
    verdict = deployment.play()
    assert not verdict.gaps
    assert not verdict.report.findings
    for rule in (*ALWAYS, *case.needs):
        assert verdict.report.case_counts[rule] > 0, rule
    assert not deployment.inconsistencies()
    assert deployment.clients.done()
    assert not any(proxy.engine.requests for proxy in deployment.proxies.values())
    assert verdict.service.score >= case.least

"""Tests that one customer's settings never affect another customer.

Two assigners run in one process, and the sites of deploy/sites are checked.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from collections.abc import Callable
from itertools import chain
from pathlib import Path
from typing import Any

import pytest

from tests.platform_world import Client, Platform, entry

SITES = Path(__file__).parent.parent / "deploy" / "sites"
OTHER_SETTINGS: dict[str, Any] = {
    "classes": [
        {"effect": "once", "objectiveS": 0.4, "deadlineS": 1.5, "worth": 9.0, "name": "cobrança"},
        {"effect": "repeatable", "objectiveS": 2.0, "deadlineS": 9.0, "worth": 1.0, "name": "mapa"},
    ],
    "zones": ["norte", "a"],
    "kinds": ["m9", "m1"],
    "report": {"names": ["busy", "lat_ms"], "via": "piggyback"},
    "rules": {
        "coldFrom": 0.4,
        "fallMultiple": 4.0,
        "overloadForS": 3.0,
        "stopSendingWithinS": 1.0,
        "warmWithinS": 6.0,
    },
}
OTHER_FAMILY_INFO: dict[str, Any] = {
    "egressPerS": 20000,
    "head": 30,
    "mostWaiting": 4000,
    "reloadsMax": 3,
    "retryDefault": 1,
    "strikes": 2,
    "cycleS": 1.0,
    "admit": "fraction",
}


def create_platform(folder: Path, is_other: bool) -> Platform:
    """Return the platform of a customer: the default one, or the other one."""
    folder.mkdir(exist_ok=True)
    if is_other:
        return Platform(folder, settings_changes=OTHER_SETTINGS, **OTHER_FAMILY_INFO)
    return Platform(folder)


def run_steps(platform: Platform, is_other: bool) -> Any:
    """Run one assigner in steps.

    The steps include load reports, drains, a server restart, rejected calls, broken watches and a reload.
    """
    class_name = "mapa" if is_other else "0"
    collector = Client(platform)
    collector.send({"msg": "collector", "az": "a"})
    platform.recorded_events = platform.record_events()  # type: ignore[attr-defined]
    yield
    for k in range(40):
        for s in range(6):
            count = (25 + 9 * (s == k % 3)) * (60 if k > 30 else 1)  # The last steps exceed the capacity.
            requests = {"partition": s, "kind": class_name, "n": count, "bad": 0, "window": 500.0}
            collector.send({"msg": "heat"} | requests)
        for s in range(4):
            # The busy server loses load, if its load values are read.
            busy = s == (3 if is_other else 0) and k > 5
            report: dict[str, float] = {"inflight": 1 + 60 * busy}
            if is_other:
                report = {"util": 0.97 if busy else 0.3, "latency_ms": 40.0 + s}
            collector.send(
                {
                    "msg": "heard",
                    "az": "a",
                    "host": f"s-{s}",
                    "n": 80,
                    "bad": 8,
                    "avg": 40.0,
                    "window": 500.0,
                    "report": report,
                }
            )
        if k == 10:
            platform.discovery.change(entry(1, "leaving"))
        if k == 18:
            platform.discovery.change(entry(1, born_ms=int(platform.wall_s * 1000) - 500))
        if k == 22:
            platform.relay.call_results = ["reset", "throttled", "applied, unanswered"]
            platform.discovery.change(entry(2, "left"))
        if k == 28:
            platform.break_watches()
        if k == 32:
            platform.assigner.reload()
        platform.advance(0.5)
        yield


def recorded_actions(platform: Platform) -> bytes:
    """Return the relay's calls with their times, the rejections and the events that the runtime received."""
    rejection_events = ("message_rejected", "endpoint_rejected", "connection_rejected")
    rejections = [row for row in platform.log_rows if row[1] in rejection_events]
    events = repr(platform.recorded_events)  # type: ignore[attr-defined]
    return json.dumps([platform.relay.calls, rejections, events]).encode()


def run_alone(folder: Path, is_other: bool) -> bytes:
    """Run one assigner to the end and return its recorded actions."""
    platform = create_platform(folder, is_other)
    for _ in run_steps(platform, is_other):
        pass
    return recorded_actions(platform)


RUN_ALONE_PROGRAM = (
    "import sys, pathlib, tests.test_customers as t; "
    "sys.stdout.buffer.write(t.run_alone(pathlib.Path({!r}), {}))"
)


def run_in_new_process(folder: Path, is_other: bool) -> bytes:
    """Run one assigner in a new process, which has no state of the other assigner."""
    command = [sys.executable, "-c", RUN_ALONE_PROGRAM.format(str(folder), is_other)]
    return subprocess.run(command, capture_output=True, check=True, cwd=SITES.parent.parent).stdout


def test_two_assigners_in_one_process_act_as_each_does_alone(tmp_path: Path) -> None:
    expected = [run_in_new_process(tmp_path / "default", False), run_in_new_process(tmp_path / "other", True)]
    assert expected[0] != expected[1]
    assert all(len(json.loads(actions)[0]) >= 3 for actions in expected)
    for first in (False, True):
        platforms = {
            is_other: create_platform(tmp_path / f"{is_other}", is_other) for is_other in (first, not first)
        }
        steps = (run_steps(platform, is_other) for is_other, platform in platforms.items())
        for _ in zip(*steps, strict=True):
            pass
        assert [recorded_actions(platforms[False]), recorded_actions(platforms[True])] == expected
    # The same holds after a restart of one with the other's settings.
    assert run_alone(tmp_path / "default", True) == expected[1]
    assert run_alone(tmp_path / "other", False) == expected[0]


# Sites ---------------------------------------------------------------------------------------------

# For each site, checks the settings in which it is stated to differ from other sites.
SITE_CHECKS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "douro-cais": lambda site: (
        len(site["net"]["zones"]) == 1 and len(site["class"]) == 4 and site["fam"]["admit"] == "share"
    ),
    "alto-minho": lambda site: site["class"][0]["effect"] == "unsafe" and site["fam"]["messages_most"] == 0,
}


@pytest.mark.parametrize("name", SITE_CHECKS)
def test_site_is_complete_and_differs_where_stated(name: str) -> None:
    folder = SITES / name
    site = tomllib.loads((folder / f"{name}.toml").read_text(encoding="utf-8"))
    assert site["name"] == name
    assert SITE_CHECKS[name](site)
    for file_name in ("real.json", "wire.json"):
        assert json.loads((folder / file_name).read_text())
    assert (folder / "unlock.txt").read_text().startswith("unlock ")
    others = [
        tomllib.loads((SITES / other / f"{other}.toml").read_text(encoding="utf-8"))
        for other in SITE_CHECKS
        if other != name
    ]
    for other in others:
        names = [{c["name"] for c in s["class"]} | set(s["net"]["zones"]) for s in (site, other)]
        assert not names[0] & names[1]
        assert all(site[part] != other[part] for part in ("rules", "prices", "fam", "tier", "load"))
        assert {c["aim_ms"] for c in site["class"]}.isdisjoint(c["aim_ms"] for c in other["class"])
    assert any(not c.isascii() for c in chain(*(c["name"] for c in site["class"]), *site["net"]["zones"]))


def test_every_site_is_checked() -> None:
    assert {path.name for path in SITES.iterdir()} == set(SITE_CHECKS)

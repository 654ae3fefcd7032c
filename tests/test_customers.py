"""One customer's settings never reach another's: two assigners in one process, and the sites that are kept here."""

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
THERE: dict[str, Any] = {
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
FAMILY: dict[str, Any] = {
    "egressPerS": 20000,
    "head": 30,
    "mostWaiting": 4000,
    "reloadsMax": 3,
    "retryDefault": 1,
    "strikes": 2,
    "cycleS": 1.0,
    "admit": "fraction",
}


def customer(tmp: Path, elsewhere: bool) -> Platform:
    tmp.mkdir(exist_ok=True)
    return Platform(tmp, more=THERE, **FAMILY) if elsewhere else Platform(tmp)


def play(p: Platform, elsewhere: bool) -> Any:
    """A day of one assigner, in steps: reports, drains, a restart of a task, refused calls, a cut, a reload."""
    kind = "mapa" if elsewhere else "0"
    peer = Client(p)
    peer.send({"msg": "collector", "az": "a"})
    p.recorded_events = p.record_events()  # type: ignore[attr-defined]
    yield
    for k in range(40):
        for s in range(6):
            n = (25 + 9 * (s == k % 3)) * (60 if k > 30 else 1)  # in the end more than they can do
            peer.send({"msg": "heat", "partition": s, "kind": kind, "n": n, "bad": 0, "window": 500.0})
        for s in range(4):
            busy = s == (3 if elsewhere else 0) and k > 5  # and so it sheds, if that is read
            report: dict[str, float] = {"inflight": 1 + 60 * busy}
            if elsewhere:
                report = {"util": 0.97 if busy else 0.3, "latency_ms": 40.0 + s}
            peer.send(
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
            p.discovery.change(entry(1, "leaving"))
        if k == 18:
            p.discovery.change(entry(1, born_ms=int(p.wall_s * 1000) - 500))
        if k == 22:
            p.relay.call_results = ["reset", "throttled", "carried"]
            p.discovery.change(entry(2, "left"))
        if k == 28:
            p.break_watches()
        if k == 32:
            p.assigner.reload()
        p.advance(0.5)
        yield


def orders(p: Platform) -> bytes:
    """All that its relay received, and when; what its module was told; what it refused."""
    refused = [
        row for row in p.rows if row[1] in ("message_rejected", "endpoint_rejected", "connection_rejected")
    ]
    return json.dumps([p.relay.calls, refused, repr(p.recorded_events)]).encode()  # type: ignore[attr-defined]


def play_alone(tmp: Path, elsewhere: bool) -> bytes:
    p = customer(tmp, elsewhere)
    for _ in play(p, elsewhere):
        pass
    return orders(p)


ALONE = (
    "import sys, pathlib, tests.test_customers as t; "
    "sys.stdout.buffer.write(t.play_alone(pathlib.Path({!r}), {}))"
)


def in_a_process(tmp: Path, elsewhere: bool) -> bytes:
    """Nothing that the other leaves behind can be there."""
    words = [sys.executable, "-c", ALONE.format(str(tmp), elsewhere)]
    return subprocess.run(words, capture_output=True, check=True, cwd=SITES.parent.parent).stdout


def test_two_assigners_in_one_process_act_as_each_does_alone(tmp_path: Path) -> None:
    expected = [in_a_process(tmp_path / "here", False), in_a_process(tmp_path / "there", True)]
    assert expected[0] != expected[1]
    assert all(len(json.loads(e)[0]) >= 3 for e in expected)
    for first in (False, True):
        made = {elsewhere: customer(tmp_path / f"{elsewhere}", elsewhere) for elsewhere in (first, not first)}
        for _ in zip(*(play(p, elsewhere) for elsewhere, p in made.items()), strict=True):
            pass
        assert [orders(made[False]), orders(made[True])] == expected
    # and so after a restart of one with the other's settings
    assert play_alone(tmp_path / "here", True) == expected[1]
    assert play_alone(tmp_path / "there", False) == expected[0]


# Sites ---------------------------------------------------------------------------------------------

CLAIMS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "douro-cais": lambda s: (
        len(s["net"]["zones"]) == 1 and len(s["class"]) == 4 and s["fam"]["admit"] == "share"
    ),
    "alto-minho": lambda s: s["class"][0]["effect"] == "unsafe" and s["fam"]["messages_most"] == 0,
}


@pytest.mark.parametrize("name", CLAIMS)
def test_site_is_complete_and_differs_where_it_claims_to(name: str) -> None:
    folder = SITES / name
    site = tomllib.loads((folder / f"{name}.toml").read_text(encoding="utf-8"))
    assert site["name"] == name
    assert CLAIMS[name](site)
    for beside in ("real.json", "wire.json"):
        assert json.loads((folder / beside).read_text())
    assert (folder / "unlock.txt").read_text().startswith("unlock ")
    others = [
        tomllib.loads((SITES / o / f"{o}.toml").read_text(encoding="utf-8")) for o in CLAIMS if o != name
    ]
    for other in others:
        names = [{c["name"] for c in s["class"]} | set(s["net"]["zones"]) for s in (site, other)]
        assert not names[0] & names[1]
        assert all(site[part] != other[part] for part in ("rules", "prices", "fam", "tier", "load"))
        assert {c["aim_ms"] for c in site["class"]}.isdisjoint(c["aim_ms"] for c in other["class"])
    assert any(not c.isascii() for c in chain(*(c["name"] for c in site["class"]), *site["net"]["zones"]))


def test_every_site_is_checked() -> None:
    assert {path.name for path in SITES.iterdir()} == set(CLAIMS)

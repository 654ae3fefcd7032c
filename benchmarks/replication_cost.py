"""What is lost with an assigner's memory, and what copies save: python -m benchmarks.replication_cost [seeds]

A kill under load in the whole deployment in memory (tests/deployment.py; stand-ins, virtual clock), without copies,
with those of one kind, and with all; the same seeds. Figures of the 10 s from the kill on.
"""

from __future__ import annotations

import json
import statistics
import sys
import tempfile
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any

from puffintide.audit.records import read_records
from puffintide.protocol import messages as m
from puffintide.replication.replica import Replica
from puffintide.scenarios.results import summarize_service
from tests.deployment import Deployment
from tests.virtual_network import START

LOAD = 95  # a second; the stand-ins can do some 125
KILL_S, AFTER_S = 10, 10.0
HANG = {"kind": "hang", "at_s": 4, "for_s": 14, "servers": "2, 5"}
SLOW = {"kind": "slow", "at_s": 4, "for_s": 16, "servers": "1, 6", "size": 3}
CASES: dict[str, dict[str, dict[str, Any]]] = {
    "one killed, back after 1 s": {
        "kill": {"kind": "balancer_crash", "at_s": KILL_S, "for_s": 1, "assigners": "1"},
    },
    "the same, two servers hang": {
        "kill": {"kind": "balancer_crash", "at_s": KILL_S, "for_s": 1, "assigners": "1"},
        "hang": HANG,
    },
    "the same, two servers slow": {
        "kill": {"kind": "balancer_crash", "at_s": KILL_S, "for_s": 1, "assigners": "1"},
        "slow": SLOW,
    },
    "taken over, back after 5 s, two hang": {
        "kill": {"kind": "balancer_crash", "at_s": KILL_S, "for_s": 5, "assigners": "1"},
        "hang": HANG,
    },
    "all three killed, two hang": {
        "kill": {"kind": "balancer_crash", "at_s": KILL_S, "for_s": 1, "assigners": "0, 1, 2"},
        "hang": HANG,
    },
}
KINDS: dict[str, tuple[str, ...]] = {
    "none": (),
    "fleet": ("fleet",),
    "server": ("server",),
    "all": ("fleet", "server"),
}
FIGURES = ("worth", "seconds", "moves", "wrong", "probes")


def killed(case: str, kinds: tuple[str, ...], seed: int) -> dict[str, float]:
    """worth: served of asked; seconds: until a second's share is as in the 5 s before, for 3 s on; moves: lines
    added; wrong: servers left as ejected that did not hang; probes."""
    changes: dict[str, dict[str, Any]] = {
        "deployment": {"assigners": 3},
        "day": {"seed": seed, "length_s": 24},
        "load": {"requests_per_s": LOAD},
        "peers": {"every_s": 0.5, "catch_up_s": 1},
    }
    if not kinds:
        del changes["peers"]
    put = Replica.put

    def some(self: Any, now: float, kind: str, number: int, value: Any) -> None:
        if kind == "table" or kind in kinds:
            put(self, now, kind, number, value)

    Replica.put = some  # type: ignore[assignment,method-assign]
    ejected: set[int] = set()

    def look(d: Deployment) -> None:
        for service in d.assigners.values():
            decider: Any = service.runtime.director
            views = getattr(decider, "director", decider).servers
            ejected.update(s for s, view in views.items() if view.recovery_level == 0)

    steps: list[Any] = [(KILL_S + k / 4, look) for k in range(int(AFTER_S * 4))]
    try:
        with tempfile.TemporaryDirectory() as folder:
            d = Deployment(Path(folder), CASES[case], steps, **changes)
            verdict = d.play()
            assert not verdict.report.findings, verdict.report.findings[:3]
            whole = dict(summarize_service(d.config, Path(folder)).window_scores).get(float(KILL_S), 0.0)
            with (Path(folder) / "tap.jsonl").open("rb") as lines:
                records = read_records(lines, "tap").records
            text = (Path(folder) / "clients.jsonl").read_text().splitlines()
    finally:
        Replica.put = put  # type: ignore[method-assign]
    begun = START + d.day.settle_s + KILL_S
    seen = [r for r in records if begun <= r.received_at_s < begun + AFTER_S]
    hung = {2, 5} if "hang" in CASES[case] else set()
    share: defaultdict[int, list[float]] = defaultdict(list)
    for row in map(json.loads, text):
        made = list(d.config.classes.values())[row["class"]]
        share[int(row["at"])].append(float(row["ok"] and row["took"] <= made.aim_s))
    good = {second: statistics.mean(rows) for second, rows in share.items()}
    before = statistics.mean(good[s] for s in range(KILL_S - 5, KILL_S))
    back = [
        s for s in range(KILL_S, KILL_S + 10) if min(good.get(s + k, 1.0) for k in range(3)) >= 0.97 * before
    ]
    return {
        "worth": whole,
        "seconds": float(back[0] - KILL_S) if back else AFTER_S,
        "moves": sum(
            x.weight >= 1 for r in seen if isinstance(r.message, m.WriteRequest) for x in r.message.weights
        ),
        "wrong": len(ejected - hung),
        "probes": sum(isinstance(r.message, m.HealthCheckRequest) for r in seen),
    }


def main() -> None:
    seeds = range(1, 1 + (int(sys.argv[1]) if len(sys.argv) > 1 else 9))
    print("| case | copies | worth | least | s until as before | moves | wrongly ejected | probes |")
    print("| --- " * 8 + "|")
    with ProcessPoolExecutor(6) as pool:
        for case in CASES:
            for name, kinds in KINDS.items():
                rows = list(pool.map(partial(killed, case, kinds), seeds))
                worth, seconds, moves, wrong, probes = (
                    statistics.median(r[k] for r in rows) for k in FIGURES
                )
                least = min(r["worth"] for r in rows)
                print(
                    f"| {case} | {name} | {worth:.3f} | {least:.3f} | {seconds:.0f} | {moves:.0f} | {wrong:.0f} "
                    f"| {probes:.0f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()

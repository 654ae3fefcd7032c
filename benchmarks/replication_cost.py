"""What is lost with an assigner's memory, and what replication saves.

    python -m benchmarks.replication_cost [seeds]

An assigner is killed under load in the whole deployment in memory (tests/deployment.py: emulators, virtual clock),
without replication, with rows of one type, and with all; with the same seeds. Figures are of 10 s from the kill.
"""

from __future__ import annotations

import contextlib
import json
import statistics
import sys
import tempfile
from collections import defaultdict
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from puffintide.audit.records import Record, read_records
from puffintide.config.model import Config
from puffintide.protocol import messages as m
from puffintide.replication.replica import Replica
from puffintide.replication.row_types import RowType
from puffintide.scenarios.results import summarize_service
from tests.deployment import Deployment
from tests.virtual_network import START

REQUESTS_PER_S = 95  # the emulated servers can do some 125
KILL_S = 10
OBSERVED_S = 10
LENGTH_S = 24
BASELINE_S = 5  # before the kill
RECOVERED_FRACTION = 0.97  # of the baseline
RECOVERED_FOR_S = 3
SAMPLES_PER_S = 4
PROCESSES = 6
DEFAULT_SEEDS = 9
HANGING_SERVERS = frozenset({2, 5})
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
REPLICATED: dict[str, tuple[RowType, ...]] = {
    "none": (),
    "fleet": (RowType.FLEET,),
    "server": (RowType.SERVER,),
    "all": (RowType.FLEET, RowType.SERVER),
}
HEADINGS = (
    "case",
    "replicated",
    "score",
    "least",
    "s until recovered",
    "migrations",
    "wrongly ejected",
    "checks",
)


@dataclass(frozen=True, slots=True)
class Figures:
    """Of one kill.

    Attributes:
        score: of the service in the 10 s from the kill.
        recovery_s: until the fraction of good responses is for 3 s as in the 5 s before the kill.
        migrations: weight entries of 1 or more that assigners wrote to the store.
        wrongly_ejected: servers that an assigner had ejected though they did not hang.
        health_checks: that assigners sent.
    """

    score: float
    recovery_s: float
    migrations: int
    wrongly_ejected: int
    health_checks: int


@contextlib.contextmanager
def replicated_row_types(row_types: tuple[RowType, ...]) -> Iterator[None]:
    """Within the block replicas take in rows of tables and of these types only."""
    put = Replica.put

    def put_if_replicated(
        self: Replica, observed_at_s: float, row_type: str, row_id: int, value: Any
    ) -> None:
        if row_type == RowType.TABLE or row_type in row_types:
            put(self, observed_at_s, row_type, row_id, value)

    Replica.put = put_if_replicated  # type: ignore[method-assign]
    try:
        yield
    finally:
        Replica.put = put  # type: ignore[method-assign]


def measure_kill(case: str, row_types: tuple[RowType, ...], seed: int) -> Figures:
    """Play one case with one seed."""
    ejected_ids: set[int] = set()

    def record_ejected(deployment: Deployment) -> None:
        for service in deployment.assigners.values():
            director: Any = service.runtime.director
            servers = getattr(director, "director", director).servers
            ejected_ids.update(
                server_id for server_id, server in servers.items() if server.recovery_level == 0
            )

    samples = OBSERVED_S * SAMPLES_PER_S
    steps: list[Any] = [(KILL_S + sample / SAMPLES_PER_S, record_ejected) for sample in range(samples)]
    with replicated_row_types(row_types), tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        deployment = Deployment(folder, CASES[case], steps, **_changes(row_types, seed))
        result = deployment.play()
        assert not result.report.findings, result.report.findings[:3]
        config = deployment.config
        score = dict(summarize_service(config, folder).window_scores).get(float(KILL_S), 0.0)
        killed_at_s = START + deployment.day.settle_s + KILL_S
        observed = _observed_records(folder, killed_at_s)
        recovery_s = _recovery_s(folder, config)
    return Figures(
        score,
        recovery_s,
        migrations=sum(_migrations(record) for record in observed),
        wrongly_ejected=len(ejected_ids - (HANGING_SERVERS if "hang" in CASES[case] else frozenset())),
        health_checks=sum(isinstance(record.message, m.HealthCheckRequest) for record in observed),
    )


def _changes(row_types: tuple[RowType, ...], seed: int) -> dict[str, dict[str, Any]]:
    """Changes to the sections of the deployment's configuration."""
    changes: dict[str, dict[str, Any]] = {
        "deployment": {"assigners": 3},
        "day": {"seed": seed, "length_s": LENGTH_S},
        "load": {"requests_per_s": REQUESTS_PER_S},
    }
    if row_types:
        changes["peers"] = {"every_s": 0.5, "catch_up_s": 1}
    return changes


def _observed_records(folder: Path, killed_at_s: float) -> list[Record]:
    with (folder / "tap.jsonl").open("rb") as lines:
        records = read_records(lines, "tap").records
    until_s = killed_at_s + OBSERVED_S
    return [record for record in records if killed_at_s <= record.received_at_s < until_s]


def _migrations(record: Record) -> int:
    if not isinstance(record.message, m.WriteRequest):
        return 0
    return sum(entry.weight >= 1 for entry in record.message.weights)


def _recovery_s(folder: Path, config: Config) -> float:
    """Seconds from the kill until responses are as good as before, at most OBSERVED_S."""
    good = _good_fractions(folder, config)
    baseline = statistics.mean(good[second] for second in range(KILL_S - BASELINE_S, KILL_S))
    for elapsed_s in range(OBSERVED_S):
        following = range(KILL_S + elapsed_s, KILL_S + elapsed_s + RECOVERED_FOR_S)
        if min(good.get(second, 1.0) for second in following) >= RECOVERED_FRACTION * baseline:
            return float(elapsed_s)
    return float(OBSERVED_S)


def _good_fractions(folder: Path, config: Config) -> dict[int, float]:
    """By second of arrival, the fraction of requests that were answered within their latency objective."""
    classes = list(config.classes.values())
    good: defaultdict[int, list[float]] = defaultdict(list)
    for line in (folder / "clients.jsonl").read_text().splitlines():
        row = json.loads(line)
        is_good = row["ok"] and row["took"] <= classes[row["class"]].aim_s
        good[int(row["at"])].append(float(is_good))
    return {second: statistics.mean(values) for second, values in good.items()}


def table_row(case: str, replicated: str, figures: list[Figures]) -> str:
    """Medians over seeds, and the least score."""
    cells = [
        case,
        replicated,
        f"{statistics.median(figure.score for figure in figures):.3f}",
        f"{min(figure.score for figure in figures):.3f}",
        f"{statistics.median(figure.recovery_s for figure in figures):.0f}",
        f"{statistics.median(figure.migrations for figure in figures):.0f}",
        f"{statistics.median(figure.wrongly_ejected for figure in figures):.0f}",
        f"{statistics.median(figure.health_checks for figure in figures):.0f}",
    ]
    return f"| {' | '.join(cells)} |"


def main() -> None:
    """Print the table of all cases; the number of seeds is the first argument."""
    seed_count = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS
    seeds = range(1, 1 + seed_count)
    print(f"| {' | '.join(HEADINGS)} |")
    print("| --- " * len(HEADINGS) + "|")
    with ProcessPoolExecutor(PROCESSES) as pool:
        for case in CASES:
            for replicated, row_types in REPLICATED.items():
                figures = list(pool.map(partial(measure_kill, case, row_types), seeds))
                print(table_row(case, replicated, figures), flush=True)


if __name__ == "__main__":
    main()

"""Measures the effect of losing an assigner's memory, and how much replication reduces it.

    python -m benchmarks.replication_cost [seeds]

An assigner is killed under load in a whole deployment in memory (tests/deployment.py, with emulators and a
virtual clock). Each case runs with the same seeds without replication, with rows of one type, and with all
rows. The figures cover the 10 s after the kill.
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

REQUESTS_PER_S = 95  # The capacity of the emulated servers is about 125 requests per second.
KILL_AT_S = 10
OBSERVATION_S = 10
SCENARIO_S = 24
BASELINE_S = 5  # Duration of the baseline before the kill.
RECOVERED_FRACTION = 0.97  # Minimum fraction of the baseline that counts as recovered.
RECOVERY_WINDOW_S = 3
EJECTION_SAMPLES_PER_S = 4
PROCESS_COUNT = 6
DEFAULT_SEED_COUNT = 9
HANGING_SERVERS = frozenset({2, 5})
HANG_FAULT = {"kind": "hang", "at_s": 4, "for_s": 14, "servers": "2, 5"}
SLOW_FAULT = {"kind": "slow", "at_s": 4, "for_s": 16, "servers": "1, 6", "size": 3}
CASES: dict[str, dict[str, dict[str, Any]]] = {
    "one killed, back after 1 s": {
        "kill": {"kind": "balancer_crash", "at_s": KILL_AT_S, "for_s": 1, "assigners": "1"},
    },
    "the same, two servers hang": {
        "kill": {"kind": "balancer_crash", "at_s": KILL_AT_S, "for_s": 1, "assigners": "1"},
        "hang": HANG_FAULT,
    },
    "the same, two servers slow": {
        "kill": {"kind": "balancer_crash", "at_s": KILL_AT_S, "for_s": 1, "assigners": "1"},
        "slow": SLOW_FAULT,
    },
    "taken over, back after 5 s, two hang": {
        "kill": {"kind": "balancer_crash", "at_s": KILL_AT_S, "for_s": 5, "assigners": "1"},
        "hang": HANG_FAULT,
    },
    "all three killed, two hang": {
        "kill": {"kind": "balancer_crash", "at_s": KILL_AT_S, "for_s": 1, "assigners": "0, 1, 2"},
        "hang": HANG_FAULT,
    },
}
ROW_TYPES_BY_LABEL: dict[str, tuple[RowType, ...]] = {
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
class KillFigures:
    """Figures of the 10 s after a kill.

    Attributes:
        score: Score of the service.
        recovery_s: Seconds until the fraction of good responses stays for 3 s at RECOVERED_FRACTION of its
            mean in the 5 s before the kill.
        migrations: Number of weight entries of 1 or more that assigners wrote to the store.
        wrongly_ejected: Number of servers that an assigner ejected although they did not hang.
        health_checks: Number of health checks that assigners sent.
    """

    score: float
    recovery_s: float
    migrations: int
    wrongly_ejected: int
    health_checks: int


@contextlib.contextmanager
def replicated_row_types(row_types: tuple[RowType, ...]) -> Iterator[None]:
    """Limit replicas to rows of tables and of the given types for the duration of a block."""
    original_put = Replica.put

    def put_if_replicated(
        self: Replica, observed_at_s: float, row_type: str, row_id: int, value: Any
    ) -> None:
        if row_type == RowType.TABLE or row_type in row_types:
            original_put(self, observed_at_s, row_type, row_id, value)

    Replica.put = put_if_replicated  # type: ignore[method-assign]
    try:
        yield
    finally:
        Replica.put = original_put  # type: ignore[method-assign]


def measure_kill(case: str, row_types: tuple[RowType, ...], seed: int) -> KillFigures:
    """Play one case with one seed and return its figures."""
    ejected_ids: set[int] = set()

    def record_ejected_servers(deployment: Deployment) -> None:
        for service in deployment.assigners.values():
            director: Any = service.runtime.director
            servers = getattr(director, "director", director).servers
            ejected_ids.update(
                server_id for server_id, server in servers.items() if server.recovery_level == 0
            )

    sample_count = OBSERVATION_S * EJECTION_SAMPLES_PER_S
    steps: list[Any] = [
        (KILL_AT_S + sample / EJECTION_SAMPLES_PER_S, record_ejected_servers)
        for sample in range(sample_count)
    ]
    with replicated_row_types(row_types), tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        deployment = Deployment(folder, CASES[case], steps, **_section_changes(row_types, seed))
        result = deployment.play()
        assert not result.report.findings, result.report.findings[:3]
        config = deployment.config
        score = dict(summarize_service(config, folder).window_scores).get(float(KILL_AT_S), 0.0)
        killed_at_s = START + deployment.day.settle_s + KILL_AT_S
        observed_records = _observed_records(folder, killed_at_s)
        recovery_s = _recovery_s(folder, config)
    return KillFigures(
        score,
        recovery_s,
        migrations=sum(_count_migrations(record) for record in observed_records),
        wrongly_ejected=len(ejected_ids - (HANGING_SERVERS if "hang" in CASES[case] else frozenset())),
        health_checks=sum(isinstance(record.message, m.HealthCheckRequest) for record in observed_records),
    )


def _section_changes(row_types: tuple[RowType, ...], seed: int) -> dict[str, dict[str, Any]]:
    """Return the changes to the sections of the deployment's configuration."""
    changes: dict[str, dict[str, Any]] = {
        "deployment": {"assigners": 3},
        "day": {"seed": seed, "length_s": SCENARIO_S},
        "load": {"requests_per_s": REQUESTS_PER_S},
    }
    if row_types:
        changes["peers"] = {"every_s": 0.5, "catch_up_s": 1}
    return changes


def _observed_records(folder: Path, killed_at_s: float) -> list[Record]:
    with (folder / "tap.jsonl").open("rb") as lines:
        records = read_records(lines, "tap").records
    until_s = killed_at_s + OBSERVATION_S
    return [record for record in records if killed_at_s <= record.received_at_s < until_s]


def _count_migrations(record: Record) -> int:
    if not isinstance(record.message, m.WriteRequest):
        return 0
    return sum(entry.weight >= 1 for entry in record.message.weights)


def _recovery_s(folder: Path, config: Config) -> float:
    """Return the seconds from the kill until recovery, at most OBSERVATION_S."""
    good_fractions = _good_fraction_by_second(folder, config)
    baseline = statistics.mean(good_fractions[second] for second in range(KILL_AT_S - BASELINE_S, KILL_AT_S))
    for elapsed_s in range(OBSERVATION_S):
        following = range(KILL_AT_S + elapsed_s, KILL_AT_S + elapsed_s + RECOVERY_WINDOW_S)
        if min(good_fractions.get(second, 1.0) for second in following) >= RECOVERED_FRACTION * baseline:
            return float(elapsed_s)
    return float(OBSERVATION_S)


def _good_fraction_by_second(folder: Path, config: Config) -> dict[int, float]:
    """Return the fraction of requests answered within their latency objective, by second of arrival."""
    classes = list(config.classes.values())
    good: defaultdict[int, list[float]] = defaultdict(list)
    for line in (folder / "clients.jsonl").read_text().splitlines():
        row = json.loads(line)
        is_good = row["ok"] and row["took"] <= classes[row["class"]].aim_s
        good[int(row["at"])].append(float(is_good))
    return {second: statistics.mean(values) for second, values in good.items()}


def table_row(case: str, replicated: str, figures: list[KillFigures]) -> str:
    """Return a table row with medians over seeds and the lowest score."""
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
    """Print the table of all cases; the optional first argument is the number of seeds."""
    seed_count = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEED_COUNT
    seeds = range(1, 1 + seed_count)
    print(f"| {' | '.join(HEADINGS)} |")
    print("| --- " * len(HEADINGS) + "|")
    with ProcessPoolExecutor(PROCESS_COUNT) as pool:
        for case in CASES:
            for replicated, row_types in ROW_TYPES_BY_LABEL.items():
                figures = list(pool.map(partial(measure_kill, case, row_types), seeds))
                print(table_row(case, replicated, figures), flush=True)


if __name__ == "__main__":
    main()

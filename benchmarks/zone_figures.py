"""Figures of a scenario in which a zone was lost, from its records and logs."""

from __future__ import annotations

import json
import statistics
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from puffintide.audit.records import read_json_lines
from puffintide.config.loader import read_config
from puffintide.config.model import Config
from puffintide.config.schema import ClassSection
from puffintide.scenarios.faults import plan
from puffintide.scenarios.results import evaluate
from puffintide.scenarios.steps import Party

WINDOW_S = 2.0  # of the series of scores
SETTLED_FRACTION = 0.95  # of the score before the loss
FIRST_WINDOW_S = 2.0  # earlier ones are of the start
FULL_WEIGHT = 0.5  # from which an action counts as putting a slice on a server


@dataclass(frozen=True, slots=True)
class Figures:
    """Of one run.

    Attributes:
        score: of the service.
        worst_window_score: of its worst 10 s.
        settled_after_loss_s: until the score stays at SETTLED_FRACTION of what it was, from the first loss on.
        settled_after_return_s: the same from the last return on.
        migrated: slices that were put on a server, over all assigners.
        collapsed: servers that collapsed.
        verdict: the rules that were broken, "unknown" or "kept".
        series: the score of each window, by its start in seconds.
    """

    score: float
    worst_window_score: float
    settled_after_loss_s: float
    settled_after_return_s: float
    migrated: int
    collapsed: int
    verdict: str
    series: dict[float, float]


def read_figures(folder: Path, seed: int) -> Figures:
    """Work out the figures from the records of a run."""
    config = read_config(str(folder / "day.ini"))
    result = evaluate(folder)
    steps = [step for step in plan(config, seed) if step.party is Party.FLEET]
    lost_at_s = min((step.at_s for step in steps if step.operation == "crash"), default=0.0)
    returned_at_s = max((step.at_s for step in steps if step.operation == "start"), default=0.0)
    series = _score_series(folder, config)
    before = [score for at_s, score in series.items() if FIRST_WINDOW_S <= at_s < lost_at_s - WINDOW_S]
    settled_score = SETTLED_FRACTION * statistics.mean(before or [1.0])
    broken = sorted({finding.rule for finding in result.report.findings})
    return Figures(
        result.service.score,
        result.service.worst_window_score,
        _settled_after_s(series, lost_at_s, settled_score),
        _settled_after_s(series, returned_at_s, settled_score),
        migrated=_count_migrations(folder),
        collapsed=sum(row["what"] == "fall" for row in read_json_lines(folder / "fleet.jsonl")),
        verdict=", ".join(broken) or ("unknown" if result.gaps else "kept"),
        series=series,
    )


def _score_series(folder: Path, config: Config) -> dict[float, float]:
    """The score of each window that has requests, by its start in seconds."""
    classes = list(config.classes.values())
    earned: defaultdict[int, float] = defaultdict(float)
    possible: defaultdict[int, float] = defaultdict(float)
    for row in read_json_lines(folder / "clients.jsonl"):
        request_class = classes[row["class"]]
        window = int(row["at"] / WINDOW_S)
        earned[window] += request_class.worth * _earned_fraction(row, request_class)
        possible[window] += request_class.worth
    return {window * WINDOW_S: earned[window] / possible[window] for window in sorted(possible)}


def _earned_fraction(row: dict[str, Any], request_class: ClassSection) -> float:
    if not row["ok"]:
        return 0.0
    if row["took"] <= request_class.aim_s:
        return 1.0
    return request_class.late_worth if row["took"] <= request_class.deadline_s else 0.0


def _settled_after_s(series: dict[float, float], since_s: float, settled_score: float) -> float:
    """Seconds from a time until the end of the last window below a score."""
    low_ends_s = [
        at_s + WINDOW_S
        for at_s, score in series.items()
        if at_s >= since_s - WINDOW_S and score < settled_score
    ]
    return max(0.0, max(low_ends_s, default=since_s) - since_s)


def _count_migrations(folder: Path) -> int:
    """Slices put on a server, by the logs of all assigners."""
    count = 0
    for path in sorted(folder.glob("assigner-*.log")):
        for line in path.read_text(encoding="utf-8").splitlines():
            if '"decision"' not in line:
                continue
            row = json.loads(line)
            count += sum(_puts_on_server(action) for action in row["actions"])
            count += row["omitted_actions"] // 2  # about half of them take slices off
    return count


def _puts_on_server(action: dict[str, Any]) -> bool:
    return "SetWeight" in action and action["SetWeight"][2] >= FULL_WEIGHT

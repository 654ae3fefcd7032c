"""Computes, from records and logs, the figures of a scenario in which a zone was lost."""

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

WINDOW_S = 2.0  # Length of the windows in the series of scores.
SETTLED_FRACTION = 0.95  # Minimum fraction of the score before the loss that counts as settled.
BASELINE_START_S = 2.0  # Earlier windows belong to the startup and are left out of the baseline.
MIN_PLACEMENT_WEIGHT = 0.5  # Minimum weight of an action that counts as placing a slice on a server.


@dataclass(frozen=True, slots=True)
class ZoneFigures:
    """Figures of one run.

    Attributes:
        score: Score of the service.
        worst_window_score: Score of the worst 10 s.
        settled_after_loss_s: Seconds from the first loss until the score stays at SETTLED_FRACTION of its
            mean before the loss.
        settled_after_return_s: Seconds from the last return until the score stays at that level.
        migrated: Number of slices placed on a server, over all assigners.
        collapsed: Number of servers that collapsed.
        verdict: The rules that were broken, "unknown" or "kept".
        series: Score of each window, by its start in seconds.
    """

    score: float
    worst_window_score: float
    settled_after_loss_s: float
    settled_after_return_s: float
    migrated: int
    collapsed: int
    verdict: str
    series: dict[float, float]


def read_figures(folder: Path, seed: int) -> ZoneFigures:
    """Compute the figures from the records of a run."""
    config = read_config(str(folder / "day.ini"))
    result = evaluate(folder)
    fleet_steps = [step for step in plan(config, seed) if step.party is Party.FLEET]
    lost_at_s = min((step.at_s for step in fleet_steps if step.operation == "crash"), default=0.0)
    returned_at_s = max((step.at_s for step in fleet_steps if step.operation == "start"), default=0.0)
    series = _score_series(folder, config)
    scores_before_loss = [
        score for at_s, score in series.items() if BASELINE_START_S <= at_s < lost_at_s - WINDOW_S
    ]
    settled_score = SETTLED_FRACTION * statistics.mean(scores_before_loss or [1.0])
    broken_rules = sorted({finding.rule for finding in result.report.findings})
    return ZoneFigures(
        result.service.score,
        result.service.worst_window_score,
        _settled_after_s(series, lost_at_s, settled_score),
        _settled_after_s(series, returned_at_s, settled_score),
        migrated=_count_migrations(folder),
        collapsed=sum(row["what"] == "fall" for row in read_json_lines(folder / "fleet.jsonl")),
        verdict=", ".join(broken_rules) or ("unknown" if result.gaps else "kept"),
        series=series,
    )


def _score_series(folder: Path, config: Config) -> dict[float, float]:
    """Return the score of each window with requests, by its start in seconds."""
    classes = list(config.classes.values())
    earned_by_window: defaultdict[int, float] = defaultdict(float)
    possible_by_window: defaultdict[int, float] = defaultdict(float)
    for row in read_json_lines(folder / "clients.jsonl"):
        request_class = classes[row["class"]]
        window = int(row["at"] / WINDOW_S)
        earned_by_window[window] += request_class.worth * _earned_fraction(row, request_class)
        possible_by_window[window] += request_class.worth
    return {
        window * WINDOW_S: earned_by_window[window] / possible_by_window[window]
        for window in sorted(possible_by_window)
    }


def _earned_fraction(row: dict[str, Any], request_class: ClassSection) -> float:
    if not row["ok"]:
        return 0.0
    if row["took"] <= request_class.aim_s:
        return 1.0
    return request_class.late_worth if row["took"] <= request_class.deadline_s else 0.0


def _settled_after_s(series: dict[float, float], since_s: float, settled_score: float) -> float:
    """Return the seconds from a time until the end of the last window below a score."""
    low_window_ends_s = [
        at_s + WINDOW_S
        for at_s, score in series.items()
        if at_s >= since_s - WINDOW_S and score < settled_score
    ]
    return max(0.0, max(low_window_ends_s, default=since_s) - since_s)


def _count_migrations(folder: Path) -> int:
    """Return the number of slices placed on a server, from the logs of all assigners."""
    count = 0
    for path in sorted(folder.glob("assigner-*.log")):
        for line in path.read_text(encoding="utf-8").splitlines():
            if '"decision"' not in line:
                continue
            row = json.loads(line)
            count += sum(_is_placement(action) for action in row["actions"])
            count += row["omitted_actions"] // 2  # About half of the omitted actions remove slices.
    return count


def _is_placement(action: dict[str, Any]) -> bool:
    return "SetWeight" in action and action["SetWeight"][2] >= MIN_PLACEMENT_WEIGHT

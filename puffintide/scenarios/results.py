"""Computes the audit report and the service to clients from the files in the folder of a scenario."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path
from typing import Any

from puffintide.audit.audit import audit
from puffintide.audit.ground_truth import GroundTruth, ServerRun
from puffintide.audit.intervals import FOREVER
from puffintide.audit.records import Record, read_json_lines, read_records
from puffintide.audit.report import AuditReport
from puffintide.config.loader import read_config
from puffintide.config.model import Config
from puffintide.config.schema import ClassSection

WINDOW_S = 10.0
MIN_TOTAL_PRIORITY = 1e-9  # Avoids a division by zero if there are no requests.


class ExitCode(IntEnum):
    """Exit codes of the commands that print a result."""

    RULES_KEPT = 0
    RULE_BROKEN = 1
    INVALID_INPUT = 2
    RECORDS_INCOMPLETE = 3


@dataclass
class ServiceSummary:
    """The service that clients received.

    A score is the ratio of the answered to the requested priority weight, from 0 to 1.
    """

    score: float = 0.0
    worst_window_score: float = 1.0
    score_by_class: dict[str, float] = field(default_factory=dict)
    # Sorted latencies of the responses within the deadline, by class.
    latencies_s: dict[str, list[float]] = field(default_factory=dict)
    request_count: int = 0
    failure_reasons: dict[str, int] = field(default_factory=dict)
    window_scores: list[tuple[float, float]] = field(default_factory=list)  # Start and score of each window.


@dataclass
class ScenarioResult:
    """The audit report, the service summary and the gaps in the records."""

    report: AuditReport
    service: ServiceSummary
    gaps: list[str]

    @property
    def exit_code(self) -> ExitCode:
        """Return the exit code of a command that prints this result."""
        if self.report.findings:
            return ExitCode.RULE_BROKEN
        return ExitCode.RECORDS_INCOMPLETE if self.gaps else ExitCode.RULES_KEPT


def evaluate(folder: Path) -> ScenarioResult:
    """Audit the records in the folder of a scenario and summarize its service.

    Raises:
        ConfigError: The configuration of the scenario is invalid.
        RecordError: A file has a line that cannot be decoded.
        OSError: A file is missing.
    """
    config = read_config(str(folder / "day.ini"), ("day", "fleet", "load"))
    records: list[Record] = []
    gaps: list[str] = []
    for path in sorted(folder.glob("tap*.jsonl")):
        with path.open("rb") as lines:
            capture = read_records(lines, path.name)
        records += capture.records
        gaps += capture.gaps
    if not records and not gaps:
        gaps.append(f"{folder}: no records of a recording proxy (tap*.jsonl)")
    report = audit(config, records, read_ground_truth(folder))
    return ScenarioResult(report, summarize_service(config, folder), gaps)


def read_ground_truth(folder: Path) -> GroundTruth:
    """Read runs of servers, and kills and pauses of assigners, from the records of emulators and runner."""
    truth = GroundTruth(_server_runs(read_json_lines(folder / "fleet.jsonl")))
    path = folder / "day.jsonl"
    if path.exists():
        _add_assigner_faults(truth, read_json_lines(path))
    return truth


def _server_runs(rows: Iterable[dict[str, Any]]) -> list[ServerRun]:
    runs: list[ServerRun] = []
    started: dict[int, dict[str, Any]] = {}
    for row in rows:
        server_id = row["server"]
        if row["what"] == "start":
            started[server_id] = row
        elif row["what"] == "stop" and server_id in started:
            runs.append(_server_run(started.pop(server_id), row["t"]))
    return runs + [_server_run(row, FOREVER) for _, row in sorted(started.items())]


def _server_run(start: dict[str, Any], ended_at_s: float) -> ServerRun:
    return ServerRun(
        int(start["server"]),
        start["t"],
        ended_at_s,
        bool(start["warm"]),
        start["capacity"],
        start["cold_from"],
        start["warm_s"],
    )


def _add_assigner_faults(truth: GroundTruth, rows: Iterable[dict[str, Any]]) -> None:
    paused_at_s: dict[int, float] = {}
    for row in rows:
        assigner_id = row.get("assigner", -1)
        if row["what"] == "kill":
            truth.kills.setdefault(assigner_id, []).append(row["t"])
        elif row["what"] == "stop":
            paused_at_s[assigner_id] = row["t"]
        elif row["what"] == "wake" and assigner_id in paused_at_s:
            truth.pauses.setdefault(assigner_id, []).append((paused_at_s.pop(assigner_id), row["t"]))


def _score(request_class: ClassSection, row: dict[str, Any]) -> float:
    """Return the priority weight that a response earns.

    It is the full weight within the latency objective, a fraction of it up to the deadline, and 0 after.
    """
    if not row["ok"] or row["took"] > request_class.deadline_s:
        return 0.0
    return request_class.worth * (1 if row["took"] <= request_class.aim_s else request_class.late_worth)


def summarize_service(config: Config, folder: Path) -> ServiceSummary:
    """Summarize the service to clients from their records."""
    classes = list(config.classes.items())
    answered: dict[int, float] = defaultdict(float)  # Priority weight by class.
    requested: dict[int, float] = defaultdict(float)
    # Answered and requested priority weight by window number.
    windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    summary = ServiceSummary()
    for row in read_json_lines(folder / "clients.jsonl"):
        class_index = row["class"]
        name, request_class = classes[class_index]
        score = _score(request_class, row)
        if row["ok"] and row["took"] <= request_class.deadline_s:
            summary.latencies_s.setdefault(name, []).append(row["took"])
        if not row["ok"]:
            summary.failure_reasons[row["why"]] = summary.failure_reasons.get(row["why"], 0) + 1
        answered[class_index] += score
        requested[class_index] += request_class.worth
        window = windows[int(row["at"] / WINDOW_S)]
        window[0] += score
        window[1] += request_class.worth
        summary.request_count += 1
    summary.score_by_class = {classes[k][0]: answered[k] / requested[k] for k in sorted(requested)}
    summary.score = sum(answered.values()) / max(sum(requested.values()), MIN_TOTAL_PRIORITY)
    summary.window_scores = [(k * WINDOW_S, w[0] / w[1]) for k, w in sorted(windows.items())]
    summary.worst_window_score = _worst_complete_window(config, summary)
    for latencies_s in summary.latencies_s.values():
        latencies_s.sort()
    return summary


def _worst_complete_window(config: Config, summary: ServiceSummary) -> float:
    length_s = config.day.length_s if config.day else 0
    complete = [score for start_s, score in summary.window_scores if start_s + WINDOW_S <= length_s]
    return min(complete or [summary.score])


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of sorted values by the nearest rank; 0 if there are no values."""
    return values[min(len(values) - 1, int(fraction * len(values)))] if values else 0.0

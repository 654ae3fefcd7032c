"""From a day's folder to its verdict: the audit's judgement and what the clients got."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from puffintide.audit.records import read, rows
from puffintide.audit.rules import EVER, Audit, Judgement, Life, World
from puffintide.config.loader import Config, load

WINDOW_S = 10.0
KEPT, BROKEN, BAD_INPUT, UNKNOWN = 0, 1, 2, 3  # exit codes


@dataclass
class Service:
    """Worth answered over worth asked for, as clients saw it; times of good answers by class."""

    whole: float = 0.0
    worst_window: float = 1.0
    by_class: dict[str, float] = field(default_factory=dict)
    times: dict[str, list[float]] = field(default_factory=dict)
    asked: int = 0
    reasons: dict[str, int] = field(default_factory=dict)
    windows: list[tuple[float, float]] = field(default_factory=list)


@dataclass
class Verdict:
    judgement: Judgement
    service: Service
    gaps: list[str]

    @property
    def code(self) -> int:
        if self.judgement.findings:
            return BROKEN
        return UNKNOWN if self.gaps else KEPT


def judge(out: Path) -> Verdict:
    """Audits the folder of a day. Raises ConfigError, RecordError or OSError when it can't be read."""
    config = load(str(out / "day.ini"), ("day", "fleet", "load"))
    records, gaps = [], []
    for path in sorted(out.glob("tap*.jsonl")):
        with path.open("rb") as lines:
            capture = read(lines, path.name)
        records += capture.records
        gaps += capture.gaps
    if not records and not gaps:
        gaps.append(f"{out}: no records of any tap")
    judgement = Audit(config, records, world(config, out)).run()
    return Verdict(judgement, served(config, out), gaps)


def world(config: Config, out: Path) -> World:
    """Lives of servers and of assigners, from the stand-ins' and the runner's own records."""
    found = World()
    begun: dict[int, dict[str, float]] = {}
    for row in rows(out / "fleet.jsonl"):
        server = row["server"]
        if row["what"] == "start":
            begun[server] = row
        elif row["what"] == "stop" and server in begun:
            found.lives.append(_life(begun.pop(server), row["t"]))
    found.lives += [_life(row, EVER) for _, row in sorted(begun.items())]
    stopped: dict[int, float] = {}
    path = out / "day.jsonl"
    for row in rows(path) if path.exists() else []:
        number = row.get("assigner", -1)
        if row["what"] == "kill":
            found.killed.setdefault(number, []).append(row["t"])
        elif row["what"] == "stop":
            stopped[number] = row["t"]
        elif row["what"] == "wake" and number in stopped:
            found.stopped.setdefault(number, []).append((stopped.pop(number), row["t"]))
    return found


def _life(row: dict[str, float], end: float) -> Life:
    return Life(
        int(row["server"]), row["t"], end, bool(row["warm"]), row["capacity"], row["cold_from"], row["warm_s"]
    )


def served(config: Config, out: Path) -> Service:
    """What clients got: full worth within the aim, part of it later, nothing after the deadline."""
    classes = list(config.classes.items())
    got: dict[int, float] = defaultdict(float)
    asked: dict[int, float] = defaultdict(float)
    by_window: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    service = Service()
    for row in rows(out / "clients.jsonl"):
        kind = row["class"]
        made = classes[kind][1]
        worth = 0.0
        if row["ok"] and row["took"] <= made.deadline_s:
            worth = made.worth * (1 if row["took"] <= made.aim_s else made.late_worth)
            service.times.setdefault(classes[kind][0], []).append(row["took"])
        if not row["ok"]:
            service.reasons[row["why"]] = service.reasons.get(row["why"], 0) + 1
        got[kind] += worth
        asked[kind] += made.worth
        window = by_window[int(row["at"] / WINDOW_S)]
        window[0] += worth
        window[1] += made.worth
        service.asked += 1
    service.by_class = {classes[k][0]: got[k] / asked[k] for k in sorted(asked)}
    service.whole = sum(got.values()) / max(sum(asked.values()), 1e-9)
    service.windows = [(k * WINDOW_S, w[0] / w[1]) for k, w in sorted(by_window.items())]
    full = [
        share for at, share in service.windows if at + WINDOW_S <= (config.day.length_s if config.day else 0)
    ]
    service.worst_window = min(full or [service.whole])
    for times in service.times.values():
        times.sort()
    return service


def quantile(values: list[float], share: float) -> float:
    """Of sorted values, the nearest rank."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0

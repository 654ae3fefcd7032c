"""Days on which a zone goes: with the zone plan, with the module alone, and with an all-alike spread.

    python -m benchmarks.zone_days [SCENE ...] [--base days/bad-day.ini] [--seeds 3] [--jobs 3] [--out DIR]
        [--table FILE] [--plot FILE]

Scenes are those of puffintide/scenarios/scenes.py, all of them by default. Each is played with the same seeds
in three ways. "alike" is the plainest of directors: every slice on the ready servers in turn by its number,
at once whenever the list changes. A row tells medians over the seeds: worth served, the worst 10 s, how long
after the first loss the service was back to 95% of what it was before, and after the last return; slices
moved (orders that put one on a server), servers that fell, and whether the rules were kept. All figures are
of stand-ins.
"""

from __future__ import annotations

import configparser
import io
import json
import statistics
import sys
from collections import defaultdict
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click

from puffintide.audit.records import read_json_lines
from puffintide.config.loader import read_config
from puffintide.decisions.actions import Action, SetWeight
from puffintide.decisions.events import (
    EndpointListUpdate,
    EndpointStatus,
    Event,
    OwnershipChanged,
    StoredWeight,
)
from puffintide.decisions.settings import Settings
from puffintide.scenarios.errors import PlayError
from puffintide.scenarios.faults import plan
from puffintide.scenarios.results import evaluate
from puffintide.scenarios.runner import ScenarioRunner
from puffintide.scenarios.zone_scenarios import ZONE_SCENARIOS, script

WAYS = ("plan", "module", "alike")
STEP_S = 2.0
SETTLED = 0.95


class Alike:
    """All ready servers are alike, and every change of the list is followed at once."""

    def __init__(self, settings: Settings) -> None:
        self.states: dict[int, int] = {}
        self.tables: dict[int, set[int]] = {}

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        for event in events:
            match event:
                case EndpointListUpdate():
                    if event.update_type in ("full", "cached"):
                        self.states = {}
                    self.states |= {s.server_id: s.status for s in event.endpoints}
                case OwnershipChanged(number, True):
                    self.tables[number] = set()
                case OwnershipChanged(number):
                    self.tables.pop(number, None)
                case StoredWeight(number, server, weight) if weight > 0 and number in self.tables:
                    self.tables[number].add(server)
        ready = sorted(s for s, state in self.states.items() if state == EndpointStatus.READY)
        actions: list[Action] = []
        for number, held in sorted(self.tables.items()):
            wanted = {ready[number % len(ready)]} if ready else held
            actions += [SetWeight(number, s, 1.0) for s in sorted(wanted - held)]
            actions += [SetWeight(number, s, 0.0) for s in sorted(held - wanted)]
            self.tables[number] = set(wanted)
        return actions


def assigner(words: list[str]) -> None:
    """An assigner process with the plain director in the module's place."""
    from puffintide.assigner import service
    from puffintide.cli.main import cli

    made: Any = service
    made.Director = Alike
    cli(["assigner", *words], standalone_mode=False)


def variant(text: str, way: str) -> str:
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
    parser.read_string(text)
    if not parser.has_section("zones"):
        parser.add_section("zones")
    parser["zones"]["plan"] = "yes" if way == "plan" else "no"
    made = io.StringIO()
    parser.write(made)
    return made.getvalue()


def play(text: str, way: str, seed: int, out: Path, number: int) -> dict[str, Any]:
    out.mkdir(parents=True, exist_ok=True)
    path = out / "script.ini"
    path.write_text(variant(text, way), encoding="utf-8")
    runner = ScenarioRunner(read_config(str(path)), path.read_text(), out, seed, port_start=number * 997)
    if way == "alike":
        runner.assigner_command = ("benchmarks.zone_days", "--assigner")
    runner.play()
    return figures(out, seed)


def figures(out: Path, seed: int) -> dict[str, Any]:
    config = read_config(str(out / "day.ini"))
    verdict = evaluate(out)
    steps = [s for s in plan(config, seed) if s.operation in ("crash", "start") and s.party == "fleet"]
    lost = min((s.at_s for s in steps if s.operation == "crash"), default=0.0)
    back = max((s.at_s for s in steps if s.operation == "start"), default=0.0)
    got: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    kinds = list(config.classes.values())
    for row in read_json_lines(out / "clients.jsonl"):
        kind = kinds[row["class"]]
        good = row["ok"] and row["took"] <= kind.aim_s
        late = row["ok"] and not good and row["took"] <= kind.deadline_s
        window = got[int(row["at"] / STEP_S)]
        window[0] += kind.worth * (1.0 if good else kind.late_worth if late else 0.0)
        window[1] += kind.worth
    series = {k * STEP_S: w[0] / w[1] for k, w in sorted(got.items())}
    before = statistics.mean([v for t, v in series.items() if 2 <= t < lost - STEP_S] or [1.0])

    def settled(since: float) -> float:
        """From then until the service stays at SETTLED of what it was."""
        low = [t + STEP_S for t, v in series.items() if t >= since - STEP_S and v < SETTLED * before]
        return max(0.0, max(low, default=since) - since)

    fell = sum(row["what"] == "fall" for row in read_json_lines(out / "fleet.jsonl"))
    broken = sorted({f.rule for f in verdict.report.findings})
    return {
        "worth": verdict.service.score,
        "worst": verdict.service.worst_window_score,
        "lost": settled(lost),
        "back": settled(back),
        "moved": moved(out),
        "fell": fell,
        "rules": ", ".join(broken) or ("unknown" if verdict.gaps else "kept"),
        "series": series,
    }


def moved(out: Path) -> int:
    """Slices put on a server, over all assigners, by their logs."""
    count = 0
    for path in sorted(out.glob("assigner-*.log")):
        for line in path.read_text(encoding="utf-8").splitlines():
            if '"decision"' in line:
                row = json.loads(line)
                count += (
                    sum("SetWeight" in a and a["SetWeight"][2] >= 0.5 for a in row["actions"])
                    + row["omitted_actions"] // 2
                )
    return count


@click.command()
@click.argument("scenes", nargs=-1, type=click.Choice(list(ZONE_SCENARIOS)))
@click.option("--base", default="days/bad-day.ini")
@click.option("--ways", multiple=True, type=click.Choice(WAYS), help="By default all.")
@click.option("--seeds", default=3)
@click.option("--jobs", default=3)
@click.option("--out", default="out/zones")
@click.option("--table", default="")
@click.option("--plot", default="")
def main(
    scenes: tuple[str, ...],
    base: str,
    ways: tuple[str, ...],
    seeds: int,
    jobs: int,
    out: str,
    table: str,
    plot: str,
) -> None:
    days = scenes or tuple(ZONE_SCENARIOS)
    text = Path(base).read_text(encoding="utf-8")
    played = ways or WAYS
    work = [(day, way, seed) for day in days for seed in range(1, seeds + 1) for way in played]

    def one(number: int, day: str, way: str, seed: int) -> tuple[str, str, dict[str, Any]] | None:
        folder = Path(out) / f"{day}-{way}-{seed}"
        try:
            return day, way, play(script(text, day), way, seed, folder, number)
        except PlayError as error:
            click.echo(f"{folder}: {error}", err=True)
            return None

    with ThreadPoolExecutor(jobs) as pool:
        found = list(pool.map(lambda row: one(row[0], *row[1]), enumerate(work)))
    lines = [
        "| day | way | rules | worth served | worst 10 s | settled after loss s | after return s | moved | fell |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for day in days:
        for way in played:
            runs = [row[2] for row in found if row is not None and row[:2] == (day, way)]
            if not runs:
                lines.append(f"| {day} | {way} | not played | | | | | | |")
                continue
            mid = {k: statistics.median(r[k] for r in runs) for k in runs[0] if k not in ("rules", "series")}
            rules = "; ".join(sorted({r["rules"] for r in runs}))
            shares = " | ".join(f"{mid[k]:.3f}" for k in ("worth", "worst"))
            counts = " | ".join(f"{mid[k]:.0f}" for k in ("lost", "back", "moved", "fell"))
            lines.append(f"| {day} | {way} | {rules} | {shares} | {counts} |")
    made = "\n".join(lines)
    click.echo(made)
    if table:
        Path(table).write_text(made + "\n", encoding="utf-8")
    if plot:
        _plot([row for row in found if row is not None], days, plot)


def _plot(found: list[tuple[str, str, dict[str, Any]]], days: tuple[str, ...], path: str) -> None:
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(days), 1, figsize=(7, 2.4 * len(days)), squeeze=False)
    for axis, day in zip(axes[:, 0], days, strict=True):
        for way in WAYS:
            runs = [r["series"] for d, w, r in found if (d, w) == (day, way)]
            times = sorted(set.intersection(*(set(r) for r in runs))) if runs else []
            axis.plot(times, [statistics.median(r[t] for r in runs) for t in times], label=way)
        axis.set_title(f"{day}: {ZONE_SCENARIOS[day].description}", fontsize=9)
        axis.set_ylabel("worth served")
        axis.set_ylim(0, 1.05)
    axes[-1, 0].set_xlabel("seconds")
    axes[0, 0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)


if __name__ == "__main__":
    if sys.argv[1:2] == ["--assigner"]:
        assigner(sys.argv[2:])
    else:
        main()

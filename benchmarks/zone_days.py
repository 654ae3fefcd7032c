"""Compares zone losses with the zone plan, with the decision module alone and with a uniform spread.

    python -m benchmarks.zone_days [SCENE ...] [--base days/bad-day.ini] [--seeds 3] [--jobs 3] [--out DIR]
        [--table FILE] [--plot FILE]

The scenes are those of puffintide/scenarios/zone_scenarios.py, by default all of them. Each scene is played
with three planners and the same seeds. The planner "alike" is the simplest baseline: it places each slice on
one ready server, chosen by the slice's number modulo their count, immediately whenever the list changes.

A row has medians over the seeds: the score, the score of the worst 10 s, the time after the first loss until
the service is back at 95% of its score before, the same after the last return, the slices migrated (actions
that place one on a server), and the servers that collapsed. It also shows whether the rules were kept. All
figures are of emulators.
"""

from __future__ import annotations

import configparser
import io
import statistics
import sys
from collections import defaultdict
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

import click

from benchmarks.zone_figures import ZoneFigures, read_figures
from puffintide.config.loader import read_config
from puffintide.decisions.actions import Action, SetWeight
from puffintide.decisions.events import (
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ListUpdateType,
    OwnershipChanged,
    StoredWeight,
)
from puffintide.decisions.settings import Settings
from puffintide.scenarios.errors import ScenarioRunError
from puffintide.scenarios.runner import ScenarioRunner
from puffintide.scenarios.zone_scenarios import ZONE_SCENARIOS, script

PORT_RANGE_PER_RUN = 997  # Gives concurrent runs different ports.
HEADINGS = (
    "scene",
    "planner",
    "rules",
    "score",
    "worst 10 s",
    "settled after loss s",
    "after return s",
    "migrated",
    "collapsed",
)


class Planner(StrEnum):
    """Component that decides about the slices of a lost zone."""

    PLAN = "plan"
    MODULE = "module"
    UNIFORM = "alike"


class UniformDirector:
    """A director that treats all ready servers alike and follows every change of the list immediately."""

    def __init__(self, _settings: Settings) -> None:
        self._statuses: dict[int, int] = {}
        self._tables: dict[int, set[int]] = {}

    def handle(self, _now_s: float, events: Sequence[Event]) -> list[Action]:
        """Apply events and return the actions that make all tables uniform."""
        for event in events:
            self._apply(event)
        ready_ids = sorted(i for i, status in self._statuses.items() if status == EndpointStatus.READY)
        actions: list[Action] = []
        for slice_id, current_ids in sorted(self._tables.items()):
            target_ids = {ready_ids[slice_id % len(ready_ids)]} if ready_ids else current_ids
            actions += [SetWeight(slice_id, i, 1.0) for i in sorted(target_ids - current_ids)]
            actions += [SetWeight(slice_id, i, 0.0) for i in sorted(current_ids - target_ids)]
            self._tables[slice_id] = set(target_ids)
        return actions

    def _apply(self, event: Event) -> None:
        match event:
            case EndpointListUpdate():
                if event.update_type in (ListUpdateType.SNAPSHOT, ListUpdateType.CACHED):
                    self._statuses = {}
                self._statuses |= {endpoint.server_id: endpoint.status for endpoint in event.endpoints}
            case OwnershipChanged(slice_id, True):
                self._tables[slice_id] = set()
            case OwnershipChanged(slice_id):
                self._tables.pop(slice_id, None)
            case StoredWeight(slice_id, server_id, weight) if weight > 0 and slice_id in self._tables:
                self._tables[slice_id].add(server_id)


def run_uniform_assigner(arguments: list[str]) -> None:
    """Run an assigner process with the uniform director in place of the decision module's director."""
    from puffintide.assigner import service
    from puffintide.cli.main import cli

    patched_service: Any = service
    patched_service.Director = UniformDirector
    cli(["assigner", *arguments], standalone_mode=False)


class ScenarioRun(NamedTuple):
    """A scene to play with a planner and a seed."""

    scene: str
    planner: Planner
    seed: int


def play_run(run: ScenarioRun, base: str, out: Path, number: int) -> ZoneFigures:
    """Play a scene on top of the text of a base scenario, and return its figures.

    Raises:
        ScenarioRunError: The scene could not be played.
    """
    folder = out / f"{run.scene}-{run.planner}-{run.seed}"
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "script.ini"
    path.write_text(_text_with_planner(script(base, run.scene), run.planner), encoding="utf-8")
    config = read_config(str(path))
    runner = ScenarioRunner(
        config, path.read_text(), folder, run.seed, port_start=number * PORT_RANGE_PER_RUN
    )
    if run.planner is Planner.UNIFORM:
        runner.assigner_command = ("benchmarks.zone_days", "--assigner")
    runner.run_scenario()
    return read_figures(folder, run.seed)


def _text_with_planner(text: str, planner: Planner) -> str:
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
    parser.read_string(text)
    if not parser.has_section("zones"):
        parser.add_section("zones")
    parser["zones"]["plan"] = "yes" if planner is Planner.PLAN else "no"
    changed_text = io.StringIO()
    parser.write(changed_text)
    return changed_text.getvalue()


def table_row(scene: str, planner: Planner, runs: Sequence[ZoneFigures]) -> str:
    """Return a table row with the medians of runs and all of their verdicts."""
    if not runs:
        return f"| {scene} | {planner} | not played | | | | | | |"
    cells = [
        scene,
        planner,
        "; ".join(sorted({run.verdict for run in runs})),
        f"{statistics.median(run.score for run in runs):.3f}",
        f"{statistics.median(run.worst_window_score for run in runs):.3f}",
        f"{statistics.median(run.settled_after_loss_s for run in runs):.0f}",
        f"{statistics.median(run.settled_after_return_s for run in runs):.0f}",
        f"{statistics.median(run.migrated for run in runs):.0f}",
        f"{statistics.median(run.collapsed for run in runs):.0f}",
    ]
    return f"| {' | '.join(cells)} |"


Results = dict[tuple[str, Planner], list[ZoneFigures]]


def play_all(runs: Iterable[ScenarioRun], base: str, out: Path, jobs: int) -> Results:
    """Play runs concurrently; a run that cannot be played is reported on standard error and left out."""

    def play_or_report(number: int, run: ScenarioRun) -> ZoneFigures | None:
        try:
            return play_run(run, base, out, number)
        except ScenarioRunError as error:
            click.echo(f"{run.scene}, {run.planner}, seed {run.seed}: {error}", err=True)
            return None

    runs = list(runs)
    with ThreadPoolExecutor(jobs) as pool:
        played_figures = list(pool.map(play_or_report, range(len(runs)), runs))
    results: Results = defaultdict(list)
    for run, figures in zip(runs, played_figures, strict=True):
        if figures is not None:
            results[run.scene, run.planner].append(figures)
    return results


def _plot(results: Results, scenes: Sequence[str], path: str) -> None:
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(scenes), 1, figsize=(7, 2.4 * len(scenes)), squeeze=False)
    for axis, scene in zip(axes[:, 0], scenes, strict=True):
        for planner in Planner:
            series = [run.series for run in results.get((scene, planner), [])]
            shared_times_s = (
                sorted(set.intersection(*(set(run_series) for run_series in series))) if series else []
            )
            medians = [
                statistics.median(run_series[at_s] for run_series in series) for at_s in shared_times_s
            ]
            axis.plot(shared_times_s, medians, label=planner)
        axis.set_title(f"{scene}: {ZONE_SCENARIOS[scene].description}", fontsize=9)
        axis.set_ylabel("score")
        axis.set_ylim(0, 1.05)
    axes[-1, 0].set_xlabel("seconds")
    axes[0, 0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)


@click.command()
@click.argument("scenes", nargs=-1, type=click.Choice(list(ZONE_SCENARIOS)))
@click.option("--base", default="days/bad-day.ini")
@click.option(
    "--ways",
    "planners",
    multiple=True,
    type=click.Choice([planner.value for planner in Planner]),
    help="By default all.",
)
@click.option("--seeds", default=3)
@click.option("--jobs", default=3)
@click.option("--out", default="out/zones")
@click.option("--table", default="")
@click.option("--plot", default="")
def main(
    scenes: tuple[str, ...],
    base: str,
    planners: tuple[str, ...],
    seeds: int,
    jobs: int,
    out: str,
    table: str,
    plot: str,
) -> None:
    """Play scenes, print the table, and write the table and the curves to files."""
    played_scenes = scenes or tuple(ZONE_SCENARIOS)
    played_planners = [Planner(planner) for planner in planners] or list(Planner)
    runs = [
        ScenarioRun(scene, planner, seed)
        for scene in played_scenes
        for seed in range(1, seeds + 1)
        for planner in played_planners
    ]
    results = play_all(runs, Path(base).read_text(encoding="utf-8"), Path(out), jobs)
    lines = [f"| {' | '.join(HEADINGS)} |", "| " + " | ".join(["---"] * len(HEADINGS)) + " |"]
    for scene in played_scenes:
        for planner in played_planners:
            lines.append(table_row(scene, planner, results.get((scene, planner), [])))
    text = "\n".join(lines)
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")
    if plot:
        _plot(results, played_scenes, plot)


if __name__ == "__main__":
    if sys.argv[1:2] == ["--assigner"]:
        run_uniform_assigner(sys.argv[2:])
    else:
        main()

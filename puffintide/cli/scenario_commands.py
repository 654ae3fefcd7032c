"""The day command group, which plays scenarios, and the audit command."""

from __future__ import annotations

import configparser
import io
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
from rich.console import Console

from puffintide.cli.common import load_config
from puffintide.cli.errors import CommandError

if TYPE_CHECKING:
    from puffintide.scenarios.results import ScenarioResult
    from puffintide.scenarios.runner import ScenarioRunner

SCENARIO_SECTIONS = ("day", "fleet", "load")


@click.group("day")
def day() -> None:
    """Scenarios on loopback."""


@day.command("check")
@click.argument("file")
def check(file: str) -> None:
    """Checks a scenario's script without running it."""
    from puffintide.scenarios.faults import plan

    config = load_config(file, *SCENARIO_SECTIONS)
    steps = plan(config, config.day.seed if config.day else 0)
    click.echo(f"{file}: good ({len(config.faults)} faults, {len(steps)} steps)")


@day.command("import")
@click.argument("source")
@click.argument("target")
@click.option(
    "--scale", type=click.FloatRange(0.01, 4), default=1.0, help="Of servers, proxies, slices, load."
)
@click.option("--length", type=float, default=None, help="Cuts the scenario, seconds.")
def import_(source: str, target: str, scale: float, length: float | None) -> None:
    """Turns a day drawn by the users' bench into a script."""
    from puffintide.scenarios.errors import ImportFormatError
    from puffintide.scenarios.importer import import_bench_scenario

    try:
        text = import_bench_scenario(json.loads(Path(source).read_text(encoding="utf-8")), scale, length)
        Path(target).write_text(text, encoding="utf-8")
    except (OSError, ValueError, ImportFormatError) as error:
        raise CommandError(f"{source}: {error}") from error
    load_config(target, *SCENARIO_SECTIONS)
    click.echo(f"{target}: written")


@day.command("run")
@click.argument("file")
@click.option("--out", required=True, help="Folder for records, logs and configurations.")
@click.option("--seed", type=int, default=None, help="Instead of the script's own.")
@click.option("--quiet", is_flag=True, help="No progress bar.")
def run(file: str, out: str, seed: int | None, quiet: bool) -> None:
    """Plays a scenario, audits it and prints the result.

    Exit: 0 rules kept, 1 a rule broke, 2 bad input, 3 can't tell.
    """
    from puffintide.scenarios.errors import PortError, ScenarioRunError
    from puffintide.scenarios.runner import ScenarioRunner

    config = load_config(file, *SCENARIO_SECTIONS)
    assert config.day is not None
    text = Path(file).read_text(encoding="utf-8")
    if seed is not None:
        text = _with_seed(text, seed)
    runner = ScenarioRunner(config, text, Path(out), config.day.seed if seed is None else seed)
    try:
        if quiet:
            runner.run_scenario()
        else:
            _play_with_progress(runner)
    except (ScenarioRunError, PortError) as error:
        raise CommandError(str(error)) from error
    except KeyboardInterrupt as error:
        raise CommandError("stopped by hand; no verdict") from error
    sys.exit(_print_result(Path(out)))


def _with_seed(text: str, seed: int) -> str:
    """The script with another seed."""
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
    parser.read_string(text)
    parser["day"]["seed"] = str(seed)
    changed = io.StringIO()
    parser.write(changed)
    return changed.getvalue()


def _play_with_progress(runner: ScenarioRunner) -> None:
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("starting", total=1.0)
        runner.on_progress = lambda text, played: progress.update(task, description=text, completed=played)
        runner.run_scenario()


@day.command("kinds")
@click.argument("file")
@click.option("--out", required=True, help="Folder for each scenario's records.")
@click.option("--seed", type=int, default=1)
@click.option("--jobs", type=click.IntRange(1, 8), default=2, help="Scenarios played at once.")
@click.option("--only", multiple=True, help="Kinds to play; by default all.")
@click.option("--table", "table_path", default="", help="A file for the table, Markdown.")
def kinds(file: str, out: str, seed: int, jobs: int, only: tuple[str, ...], table_path: str) -> None:
    """Plays every kind of fault alone over a scenario's fleet and load; one row each."""
    from puffintide.cli.result_tables import (
        COMPARISON_HEADER,
        comparison_exit_code,
        comparison_row,
        markdown_table,
    )
    from puffintide.scenarios.kinds import FAULT_PARAMETERS, run_all

    load_config(file, *SCENARIO_SECTIONS)
    names = list(only) or list(FAULT_PARAMETERS)
    unknown = [name for name in names if name not in FAULT_PARAMETERS]
    if unknown:
        raise CommandError(f"unknown kinds {', '.join(unknown)}; allowed: {', '.join(FAULT_PARAMETERS)}")
    text = Path(file).read_text(encoding="utf-8")
    results = run_all(text, Path(out), names, seed, jobs, _print_progress)
    rows = [COMPARISON_HEADER, ["---"] * len(COMPARISON_HEADER)]
    rows += [comparison_row(name, result) for name, result in results.items()]
    table = markdown_table(rows)
    click.echo(table)
    if table_path:
        Path(table_path).write_text(table + "\n", encoding="utf-8")
    sys.exit(comparison_exit_code(list(results.values())))


def _print_progress(name: str, result: ScenarioResult | str) -> None:
    outcome = result if isinstance(result, str) else f"exit {result.exit_code}"
    click.echo(f"{name}: {outcome}", err=True)


@click.command()
@click.argument("folder")
def audit(folder: str) -> None:
    """Audits the records of a scenario again. Exit codes as of `day run`."""
    sys.exit(_print_result(Path(folder)))


def _print_result(folder: Path) -> int:
    from puffintide.audit.errors import RecordError
    from puffintide.cli.result_tables import print_result
    from puffintide.config.errors import ConfigError
    from puffintide.scenarios.results import evaluate

    try:
        result = evaluate(folder)
    except (ConfigError, RecordError, OSError) as error:
        raise CommandError(str(error)) from error
    print_result(result, folder)
    return result.exit_code

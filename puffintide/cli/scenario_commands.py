"""Commands that run, check and import scenarios, and that audit their records."""

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
    """Run, check and import scenarios. All processes use loopback."""


@day.command("check")
@click.argument("file")
def check(file: str) -> None:
    """Check a scenario file without running it."""
    from puffintide.scenarios.faults import plan

    config = load_config(file, *SCENARIO_SECTIONS)
    steps = plan(config, config.day.seed if config.day else 0)
    click.echo(f"{file}: good ({len(config.faults)} faults, {len(steps)} steps)")


@day.command("import")
@click.argument("source")
@click.argument("target")
@click.option(
    "--scale",
    type=click.FloatRange(0.01, 4),
    default=1.0,
    help="Factor for the numbers of servers, proxies and slices and for the load.",
)
@click.option("--length", type=float, default=None, help="Length to cut the scenario to, in seconds.")
def import_(source: str, target: str, scale: float, length: float | None) -> None:
    """Convert a scenario of the bench from SOURCE to a scenario file TARGET."""
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
@click.option("--seed", type=int, default=None, help="Seed that replaces the one in the file.")
@click.option("--quiet", is_flag=True, help="Do not show a progress bar.")
def run(file: str, out: str, seed: int | None, quiet: bool) -> None:
    """Run a scenario, audit its records and print the result.

    Exit codes: 0 all rules kept, 1 a rule broken, 2 invalid input, 3 records incomplete.
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
            _run_with_progress(runner)
    except (ScenarioRunError, PortError) as error:
        raise CommandError(str(error)) from error
    except KeyboardInterrupt as error:
        raise CommandError("stopped by hand; no verdict") from error
    sys.exit(_print_result(Path(out)))


def _with_seed(text: str, seed: int) -> str:
    """Return the text of a scenario file with another seed."""
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
    parser.read_string(text)
    parser["day"]["seed"] = str(seed)
    output = io.StringIO()
    parser.write(output)
    return output.getvalue()


def _run_with_progress(runner: ScenarioRunner) -> None:
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("starting", total=1.0)
        runner.on_progress = lambda text, fraction: progress.update(
            task, description=text, completed=fraction
        )
        runner.run_scenario()


@day.command("kinds")
@click.argument("file")
@click.option("--out", required=True, help="Folder for each scenario's records.")
@click.option("--seed", type=int, default=1)
@click.option(
    "--jobs", type=click.IntRange(1, 8), default=2, help="Number of scenarios run at the same time."
)
@click.option("--only", multiple=True, help="Kind of fault to run; by default all.")
@click.option("--table", "table_path", default="", help="File for the table in Markdown.")
def kinds(file: str, out: str, seed: int, jobs: int, only: tuple[str, ...], table_path: str) -> None:
    """Run each kind of fault alone with a scenario's fleet and load, and print one row for each."""
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
    """Audit the records of a scenario again. The exit codes are those of `day run`."""
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

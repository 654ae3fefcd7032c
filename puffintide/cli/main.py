"""puffintide: the commands. Each only reads its arguments, calls the package that does the work, and prints."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from puffintide.config.loader import Config, ConfigError, load

out_console = Console(highlight=False)


class Failure(click.ClickException):
    """One line a fault, exit code 2."""

    exit_code = 2

    def show(self, file: Any = None) -> None:
        for line in self.message.splitlines():
            click.echo(f"puffintide: {line}", err=True)


def _load(path: str, *need: str) -> Config:
    try:
        return load(path, need)
    except ConfigError as error:
        raise Failure(str(error)) from None


@click.group()
@click.version_option(package_name="puffintide", prog_name="puffintide")
def cli() -> None:
    """A traffic director: hands tables to plain proxies and keeps service good when things fail."""


@cli.command("check-config")
@click.argument("file")
def check_config(file: str) -> None:
    """Checks an INI file; tells every error at once."""
    config = _load(file)
    click.echo(
        f"{file}: good ({config.deployment.name}: {config.deployment.slices} slices, "
        f"{config.deployment.assigners} assigners, {len(config.classes)} classes)"
    )


@cli.command()
@click.option("--config", "path", required=True, help="INI file with an [assigner] section.")
@click.option("--life", default=0, help="Which start of this assigner it is; by default the time.")
def assigner(path: str, life: int) -> None:
    """Runs one assigner until it is told to stop."""
    from puffintide.cli.processes import run_assigner

    run_assigner(_load(path, "assigner"), life)


@cli.group(invoke_without_command=True)
@click.option("--config", "path", default="", help="INI file with a [store] section.")
@click.pass_context
def store(context: click.Context, path: str) -> None:
    """Runs the store of tables and charge; with a command, looks after what it keeps."""
    from puffintide.cli.processes import run_store

    if context.invoked_subcommand is not None:
        return
    if not path:
        raise Failure("--config is missing")
    run_store(_load(path, "store"))


OPERATOR = click.option("--config", "path", required=True, help="INI file with an [operator] section.")


@store.command("backup")
@click.argument("name")
@OPERATOR
def store_backup(name: str, path: str) -> None:
    """Has a running store write a backup NAME into its folder for them."""
    from puffintide.protocol.messages import BackupRequest

    click.echo(_order(path, BackupRequest(name)))


@store.command("restore")
@click.argument("backup")
@click.argument("file")
def store_restore(backup: str, file: str) -> None:
    """Puts BACKUP in place of a stopped store's FILE, which is kept as FILE.before."""
    from puffintide.store.errors import StoreError
    from puffintide.store.sqlite_restore import restore_backup

    try:
        image = restore_backup(backup, file)
    except (StoreError, OSError) as error:
        raise Failure(str(error)) from None
    click.echo(f"{file}: revision {image.revision}, {len(image.slices)} slices, now store {image.store_id}")


@store.command("verify")
@click.argument("file")
def store_verify(file: str) -> None:
    """Checks every row of a stopped store's FILE, or of a backup. Exit 1 if something is damaged."""
    from puffintide.store.errors import StoreError
    from puffintide.store.sqlite import SqliteEngine

    _there(file)
    try:
        engine = SqliteEngine(file)
        found = engine.problems()
        engine.close()
    except StoreError as error:
        found = [str(error)]
    for line in found:
        click.echo(line)
    if found:
        sys.exit(1)
    click.echo(f"{file}: whole")


@store.command("dump")
@click.argument("file")
def store_dump(file: str) -> None:
    """Prints what a stopped store's FILE, or a backup, holds, as JSON lines."""
    import json

    from puffintide.store.errors import StoreError
    from puffintide.store.sqlite import SqliteEngine

    _there(file)
    try:
        engine = SqliteEngine(file)
        image = engine.load()
        engine.close()
    except StoreError as error:
        raise Failure(str(error)) from None
    click.echo(
        json.dumps({"store": image.store_id, "revision": image.revision, "token": image.highest_token})
    )
    for number, state in sorted(image.slices.items()):
        lines = [[h.server_id, h.weight, h.address] for h in state.entries]
        row = {
            "slice": number,
            "assigner": state.owner_id,
            "token": state.fencing_token,
            "pin": state.home_override,
        }
        click.echo(json.dumps(row | {"revision": image.slice_revisions[number], "lines": lines}))
    for name, hand in sorted(image.zone_commands.items()):
        click.echo(json.dumps({"zone": name, "hand": hand.operation, "pace": hand.pace, "by": hand.operator}))


def _there(file: str) -> None:
    if not Path(file).is_file():
        raise Failure(f"{file}: is not there")


def _order(path: str, message: Any) -> str:
    """An operator's order to the store of a configuration; what it answered."""
    from puffintide.cli.hand import HandError, to_store
    from puffintide.cli.processes import tls_of

    config = _load(path, "operator")
    try:
        return to_store(config, message, tls_of(config))
    except HandError as error:
        raise Failure(str(error)) from None


@store.command("refill")
@OPERATOR
def store_refill(path: str) -> None:
    """Has an empty store with `refill = yes` go on with the tables of the assigners that have answered."""
    from puffintide.protocol.messages import RestoreFromReplicas

    _order(path, RestoreFromReplicas("operator"))
    click.echo("refilled; see its log for how many tables, from whom")


def _copies(path: str) -> dict[str, Any]:
    from puffintide.cli.hand import copies
    from puffintide.cli.processes import tls_of

    config = _load(path, "operator")
    return copies(config, tls_of(config))


def _disputes(found: dict[str, Any]) -> list[str]:
    from puffintide.replication.table_replicas import table_conflicts

    return table_conflicts(
        {address: replica for address, replica in found.items() if not isinstance(replica, str)}
    )


@cli.group()
def copies() -> None:
    """What assigners hold of each other; needs an [operator] section that names them."""


@copies.command("show")
@OPERATOR
def copies_show(path: str) -> None:
    """Origins, versions and ages, as each assigner has them; below, where they differ and what counts. Exit 1 if
    one did not answer."""
    from puffintide.replication.replica import NONCE_BITS

    table = Table("assigner", "origin", "life", "up to", "tables", "others", "youngest s", "oldest s")
    silent = False
    found = _copies(path)
    for address, replica in found.items():
        if isinstance(replica, str):
            silent = True
            table.add_row(address, replica, "", "", "", "", "", "")
            continue
        for origin, held in sorted(replica.origin_states.items()):
            if origin >= 0:
                ages = [-row.observed_at_s for row in held.rows.values()] or [0.0]
                tables = sum(kind == "table" for kind, _ in held.rows)
                table.add_row(
                    address,
                    str(origin),
                    str(held.incarnation >> NONCE_BITS),
                    str(held.sequence),
                    str(tables),
                    str(len(held.rows) - tables),
                    f"{min(ages):.1f}",
                    f"{max(ages):.1f}",
                )
    out_console.print(table)
    for line in _disputes(found):
        click.echo(line)
    sys.exit(int(silent))


@copies.command("check")
@OPERATOR
def copies_check(path: str) -> None:
    """Exit 1 and a line each where tables that ought to agree don't, or an assigner does not answer."""
    found = _copies(path)
    lines = [f"{address}: {why}" for address, why in found.items() if isinstance(why, str)] + _disputes(found)
    for line in lines:
        click.echo(line)
    if not lines:
        click.echo(f"{len(found)} assigners hold the same tables")
    sys.exit(int(bool(lines)))


@cli.group()
def charge() -> None:
    """Who has charge of which slices; needs an [operator] section."""


@charge.command("move")
@click.argument("slices")
@click.argument("assigner", type=int)
@OPERATOR
def charge_move(slices: str, assigner: int, path: str) -> None:
    """Gives SLICES, such as 3,7 or 10-19, a home at ASSIGNER; -1 takes that back. They go there by and by."""
    from puffintide.protocol.messages import MigrateSlices

    numbers: list[int] = []
    for word in slices.split(","):
        first, dash, last = word.partition("-")
        if (
            not first.isdigit()
            or (dash and not last.isdigit())
            or (dash and int(last) - int(first) > 100_000)
        ):
            raise Failure(f"slices {slices!r}: must be numbers or ranges, such as 3,7 or 10-19")
        numbers += range(int(first), int(last if dash else first) + 1)
    _order(path, MigrateSlices(numbers, assigner, "operator"))
    click.echo(f"{len(numbers)} slices have their home at assigner {assigner}")


@charge.command("show")
@OPERATOR
def charge_show(path: str) -> None:
    """How many slices each assigner has, and which."""
    from puffintide.cli.hand import HandError, charges
    from puffintide.cli.processes import tls_of

    config = _load(path, "operator")
    try:
        found = charges(config, tls_of(config))
    except HandError as error:
        raise Failure(str(error)) from None
    table = Table("assigner", "slices", "which")
    for number in sorted({c.owner_id for c in found}):
        mine = [c.slice_id for c in found if c.owner_id == number]
        table.add_row("nobody" if number < 0 else str(number), str(len(mine)), _ranges(mine))
    out_console.print(table)


def _ranges(numbers: list[int]) -> str:
    parts: list[list[int]] = []
    for n in sorted(numbers):
        if parts and n == parts[-1][-1] + 1:
            parts[-1] = [parts[-1][0], n]
        else:
            parts.append([n])
    return ", ".join("-".join(map(str, p)) for p in parts[:20]) + (", ..." if len(parts) > 20 else "")


@cli.command()
@click.option("--config", "path", required=True, help="INI file with a [proxy] section.")
def proxy(path: str) -> None:
    """Runs one proxy."""
    from puffintide.cli.processes import run_proxy

    run_proxy(_load(path, "proxy"))


@cli.group()
def zone() -> None:
    """The operator's hand on zones, and how assigners judge them; needs an [operator] section."""


def _hand(path: str, name: str, what: str, pace: float) -> None:
    from puffintide.cli.hand import HandError, order
    from puffintide.cli.processes import tls_of

    config = _load(path, "operator")
    try:
        standing = order(config, name, what, pace, tls_of(config))
    except HandError as error:
        raise Failure(str(error)) from None
    for hand in standing.commands:
        name = config.deployment.zones[hand.zone]
        click.echo(
            f"zone {name}: {hand.operation}, pace {hand.pace:g}, by {hand.operator}, order {hand.sequence}"
        )


CONFIG = click.option("--config", "path", required=True, help="INI file with an [operator] section.")
PACE = click.option(
    "--pace", type=click.FloatRange(0.1, 10), default=1.0, help="Of its steps; 1 is the usual."
)


@zone.command("drain")
@click.argument("name")
@CONFIG
@PACE
def zone_drain(name: str, path: str, pace: float) -> None:
    """Moves a zone's slices away step by step, as far as others have room, and keeps it out."""
    _hand(path, name, "drain", pace)


@zone.command("hold")
@click.argument("name")
@CONFIG
def zone_hold(name: str, path: str) -> None:
    """Keeps a zone out at once. It is still used where nothing else is left."""
    _hand(path, name, "hold", 1.0)


@zone.command("return")
@click.argument("name")
@CONFIG
@PACE
def zone_return(name: str, path: str, pace: float) -> None:
    """Lets a zone that was drained or held come back, step by step."""
    _hand(path, name, "return", pace)


@zone.command("show")
@CONFIG
def zone_show(path: str) -> None:
    """How each assigner judges each zone. Exit 1 if one does not answer."""
    from puffintide.cli.hand import show
    from puffintide.cli.processes import tls_of
    from puffintide.protocol.messages import ZoneStatusReport

    config = _load(path, "operator")
    names = config.deployment.zones
    table = Table("assigner", "zone", "phase", "why", "there", "bound", "losses", "its load goes to")
    missing = 0
    for address, answer in show(config, tls_of(config)).items():
        if not isinstance(answer, ZoneStatusReport):
            table.add_row(address, "", answer)
            missing += 1
            continue
        if not answer.zone_plan_enabled:
            table.add_row(str(answer.assigner_id), "", "no zone plan ([zones] plan = no)")
        for row in answer.zones:
            spill = ", ".join(f"{names[z]} {share:.0%}" for z, share in row.spillover)
            spill += f", beyond {row.unplaced_fraction:.0%}" if spill else ""
            why = row.cause + (f", {row.hold_remaining_s:.0f} s more" if row.phase == "held" else "")
            table.add_row(
                str(answer.assigner_id),
                names[row.zone],
                row.phase,
                why,
                f"{row.available_fraction:.0%}",
                f"{row.min_capacity_fraction:.2f} to {row.max_capacity_fraction:.2f}",
                str(row.flap_count),
                spill,
            )
    out_console.print(table)
    sys.exit(1 if missing else 0)


@cli.command()
@click.argument("folder")
@click.argument("names", nargs=-1)
@click.option("--deployment", default="default")
@click.option("--days", default=90.0)
def keys(folder: str, names: tuple[str, ...], deployment: str, days: float) -> None:
    """Makes a development authority in FOLDER, and certificates for NAMES such as assigner-0, proxy-3, store-0."""
    from puffintide.tls.keys import KeyFailure, make_authority, make_certificate

    where = Path(folder)
    try:
        if not (where / "ca.pem").exists():
            make_authority(where)
            click.echo(f"{where / 'ca.pem'}: written")
        for name in names:
            role, _, number = name.rpartition("-")
            if not role or not number.isdigit():
                raise KeyFailure(f"{name!r} is not ROLE-NUMBER")
            make_certificate(where, f"{name}.{deployment}.puffintide", days)
            click.echo(f"{where / f'{name}.{deployment}.puffintide.pem'}: written")
    except KeyFailure as error:
        raise Failure(str(error)) from None


@cli.group()
def standin() -> None:
    """Stand-ins of a day; `day run` starts them."""


@standin.command("fleet")
@click.option("--out", required=True)
def standin_fleet(out: str) -> None:
    """Session servers and their list."""
    from puffintide.cli.processes import run_fleet

    run_fleet(Path(out))


@standin.command("tap")
@click.option("--out", required=True)
def standin_tap(out: str) -> None:
    """The relay that records."""
    from puffintide.cli.processes import run_tap

    run_tap(Path(out))


@standin.command("proxies")
@click.option("--out", required=True)
@click.option("--first", type=int, required=True)
@click.option("--last", type=int, required=True)
def standin_proxies(out: str, first: int, last: int) -> None:
    """Plain dispatchers, numbered from first up to last."""
    from puffintide.cli.processes import run_proxies

    run_proxies(Path(out), first, last)


@standin.command("clients")
@click.option("--out", required=True)
def standin_clients(out: str) -> None:
    """Clients that play the day's requests."""
    from puffintide.cli.processes import run_clients

    run_clients(Path(out))


@cli.group()
def day() -> None:
    """Scripted days on loopback."""


@day.command("check")
@click.argument("file")
def day_check(file: str) -> None:
    """Checks a day's script without running it."""
    from puffintide.scenarios.faults import plan

    config = _load(file, "day", "fleet", "load")
    steps = plan(config, config.day.seed if config.day else 0)
    click.echo(f"{file}: good ({len(config.faults)} faults, {len(steps)} steps)")


@day.command("import")
@click.argument("source")
@click.argument("target")
@click.option(
    "--scale", type=click.FloatRange(0.01, 4), default=1.0, help="Of servers, proxies, slices, load."
)
@click.option("--length", type=float, default=None, help="Cuts the day, seconds.")
def day_import(source: str, target: str, scale: float, length: float | None) -> None:
    """Turns a day drawn by the users' bench into a script."""
    import json

    from puffintide.scenarios.importer import ImportFailure, turn

    try:
        text = turn(json.loads(Path(source).read_text(encoding="utf-8")), scale, length)
        Path(target).write_text(text, encoding="utf-8")
    except (OSError, ValueError, ImportFailure) as error:
        raise Failure(f"{source}: {error}") from None
    _load(target, "day", "fleet", "load")
    click.echo(f"{target}: written")


@day.command("run")
@click.argument("file")
@click.option("--out", required=True, help="Folder for records, logs and configurations.")
@click.option("--seed", type=int, default=None, help="Instead of the script's own.")
@click.option("--quiet", is_flag=True, help="No progress bar.")
def day_run(file: str, out: str, seed: int | None, quiet: bool) -> None:
    """Plays a day, audits it and prints the verdict. Exit: 0 kept, 1 a rule broke, 2 bad input, 3 can't tell."""
    from puffintide.scenarios.place import PortError
    from puffintide.scenarios.runner import DayError, Player

    config = _load(file, "day", "fleet", "load")
    text = Path(file).read_text(encoding="utf-8")
    if seed is not None:
        text = _with_seed(text, seed)
    assert config.day is not None
    player = Player(config, text, Path(out), config.day.seed if seed is None else seed)
    try:
        if quiet:
            player.play()
        else:
            _with_progress(player)
    except (DayError, PortError) as error:
        raise Failure(str(error)) from None
    except KeyboardInterrupt:
        raise Failure("stopped by hand; no verdict") from None
    sys.exit(_verdict(Path(out)))


def _with_seed(text: str, seed: int) -> str:
    import configparser
    import io

    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
    parser.read_string(text)
    parser["day"]["seed"] = str(seed)
    made = io.StringIO()
    parser.write(made)
    return made.getvalue()


def _with_progress(player: Any) -> None:
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("starting", total=1.0)
        player.tell = lambda text, share: progress.update(task, description=text, completed=share)
        player.play()


@day.command("kinds")
@click.argument("file")
@click.option("--out", required=True, help="Folder for each day's records.")
@click.option("--seed", type=int, default=1)
@click.option("--jobs", type=click.IntRange(1, 8), default=2, help="Days played at once.")
@click.option("--only", multiple=True, help="Kinds to play; by default all.")
@click.option("--table", default="", help="A file for the table, Markdown.")
def day_kinds(file: str, out: str, seed: int, jobs: int, only: tuple[str, ...], table: str) -> None:
    """Plays every kind of trouble alone over a day's fleet and load; one row each."""
    from puffintide.audit.report import Rule
    from puffintide.scenarios.kinds import KINDS, play_all

    _load(file, "day", "fleet", "load")
    names = list(only) or list(KINDS)
    unknown = [n for n in names if n not in KINDS]
    if unknown:
        raise Failure(f"unknown kinds {', '.join(unknown)}; allowed: {', '.join(KINDS)}")
    text = Path(file).read_text(encoding="utf-8")
    found = play_all(
        text, Path(out), names, seed, jobs, lambda name, v: click.echo(_one_line(name, v), err=True)
    )
    head = ["kind", "rules", "nearest", "worth served", "worst 10 s", "drain max s"]
    lines = [head, ["---"] * len(head)]
    worst = 0
    for name, verdict in found.items():
        if isinstance(verdict, str):
            lines.append([name, f"not played: {verdict}", "", "", "", ""])
            worst = max(worst, 3)
            continue
        report = verdict.report
        broken = sorted({f.rule for f in report.findings})
        word = "BROKEN: " + ", ".join(broken) if broken else "unknown" if verdict.gaps else "kept"
        near = max(Rule, key=lambda rule: report.peak_ratios[rule])
        drain = f"{report.drain_durations_s[-1]:.2f}" if report.drain_durations_s else ""
        shares = f"{verdict.service.score:.3f}", f"{verdict.service.worst_window_score:.3f}"
        lines.append([name, word, f"{near} {report.peak_ratios[near]:.0%}", *shares, drain])
        worst = 1 if broken else max(worst, verdict.exit_code)
    text = "\n".join("| " + " | ".join(row) + " |" for row in lines)
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")
    sys.exit(worst)


def _one_line(name: str, verdict: Any) -> str:
    return f"{name}: {verdict if isinstance(verdict, str) else f'exit {verdict.exit_code}'}"


@cli.command()
@click.argument("folder")
def audit(folder: str) -> None:
    """Judges the records of a day again. Exit codes as of `day run`."""
    sys.exit(_verdict(Path(folder)))


def _verdict(folder: Path) -> int:
    from puffintide.audit.errors import RecordError
    from puffintide.audit.report import Rule
    from puffintide.scenarios.results import evaluate, quantile

    try:
        verdict = evaluate(folder)
    except ConfigError as error:
        raise Failure(str(error)) from None
    except (RecordError, OSError) as error:
        raise Failure(str(error)) from None
    report, service = verdict.report, verdict.service
    table = Table(
        "rule", "verdict", "cases", "nearest to its limit", title=f"Rules, from the records in {folder}"
    )
    for rule in Rule:
        broken = sum(f.rule == rule for f in report.findings)
        kept = "kept" if report.case_counts[rule] else "no case"
        word = f"BROKEN {broken}x" if broken else "unknown" if verdict.gaps else kept
        table.add_row(rule, word, str(report.case_counts[rule]), f"{report.peak_ratios[rule]:.0%}")
    out_console.print(table)
    table = Table("class", "worth served", "p50 s", "p99 s", title="Service, as clients saw it (stand-ins)")
    for name, share in service.score_by_class.items():
        times = service.latencies_s.get(name, [])
        table.add_row(name, f"{share:.3f}", f"{quantile(times, 0.5):.3f}", f"{quantile(times, 0.99):.3f}")
    table.add_row("all", f"{service.score:.3f}", "", "")
    table.add_row("worst 10 s", f"{service.worst_window_score:.3f}", "", "")
    out_console.print(table)
    drain = report.drain_durations_s
    out_console.print(
        f"{service.request_count} requests; not served: "
        + (", ".join(f"{why} {n}" for why, n in sorted(service.failure_reasons.items())) or "none")
    )
    if drain:
        out_console.print(
            f"from hearing that a server drains or is gone to the last request sent there: "
            f"p50 {quantile(drain, 0.5):.2f} s, p99 {quantile(drain, 0.99):.2f} s, max {drain[-1]:.2f} s"
        )
    for finding in report.findings[:20]:
        out_console.print(
            f"{finding.rule}: at {finding.at_s:.3f}, {finding.subject}: {finding.value:.3g} beside "
            f"{finding.limit:.3g}, records {list(finding.records)}"
        )
    for gap in verdict.gaps[:10]:
        out_console.print(f"can't tell: {gap}")
    return verdict.exit_code

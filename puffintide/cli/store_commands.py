"""The store command group: runs the store, and looks after its files."""

from __future__ import annotations

import json
import sys

import click

from puffintide.cli.common import (
    load_config,
    operator_client,
    operator_config_option,
    require_file,
)
from puffintide.cli.errors import CommandError
from puffintide.protocol.messages import BackupRequest, Message, RestoreFromReplicas


@click.group(invoke_without_command=True)
@click.option("--config", "path", default="", help="INI file with a [store] section.")
@click.pass_context
def store(context: click.Context, path: str) -> None:
    """Runs the store of tables and ownership; with a command, looks after its files."""
    from puffintide.cli.processes import run_store

    if context.invoked_subcommand is not None:
        return
    if not path:
        raise CommandError("--config is missing")
    run_store(load_config(path, "store"))


def send_to_store(path: str, message: Message) -> str:
    """Send an operator's order to the store of a configuration, and return its note.

    Raises:
        OperatorError: The store did not accept it.
    """
    return operator_client(load_config(path, "operator")).send_to_store(message)


@store.command("backup")
@click.argument("name")
@operator_config_option
def backup(name: str, path: str) -> None:
    """Has a running store write a backup NAME into its folder for them."""
    click.echo(send_to_store(path, BackupRequest(name)))


@store.command("restore")
@click.argument("backup")
@click.argument("file")
def restore(backup: str, file: str) -> None:
    """Puts BACKUP in place of a stopped store's FILE, which is kept as FILE.before."""
    from puffintide.store.errors import StoreError
    from puffintide.store.sqlite_restore import restore_backup

    try:
        snapshot = restore_backup(backup, file)
    except (StoreError, OSError) as error:
        raise CommandError(str(error)) from error
    slice_count = len(snapshot.slices)
    click.echo(f"{file}: revision {snapshot.revision}, {slice_count} slices, now store {snapshot.store_id}")


@store.command("verify")
@click.argument("file")
def verify(file: str) -> None:
    """Checks every row of a stopped store's FILE, or of a backup. Exit 1 if something is damaged."""
    from puffintide.store.errors import StoreError
    from puffintide.store.sqlite import SqliteEngine

    require_file(file)
    try:
        engine = SqliteEngine(file)
        problems = engine.problems()
        engine.close()
    except StoreError as error:
        problems = [str(error)]
    for problem in problems:
        click.echo(problem)
    if problems:
        sys.exit(1)
    click.echo(f"{file}: whole")


@store.command("dump")
@click.argument("file")
def dump(file: str) -> None:
    """Prints the contents of a stopped store's FILE, or of a backup, as JSON lines."""
    from puffintide.store.errors import StoreError
    from puffintide.store.sqlite import SqliteEngine

    require_file(file)
    try:
        engine = SqliteEngine(file)
        snapshot = engine.load()
        engine.close()
    except StoreError as error:
        raise CommandError(str(error)) from error
    _print_row(store=snapshot.store_id, revision=snapshot.revision, token=snapshot.highest_token)
    for slice_id, state in sorted(snapshot.slices.items()):
        _print_row(
            slice=slice_id,
            assigner=state.owner_id,
            token=state.fencing_token,
            pin=state.home_override,
            revision=snapshot.slice_revisions[slice_id],
            lines=[[entry.server_id, entry.weight, entry.address] for entry in state.entries],
        )
    for zone, command in sorted(snapshot.zone_commands.items()):
        _print_row(zone=zone, hand=command.operation, pace=command.pace, by=command.operator)


def _print_row(**fields: object) -> None:
    click.echo(json.dumps(fields))


@store.command("refill")
@operator_config_option
def refill(path: str) -> None:
    """Has an empty store with `refill = yes` go on with the tables of the assigners that have answered."""
    send_to_store(path, RestoreFromReplicas("operator"))
    click.echo("refilled; see its log for how many tables, from whom")

"""Commands that run the store and manage its files."""

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
    """Run the store of tables and ownership. A subcommand manages its files."""
    from puffintide.cli.processes import run_store

    if context.invoked_subcommand is not None:
        return
    if not path:
        raise CommandError("store: option --config is missing")
    run_store(load_config(path, "store"))


def send_to_store(path: str, message: Message) -> str:
    """Send an operator's command to the store, and return the note in its response.

    Args:
        path: Path of an INI file with an [operator] section.
        message: The command.

    Returns:
        The store's note; empty if there is none.

    Raises:
        OperatorError: The store did not accept the command.
    """
    return operator_client(load_config(path, "operator")).send_to_store(message)


@store.command("backup")
@click.argument("name")
@operator_config_option
def backup(name: str, path: str) -> None:
    """Write a backup of a running store. The store writes NAME into its folder for backups."""
    click.echo(send_to_store(path, BackupRequest(name)))


@store.command("restore")
@click.argument("backup")
@click.argument("file")
def restore(backup: str, file: str) -> None:
    """Replace a stopped store's FILE with BACKUP. The old file is kept as FILE.before."""
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
    """Check every row of a stopped store's FILE or of a backup. The exit code is 1 if one is damaged."""
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
    """Print the contents of a stopped store's FILE or of a backup as JSON lines."""
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
    """Restore the tables of an empty store now.

    The store must have `refill = yes`. It uses the replicas of the assigners that have responded so far.
    """
    send_to_store(path, RestoreFromReplicas("operator"))
    click.echo("refilled; the store's log has the number of tables and their assigners")

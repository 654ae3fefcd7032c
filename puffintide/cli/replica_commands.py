"""Commands that show and compare the assigners' replicas of each other."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING

import click
from rich.table import Table

from puffintide.cli.common import console, load_config, operator_client, operator_config_option

if TYPE_CHECKING:
    from puffintide.replication.replica import Replica


def _read_replicas(path: str) -> dict[str, Replica | str]:
    return operator_client(load_config(path, "operator")).read_replicas()


def _conflicts(replicas: Mapping[str, Replica | str]) -> list[str]:
    from puffintide.replication.table_replicas import table_conflicts

    available = {address: replica for address, replica in replicas.items() if not isinstance(replica, str)}
    return table_conflicts(available)


@click.group("copies")
def copies() -> None:
    """Show and compare the assigners' replicas. Needs an [operator] section that lists the assigners."""


@copies.command("show")
@operator_config_option
def show(path: str) -> None:
    """Show the origins, versions and ages in each assigner's replica, and the tables that conflict.

    The conflicts follow the table, each with the version that takes precedence. The exit code is 1 if an
    assigner did not respond.
    """
    table = Table("assigner", "origin", "life", "up to", "tables", "others", "youngest s", "oldest s")
    replicas = _read_replicas(path)
    for address, replica in replicas.items():
        if isinstance(replica, str):
            table.add_row(address, replica, "", "", "", "", "", "")
        else:
            _add_rows(table, address, replica)
    console.print(table)
    for conflict in _conflicts(replicas):
        click.echo(conflict)
    sys.exit(int(any(isinstance(replica, str) for replica in replicas.values())))


def _add_rows(table: Table, address: str, replica: Replica) -> None:
    from puffintide.replication.replica import NONCE_BITS

    for origin_id, state in sorted(replica.origin_states.items()):
        if origin_id < 0:
            continue
        ages_s = [-row.observed_at_s for row in state.rows.values()] or [0.0]
        table_count = sum(row_type == "table" for row_type, _ in state.rows)
        table.add_row(
            address,
            str(origin_id),
            str(state.incarnation >> NONCE_BITS),
            str(state.sequence),
            str(table_count),
            str(len(state.rows) - table_count),
            f"{min(ages_s):.1f}",
            f"{max(ages_s):.1f}",
        )


@copies.command("check")
@operator_config_option
def check(path: str) -> None:
    """Check that the assigners hold the same tables.

    Print one line for each table that differs and each assigner that does not respond; the exit code is 1 if
    there is any.
    """
    replicas = _read_replicas(path)
    problems = [f"{address}: {reason}" for address, reason in replicas.items() if isinstance(reason, str)]
    problems += _conflicts(replicas)
    for problem in problems:
        click.echo(problem)
    if not problems:
        click.echo(f"{len(replicas)} assigners hold the same tables")
    sys.exit(int(bool(problems)))

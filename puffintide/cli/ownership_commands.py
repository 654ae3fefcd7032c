"""Commands that show and change which assigner owns which slices."""

from __future__ import annotations

import click
from rich.table import Table

from puffintide.cli.common import console, load_config, operator_client, operator_config_option
from puffintide.cli.errors import CommandError
from puffintide.cli.store_commands import send_to_store
from puffintide.protocol.messages import MigrateSlices

MAX_RANGE_LENGTH = 100_000
MAX_SHOWN_RANGES = 20


@click.group("charge")
def charge() -> None:
    """Show and change which assigner owns which slices. Needs an [operator] section."""


@charge.command("move")
@click.argument("slices")
@click.argument("assigner", type=int)
@operator_config_option
def move(slices: str, assigner: int, path: str) -> None:
    """Set ASSIGNER as the home of SLICES, such as 3,7 or 10-19.

    The assigner -1 restores their default homes. The slices migrate step by step.
    """
    slice_ids = parse_slices(slices)
    send_to_store(path, MigrateSlices(slice_ids, assigner, "operator"))
    click.echo(f"{len(slice_ids)} slices have their home at assigner {assigner}")


def parse_slices(text: str) -> list[int]:
    """Parse comma-separated numbers and ranges of slices.

    Raises:
        CommandError: The text has another form, or a range is too long.
    """
    slice_ids: list[int] = []
    for word in text.split(","):
        first, dash, last = word.partition("-")
        last = last if dash else first
        valid = first.isdigit() and last.isdigit()
        if not valid or int(last) - int(first) > MAX_RANGE_LENGTH:
            raise CommandError(
                f"slices {text!r}: must be comma-separated numbers or ranges, such as 3,7 or 10-19"
            )
        slice_ids += range(int(first), int(last) + 1)
    return slice_ids


@charge.command("show")
@operator_config_option
def show(path: str) -> None:
    """Show how many slices each assigner owns, and which."""
    ownerships = operator_client(load_config(path, "operator")).read_ownerships()
    table = Table("assigner", "slices", "which")
    for owner_id in sorted({ownership.owner_id for ownership in ownerships}):
        owned = [ownership.slice_id for ownership in ownerships if ownership.owner_id == owner_id]
        owner = "nobody" if owner_id < 0 else str(owner_id)
        table.add_row(owner, str(len(owned)), format_ranges(owned))
    console.print(table)


def format_ranges(numbers: list[int]) -> str:
    """Format numbers as ranges, such as "3, 10-19"; after MAX_SHOWN_RANGES the list is truncated."""
    ranges: list[list[int]] = []
    for number in sorted(numbers):
        if ranges and number == ranges[-1][-1] + 1:
            ranges[-1] = [ranges[-1][0], number]
        else:
            ranges.append([number])
    shown = ", ".join("-".join(map(str, bounds)) for bounds in ranges[:MAX_SHOWN_RANGES])
    return shown + (", ..." if len(ranges) > MAX_SHOWN_RANGES else "")

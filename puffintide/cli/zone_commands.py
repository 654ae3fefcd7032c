"""The zone command group: an operator's commands for zones, and how assigners judge them."""

from __future__ import annotations

import sys

import click
from rich.table import Table

from puffintide.cli.common import console, load_config, operator_client, operator_config_option
from puffintide.protocol.messages import ZoneStatus, ZoneStatusReport

USUAL_PACE = 1.0

pace_option = click.option(
    "--pace", type=click.FloatRange(0.1, 10), default=USUAL_PACE, help="Of its steps; 1 is the usual."
)


@click.group("zone")
def zone() -> None:
    """An operator's commands for zones, and how assigners judge them; needs an [operator] section."""


def _send(path: str, name: str, operation: str, pace: float) -> None:
    config = load_config(path, "operator")
    in_force = operator_client(config).request_zone_command(name, operation, pace)
    for command in in_force.commands:
        click.echo(
            f"zone {config.deployment.zones[command.zone]}: {command.operation}, pace {command.pace:g}, "
            f"by {command.operator}, order {command.sequence}"
        )


@zone.command("drain")
@click.argument("name")
@operator_config_option
@pace_option
def drain(name: str, path: str, pace: float) -> None:
    """Migrates a zone's slices away step by step, as far as others have capacity, and keeps it out."""
    _send(path, name, "drain", pace)


@zone.command("hold")
@click.argument("name")
@operator_config_option
def hold(name: str, path: str) -> None:
    """Keeps a zone out at once. It is still used where nothing else is left."""
    _send(path, name, "hold", USUAL_PACE)


@zone.command("return")
@click.argument("name")
@operator_config_option
@pace_option
def return_(name: str, path: str, pace: float) -> None:
    """Lets a zone that was drained or held come back, step by step."""
    _send(path, name, "return", pace)


@zone.command("show")
@operator_config_option
def show(path: str) -> None:
    """How each assigner judges each zone. Exit 1 if one does not answer."""
    config = load_config(path, "operator")
    table = Table("assigner", "zone", "phase", "why", "there", "bound", "losses", "its load goes to")
    missing = 0
    for address, report in operator_client(config).read_zone_status().items():
        if not isinstance(report, ZoneStatusReport):
            table.add_row(address, "", report)
            missing += 1
            continue
        if not report.zone_plan_enabled:
            table.add_row(str(report.assigner_id), "", "no zone plan ([zones] plan = no)")
        for status in report.zones:
            _add_row(table, report.assigner_id, status, config.deployment.zones)
    console.print(table)
    sys.exit(1 if missing else 0)


def _add_row(table: Table, assigner_id: int, status: ZoneStatus, zones: list[str]) -> None:
    spillover = ", ".join(f"{zones[zone]} {fraction:.0%}" for zone, fraction in status.spillover)
    if spillover:
        spillover += f", beyond {status.unplaced_fraction:.0%}"
    cause = status.cause
    if status.phase == "held":
        cause += f", {status.hold_remaining_s:.0f} s more"
    table.add_row(
        str(assigner_id),
        zones[status.zone],
        status.phase,
        cause,
        f"{status.available_fraction:.0%}",
        f"{status.min_capacity_fraction:.2f} to {status.max_capacity_fraction:.2f}",
        str(status.flap_count),
        spillover,
    )

"""Commands that drain, hold and return zones, and that show the assigners' status of them."""

from __future__ import annotations

import sys

import click
from rich.table import Table

from puffintide.cli.common import console, load_config, operator_client, operator_config_option
from puffintide.protocol.messages import ZoneStatus, ZoneStatusReport

DEFAULT_PACE = 1.0

pace_option = click.option(
    "--pace",
    type=click.FloatRange(0.1, 10),
    default=DEFAULT_PACE,
    help="Speed of the steps, as a factor; 1 is the default.",
)


@click.group("zone")
def zone() -> None:
    """Drain, hold and return zones, and show their status. Needs an [operator] section."""


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
    """Migrate a zone's slices away step by step.

    The slices migrate as far as the other zones have capacity. The zone is kept out of use.
    """
    _send(path, name, "drain", pace)


@zone.command("hold")
@click.argument("name")
@operator_config_option
def hold(name: str, path: str) -> None:
    """Take a zone out of use at once.

    The zone is still used where no other servers are left.
    """
    _send(path, name, "hold", DEFAULT_PACE)


@zone.command("return")
@click.argument("name")
@operator_config_option
@pace_option
def return_(name: str, path: str, pace: float) -> None:
    """Return a drained or held zone to use, step by step."""
    _send(path, name, "return", pace)


@zone.command("show")
@operator_config_option
def show(path: str) -> None:
    """Show each assigner's status of each zone. The exit code is 1 if one does not respond."""
    config = load_config(path, "operator")
    table = Table("assigner", "zone", "phase", "why", "there", "bound", "losses", "its load goes to")
    missing_count = 0
    for address, report in operator_client(config).read_zone_status().items():
        if not isinstance(report, ZoneStatusReport):
            table.add_row(address, "", report)
            missing_count += 1
            continue
        if not report.zone_plan_enabled:
            table.add_row(str(report.assigner_id), "", "no zone plan ([zones] plan = no)")
        for status in report.zones:
            _add_row(table, report.assigner_id, status, config.deployment.zones)
    console.print(table)
    sys.exit(1 if missing_count else 0)


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

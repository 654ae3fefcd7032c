"""Entry point of the puffintide command, with all its subcommands.

Each command reads its arguments, calls the package that does the work, and prints the result.
"""

from __future__ import annotations

import click

from puffintide.cli.emulator_commands import standin
from puffintide.cli.key_commands import keys
from puffintide.cli.ownership_commands import charge
from puffintide.cli.process_commands import assigner, check_config, proxy
from puffintide.cli.replica_commands import copies
from puffintide.cli.scenario_commands import audit, day
from puffintide.cli.store_commands import store
from puffintide.cli.zone_commands import zone


@click.group()
@click.version_option(package_name="puffintide", prog_name="puffintide")
def cli() -> None:
    """Run and operate a traffic director, which sends tables to proxies and limits the effect of failures."""


for command in (check_config, assigner, store, copies, charge, proxy, zone, keys, standin, day, audit):
    cli.add_command(command)

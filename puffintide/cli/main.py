"""puffintide: the commands. Each reads its arguments, calls the package that does the work, and prints."""

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
    """A traffic director: hands tables to plain proxies and keeps service good when things fail."""


for command in (check_config, assigner, store, copies, charge, proxy, zone, keys, standin, day, audit):
    cli.add_command(command)

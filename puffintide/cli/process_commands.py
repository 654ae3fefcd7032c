"""Commands that check a configuration or run one process of a deployment."""

from __future__ import annotations

import click

from puffintide.cli.common import load_config


@click.command("check-config")
@click.argument("file")
def check_config(file: str) -> None:
    """Check an INI file, and report all its errors."""
    config = load_config(file)
    click.echo(
        f"{file}: good ({config.deployment.name}: {config.deployment.slices} slices, "
        f"{config.deployment.assigners} assigners, {len(config.classes)} classes)"
    )


@click.command()
@click.option("--config", "path", required=True, help="INI file with an [assigner] section.")
@click.option("--life", default=0, help="Incarnation of this assigner; 0 means the time in seconds.")
def assigner(path: str, life: int) -> None:
    """Run an assigner until it is stopped."""
    from puffintide.cli.processes import run_assigner

    run_assigner(load_config(path, "assigner"), life)


@click.command()
@click.option("--config", "path", required=True, help="INI file with a [proxy] section.")
def proxy(path: str) -> None:
    """Run a proxy until it is stopped."""
    from puffintide.cli.processes import run_proxy

    run_proxy(load_config(path, "proxy"))

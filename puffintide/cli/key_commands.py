"""Command that creates a development certificate authority and certificates."""

from __future__ import annotations

from pathlib import Path

import click

from puffintide.cli.errors import CommandError


@click.command()
@click.argument("folder")
@click.argument("names", nargs=-1)
@click.option("--deployment", default="default")
@click.option("--days", default=90.0)
def keys(folder: str, names: tuple[str, ...], deployment: str, days: float) -> None:
    """Create a development authority and certificates.

    The authority is created in FOLDER if there is none, and a certificate for each of NAMES. A name is
    ROLE-NUMBER, such as assigner-0, proxy-3 or store-0.
    """
    from puffintide.tls.errors import KeyCreationError
    from puffintide.tls.keys import create_authority, create_certificate

    path = Path(folder)
    try:
        if not (path / "ca.pem").exists():
            create_authority(path)
            click.echo(f"{path / 'ca.pem'}: written")
        for name in names:
            role, _, number = name.rpartition("-")
            if not role or not number.isdigit():
                raise KeyCreationError(f"name {name!r} must be ROLE-NUMBER, such as assigner-0")
            dns_name = f"{name}.{deployment}.puffintide"
            create_certificate(path, dns_name, days)
            click.echo(f"{path / dns_name}.pem: written")
    except KeyCreationError as error:
        raise CommandError(str(error)) from error

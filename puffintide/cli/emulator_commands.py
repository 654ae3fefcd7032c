"""The standin command group: the emulators of a scenario, which `day run` starts."""

from __future__ import annotations

from pathlib import Path

import click


@click.group("standin")
def standin() -> None:
    """Emulators of a scenario; `day run` starts them."""


@standin.command("fleet")
@click.option("--out", required=True)
def fleet(out: str) -> None:
    """Session servers and their list."""
    from puffintide.cli.emulator_processes import run_fleet

    run_fleet(Path(out))


@standin.command("tap")
@click.option("--out", required=True)
def tap(out: str) -> None:
    """The proxy that records what passes between the parties."""
    from puffintide.cli.emulator_processes import run_tap

    run_tap(Path(out))


@standin.command("proxies")
@click.option("--out", required=True)
@click.option("--first", type=int, required=True)
@click.option("--last", type=int, required=True)
def proxies(out: str, first: int, last: int) -> None:
    """Plain proxies, numbered from first up to last."""
    from puffintide.cli.emulator_processes import run_proxies

    run_proxies(Path(out), first, last)


@standin.command("clients")
@click.option("--out", required=True)
def clients(out: str) -> None:
    """Clients that send the scenario's requests."""
    from puffintide.cli.emulator_processes import run_clients

    run_clients(Path(out))

"""Commands that run the emulators of a scenario."""

from __future__ import annotations

from pathlib import Path

import click


@click.group("standin")
def standin() -> None:
    """Run the emulators of a scenario. `day run` starts these commands."""


@standin.command("fleet")
@click.option("--out", required=True)
def fleet(out: str) -> None:
    """Run the emulated session servers and the endpoint list."""
    from puffintide.cli.emulator_processes import run_fleet

    run_fleet(Path(out))


@standin.command("tap")
@click.option("--out", required=True)
def tap(out: str) -> None:
    """Run the recording proxy, which records the messages between processes."""
    from puffintide.cli.emulator_processes import run_recording_proxy

    run_recording_proxy(Path(out))


@standin.command("proxies")
@click.option("--out", required=True)
@click.option("--first", type=int, required=True)
@click.option("--last", type=int, required=True)
def proxies(out: str, first: int, last: int) -> None:
    """Run the proxies with ids from FIRST up to, but not including, LAST."""
    from puffintide.cli.emulator_processes import run_proxies

    run_proxies(Path(out), first, last)


@standin.command("clients")
@click.option("--out", required=True)
def clients(out: str) -> None:
    """Run the clients, which send the requests of the scenario."""
    from puffintide.cli.emulator_processes import run_clients

    run_clients(Path(out))

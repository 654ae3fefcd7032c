"""What the commands share: how they read a configuration, reach the operator's peers, and print."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click
from rich.console import Console

from puffintide.cli.errors import CommandError
from puffintide.config.errors import ConfigError
from puffintide.config.loader import read_config
from puffintide.config.model import Config

if TYPE_CHECKING:
    from puffintide.cli.operator_client import OperatorClient

console = Console(highlight=False)
operator_config_option = click.option(
    "--config", "path", required=True, help="INI file with an [operator] section."
)


def load_config(path: str, *required_sections: str) -> Config:
    """Read a configuration file.

    Raises:
        CommandError: It is invalid, or lacks a section; with a line for each fault.
    """
    try:
        return read_config(path, required_sections)
    except ConfigError as error:
        raise CommandError(str(error)) from error


def require_file(path: str) -> None:
    """Check that a file exists.

    Raises:
        CommandError: It does not.
    """
    if not Path(path).is_file():
        raise CommandError(f"{path}: is not there")


def operator_client(config: Config) -> OperatorClient:
    """A client for the [operator] section of a configuration, with its certificates."""
    from puffintide.cli.operator_client import OperatorClient
    from puffintide.cli.process_runtime import tls_contexts
    from puffintide.logs import setup

    return OperatorClient(config, tls_contexts(config, setup("operator")))

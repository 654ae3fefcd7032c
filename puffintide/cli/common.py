"""Helpers that the commands share: reading a configuration, connecting as an operator, and printing."""

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
    """Read and validate a configuration file.

    Args:
        path: Path of the INI file.
        *required_sections: Titles of the sections that must be present in addition to [deployment].

    Returns:
        The validated configuration.

    Raises:
        CommandError: The file is invalid or lacks a section; the message has one line for each error.
    """
    try:
        return read_config(path, required_sections)
    except ConfigError as error:
        raise CommandError(str(error)) from error


def require_file(path: str) -> None:
    """Check that a file exists.

    Raises:
        CommandError: The file does not exist.
    """
    if not Path(path).is_file():
        raise CommandError(f"{path}: file does not exist")


def operator_client(config: Config) -> OperatorClient:
    """Create a client from the [operator] and [tls] sections of a configuration."""
    from puffintide.cli.operator_client import OperatorClient
    from puffintide.cli.process_runtime import tls_contexts
    from puffintide.logs import setup

    return OperatorClient(config, tls_contexts(config, setup("operator")))

"""Exceptions of the command line."""

from __future__ import annotations

from typing import IO, Any

import click


class CommandError(click.ClickException):
    """A command failed: one line for each fault, exit code 2."""

    exit_code = 2

    def show(self, file: IO[Any] | None = None) -> None:  # noqa: ARG002
        """Print the faults on stderr."""
        for line in self.message.splitlines():
            click.echo(f"puffintide: {line}", err=True)


class OperatorError(CommandError):
    """There is no response to an operator's request, or it was rejected."""

"""Exceptions of the command line."""

from __future__ import annotations

from typing import IO, Any

import click


class CommandError(click.ClickException):
    """Failure of a command; the message has one line for each error, and the exit code is 2."""

    exit_code = 2

    def show(self, file: IO[Any] | None = None) -> None:  # noqa: ARG002
        """Print each line of the message on stderr."""
        for line in self.message.splitlines():
            click.echo(f"puffintide: {line}", err=True)


class OperatorError(CommandError):
    """Rejection of an operator's request, or lack of a response to it."""

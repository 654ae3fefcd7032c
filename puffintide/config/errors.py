"""Exceptions of the config package."""

from __future__ import annotations


class ConfigError(Exception):
    """A configuration is invalid; `lines` has one for each fault."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines

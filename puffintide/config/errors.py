"""Exceptions of the config package."""

from __future__ import annotations


class ConfigError(Exception):
    """Invalid configuration; `lines` holds one message for each error."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines

"""Errors of the emulators."""

from __future__ import annotations


class EmulatorError(Exception):
    """Base of all errors of the emulators."""


class MissingSectionError(EmulatorError):
    """The configuration lacks a section that an emulator needs."""

    def __init__(self, sections: tuple[str, ...]) -> None:
        names = ", ".join(f"[{section}]" for section in sections)
        super().__init__(f"the configuration needs all of these sections: {names}")


class InvalidCommandError(EmulatorError):
    """An argument of a command has a wrong type."""

    def __init__(self, operation: str, argument: str, value: object) -> None:
        super().__init__(f"command {operation!r}: argument {argument!r} is {value!r}")

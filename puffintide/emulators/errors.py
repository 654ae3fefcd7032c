"""Exceptions of the emulators."""

from __future__ import annotations


class EmulatorError(Exception):
    """Base class of all exceptions of the emulators."""


class MissingSectionError(EmulatorError):
    """Raised if the configuration lacks a section that an emulator needs."""

    def __init__(self, sections: tuple[str, ...]) -> None:
        names = ", ".join(f"[{section}]" for section in sections)
        super().__init__(f"cannot run the emulator: the configuration must have all of the sections {names}")


class InvalidCommandError(EmulatorError):
    """Raised if an argument of a command has the wrong type."""

    def __init__(self, operation: str, argument: str, value: object) -> None:
        super().__init__(f"command {operation!r}: argument {argument!r} has the wrong type: {value!r}")

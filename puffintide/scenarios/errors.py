"""Exceptions of the scenarios package."""

from __future__ import annotations


class ScenarioError(Exception):
    """Base class of the package's exceptions."""


class PlayError(ScenarioError):
    """A scenario could not be played; the text says what went wrong."""


class PortError(ScenarioError):
    """No port is free."""


class ImportFormatError(ScenarioError):
    """A file is not a day that can be turned into a script; the text says where."""

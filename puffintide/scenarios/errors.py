"""Exceptions of the scenarios package."""

from __future__ import annotations


class ScenarioError(Exception):
    """Base class of the package's exceptions."""


class ScenarioRunError(ScenarioError):
    """Raised when a scenario cannot be run to its end."""


class PortError(ScenarioError):
    """Raised when no free port is left in a range."""


class ImportFormatError(ScenarioError):
    """Raised when a file is not a bench scenario that can be converted to a script."""

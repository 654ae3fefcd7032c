"""Structured logging with structlog: JSON lines on stderr or in a file."""

from __future__ import annotations

import logging
import sys
from typing import Any, Protocol

import structlog


class Logger(Protocol):
    """The part of structlog's logger interface that the program uses: an event name and its fields."""

    def info(self, event: str, **fields: Any) -> Any:
        """Log an expected event."""

    def warning(self, event: str, **fields: Any) -> Any:
        """Log an event that an operator should know about."""

    def error(self, event: str, **fields: Any) -> Any:
        """Log an event that requires action by an operator."""


def setup(process: str, path: str = "", level: str = "info") -> Any:
    """Configure logging and return the logger of this process.

    Each line holds the process name, the level, the event and the wall-clock time in UTC.

    Args:
        process: Name of the process, added to each line.
        path: File to which lines are appended; stderr if empty.
        level: Lowest level that is logged.

    Returns:
        The structlog logger, bound to the process name.
    """
    target = open(path, "a", encoding="utf-8", buffering=1) if path else sys.stderr  # noqa: SIM115
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=target),
        cache_logger_on_first_use=False,
    )
    return structlog.get_logger().bind(process=process)

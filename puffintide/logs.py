"""Structured logs: JSON lines on stderr or to a file, by structlog."""

from __future__ import annotations

import logging
import sys
from typing import Any, Protocol

import structlog


class Logger(Protocol):
    """What the program uses of structlog's loggers: an event name, and its fields."""

    def info(self, event: str, **fields: Any) -> Any:
        """Log something that is to be expected."""

    def warning(self, event: str, **fields: Any) -> Any:
        """Log something that an operator should know of."""

    def error(self, event: str, **fields: Any) -> Any:
        """Log something that an operator has to act upon."""


def setup(process: str, path: str = "", level: str = "info") -> Any:
    """Configure logging, and return the logger of this process.

    Each line has the process, its level, the event and the wall-clock time (UTC).

    Args:
        process: Name of the process.
        path: The file that is appended to; empty: stderr.
        level: The lowest level that is logged.
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

"""Structured logs: JSON lines on stderr or to a file, by structlog."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog


def setup(process: str, path: str = "", level: str = "info") -> Any:
    """The logger of a process; each line names the process, its level, the event and wall-clock time (UTC)."""
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

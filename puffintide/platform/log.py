"""Writes the assigner's log as JSON lines to standard error, with a rate limit per event.

structlog is not used because of the process's tight memory limit.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

BURST_LINES = 20.0  # Maximum lines of one event in a burst.
LINES_PER_S = 2.0  # Maximum sustained rate of one event, in lines per second.

Log = Callable[..., None]  # Called as log("event", field=value, ...).


@dataclass(slots=True)
class _TokenBucket:
    """Token bucket that limits the rate of one event."""

    tokens: float
    updated_at_s: float
    skipped: int = 0


class EventLog:
    """Writes each call of log("event", field=value) as a JSON line.

    Lines over the rate limit are dropped, and their number is written in the field `skipped` of the next
    line.
    """

    def __init__(
        self,
        name: str,
        write: Callable[[str], Any] | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Open a log.

        Args:
            name: The name of this assigner, which is written in each line.
            write: A function that writes a line, by default to standard error.
            clock: A function that returns the monotonic time in seconds, for the rate limit.
            wall_clock: A function that returns the Unix time in seconds, for the timestamps.
        """
        self.name = name
        self._write = write or sys.stderr.write
        self._clock = clock
        self._wall_clock = wall_clock
        self._buckets: dict[str, _TokenBucket] = {}

    def __call__(self, event: str, **fields: Any) -> None:
        """Write one line, unless the event exceeds its rate limit."""
        now_s = self._clock()
        bucket = self._buckets.setdefault(event, _TokenBucket(BURST_LINES, now_s))
        bucket.tokens = min(BURST_LINES, bucket.tokens + (now_s - bucket.updated_at_s) * LINES_PER_S)
        bucket.updated_at_s = now_s
        if bucket.tokens < 1:
            bucket.skipped += 1
            return
        bucket.tokens -= 1
        row: dict[str, Any] = {"t": round(self._wall_clock(), 3), "name": self.name, "event": event, **fields}
        if bucket.skipped:
            row["skipped"] = bucket.skipped
            bucket.skipped = 0
        try:
            self._write(json.dumps(row, default=str) + "\n")
        except OSError:  # The log has no reader. The service continues without it.
            return

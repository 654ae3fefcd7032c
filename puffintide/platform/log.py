"""Log of the node: JSON lines on standard error, with a bound on how many of one event are written.

structlog is not loaded here: memory is scarce in service.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from typing import Any

BURST, PER_S = 20.0, 2.0  # lines of one event: at once, and over time


class Log:
    """log("event", field=value); what passes the bound is counted and told with the next line of that event."""

    def __init__(
        self,
        name: str,
        write: Callable[[str], Any] | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.name = name
        self._write = write or sys.stderr.write
        self._clock, self._wall = clock, wall
        self._left: dict[str, tuple[float, float, int]] = {}  # by event: tokens, when, passed over

    def __call__(self, event: str, **fields: Any) -> None:
        now = self._clock()
        tokens, at, skipped = self._left.get(event, (BURST, now, 0))
        tokens = min(BURST, tokens + (now - at) * PER_S)
        if tokens < 1:
            self._left[event] = (tokens, now, skipped + 1)
            return
        self._left[event] = (tokens - 1, now, 0)
        row: dict[str, Any] = {"t": round(self._wall(), 3), "name": self.name, "event": event, **fields}
        if skipped:
            row["skipped"] = skipped
        try:
            self._write(json.dumps(row, default=str) + "\n")
        except OSError:  # nobody reads the log: the service goes on
            return

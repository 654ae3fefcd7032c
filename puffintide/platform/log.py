"""Log of the assigner: JSON lines on standard error, with a limit on the rate of each event.

structlog is not loaded here, as memory is scarce in service.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

BURST_LINES = 20.0  # of one event, at once
LINES_PER_S = 2.0  # of one event, over time

Log = Callable[..., None]  # log("event", field=value, ...)


@dataclass(slots=True)
class _Budget:
    """Token bucket of one event."""

    tokens: float
    updated_at_s: float
    skipped: int = 0


class EventLog:
    """Writes log("event", field=value) as a line; lines over the limit are counted in the next line's `skipped`."""

    def __init__(
        self,
        name: str,
        write: Callable[[str], Any] | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Open a log.

        Args:
            name: Name of this assigner, in each line.
            write: Where lines go to; by default standard error.
            clock: Monotonic time in seconds, for the limit.
            wall_clock: Unix time in seconds, for the lines.
        """
        self.name = name
        self._write = write or sys.stderr.write
        self._clock = clock
        self._wall_clock = wall_clock
        self._budgets: dict[str, _Budget] = {}

    def __call__(self, event: str, **fields: Any) -> None:
        """Write one line, unless the event is over its limit."""
        now_s = self._clock()
        budget = self._budgets.setdefault(event, _Budget(BURST_LINES, now_s))
        budget.tokens = min(BURST_LINES, budget.tokens + (now_s - budget.updated_at_s) * LINES_PER_S)
        budget.updated_at_s = now_s
        if budget.tokens < 1:
            budget.skipped += 1
            return
        budget.tokens -= 1
        row: dict[str, Any] = {"t": round(self._wall_clock(), 3), "name": self.name, "event": event, **fields}
        if budget.skipped:
            row["skipped"] = budget.skipped
            budget.skipped = 0
        try:
            self._write(json.dumps(row, default=str) + "\n")
        except OSError:  # nobody reads the log: the service goes on
            return

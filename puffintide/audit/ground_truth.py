"""Facts about a scenario beside its recorded messages: server runs, and kills and pauses of assigners."""

from __future__ import annotations

from dataclasses import dataclass, field

from puffintide.audit.intervals import Interval


@dataclass(frozen=True, slots=True)
class ServerRun:
    """One run of a server, from a start to its end."""

    server_id: int
    started_at_s: float
    ended_at_s: float
    is_warm: bool  # Whether the server has full capacity from its start.
    capacity: float  # Full capacity, in seconds of work per second.
    slow_start_min_fraction: float  # Fraction of full capacity that is available at the start.
    slow_start_duration_s: float

    def capacity_at(self, now_s: float) -> float:
        """Return the capacity at a time during the run, in seconds of work per second."""
        if self.is_warm or self.slow_start_duration_s <= 0:
            return self.capacity
        progress = max(0.0, now_s - self.started_at_s) / self.slow_start_duration_s
        minimum = self.slow_start_min_fraction
        return self.capacity * min(1.0, minimum + (1 - minimum) * progress)


@dataclass
class GroundTruth:
    """Runs of servers, and the kills and pauses of assigners."""

    server_runs: list[ServerRun] = field(default_factory=list)
    kills: dict[int, list[float]] = field(default_factory=dict)  # Times of kills in seconds, by assigner id.
    pauses: dict[int, list[Interval]] = field(default_factory=dict)  # Intervals of pauses, by assigner id.

"""What is true of a scenario beside the records: when servers ran, and when assigners were killed or paused."""

from __future__ import annotations

from dataclasses import dataclass, field

from puffintide.audit.intervals import Interval


@dataclass(frozen=True, slots=True)
class ServerRun:
    """One incarnation of a server."""

    server_id: int
    started_at_s: float
    ended_at_s: float
    is_warm: bool  # from its start
    capacity: float  # work a second when warm
    slow_start_min_fraction: float  # of its capacity that it has when it starts
    slow_start_duration_s: float

    def capacity_at(self, now_s: float) -> float:
        """Its capacity while it warms up, in work a second."""
        if self.is_warm or self.slow_start_duration_s <= 0:
            return self.capacity
        progress = max(0.0, now_s - self.started_at_s) / self.slow_start_duration_s
        minimum = self.slow_start_min_fraction
        return self.capacity * min(1.0, minimum + (1 - minimum) * progress)


@dataclass
class GroundTruth:
    """Servers' runs, and what was done to assigners."""

    server_runs: list[ServerRun] = field(default_factory=list)
    kills: dict[int, list[float]] = field(default_factory=dict)  # times by assigner
    pauses: dict[int, list[Interval]] = field(default_factory=dict)  # by assigner

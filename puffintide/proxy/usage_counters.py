"""Usage counters for each assigner, by server, slice and request class.

Each request and each attempt is counted in exactly one report. Counts accumulate while the stream to the
assigner is down; a report that is lost with its stream is not sent again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from puffintide.protocol.messages import ServerUsage, SliceUsage, UsageReport

TIME_DIGITS = 6  # Decimal places of the seconds in a report.


@dataclass(slots=True)
class _ServerCounts:
    attempts: int = 0
    failed_attempts: int = 0
    success_latency_total_s: float = 0.0
    load_values: list[float] = field(default_factory=list)  # Values of the latest load report.


@dataclass(slots=True)
class _SliceCounts:
    requests: int = 0
    unanswered: int = 0


@dataclass(slots=True)
class _AssignerCounts:
    since_s: float
    servers: dict[int, _ServerCounts] = field(default_factory=dict)
    slices: dict[tuple[int, int], _SliceCounts] = field(default_factory=dict)  # Keyed by (slice, class).


class UsageCounters:
    """Counts of requests and attempts since the last report to each assigner.

    Counts accumulate until a report is taken.
    """

    def __init__(self) -> None:
        self._by_assigner: dict[int, _AssignerCounts] = {}

    def _assigner_counts(self, now_s: float, assigner_id: int) -> _AssignerCounts:
        counts = self._by_assigner.get(assigner_id)
        if counts is None:
            counts = self._by_assigner[assigner_id] = _AssignerCounts(now_s)
        return counts

    def _slice_counts(self, now_s: float, assigner_id: int, slice_id: int, class_index: int) -> _SliceCounts:
        slices = self._assigner_counts(now_s, assigner_id).slices
        key = (slice_id, class_index)
        counts = slices.get(key)
        if counts is None:
            counts = slices[key] = _SliceCounts()
        return counts

    def count_request(self, now_s: float, assigner_id: int, slice_id: int, class_index: int) -> None:
        """Count a received request."""
        self._slice_counts(now_s, assigner_id, slice_id, class_index).requests += 1

    def count_unanswered(self, now_s: float, assigner_id: int, slice_id: int, class_index: int) -> None:
        """Count a request that ended without a successful response."""
        self._slice_counts(now_s, assigner_id, slice_id, class_index).unanswered += 1

    def count_success(
        self, now_s: float, assigner_id: int, server_id: int, latency_s: float, load_values: list[float]
    ) -> None:
        """Count an attempt that was answered successfully."""
        counts = self._count_attempt(now_s, assigner_id, server_id, load_values)
        counts.success_latency_total_s += latency_s

    def count_failure(
        self, now_s: float, assigner_id: int, server_id: int, load_values: list[float] | None = None
    ) -> None:
        """Count an attempt that ended without a successful response."""
        counts = self._count_attempt(now_s, assigner_id, server_id, load_values)
        counts.failed_attempts += 1

    def _count_attempt(
        self, now_s: float, assigner_id: int, server_id: int, load_values: list[float] | None
    ) -> _ServerCounts:
        servers = self._assigner_counts(now_s, assigner_id).servers
        counts = servers.get(server_id)
        if counts is None:
            counts = servers[server_id] = _ServerCounts()
        counts.attempts += 1
        if load_values:
            counts.load_values = load_values
        return counts

    def take_report(self, now_s: float, assigner_id: int, min_interval_s: float) -> UsageReport | None:
        """Return the counts since the last report and reset them, or None if there are none.

        Args:
            now_s: The current time in seconds.
            assigner_id: The assigner that receives the report.
            min_interval_s: The lower bound of the interval stated in the report, in seconds.
        """
        counts = self._by_assigner.pop(assigner_id, None)
        if counts is None:
            return None
        servers = [
            ServerUsage(
                server_id,
                server.attempts,
                server.failed_attempts,
                round(server.success_latency_total_s, TIME_DIGITS),
                server.load_values,
            )
            for server_id, server in sorted(counts.servers.items())
        ]
        slices = [
            SliceUsage(slice_id, class_index, row.requests, row.unanswered)
            for (slice_id, class_index), row in sorted(counts.slices.items())
        ]
        interval_s = round(max(now_s - counts.since_s, min_interval_s), TIME_DIGITS)
        return UsageReport(interval_s, servers, slices)

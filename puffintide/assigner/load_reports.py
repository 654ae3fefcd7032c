"""Aggregates the usage reports of proxies into load reports for the decision module. No I/O and no clock.

Usage is summed by proxy zone and server, and by slice and request class. Load reports are limited to a number
of entries per second. Totals that exceed the limit are retained and keep accumulating. The oldest totals are
reported first, so that each of them is reported eventually.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from puffintide.decisions.events import Event, ServerLoadReport, SliceLoadReport
from puffintide.protocol.messages import ServerUsage, SliceUsage, UsageReport

# Counting for a load report starts at most this number of usage report intervals before the first usage
# report that it covers.
MAX_COVERED_INTERVALS = 4
# Time for which the times of load reports are retained, in seconds.
# It has to exceed MAX_COVERED_INTERVALS intervals of usage reports.
REPORT_TIMES_RETENTION_S = 60.0
# Time for which the first call of drain_reports earns credit, in seconds, as there is no earlier call.
FIRST_CREDIT_S = 0.5


class _ServerKey(msgspec.Struct, frozen=True):
    """A server as used by the proxies of one zone."""

    proxy_zone: int
    server_id: int


class _SliceKey(msgspec.Struct, frozen=True):
    """A slice and a request class."""

    slice_id: int
    class_index: int


@dataclass(slots=True)
class _ServerTotals:
    """Usage of a server by the proxies of one zone since its last load report."""

    counting_since: float  # Time at which counting started, in seconds.
    attempts: int = 0
    failed_attempts: int = 0
    success_latency_total_s: float = 0.0
    load_values: tuple[float, ...] = ()

    def add(self, usage: ServerUsage) -> None:
        """Add the usage of the server by one proxy."""
        self.attempts += usage.attempts
        self.failed_attempts += usage.failed_attempts
        self.success_latency_total_s += usage.success_latency_total_s
        self.load_values = tuple(usage.load_values) or self.load_values

    def report(self, now: float, key: _ServerKey) -> ServerLoadReport | None:
        """Return the load report, or None if there were no attempts."""
        if not self.attempts:
            return None
        successes = self.attempts - self.failed_attempts
        mean_latency_s = self.success_latency_total_s / successes if successes > 0 else 0.0
        return ServerLoadReport(
            key.proxy_zone,
            key.server_id,
            self.attempts,
            self.failed_attempts,
            mean_latency_s,
            now - self.counting_since,
            self.load_values,
        )


@dataclass(slots=True)
class _SliceTotals:
    """Usage of a slice by one request class since its last load report."""

    counting_since: float  # Time at which counting started, in seconds.
    requests: int = 0
    unanswered: int = 0

    def add(self, usage: SliceUsage) -> None:
        """Add the usage of the slice by one proxy."""
        self.requests += usage.requests
        self.unanswered += usage.unanswered

    def report(self, now: float, key: _SliceKey) -> SliceLoadReport | None:
        """Return the load report, or None if there were no requests."""
        if not self.requests:
            return None
        return SliceLoadReport(
            key.slice_id, key.class_index, self.requests, self.unanswered, now - self.counting_since
        )


class LoadReportAggregator:
    """Aggregates usage by key, which is a zone and server, or a slice and request class.

    Attributes:
        entries_per_s: Maximum rate of load reports, in entries per second.
    """

    def __init__(self, entries_per_s: float) -> None:
        self.entries_per_s = entries_per_s
        self._totals: dict[_ServerKey | _SliceKey, _ServerTotals | _SliceTotals] = {}  # Ordered oldest first.
        self._reported_at: dict[_ServerKey | _SliceKey, float] = {}
        self._credit = 0.0
        self._last_call_at: float | None = None

    def add_usage(self, now: float, proxy_zone: int, usage: UsageReport) -> None:
        """Add a usage report of one proxy in a zone."""
        for server_usage in usage.servers:
            server_key = _ServerKey(proxy_zone, server_usage.server_id)
            server_totals = self._totals.get(server_key)
            if server_totals is None:
                server_totals = _ServerTotals(self._counting_start(now, server_key, usage.interval_s))
                self._totals[server_key] = server_totals
            assert isinstance(server_totals, _ServerTotals)
            server_totals.add(server_usage)
        for slice_usage in usage.slices:
            slice_key = _SliceKey(slice_usage.slice_id, slice_usage.class_index)
            slice_totals = self._totals.get(slice_key)
            if slice_totals is None:
                slice_totals = _SliceTotals(self._counting_start(now, slice_key, usage.interval_s))
                self._totals[slice_key] = slice_totals
            assert isinstance(slice_totals, _SliceTotals)
            slice_totals.add(slice_usage)

    def drain_reports(self, now: float) -> list[Event]:
        """Return the load reports that the rate limit allows, oldest first, and remove their totals."""
        elapsed_s = now - self._last_call_at if self._last_call_at is not None else FIRST_CREDIT_S
        self._last_call_at = now
        self._reported_at = {
            key: reported_at
            for key, reported_at in self._reported_at.items()
            if now - reported_at < REPORT_TIMES_RETENTION_S
        }
        self._credit = min(self._credit + elapsed_s * self.entries_per_s, self.entries_per_s)
        reports: list[Event] = []
        while self._totals and self._credit >= 1:
            key = next(iter(self._totals))
            report = self._pop_report(now, key)
            self._credit -= 1
            self._reported_at[key] = now
            if report is not None:
                reports.append(report)
        return reports

    def forget_slice(self, slice_id: int) -> None:
        """Remove the totals of a slice that this assigner no longer owns."""
        for key in [key for key in self._totals if isinstance(key, _SliceKey) and key.slice_id == slice_id]:
            del self._totals[key]

    def _pop_report(self, now: float, key: _ServerKey | _SliceKey) -> Event | None:
        """Remove the totals of a key, and return their load report or None if they are empty."""
        totals = self._totals.pop(key)
        if isinstance(key, _ServerKey):
            assert isinstance(totals, _ServerTotals)
            return totals.report(now, key)
        assert isinstance(totals, _SliceTotals)
        return totals.report(now, key)

    def _counting_start(self, now: float, key: _ServerKey | _SliceKey, interval_s: float) -> float:
        """Return the time at which counting for new totals started.

        This is the time of the key's last load report, but at most MAX_COVERED_INTERVALS usage report
        intervals ago. Without an earlier report it is one interval ago. It is always at least half an
        interval ago.
        """
        reported_at = self._reported_at.get(key, now - interval_s)
        start = max(reported_at, now - MAX_COVERED_INTERVALS * interval_s)
        return min(start, now - interval_s / 2)

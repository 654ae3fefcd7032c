"""Aggregates the usage reports of proxies into load reports for the decision module. No I/O and no clock.

Usage adds up by zone and server, and by slice and request class. Reports are limited to a number of entries a
second: what exceeds it stays and adds up, and the oldest goes first, so that nothing is left unreported for ever.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from puffintide.decisions.events import Event, ServerLoadReport, SliceLoadReport
from puffintide.protocol.messages import ServerUsage, SliceUsage, UsageReport

MAX_COVERED_INTERVALS = 4  # a report covers at most so many intervals of the usage reports
REPORT_TIMES_RETAINED_S = 60.0  # longer than any interval that a report covers
FIRST_CREDIT_S = 0.5  # before the first call, as no period has passed yet


class _ServerKey(msgspec.Struct, frozen=True):
    proxy_zone: int
    server_id: int


class _SliceKey(msgspec.Struct, frozen=True):
    slice_id: int
    class_index: int


@dataclass(slots=True)
class _ServerTotals:
    since_s: float  # when counting began
    attempts: int = 0
    failed_attempts: int = 0
    success_latency_total_s: float = 0.0
    load_values: tuple[float, ...] = ()

    def add(self, usage: ServerUsage) -> None:
        """Add what one proxy counted at the server."""
        self.attempts += usage.attempts
        self.failed_attempts += usage.failed_attempts
        self.success_latency_total_s += usage.success_latency_total_s
        self.load_values = tuple(usage.load_values) or self.load_values

    def report(self, now: float, key: _ServerKey) -> ServerLoadReport | None:
        """Return the load report, None without attempts."""
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
            now - self.since_s,
            self.load_values,
        )


@dataclass(slots=True)
class _SliceTotals:
    since_s: float  # when counting began
    requests: int = 0
    unanswered: int = 0

    def add(self, usage: SliceUsage) -> None:
        """Add what one proxy counted for the slice."""
        self.requests += usage.requests
        self.unanswered += usage.unanswered

    def report(self, now: float, key: _SliceKey) -> SliceLoadReport | None:
        """Return the load report, None without requests."""
        if not self.requests:
            return None
        return SliceLoadReport(
            key.slice_id, key.class_index, self.requests, self.unanswered, now - self.since_s
        )


class LoadReportAggregator:
    """Totals since the last report of each pair; entries_per_s limits the reports."""

    def __init__(self, entries_per_s: float) -> None:
        self.entries_per_s = entries_per_s
        self._totals: dict[_ServerKey | _SliceKey, _ServerTotals | _SliceTotals] = {}  # the oldest first
        self._reported_at: dict[_ServerKey | _SliceKey, float] = {}
        self._credit = 0.0
        self._last_call_at: float | None = None

    def add_usage(self, now: float, proxy_zone: int, usage: UsageReport) -> None:
        """Add what one proxy counted."""
        for server_usage in usage.servers:
            server_key = _ServerKey(proxy_zone, server_usage.server_id)
            server_totals = self._totals.get(server_key)
            if server_totals is None:
                server_totals = _ServerTotals(self._counting_since(now, server_key, usage.interval_s))
                self._totals[server_key] = server_totals
            assert isinstance(server_totals, _ServerTotals)
            server_totals.add(server_usage)
        for slice_usage in usage.slices:
            slice_key = _SliceKey(slice_usage.slice_id, slice_usage.class_index)
            slice_totals = self._totals.get(slice_key)
            if slice_totals is None:
                slice_totals = _SliceTotals(self._counting_since(now, slice_key, usage.interval_s))
                self._totals[slice_key] = slice_totals
            assert isinstance(slice_totals, _SliceTotals)
            slice_totals.add(slice_usage)

    def drain_reports(self, now: float) -> list[Event]:
        """Return the load reports that fit into the limit, the oldest first, and begin their counting anew."""
        elapsed_s = now - self._last_call_at if self._last_call_at is not None else FIRST_CREDIT_S
        self._last_call_at = now
        self._reported_at = {
            key: at for key, at in self._reported_at.items() if now - at < REPORT_TIMES_RETAINED_S
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
        """Drop the usage of a slice that is no longer owned."""
        for key in [key for key in self._totals if isinstance(key, _SliceKey) and key.slice_id == slice_id]:
            del self._totals[key]

    def _pop_report(self, now: float, key: _ServerKey | _SliceKey) -> Event | None:
        totals = self._totals.pop(key)
        if isinstance(key, _ServerKey):
            assert isinstance(totals, _ServerTotals)
            return totals.report(now, key)
        assert isinstance(totals, _SliceTotals)
        return totals.report(now, key)

    def _counting_since(self, now: float, key: _ServerKey | _SliceKey, interval_s: float) -> float:
        """The last report of the pair, or if that was long ago as far back as the usage reaches."""
        reported_at = self._reported_at.get(key, now - interval_s)
        since = max(reported_at, now - MAX_COVERED_INTERVALS * interval_s)
        return min(since, now - interval_s / 2)

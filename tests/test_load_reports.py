"""Aggregation of usage reports into rate-limited load reports."""

from __future__ import annotations

import pytest

from puffintide.assigner.load_reports import LoadReportAggregator
from puffintide.decisions.events import (
    ServerLoadReport,
)
from puffintide.protocol import messages as m


def test_no_usage_is_lost_when_load_reports_are_rate_limited() -> None:
    aggregator = LoadReportAggregator(entries_per_s=4.0)
    reports: list[ServerLoadReport] = []
    for step in range(40):
        now = 10 + step * 0.5
        for proxy in range(3):
            usages = [m.ServerUsage(server, 2, 1, 0.5, [float(server)]) for server in range(5)]
            aggregator.add_usage(now, proxy % 2, m.UsageReport(0.5, usages if step < 20 else [], []))
        events = aggregator.drain_reports(now)
        assert len(events) <= 4
        reports += [event for event in events if isinstance(event, ServerLoadReport)]
    assert sum(report.attempts for report in reports) == 20 * 3 * 5 * 2
    assert sum(report.failed_attempts for report in reports) == 20 * 3 * 5
    # The first ten reports cover each pair of zone and server once.
    assert {(report.proxy_zone, report.server_id) for report in reports[:10]} == {
        (zone, server) for zone in (0, 1) for server in range(5)
    }
    assert all(report.mean_latency_s == pytest.approx(0.5) for report in reports)

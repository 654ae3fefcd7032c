"""Usage reports of proxies aggregate into load reports within their limit."""

from __future__ import annotations

import pytest

from puffintide.assigner.load_reports import LoadReportAggregator
from puffintide.decisions.events import (
    ServerLoadReport,
)
from puffintide.protocol import messages as m


def test_no_usage_is_lost_whatever_the_limit_of_reports() -> None:
    aggregator = LoadReportAggregator(entries_per_s=4.0)
    reports: list[ServerLoadReport] = []
    for step in range(40):
        now = 10 + step * 0.5
        for proxy in range(3):
            rows = [m.ServerUsage(s, 2, 1, 0.5, [float(s)]) for s in range(5)]
            aggregator.add_usage(now, proxy % 2, m.UsageReport(0.5, rows if step < 20 else [], []))
        events = aggregator.drain_reports(now)
        assert len(events) <= 4
        reports += [e for e in events if isinstance(e, ServerLoadReport)]
    assert sum(e.attempts for e in reports) == 20 * 3 * 5 * 2
    assert sum(e.failed_attempts for e in reports) == 20 * 3 * 5
    assert {(e.proxy_zone, e.server_id) for e in reports[:10]} == {
        (z, s) for z in (0, 1) for s in range(5)
    }  # all take turns
    assert all(e.mean_latency_s == pytest.approx(0.5) for e in reports)

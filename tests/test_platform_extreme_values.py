"""Messages whose numbers are at the edge of their type: rounds go on, and later drains are still ordered."""

from __future__ import annotations

import math
import sys
from collections.abc import Iterator
from typing import Any

import pytest

from tests.platform_world import SERVERS, SLICES, Platform, entry

pytestmark = pytest.mark.processes

SMALLEST = 5e-324
SMALLEST_NORMAL = sys.float_info.min
LARGEST = sys.float_info.max
INTERVALS_MS = [SMALLEST, SMALLEST_NORMAL, 1e-300, 1e-150, 1e-9, 1e-3, 1e8]
COUNTS = [1, 10**9]
SLICE_REPORT = {"msg": "heat", "partition": 3, "kind": "0", "n": 5, "bad": 0, "window": 500.0}
SERVER_REPORT = {"msg": "heard", "az": "a", "host": "s-1", "n": 5, "bad": 0, "avg": 40.0, "window": 500.0}


def estimates(platform: Platform) -> Iterator[float]:
    """Yield all rates, loads and capacities that the director has estimated."""
    director: Any = platform.assigner.runtime.director
    yield director.estimator.capacity_per_weight or 0.0
    for slice_state in director.slices.values():
        yield from (rate.per_second for rate in slice_state.request_rates.values())
    for state in director.servers.values():
        for rates in (state.successes, state.own_in_flight):
            yield from (rate.per_second for rate in rates.values())
        yield state.relative_speed
        for estimate in (state.load, state.in_flight, state.capacity_per_s, state.other_assigners_load):
            yield estimate or 0.0


def check_drains_are_still_ordered(platform: Platform, collector: Any) -> None:
    platform.report(collector, rounds=6)
    assert platform.logged("round_failed") == []
    assert all(math.isfinite(estimate) for estimate in estimates(platform))
    platform.discovery.change(entry(0, "leaving"))
    platform.advance(1.0)
    assert "s-0" not in platform.relay.routable_hosts()
    assert platform.relay.routable_hosts()


# Guards against one report whose interval is next to 0: its rate was infinite, and every later round failed.
@pytest.mark.parametrize("count", COUNTS)
@pytest.mark.parametrize("interval_ms", INTERVALS_MS)
@pytest.mark.parametrize("report", [SLICE_REPORT, SERVER_REPORT], ids=["slice", "server"])
def test_report_of_extreme_interval_fails_no_round(
    platform: Platform, report: dict[str, Any], interval_ms: float, count: int
) -> None:
    collector = platform.collector()
    platform.report(collector, rounds=4)
    collector.send(report | {"window": interval_ms, "n": count})
    check_drains_are_still_ordered(platform, collector)


# Guards against other numbers of the same messages that make a rate or an average infinite.
@pytest.mark.parametrize("value", [0, SMALLEST, SMALLEST_NORMAL, 1e8, 1e300, LARGEST])
@pytest.mark.parametrize("field", ["avg", "inflight"])
def test_report_of_extreme_latency_or_load_fails_no_round(
    platform: Platform, field: str, value: float
) -> None:
    collector = platform.collector()
    platform.report(collector, rounds=4)
    change = {"avg": value} if field == "avg" else {"report": {field: value}}
    for k in range(SERVERS):
        collector.send(SERVER_REPORT | change | {"host": f"s-{k}"})
    check_drains_are_still_ordered(platform, collector)


# Guards against a listed weight next to 0: requests in flight for each unit of weight were infinite.
@pytest.mark.parametrize("weight", [SMALLEST, SMALLEST_NORMAL, 1e-300, 1e6])
@pytest.mark.parametrize("changed_servers", [1, SERVERS])
def test_listed_weight_of_extreme_size_fails_no_round(
    platform: Platform, changed_servers: int, weight: float
) -> None:
    collector = platform.collector()
    platform.report(collector, rounds=4)
    platform.discovery.change(*(entry(k, share=weight) for k in range(1, 1 + changed_servers) if k < SERVERS))
    check_drains_are_still_ordered(platform, collector)


def test_valid_reports_beside_a_rejected_one_still_count(platform: Platform) -> None:
    collector = platform.collector()
    events = platform.record_events()
    collector.send(
        SLICE_REPORT | {"window": SMALLEST_NORMAL}, *({**SLICE_REPORT, "partition": s} for s in range(SLICES))
    )
    platform.advance(0.1)
    assert [event.slice_id for event in events if hasattr(event, "slice_id")] == list(range(SLICES))
    assert "interval" in platform.logged("message_rejected")[0]["reason"]
    assert collector.open

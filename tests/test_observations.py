"""Tests of load reports with extreme numbers, which other users of the decision modules may pass on."""

from __future__ import annotations

import math
import sys

import pytest

from puffintide.decisions.averages import AverageRate
from puffintide.decisions.events import ServerLoadReport, SliceLoadReport
from tests.world import World

SMALLEST = sys.float_info.min


# Guards against an interval next to 0, whose infinite rate stayed in the average and failed every later round.
@pytest.mark.parametrize("interval_s", [SMALLEST, 1e-300, 1e-9, math.inf, math.nan, 0.0, -1.0])
def test_extreme_interval_leaves_estimates_finite(interval_s: float) -> None:
    world = World()
    world.run(5)
    world.send(
        SliceLoadReport(0, 0, 2**32 - 1, 0, interval_s),
        ServerLoadReport(0, 1, 2**32 - 1, 0, 0.2, interval_s, (0.5,)),
    )
    world.run(2)
    director = world.director
    rates = [rate.per_second for state in director.slices.values() for rate in state.request_rates.values()]
    rates += [rate.per_second for state in director.servers.values() for rate in state.successes.values()]
    assert all(math.isfinite(rate) for rate in rates)


@pytest.mark.parametrize("latency_s", [math.inf, math.nan])
def test_latency_that_is_no_number_is_ignored(latency_s: float) -> None:
    world = World()
    world.run(5)
    world.send(ServerLoadReport(0, 1, 5, 0, latency_s, 0.5, (0.5,)))
    world.run(2)
    in_flight = [
        rate.per_second for state in world.director.servers.values() for rate in state.own_in_flight.values()
    ]
    assert all(math.isfinite(rate) for rate in in_flight)


def test_rate_and_its_weight_in_the_average_use_the_same_interval() -> None:
    rate = AverageRate()
    rate.add(1.0, 5, 1e-9)
    assert rate.per_second == pytest.approx(50.0)
    rate.add(2.0, 5, 0.1)
    assert rate.per_second == pytest.approx(50.0)

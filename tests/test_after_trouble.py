"""State after a fault has ended: limits, withdrawals, admission fractions, tables, memory of removed servers."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from puffintide.assigner.load_reports import LoadReportAggregator
from puffintide.assigner.runtime import Runtime
from puffintide.decisions.actions import ALL_SLICES
from puffintide.decisions.events import (
    HealthCheckResult,
    HealthCheckStatus,
    TimerFired,
)
from puffintide.decisions.settings import AdmissionMode, RepeatSafety
from puffintide.owned_tables import OwnedTables
from puffintide.protocol import messages as m
from puffintide.proxy.effects import CompleteRequest, SendAttempt
from puffintide.proxy.engine import Engine
from puffintide.proxy.retry_policy import (
    AttemptHistory,
    DeduplicationScope,
    RequestClassPolicy,
    RetryTarget,
    next_attempt,
)
from puffintide.proxy.settings import EngineSettings
from puffintide.proxy.weight_tables import WeightTables
from puffintide.scenarios.place import at
from puffintide.zones.director import ZonedDirector
from puffintide.zones.state import ZoneLimits
from tests.deployment import Deployment
from tests.world import settings


def tables(slices: int = 2) -> WeightTables:
    return WeightTables(slices, 0, "rotate", lambda: 0.5)


def line(table: int, sid: int, weight: float, token: int) -> m.WeightEntry:
    return m.WeightEntry(table, sid, weight, token, f"127.0.0.1:{5000 + sid}")


def order(batch: int, *lines: m.WeightEntry, **more: Any) -> m.ProxyUpdate:
    return m.ProxyUpdate(batch, 0.0, 13.0, list(lines), **more)


def test_a_proxy_that_joins_knows_no_withdrawals_or_levels_of_before() -> None:
    """A server readmitted while its stream was down would else stay withdrawn for ever."""
    held = tables()
    held.apply_update(
        0,
        order(
            1,
            line(0, 5, 1.0, 1),
            withdrawn_servers=[5],
            admission_levels=[m.AdmissionLevel(ALL_SLICES, 0, 0.2, 0)],
        ),
    )
    held.apply_update(1, order(1, line(1, 5, 1.0, 1), withdrawn_servers=[5]))
    assert held.available_weights(0) == {}
    assert held.admission_fraction(0, 0) == 0.2
    held.on_assigner_connected(0)
    assert held.available_weights(0) == {5: 1.0}
    assert held.admission_fraction(0, 0) == 1.0
    assert held.available_weights(1) == {}  # withdrawn by another assigner


def test_update_that_overtakes_its_ownership_applies_to_the_tables_of_that_ownership() -> None:
    held = tables()
    held.apply_ownership(
        m.SliceOwnership(0, 1, 0, [m.TableEntry(1, 1.0, "127.0.0.1:1")], 0, 1)
    )  # all that it received of the old tenure
    held.apply_update(
        1, order(7, line(0, 4, 1.0, 2), line(0, 3, 0.0, 2))
    )  # based on a table that held 2 and 3
    held.apply_ownership(
        m.SliceOwnership(
            0, 2, 1, [m.TableEntry(2, 1.0, "127.0.0.1:2"), m.TableEntry(3, 1.0, "127.0.0.1:3")], 0, 2
        )
    )
    assert held.available_weights(0) == {2: 1.0, 4: 1.0}


def test_outdated_ownership_of_an_unbroken_tenure_reverts_no_update() -> None:
    held = tables()
    held.apply_ownership(m.SliceOwnership(0, 1, 0, [m.TableEntry(1, 1.0, "127.0.0.1:1")], 0, 1))
    held.apply_update(
        0, order(5, line(0, 2, 1.0, 1), line(0, 1, 0.0, 1))
    )  # the store is unreachable and has not committed it
    held.apply_update(
        0, order(6, line(0, 3, 1.0, 2))
    )  # reachable again, with a new token that the proxy does not know
    held.apply_ownership(m.SliceOwnership(0, 2, 0, [m.TableEntry(1, 1.0, "127.0.0.1:1")], 0, 1))
    assert held.available_weights(0) == {2: 1.0, 3: 1.0}


@pytest.mark.parametrize("kind", [0, 1])
def test_no_response_asks_to_retry_where_an_attempt_was_possibly_executed(kind: int) -> None:
    """The first attempt times out, the second is rejected: a rejection would claim that it was never executed."""
    limits = EngineSettings(
        slice_count=1,
        request_classes=(
            RequestClassPolicy(RepeatSafety.IDEMPOTENT, DeduplicationScope.ALL, 0, 0.5),
            RequestClassPolicy(RepeatSafety.IDEMPOTENCY_KEY, DeduplicationScope.ALL, 3.0, 0.5),
        ),
        same_zone_only=(False, False),
        default_retry_mode=2,
        retry_wait_objectives=1.0,
        ejection_failures=0,
        ejection_s=5.0,
        admission_mode=AdmissionMode.NONE,
        load_balancing_policy="rotate",
        queue_timeout_s=0.2,
        retry_after_s=0.5,
        zone=0,
    )
    engine = Engine(limits, lambda: 0.5)
    engine.on_proxy_update(0.0, 0, order(1, line(0, 1, 1.0, 1), line(0, 2, 1.0, 1)))
    engine.on_request(1.0, "r", 1, 0, kind, 4.0)
    for sid in (1, 2):
        engine.on_server_connected(1.0, sid)
    first = next(s for s in (1, 2) if engine.servers.get(s) and engine.servers[s].in_flight)
    other = 3 - first
    engine.on_timer(1.6)
    second = engine.on_server_connected(1.6, other)
    assert isinstance(second[0], SendAttempt)
    (end,) = engine.on_response(1.7, other, second[0].attempt_id, m.AttemptStatus.SATURATED, [])
    assert isinstance(end, CompleteRequest)
    assert end.may_have_executed
    assert end.status == m.AttemptStatus.TIMEOUT
    assert end.retry_after_s == 0


def test_removed_servers_are_forgotten() -> None:
    """A replaced machine has a new id: a thousand of them must not stay in memory."""
    runtime = Runtime(
        settings(slice_count=4, load_value_names=("rif",)), lambda s: ZonedDirector(s, ZoneLimits())
    )
    decider: Any = runtime.director
    held, reports, now = tables(4), LoadReportAggregator(300.0), 1000.0
    runtime.on_proxy_connected(now, 0, 0, 0.0, True)
    for first in range(0, 4000, 4):  # four at a time, each 30 s
        ids = range(first, first + 4)
        listed = [m.EndpointEntry(s, s % 2, 0, 0, 1, 2.0, 1, -1.0, at(5000 + s)) for s in ids]
        runtime.on_watch_event(now, m.WatchEvent("full", first, listed))
        if first == 0:
            for n in range(4):
                runtime.on_ownership_granted(
                    now, m.SliceOwnership(n, n + 1, 0, [m.TableEntry(n, 1.0, at(5000 + n))], 0, n + 1)
                )
        for step in range(6):
            now += 5.0
            usage = m.UsageReport(
                0.5, [m.ServerUsage(s, 9, 0, 0.5, [1.0]) for s in ids], [m.SliceUsage(0, 0, 9, 0)]
            )
            reports.add_usage(now, 0, usage)
            runtime.add_events(
                now,
                *reports.drain_reports(now),
                HealthCheckResult(first + step % 4, HealthCheckStatus.OK, 0.01, (1.0,)),
            )
            runtime.add_events(now, TimerFired(1))
            effects = runtime.tick(now)
            assert effects is not None
            for _, made in effects.proxy_updates:
                held.apply_update(0, made)
    assert set(held.available_weights(0)) <= set(ids)
    plan, module = decider.plan, decider.director
    sizes = {
        "module": len(module.servers),
        "bounds": len(module.fleet.capacity_limits),
        "withdrawn": len(module.fleet.withdrawn_servers),
        "plan": len(plan.servers.endpoints),
        "growth": len(plan.recovery.fractions),
        "behind": len(plan.recovery.interrupted),
        "addresses": len(runtime.server_addresses),
        "zones": len(runtime.directory.zones),
        "starts": len(runtime.directory.starts),
        "reports": len(reports._reported_at),
        "proxy": len(held.addresses),
        "proxy's zones": len(held.zones),
    }
    assert all(size <= 150 for size in sizes.values()), sizes


def test_proxy_forgets_failures_of_removed_servers() -> None:
    limits = EngineSettings(
        slice_count=1,
        request_classes=(RequestClassPolicy(RepeatSafety.NON_IDEMPOTENT, DeduplicationScope.ALL, 0.0, 0.5),),
        same_zone_only=(False,),
        default_retry_mode=0,
        retry_wait_objectives=1.0,
        ejection_failures=1,
        ejection_s=5.0,
        admission_mode=AdmissionMode.NONE,
        load_balancing_policy="rotate",
        queue_timeout_s=0.2,
        retry_after_s=0.5,
        zone=0,
    )
    engine = Engine(limits, lambda: 0.5)
    for sid in range(1, 2000):
        now = 100.0 * sid
        engine.on_proxy_update(now, 0, order(sid, line(0, sid, 1.0, 1), line(0, sid - 1, 0.0, 1)))
        engine.on_request(now, sid, sid, 0, 0, 4.0)
        engine.on_server_disconnected(now, sid)
    assert len(engine.dispatcher.outliers.consecutive_failures) < 200
    assert len(engine.dispatcher.outliers.ejected_until_s) < 200
    assert len(engine.servers) < 200


def test_a_keyed_request_whose_zone_is_not_known_is_not_sent_to_another() -> None:
    """The first tables of a store have no zones; an idempotency key that counts within a zone needs a known one."""
    kind = RequestClassPolicy(RepeatSafety.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 3.0, 0.5)
    assert next_attempt(kind, 2, AttemptHistory(0, False, 1.0, -1), 1.5, 9.0) is None
    assert next_attempt(kind, 2, AttemptHistory(0, False, 1.0, 1), 1.5, 9.0) == RetryTarget(1)
    assert next_attempt(kind, 2, AttemptHistory(0, True, None, -1), 1.5, 9.0) == RetryTarget(
        -1
    )  # it never ran


def test_removed_servers_get_no_health_checks(tmp_path: Path) -> None:
    faults = {"f": {"kind": "shrink", "at_s": 1, "for_s": 2, "servers": "1, 2"}}
    deployment = Deployment(tmp_path, faults, day={"length_s": 6})
    deployment.play()
    for assigner in deployment.assigners.values():
        assert (
            set(assigner.health_checkers.by_server)
            == set(assigner.endpoint_list.entries)
            == {0, 3, 4, 5, 6, 7}
        )


def ownership(number: int, token: int, lines: dict[int, float]) -> m.SliceOwnership:
    held = [m.TableEntry(s, w, f"127.0.0.1:{5000 + s}") for s, w in lines.items()]
    return m.SliceOwnership(number, token, 0, held)


def test_missing_writes_are_repeated_only_in_an_unbroken_tenure() -> None:
    ordered = OwnedTables()
    for number in range(3):
        ordered.on_ownership_granted(ownership(number, 1, {0: 1.0, 4: 1.0}), tenure_continues=False)
    ordered.apply_writes(3, [line(0, 1, 1.0, 1), line(1, 1, 1.0, 2)])
    ordered.apply_writes(5, [line(0, 1, 0.5, 1), line(0, 4, 0.0, 1), line(2, 1, 1.0, 3)])
    assert ordered.missing_writes(
        [ownership(0, 9, {0: 1.0, 1: 1.0, 4: 1.0}), ownership(1, 9, {0: 1.0, 1: 1.0, 4: 1.0})]
    ) == (5, [line(0, 1, 0.5, 9), m.WeightEntry(0, 4, 0.0, 9)])
    ordered.on_ownership_granted(ownership(2, 9, {0: 1.0}), tenure_continues=False)  # another owned it since
    assert ordered.missing_writes([ownership(2, 9, {0: 1.0})]) == (0, [])

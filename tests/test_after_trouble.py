"""Tests of the state after a fault: limits, withdrawals, admission fractions, tables, and removed servers."""

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


def make_weight_tables(slice_count: int = 2) -> WeightTables:
    return WeightTables(slice_count, 0, "rotate", lambda: 0.5)


def weight_entry(slice_id: int, server_id: int, weight: float, token: int) -> m.WeightEntry:
    return m.WeightEntry(slice_id, server_id, weight, token, f"127.0.0.1:{5000 + server_id}")


def proxy_update(batch_id: int, *entries: m.WeightEntry, **fields: Any) -> m.ProxyUpdate:
    return m.ProxyUpdate(batch_id, 0.0, 13.0, list(entries), **fields)


def test_reconnect_clears_withdrawals_and_admission_levels_of_assigner() -> None:
    """A server readmitted while the assigner was disconnected would otherwise stay withdrawn forever."""
    weight_tables = make_weight_tables()
    weight_tables.apply_update(
        0,
        proxy_update(
            1,
            weight_entry(0, 5, 1.0, 1),
            withdrawn_servers=[5],
            admission_levels=[m.AdmissionLevel(ALL_SLICES, 0, 0.2, 0)],
        ),
    )
    weight_tables.apply_update(1, proxy_update(1, weight_entry(1, 5, 1.0, 1), withdrawn_servers=[5]))
    assert weight_tables.available_weights(0) == {}
    assert weight_tables.admission_fraction(0, 0) == 0.2
    weight_tables.on_assigner_connected(0)
    assert weight_tables.available_weights(0) == {5: 1.0}
    assert weight_tables.admission_fraction(0, 0) == 1.0
    assert weight_tables.available_weights(1) == {}  # Another assigner withdrew server 5.


def test_update_received_before_its_ownership_applies_to_tables_of_that_ownership() -> None:
    weight_tables = make_weight_tables()
    # The proxy has received nothing else of the old tenure.
    weight_tables.apply_ownership(m.SliceOwnership(0, 1, 0, [m.TableEntry(1, 1.0, "127.0.0.1:1")], 0, 1))
    # The update is based on a table that holds servers 2 and 3.
    weight_tables.apply_update(1, proxy_update(7, weight_entry(0, 4, 1.0, 2), weight_entry(0, 3, 0.0, 2)))
    weight_tables.apply_ownership(
        m.SliceOwnership(
            0, 2, 1, [m.TableEntry(2, 1.0, "127.0.0.1:2"), m.TableEntry(3, 1.0, "127.0.0.1:3")], 0, 2
        )
    )
    assert weight_tables.available_weights(0) == {2: 1.0, 4: 1.0}


def test_outdated_ownership_of_unbroken_tenure_does_not_revert_updates() -> None:
    weight_tables = make_weight_tables()
    weight_tables.apply_ownership(m.SliceOwnership(0, 1, 0, [m.TableEntry(1, 1.0, "127.0.0.1:1")], 0, 1))
    # The store is unreachable and has not committed this update.
    weight_tables.apply_update(0, proxy_update(5, weight_entry(0, 2, 1.0, 1), weight_entry(0, 1, 0.0, 1)))
    # The store is reachable again and has granted a new token that the proxy does not know.
    weight_tables.apply_update(0, proxy_update(6, weight_entry(0, 3, 1.0, 2)))
    weight_tables.apply_ownership(m.SliceOwnership(0, 2, 0, [m.TableEntry(1, 1.0, "127.0.0.1:1")], 0, 1))
    assert weight_tables.available_weights(0) == {2: 1.0, 3: 1.0}


@pytest.mark.parametrize("class_index", [0, 1])
def test_response_after_possible_execution_does_not_ask_for_retry(class_index: int) -> None:
    """The first attempt times out and the second is rejected.

    Reporting the rejection to the client would claim that the request was never executed.
    """
    engine_settings = EngineSettings(
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
    engine = Engine(engine_settings, lambda: 0.5)
    engine.on_proxy_update(0.0, 0, proxy_update(1, weight_entry(0, 1, 1.0, 1), weight_entry(0, 2, 1.0, 1)))
    engine.on_request(1.0, "r", 1, 0, class_index, 4.0)
    for server_id in (1, 2):
        engine.on_server_connected(1.0, server_id)
    first_server = next(s for s in (1, 2) if engine.servers.get(s) and engine.servers[s].in_flight)
    second_server = 3 - first_server
    engine.on_timer(1.6)
    second_attempt = engine.on_server_connected(1.6, second_server)
    assert isinstance(second_attempt[0], SendAttempt)
    (completion,) = engine.on_response(
        1.7, second_server, second_attempt[0].attempt_id, m.AttemptStatus.SATURATED, []
    )
    assert isinstance(completion, CompleteRequest)
    assert completion.may_have_executed
    assert completion.status == m.AttemptStatus.TIMEOUT
    assert completion.retry_after_s == 0


def test_state_of_removed_servers_is_deleted() -> None:
    """A replaced machine has a new id, so the state of thousands of replaced machines must not accumulate."""
    runtime = Runtime(
        settings(slice_count=4, load_value_names=("rif",)), lambda s: ZonedDirector(s, ZoneLimits())
    )
    zoned_director: Any = runtime.director
    weight_tables, aggregator, now = make_weight_tables(4), LoadReportAggregator(300.0), 1000.0
    runtime.on_proxy_connected(now, 0, 0, 0.0, True)
    for first_id in range(0, 4000, 4):  # Four servers are replaced every 30 s.
        server_ids = range(first_id, first_id + 4)
        endpoints = [m.EndpointEntry(s, s % 2, 0, 0, 1, 2.0, 1, -1.0, at(5000 + s)) for s in server_ids]
        runtime.on_watch_event(now, m.WatchEvent("full", first_id, endpoints))
        if first_id == 0:
            for n in range(4):
                runtime.on_ownership_granted(
                    now, m.SliceOwnership(n, n + 1, 0, [m.TableEntry(n, 1.0, at(5000 + n))], 0, n + 1)
                )
        for step in range(6):
            now += 5.0
            usage_report = m.UsageReport(
                0.5, [m.ServerUsage(s, 9, 0, 0.5, [1.0]) for s in server_ids], [m.SliceUsage(0, 0, 9, 0)]
            )
            aggregator.add_usage(now, 0, usage_report)
            runtime.add_events(
                now,
                *aggregator.drain_reports(now),
                HealthCheckResult(first_id + step % 4, HealthCheckStatus.OK, 0.01, (1.0,)),
            )
            runtime.add_events(now, TimerFired(1))
            effects = runtime.tick(now)
            assert effects is not None
            for _, update in effects.proxy_updates:
                weight_tables.apply_update(0, update)
    assert set(weight_tables.available_weights(0)) <= set(server_ids)
    plan, decision_director = zoned_director.plan, zoned_director.director
    sizes = {
        "director servers": len(decision_director.servers),
        "capacity limits": len(decision_director.fleet.capacity_limits),
        "withdrawn servers": len(decision_director.fleet.withdrawn_servers),
        "plan endpoints": len(plan.servers.endpoints),
        "ramp fractions": len(plan.recovery.fractions),
        "interrupted servers": len(plan.recovery.interrupted),
        "runtime addresses": len(runtime.server_addresses),
        "directory zones": len(runtime.directory.zones),
        "directory starts": len(runtime.directory.starts),
        "load report times": len(aggregator._reported_at),
        "proxy addresses": len(weight_tables.addresses),
        "proxy zones": len(weight_tables.zones),
    }
    assert all(size <= 150 for size in sizes.values()), sizes


def test_proxy_deletes_failure_counts_of_removed_servers() -> None:
    engine_settings = EngineSettings(
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
    engine = Engine(engine_settings, lambda: 0.5)
    for server_id in range(1, 2000):
        now = 100.0 * server_id
        engine.on_proxy_update(
            now,
            0,
            proxy_update(
                server_id, weight_entry(0, server_id, 1.0, 1), weight_entry(0, server_id - 1, 0.0, 1)
            ),
        )
        engine.on_request(now, server_id, server_id, 0, 0, 4.0)
        engine.on_server_disconnected(now, server_id)
    assert len(engine.dispatcher.outliers.consecutive_failures) < 200
    assert len(engine.dispatcher.outliers.ejected_until_s) < 200
    assert len(engine.servers) < 200


def test_keyed_request_possibly_executed_in_unknown_zone_is_not_retried() -> None:
    """The first tables of a store have no zones.

    An idempotency key that deduplicates within a zone is safe only if that zone is known.
    """
    request_class = RequestClassPolicy(RepeatSafety.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 3.0, 0.5)
    assert next_attempt(request_class, 2, AttemptHistory(0, False, 1.0, -1), 1.5, 9.0) is None
    assert next_attempt(request_class, 2, AttemptHistory(0, False, 1.0, 1), 1.5, 9.0) == RetryTarget(1)
    # This attempt was never executed, so the retry may go to any server.
    assert next_attempt(request_class, 2, AttemptHistory(0, True, None, -1), 1.5, 9.0) == RetryTarget(-1)


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


def slice_ownership(slice_id: int, token: int, weights: dict[int, float]) -> m.SliceOwnership:
    entries = [m.TableEntry(s, w, f"127.0.0.1:{5000 + s}") for s, w in weights.items()]
    return m.SliceOwnership(slice_id, token, 0, entries)


def test_missing_writes_are_repeated_only_in_unbroken_tenure() -> None:
    tables = OwnedTables()
    for slice_id in range(3):
        tables.on_ownership_granted(slice_ownership(slice_id, 1, {0: 1.0, 4: 1.0}), tenure_continues=False)
    tables.apply_writes(3, [weight_entry(0, 1, 1.0, 1), weight_entry(1, 1, 1.0, 2)])
    tables.apply_writes(
        5, [weight_entry(0, 1, 0.5, 1), weight_entry(0, 4, 0.0, 1), weight_entry(2, 1, 1.0, 3)]
    )
    assert tables.missing_writes(
        [slice_ownership(0, 9, {0: 1.0, 1: 1.0, 4: 1.0}), slice_ownership(1, 9, {0: 1.0, 1: 1.0, 4: 1.0})]
    ) == (5, [weight_entry(0, 1, 0.5, 9), m.WeightEntry(0, 4, 0.0, 9)])
    # Another assigner has owned slice 2 in between.
    tables.on_ownership_granted(slice_ownership(2, 9, {0: 1.0}), tenure_continues=False)
    assert tables.missing_writes([slice_ownership(2, 9, {0: 1.0})]) == (0, [])

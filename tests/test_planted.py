"""The audit finds injected violations of rules in a whole deployment; retries stay within their limits."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from puffintide.assigner.runtime import Runtime
from puffintide.audit.records import read_records
from puffintide.audit.report import Rule
from puffintide.decisions import director, observations
from puffintide.decisions.actions import Action, SetWeight
from puffintide.decisions.director import Director
from puffintide.decisions.events import EndpointListUpdate
from puffintide.decisions.projection import Plan, default_plan
from puffintide.decisions.state import FleetState
from puffintide.emulators.model import ServerModel
from puffintide.protocol import messages as m
from puffintide.proxy import dispatcher
from puffintide.proxy.retry_policy import ANY_ZONE, AttemptHistory, RetryTarget
from tests.deployment import SECTIONS, Deployment
from tests.test_faults import fault


def zero_all_weights(patch: pytest.MonkeyPatch) -> None:
    """Make assigners set all weights to 0, so that slices have no available server."""
    apply_actions = Runtime._apply_actions

    def apply_zero_weights(self: Runtime, now: float, actions: tuple[Action, ...], out: Any) -> None:
        zero_weights = [replace(a, weight=0.0) if isinstance(a, SetWeight) else a for a in actions]
        apply_actions(self, now, tuple(zero_weights), out)

    patch.setattr(Runtime, "_apply_actions", apply_zero_weights)


def retry_all_requests(patch: pytest.MonkeyPatch) -> None:
    """Make proxies retry each request once, whether its request class allows that or not."""

    def retry_once(_class: Any, _mode: int, history: AttemptHistory, *_times: float) -> RetryTarget | None:
        return RetryTarget(ANY_ZONE) if history.last_attempt_number < 1 else None

    patch.setattr(dispatcher, "next_attempt", retry_once)


def ignore_endpoint_updates(patch: pytest.MonkeyPatch) -> None:
    """Make assigners ignore all updates of the endpoint list after the first."""
    apply_endpoint_list = observations.apply_endpoint_list

    def apply_first_list(fleet: FleetState, event: EndpointListUpdate) -> None:
        if not fleet.servers:
            apply_endpoint_list(fleet, event)

    patch.setattr(observations, "apply_endpoint_list", apply_first_list)


def skip_slow_start(patch: pytest.MonkeyPatch) -> None:
    """Make assigners regard new servers as warm, and give all slices to the newest server."""

    def assign_to_newest_server(fleet: FleetState, _estimator: object, _ranking: object) -> Plan:
        ready = fleet.ready_servers()
        return {
            slice_id: [max(ready, key=lambda server: server.endpoint.started_at_s).server_id]
            if ready
            else plan
            for slice_id, plan in default_plan(fleet).items()
        }

    # Without recorded work, an overloaded server does not collapse.
    patch.setattr(ServerModel, "_record_offered_work", lambda _self, _now, _work: None)
    patch.setattr(FleetState, "warm_up_fraction", lambda _self, _server_id: 1.0)
    patch.setattr(director, "plan_slices", assign_to_newest_server)


def rewrite_all_tables(patch: pytest.MonkeyPatch) -> None:
    """Make assigners send all weights in every round."""
    run_round = Director._run_round

    def run_round_and_send_weights(self: Director) -> list[Action]:
        actions = run_round(self)
        return actions + [
            SetWeight(slice_id, server_id, 1.0)
            for slice_id, state in self.slices.items()
            for server_id in state.weights
        ]

    patch.setattr(Director, "_run_round", run_round_and_send_weights)


INJECTIONS: dict[Rule, tuple[Callable[[pytest.MonkeyPatch], None], dict[str, Any]]] = {
    Rule.AVAILABLE_SERVERS: (zero_all_weights, {"f": fault("crash", 2, 9, servers="1, 2")}),
    Rule.NO_DUPLICATE_EXECUTION: (retry_all_requests, {"f": fault("hang", 2, 6, servers="1, 2")}),
    Rule.GRACEFUL_DRAINING: (
        ignore_endpoint_updates,
        {"f": fault("deploy", 2, 1, servers="1, 2", size=2, extra=7)},
    ),
    Rule.SLOW_START: (skip_slow_start, {"f": fault("mass_restart", 2, 1, servers=2, extra=1)}),
    Rule.CHANNEL_CAPACITY: (rewrite_all_tables, {}),
}


@pytest.mark.parametrize("rule", INJECTIONS)
def test_an_injected_violation_is_found(rule: Rule, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    inject, faults = INJECTIONS[rule]
    inject(monkeypatch)
    changes: dict[str, Any] = {
        "day": {"length_s": 12},
        "load": {"requests_per_s": 60},
        "rules": {"cold_from": 0.1},
    }
    if rule == Rule.SLOW_START:
        changes |= {"fleet": {"cold_from": 0.1, "warm_s": 8, "add_s": 0.05}, "load": {"requests_per_s": 120}}
    result = Deployment(tmp_path, faults, **changes).play(2.0)
    assert rule in {finding.rule for finding in result.report.findings}


# Retries ----------------------------------------------------------------------------------------------------

MAX_PROXY_RETRIES = {0: 0, 1: 1, 2: 1, 3: 2}  # Retries of a request by a proxy, by retry mode.


def recorded_attempts(folder: Path) -> Iterator[tuple[tuple[int, int], m.AttemptRequest, int]]:
    """Yield the request, the message and the status of each attempt; the status is -1 without a response.

    A request is identified by its proxy and request id.
    """
    with (folder / "tap.jsonl").open("rb") as lines:
        records = read_records(lines, "tap").records
    statuses = {
        (r.connection_id, r.message.attempt_id): r.message.status
        for r in records
        if isinstance(r.message, m.AttemptResponse)
    }
    for r in records:
        if isinstance(r.message, m.AttemptRequest):
            yield (
                (r.message.proxy_id, r.message.request_id),
                r.message,
                statuses.get((r.connection_id, r.message.attempt_id), -1),
            )


@pytest.mark.parametrize("retry_mode", [0, 1, 2, 3])
@pytest.mark.parametrize("fault_kind", ["all full", "hang", "crash"])
def test_attempts_of_a_request_stay_within_the_product_of_all_layers(
    retry_mode: int, fault_kind: str, tmp_path: Path
) -> None:
    """Retries of clients and proxies multiply, so a fault must not cause more attempts than the limits allow.

    A client sends a request at most twice, and a proxy makes at most 1 + MAX_PROXY_RETRIES attempts for each.
    The largest product is therefore 2, 4 or 6 attempts per request. A non-idempotent request has at most one
    attempt that may have been executed each time it is sent, and saturated servers cause few retries.
    """
    faults = {
        "all full": {"f": fault("shared_slow", 2, 8, size=12)},
        "hang": {"f": fault("hang", 2, 6, servers="1, 2, 4")},
        "crash": {"f": fault("crash", 2, 6, servers="1, 2, 4")},
    }[fault_kind]
    deployment = Deployment(
        tmp_path,
        faults,
        day={"length_s": 11},
        deployment={"retry_default": retry_mode},
        fleet={"queue_per_core": 3},
        load={"retries": 1, "requests_per_s": 50},
    )
    result = deployment.play()
    assert not result.report.findings
    attempts: Counter[tuple[int, int]] = Counter()
    possible_executions: dict[tuple[int, int], int] = defaultdict(int)
    for request, attempt, status in recorded_attempts(tmp_path):
        attempts[request] += 1
        is_non_idempotent = attempt.class_index == 2
        possible_executions[request] += is_non_idempotent and status != m.AttemptStatus.SATURATED
    assert attempts
    assert max(attempts.values()) <= 1 + MAX_PROXY_RETRIES[retry_mode]
    assert max(possible_executions.values()) <= 1
    request_count = result.service.request_count
    assert sum(attempts.values()) <= 2 * (1 + MAX_PROXY_RETRIES[retry_mode]) * request_count
    assert deployment.clients.attempts_sent <= 2 * request_count
    connection_count = sum(
        1 for line in (tmp_path / "tap.jsonl").open() if '"l":"try' in line and '"role":"proxy"' in line
    )
    server_count, proxy_count = len(SECTIONS["fleet"]) and 10, len(deployment.proxies)
    # An attempt at a killed server dials it at most once.
    assert connection_count <= sum(attempts.values()) + server_count * proxy_count

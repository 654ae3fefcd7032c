"""Each rule broken on purpose in a made-up day is found by the audit; second attempts counted end to end."""

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


def drop_lines(patch: pytest.MonkeyPatch) -> None:
    """Tables are emptied, and nothing comes in place."""
    tick = Runtime._apply_actions

    def carry(self: Runtime, now: float, actions: tuple[Action, ...], out: Any) -> None:
        empty = [replace(a, weight=0.0) if isinstance(a, SetWeight) else a for a in actions]
        tick(self, now, tuple(empty), out)

    patch.setattr(Runtime, "_apply_actions", carry)


def repeat_all(patch: pytest.MonkeyPatch) -> None:
    def retry_once(_class: Any, _mode: int, history: AttemptHistory, *_times: float) -> RetryTarget | None:
        return RetryTarget(ANY_ZONE) if history.last_attempt_number < 1 else None

    patch.setattr(dispatcher, "next_attempt", retry_once)


def deaf(patch: pytest.MonkeyPatch) -> None:
    """No list is taken in after the first."""
    apply = observations.apply_endpoint_list

    def once(fleet: FleetState, event: EndpointListUpdate) -> None:
        if not fleet.servers:
            apply(fleet, event)

    patch.setattr(observations, "apply_endpoint_list", once)


def all_warm(patch: pytest.MonkeyPatch) -> None:
    """New servers are taken for warm and get all slices."""

    def newest(fleet: FleetState, _estimator: object, _ranking: object) -> Plan:
        ready = fleet.ready_servers()
        return {
            n: [max(ready, key=lambda v: v.endpoint.started_at_s).server_id] if ready else p
            for n, p in default_plan(fleet).items()
        }

    # it stands what would end it
    patch.setattr(ServerModel, "_record_offered_work", lambda _self, _now, _work: None)
    patch.setattr(FleetState, "warm_up_fraction", lambda _self, _server_id: 1.0)
    patch.setattr(director, "plan_slices", newest)


def chatter(patch: pytest.MonkeyPatch) -> None:
    """Every round rewrites every table."""
    run_round = Director._run_round

    def often(self: Director) -> list[Action]:
        actions = run_round(self)
        return actions + [SetWeight(n, s, 1.0) for n, state in self.slices.items() for s in state.weights]

    patch.setattr(Director, "_run_round", often)


PLANTED: dict[Rule, tuple[Callable[[pytest.MonkeyPatch], None], dict[str, Any]]] = {
    Rule.AVAILABLE_SERVERS: (drop_lines, {"f": fault("crash", 2, 9, servers="1, 2")}),
    Rule.NO_DUPLICATE_EXECUTION: (repeat_all, {"f": fault("hang", 2, 6, servers="1, 2")}),
    Rule.GRACEFUL_DRAINING: (deaf, {"f": fault("deploy", 2, 1, servers="1, 2", size=2, extra=7)}),
    Rule.SLOW_START: (all_warm, {"f": fault("mass_restart", 2, 1, servers=2, extra=1)}),
    Rule.CHANNEL_CAPACITY: (chatter, {}),
}


@pytest.mark.parametrize("rule", PLANTED)
def test_an_injected_violation_is_found(rule: Rule, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    plant, faults = PLANTED[rule]
    plant(monkeypatch)
    changes: dict[str, Any] = {
        "day": {"length_s": 12},
        "load": {"requests_per_s": 60},
        "rules": {"cold_from": 0.1},
    }
    if rule == Rule.SLOW_START:
        changes |= {"fleet": {"cold_from": 0.1, "warm_s": 8, "add_s": 0.05}, "load": {"requests_per_s": 120}}
    verdict = Deployment(tmp_path, faults, **changes).play(2.0)
    assert rule in {f.rule for f in verdict.report.findings}


# Second attempts --------------------------------------------------------------------------------------------

FURTHER = {0: 0, 1: 1, 2: 1, 3: 2}


def sends(out: Path) -> Iterator[tuple[tuple[int, int], m.AttemptRequest, int]]:
    with (out / "tap.jsonl").open("rb") as lines:
        records = read_records(lines, "tap").records
    answers = {
        (r.connection_id, r.message.attempt_id): r.message.status
        for r in records
        if isinstance(r.message, m.AttemptResponse)
    }
    for r in records:
        if isinstance(r.message, m.AttemptRequest):
            yield (
                (r.message.proxy_id, r.message.request_id),
                r.message,
                answers.get((r.connection_id, r.message.attempt_id), -1),
            )


@pytest.mark.parametrize("mode", [0, 1, 2, 3])
@pytest.mark.parametrize("trouble", ["all full", "hang", "crash"])
def test_attempts_of_a_request_stay_within_the_product_of_all_layers(
    mode: int, trouble: str, tmp_path: Path
) -> None:
    """Clients ask at most twice, a proxy sends each ask at most 1 + FURTHER times: the worst product is 2, 4 or 6.
    A once request reaches servers that may run it at most once an ask; where all are full little is multiplied."""
    faults = {
        "all full": {"f": fault("shared_slow", 2, 8, size=12)},
        "hang": {"f": fault("hang", 2, 6, servers="1, 2, 4")},
        "crash": {"f": fault("crash", 2, 6, servers="1, 2, 4")},
    }[trouble]
    deployment = Deployment(
        tmp_path,
        faults,
        day={"length_s": 11},
        deployment={"retry_default": mode},
        fleet={"queue_per_core": 3},
        load={"retries": 1, "requests_per_s": 50},
    )
    verdict = deployment.play()
    assert not verdict.report.findings
    tries: Counter[tuple[int, int]] = Counter()
    ran: dict[tuple[int, int], int] = defaultdict(int)
    for who, made, status in sends(tmp_path):
        tries[who] += 1
        ran[who] += made.class_index == 2 and status != m.AttemptStatus.SATURATED  # once: it may have run
    assert tries
    assert max(tries.values()) <= 1 + FURTHER[mode]
    assert max(ran.values()) <= 1
    asked = verdict.service.request_count
    assert sum(tries.values()) <= 2 * (1 + FURTHER[mode]) * asked
    assert deployment.clients.attempts_sent <= 2 * asked
    connects = sum(
        1 for line in (tmp_path / "tap.jsonl").open() if '"l":"try' in line and '"role":"proxy"' in line
    )
    servers, proxies = len(SECTIONS["fleet"]) and 10, len(deployment.proxies)
    assert connects <= sum(tries.values()) + servers * proxies  # a dead server is dialled once a try at most

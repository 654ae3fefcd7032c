"""Faults in a deployment whose slices have a single writer, played whole on a virtual clock and audited."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from tests.deployment import Deployment
from tests.test_faults import fault, process_steps

FAULT_AT_S = 5.0
RESTARTED_AT_S = 5.4
# Long writes at a high rate, so that nearly every migration has to wait for some.
LONG_WRITES: dict[str, Any] = {"share": 0.45, "aim_s": 1.5, "deadline_s": 4, "work_s": 0.4, "work_cv": 1.0}
CHANGES: dict[str, dict[str, Any]] = {
    "day": {"length_s": 14, "settle_s": 4},
    "deployment": {"single_writer": "yes", "shun_after": 0, "proxies": 10, "slices": 24},
    "rules": {"bare_s": 6, "drain_grace_s": 3},
    "charge": {"takeover_s": 2.5, "write_lease_s": 1.5},
    "class start": LONG_WRITES | {"effect": "by_key", "window_s": 5},
    "class charge": LONG_WRITES | {"effect": "once"},
    "class status": {"share": 0.1},
    "fleet": {"servers": 8, "cores": 6, "cold_from": 0.9, "warm_s": 2},
    "load": {"requests_per_s": 60},
}


def drain_faults(first_at_s: float, *server_ids: int) -> dict[str, dict[str, Any]]:
    """Return faults that drain servers one after the other, in short intervals."""
    return {
        f"drain {server_id}": fault("deploy", first_at_s + 0.3 * k, 5, servers=server_id, size=1, extra=9)
        for k, server_id in enumerate(server_ids)
    }


def deployment_with_long_writes(
    folder: Path, seed: int, faults: dict[str, dict[str, Any]], steps: list[tuple[float, Any]]
) -> Deployment:
    changes = CHANGES | {"day": CHANGES["day"] | {"seed": seed}}
    return Deployment(folder, faults, steps, **changes)


def assert_rules_hold(deployment: Deployment) -> None:
    result = deployment.play()
    assert not result.gaps
    assert not result.report.findings
    assert not deployment.inconsistencies()


# Guards against a restarted assigner that migrates slices while its former process's proxies still write.
@pytest.mark.parametrize("seed", [0, 6, 9])
def test_restarted_assigner_waits_for_the_proxies_of_its_former_process(seed: int, tmp_path: Path) -> None:
    restart = process_steps("kill", FAULT_AT_S, "start", RESTARTED_AT_S, "assigner:0")
    faults = drain_faults(FAULT_AT_S + 0.1, 1, 2, 4)
    assert_rules_hold(deployment_with_long_writes(tmp_path, seed, faults, restart))


# Guards against a write that leaves for the former server once the proxy's connection to it is established.
def test_write_that_waits_for_a_connection_delays_the_migration(tmp_path: Path) -> None:
    restart = process_steps("kill", FAULT_AT_S, "start", RESTARTED_AT_S, "assigner:0")
    faults = drain_faults(FAULT_AT_S + 0.1, 1, 2, 4)
    assert_rules_hold(deployment_with_long_writes(tmp_path, 14, faults, restart))


# Guards against slices that stay empty after an assigner, stopped and continued, cleared them as a former owner.
def test_continued_assigner_empties_no_slice_that_it_was_granted_anew(tmp_path: Path) -> None:
    stop = process_steps("stop", FAULT_AT_S, "wake", 11, "assigner:0")
    faults = {"drain": fault("deploy", FAULT_AT_S + 0.2, 5, servers="1, 2", size=1, extra=9)}
    assert_rules_hold(deployment_with_long_writes(tmp_path, 3, faults, stop))

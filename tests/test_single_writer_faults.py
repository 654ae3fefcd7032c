"""Faults in a deployment whose slices have a single writer, played whole on a virtual clock and audited."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from tests.deployment import Deployment
from tests.test_faults import fault, link_fault_steps, process_steps

FAULT_AT_S = 5.0
RESTARTED_AT_S = 5.4
CUT_OFF_PROXIES = [0, 1, 2]
CUT_ENDS_AT_S = 13.0
# Long writes at a high rate, so that nearly every migration has to wait for some; all end within their deadline.
LONG_WRITES: dict[str, Any] = {"share": 0.45, "aim_s": 1.5, "deadline_s": 4, "work_s": 0.4, "work_cv": 0.4}
CHANGES: dict[str, dict[str, Any]] = {
    "day": {"length_s": 14, "settle_s": 4},
    "deployment": {"single_writer": "yes", "shun_after": 0, "proxies": 10, "slices": 24},
    "rules": {"bare_s": 6, "drain_grace_s": 3},
    "charge": {"takeover_s": 2.5, "write_lease_s": 1.5},
    "class start": LONG_WRITES | {"effect": "by_key", "window_s": 5},
    "class charge": LONG_WRITES | {"effect": "once"},
    "class status": {"share": 0.1},
    "fleet": {"servers": 8, "cores": 6, "cold_from": 0.9, "warm_s": 2},
    "load": {"requests_per_s": 60, "retries": 0},
}
NEARLY_LATE_WRITES = LONG_WRITES | {"aim_s": 3.0, "work_s": 2.2, "work_cv": 0.25}
NEARLY_LATE_CHANGES = {
    "class start": CHANGES["class start"] | NEARLY_LATE_WRITES,
    "class charge": CHANGES["class charge"] | NEARLY_LATE_WRITES,
    "fleet": CHANGES["fleet"] | {"cores": 24},
    "load": {"requests_per_s": 40, "retries": 0, "try_share": 1.0},
}
SLOW_NETWORK = {"net": {"same_s": 0.04, "cross_s": 0.1}}
RESTART = process_steps("kill", FAULT_AT_S, "start", RESTARTED_AT_S, "assigner:0")


def drain_faults(first_at_s: float, *server_ids: int) -> dict[str, dict[str, Any]]:
    """Return faults that drain servers one after the other, in short intervals."""
    return {
        f"drain {server_id}": fault("deploy", first_at_s + 0.3 * k, 5, servers=server_id, size=1, extra=9)
        for k, server_id in enumerate(server_ids)
    }


def cut_off_proxies(begin_s: float, end_s: float = CUT_ENDS_AT_S) -> list[tuple[float, Any]]:
    """Return steps that separate some proxies from the assigners, but not from the store."""
    return link_fault_steps(begin_s, end_s, kinds=["order"], cut="refuse", proxies=CUT_OFF_PROXIES)


def assert_rules_hold(
    folder: Path, seed: int, faults: dict[str, dict[str, Any]], steps: list[tuple[float, Any]], **changes: Any
) -> None:
    """Play a deployment with long writes, and check that no rule is broken and all tables agree."""
    day = CHANGES["day"] | {"seed": seed}
    deployment = Deployment(folder, faults, steps, **(CHANGES | {"day": day} | changes))
    result = deployment.play()
    assert not result.gaps
    assert not result.report.findings
    assert not deployment.inconsistencies()


# Guards against a restarted assigner that migrates slices while its former process's proxies still write.
@pytest.mark.parametrize("seed", [0, 8, 13])
def test_restarted_assigner_waits_for_the_proxies_of_its_former_process(seed: int, tmp_path: Path) -> None:
    assert_rules_hold(tmp_path, seed, drain_faults(FAULT_AT_S + 0.1, 1, 2, 4), RESTART)


# Guards against a write that leaves for the former server once the proxy's connection to it is established.
@pytest.mark.parametrize("seed", [11, 25])
def test_write_that_waits_for_a_connection_delays_the_migration(seed: int, tmp_path: Path) -> None:
    assert_rules_hold(tmp_path, seed, drain_faults(FAULT_AT_S + 0.1, 1, 2, 4), [], **SLOW_NETWORK)


# Guards against slices that stay empty after an assigner, stopped and continued, cleared them as a former owner.
@pytest.mark.parametrize("seed", [0, 4])
def test_continued_assigner_empties_no_slice_that_it_was_granted_anew(seed: int, tmp_path: Path) -> None:
    stop = process_steps("stop", FAULT_AT_S, "wake", 11, "assigner:0")
    faults = {"drain": fault("deploy", FAULT_AT_S + 0.2, 5, servers="1, 2", size=1, extra=9)}
    assert_rules_hold(tmp_path, seed, faults, stop)


# Guards against a draining server that is used for too long because its slices wait for another migration.
@pytest.mark.parametrize("seed", [0, 1])
def test_drains_are_in_time_while_a_migration_waits_for_lost_proxies(seed: int, tmp_path: Path) -> None:
    faults = drain_faults(FAULT_AT_S + 0.3, 1, 2, 4)
    assert_rules_hold(tmp_path, seed, faults, cut_off_proxies(FAULT_AT_S))


# Guards against both: an assigner that restarts has to wait longest where some proxies do not come back.
@pytest.mark.parametrize("seed", [0, 8])
def test_drains_are_in_time_after_a_restart_without_some_proxies(seed: int, tmp_path: Path) -> None:
    faults = drain_faults(FAULT_AT_S + 0.1, 1, 2, 4)
    assert_rules_hold(tmp_path, seed, faults, RESTART + cut_off_proxies(FAULT_AT_S - 0.01))


# Guards against a paused proxy that begins a whole write lease when it continues, long after its assigner lost it.
@pytest.mark.parametrize("seed", [8, 23])
def test_continued_proxy_sends_no_writes_to_a_former_server(seed: int, tmp_path: Path) -> None:
    stop = process_steps("stop", FAULT_AT_S, "wake", 12, "proxy:0", "proxy:1", "proxy:2")
    faults = {"drain": fault("deploy", FAULT_AT_S + 2, 5, servers="1, 2", size=1, extra=9)}
    assert_rules_hold(tmp_path, seed, faults, stop)


# Guards against a migration that ends before a lost proxy's last write, sent late in its lease, may have ended.
def test_migration_waits_for_the_whole_deadline_of_writes_sent_under_a_lease(tmp_path: Path) -> None:
    faults = {"drain": fault("deploy", FAULT_AT_S + 0.05, 5, servers="1, 2", size=1, extra=9)}
    assert_rules_hold(tmp_path, 25, faults, cut_off_proxies(FAULT_AT_S, 16), **NEARLY_LATE_CHANGES)

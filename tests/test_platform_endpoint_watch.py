"""The endpoint list of discovery, on a virtual clock."""

from __future__ import annotations

import pytest

from puffintide.platform.endpoint_list import STALE_LIST_GRACE_S
from tests.platform_world import (
    SERVERS,
    Platform,
    entry,
)

pytestmark = pytest.mark.processes


def test_lists_are_accepted_by_version(platform: Platform) -> None:
    states = {e.status for e in platform.assigner.runtime.endpoints.values()}
    platform.discovery.version = 2
    platform.discovery.change(entry(1, "leaving"))  # version 3, older than ours: passed over
    platform.advance(0.1)
    assert {e.status for e in platform.assigner.runtime.endpoints.values()} == states
    platform.discovery.broadcast({"seq": 8, "whole": True, "hosts": [entry(0), entry(1), {"host": 5}]})
    platform.advance(0.1)
    assert (
        len(platform.assigner.runtime.endpoints) == SERVERS
    )  # an entry that can't be read is not one that is missing
    platform.discovery.broadcast({"seq": 8, "whole": True, "hosts": [entry(0), entry(1)]})
    platform.advance(0.1)
    assert len(platform.assigner.runtime.endpoints) == 2


def test_stale_snapshot_does_not_reinstate_a_draining_server_at_once(platform: Platform) -> None:
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(0.1)
    platform.discovery.version = 2  # another agent, which has not heard of it yet
    platform.break_watches()
    platform.advance(STALE_LIST_GRACE_S - 0.5)
    number = platform.assigner.hosts.register("s-1")
    assert platform.assigner.runtime.endpoints[number].status == 2
    assert platform.logged("endpoint_list_stale")
    assert "s-1" not in platform.relay.routable_hosts()
    platform.advance(1.0)
    assert platform.assigner.runtime.endpoints[number].status == 1
    assert platform.assigner.endpoint_watch.versions.version == 2


def test_start_time_is_converted_once_for_each_incarnation(platform: Platform) -> None:
    born = int(platform.wall_s * 1000) - 2000
    platform.discovery.change(entry(1, born_ms=born))
    platform.advance(0.1)
    platform.wall_s += 3600  # the wall clock is stepped
    platform.discovery.change(entry(1, born_ms=born, share=2.5))
    platform.advance(0.1)
    number = platform.assigner.hosts.register("s-1")
    started = platform.assigner.runtime.director.servers[number].endpoint.started_at_s  # type: ignore[attr-defined]
    assert platform.assigner.rounds.now_s() - started == pytest.approx(2.2, abs=0.2)

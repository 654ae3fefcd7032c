"""Tests the watch of discovery's endpoint list on a virtual clock."""

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
    statuses = {endpoint.status for endpoint in platform.assigner.runtime.endpoints.values()}
    platform.discovery.version = 2
    platform.discovery.change(entry(1, "leaving"))  # Version 3 is older than the list in use.
    platform.advance(0.1)
    assert {endpoint.status for endpoint in platform.assigner.runtime.endpoints.values()} == statuses
    platform.discovery.broadcast({"seq": 8, "whole": True, "hosts": [entry(0), entry(1), {"host": 5}]})
    platform.advance(0.1)
    # The snapshot has an invalid entry, so that servers that are not in it are not removed.
    assert len(platform.assigner.runtime.endpoints) == SERVERS
    platform.discovery.broadcast({"seq": 8, "whole": True, "hosts": [entry(0), entry(1)]})
    platform.advance(0.1)
    assert len(platform.assigner.runtime.endpoints) == 2


def test_stale_snapshot_does_not_reinstate_a_draining_server_at_once(platform: Platform) -> None:
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(0.1)
    platform.discovery.version = 2  # Another agent that has not received the change yet.
    platform.break_watches()
    platform.advance(STALE_LIST_GRACE_S - 0.5)
    server_id = platform.assigner.hosts.register("s-1")
    assert platform.assigner.runtime.endpoints[server_id].status == 2
    assert platform.logged("endpoint_list_stale")
    assert "s-1" not in platform.relay.routable_hosts()
    platform.advance(1.0)
    assert platform.assigner.runtime.endpoints[server_id].status == 1
    assert platform.assigner.endpoint_watch.versions.version == 2


def test_start_time_is_converted_once_for_each_incarnation(platform: Platform) -> None:
    started_at_ms = int(platform.wall_s * 1000) - 2000
    platform.discovery.change(entry(1, born_ms=started_at_ms))
    platform.advance(0.1)
    platform.wall_s += 3600  # The wall clock is stepped.
    platform.discovery.change(entry(1, born_ms=started_at_ms, share=2.5))
    platform.advance(0.1)
    server_id = platform.assigner.hosts.register("s-1")
    servers = platform.assigner.runtime.director.servers  # type: ignore[attr-defined]
    started_at_s = servers[server_id].endpoint.started_at_s
    assert platform.assigner.rounds.now_s() - started_at_s == pytest.approx(2.2, abs=0.2)

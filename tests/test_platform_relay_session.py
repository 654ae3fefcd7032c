"""The relay: calls, its watch and reconnections, on a virtual clock."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from puffintide.decisions.events import (
    OwnershipChanged,
    ProxyConnected,
    ProxyDisconnected,
    StoredWeight,
)
from puffintide.platform.http_exchange import RequestResult, Response
from puffintide.platform.http_request import HttpRequest, RequestLimits
from tests.platform_world import (
    SERVERS,
    Platform,
    entry,
)

pytestmark = pytest.mark.processes


def test_stored_tables_are_not_sent_again(platform: Platform) -> None:
    peer = platform.collector()
    platform.report(peer, 10)
    lines = [row for _, rows in platform.relay.calls for row in rows if row["do"] == "SET"]
    assert lines == []
    platform.reactor.kill()  # and so after a restart from nothing
    platform.assigner = platform.start()
    platform.advance(2.0)
    assert [row for _, rows in platform.relay.calls for row in rows if row["do"] == "SET"] == []
    assert platform.director_tables() == platform.relay.tables


def test_drain_causes_one_call_at_once(platform: Platform) -> None:
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(0.05)
    assert "s-1" not in platform.relay.routable_hosts()
    assert all(platform.relay.tables.values())
    assert len([1 for _, rows in platform.relay.calls if rows]) == 1


@pytest.mark.parametrize(
    "result", ["lost", "reset", "carried", "carried, reset", "spoilt", "throttled", "bad 0"]
)
def test_no_order_is_lost_or_undone_whatever_the_result_of_a_call(platform: Platform, result: str) -> None:
    platform.relay.call_results = [result, "" if result == "bad 0" else result, ""]
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(1.5)
    assert "s-1" not in platform.relay.routable_hosts()
    assert all(platform.relay.tables.values())
    assert platform.director_tables() == platform.relay.tables
    assert len(platform.assigner.relay.outbox) == 0
    if result != "bad 0":  # and none is written twice, as the channel holds what can't be put off but twice
        texts = [json.dumps(row) for _, rows in platform.relay.calls for row in rows]
        assert len(texts) == len(set(texts))


def test_each_call_counts_towards_the_message_limit(tmp_path: Path) -> None:
    made = Platform(tmp_path, reloadsMax=2)
    made.advance(1.0)
    made.relay.call_results = ["carried"] * 20
    made.relay.send_snapshot = lambda _c: None  # type: ignore[method-assign, assignment]
    made.relay.unresponsive = True
    made.discovery.change(entry(1, "leaving"))
    made.advance(12.0)
    assert len(made.relay.calls) == 2  # nothing tells that they were carried out
    made.advance(20.0)
    assert len(made.relay.calls) > 2


def test_reconnected_watches_change_nothing(platform: Platform) -> None:
    before = platform.director_tables()
    rounds, events = platform.assigner.rounds.counters.rounds, platform.record_events()
    platform.break_watches()
    platform.advance(3.0)
    state_events = (ProxyConnected, ProxyDisconnected, OwnershipChanged, StoredWeight)
    assert not any(isinstance(e, state_events) for e in events)
    assert platform.assigner.runtime.proxy_zones.keys() == {0, 1, 2}
    assert platform.director_tables() == before
    assert platform.relay.watches()
    assert platform.discovery.watches()
    assert platform.assigner.rounds.counters.rounds > rounds
    assert [row for _, rows in platform.relay.calls for row in rows if row["do"] == "SET"] == []


def test_changes_during_a_disconnection_are_detected(platform: Platform) -> None:
    platform.relay.proxies = [0, 2, 4]
    del platform.relay.tables[5]
    platform.relay.tables[3] = {"s-0": 1.0}  # another had it meanwhile
    platform.relay.first_connections = {2, 4}  # and proxy 2 has started anew
    events = platform.record_events()
    platform.relay.unresponsive = True
    platform.break_watches()
    platform.advance(0.5)
    assert platform.assigner.runtime.proxy_zones.keys() == {0, 1, 2, 4}  # what is missing is not gone yet
    platform.relay.unresponsive = False
    platform.relay.broadcast({})  # the sign of life ends what stands
    platform.advance(0.01)
    assert [e.proxy_id for e in events if isinstance(e, ProxyConnected)] == [2, 4]
    assert platform.assigner.runtime.proxy_zones.keys() == {0, 2, 4}
    assert 5 not in platform.assigner.runtime.fencing_tokens
    assert platform.director_tables() == platform.relay.tables


def test_recent_orders_are_not_overwritten_by_an_older_snapshot(platform: Platform) -> None:
    before = {s: dict(table) for s, table in platform.relay.tables.items()}
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(0.05)
    now, platform.relay.tables = (
        platform.relay.tables,
        before,
    )  # the watch began before the call was carried out
    platform.break_watches()
    platform.advance(0.5)
    assert platform.director_tables() == now
    assert not platform.logged("table_differs")


@pytest.mark.parametrize("granted_again", [False, True])
def test_queued_orders_of_a_revoked_slice_are_never_sent(platform: Platform, granted_again: bool) -> None:
    platform.relay.call_results = ["throttled"] * 4
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(0.1)
    assert platform.assigner.relay.outbox.pending_servers(1)
    platform.relay.tables[1] = {"s-0": 1.0}
    platform.relay.broadcast({"type": "given", "object": {"partition": 1, "yes": granted_again}})
    if granted_again:  # given anew, with another table
        platform.relay.broadcast({"type": "held", "object": {"partition": 1, "host": "s-0", "share": 1.0}})
    platform.advance(3.0)
    rows = [row for _, rows in platform.relay.calls for row in rows if row.get("group") == 1]
    assert rows == []
    assert platform.relay.calls


def test_silent_watches_are_reopened_and_nothing_is_forgotten(platform: Platform) -> None:
    platform.relay.unresponsive = platform.discovery.unresponsive = True
    first = platform.relay.watches() + platform.discovery.watches()
    platform.advance(6.0)
    assert not any(c.open for c in first)
    assert platform.assigner.runtime.proxy_zones.keys() == {0, 1, 2}
    assert platform.relay.watches()
    assert platform.discovery.watches()
    assert len(platform.assigner.runtime.endpoints) == SERVERS


def test_response_that_waits_unread_is_read_before_the_timeout() -> None:
    clock: Any = Clock()
    clock.connectTCP = lambda *_, **__: None
    got: list[Response] = []
    limits = RequestLimits(connect_timeout_s=0.5, response_timeout_s=0.12, max_body_bytes=100)
    once = HttpRequest(clock, ("127.0.0.1", 1), ("GET", "/x", None), got.append, limits)
    transport: Any = StringTransport()  # type: ignore[no-untyped-call]
    transport.setTcpNoDelay = lambda _on: None
    once.makeConnection(transport)  # type: ignore[no-untyped-call]
    clock.advance(0.5)  # this process stood still, and its timers come first
    assert not got
    once.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
    assert got == [Response(RequestResult.ANSWERED, 200, b"{}")]


def test_empty_snapshot_resolves_nothing(platform: Platform) -> None:
    platform.relay.call_results = ["lost"]
    send_snapshot = platform.relay.send_snapshot
    platform.relay.send_snapshot = lambda c: platform.reactor.callLater(0.2, send_snapshot, c)  # type: ignore[method-assign]
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(2.0)
    assert "s-1" not in platform.relay.routable_hosts()

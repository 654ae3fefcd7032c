"""Tests of relay calls, the relay's watch and reconnections on a virtual clock."""

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
    collector = platform.collector()
    platform.report(collector, 10)
    weight_orders = [row for _, rows in platform.relay.calls for row in rows if row["do"] == "SET"]
    assert weight_orders == []
    platform.reactor.kill()  # The same must hold after a restart without any state.
    platform.assigner = platform.start()
    platform.advance(2.0)
    assert [row for _, rows in platform.relay.calls for row in rows if row["do"] == "SET"] == []
    assert platform.director_tables() == platform.relay.tables


def test_drain_causes_exactly_one_immediate_call(platform: Platform) -> None:
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(0.05)
    assert "s-1" not in platform.relay.routable_hosts()
    assert all(platform.relay.tables.values())
    assert len([1 for _, rows in platform.relay.calls if rows]) == 1


@pytest.mark.parametrize(
    "result",
    ["lost", "reset", "applied, unanswered", "applied, reset", "applied, malformed", "throttled", "bad 0"],
)
def test_no_order_is_lost_or_undone_whatever_the_result_of_a_call(platform: Platform, result: str) -> None:
    platform.relay.call_results = [result, "" if result == "bad 0" else result, ""]
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(1.5)
    assert "s-1" not in platform.relay.routable_hosts()
    assert all(platform.relay.tables.values())
    assert platform.director_tables() == platform.relay.tables
    assert len(platform.assigner.relay.outbox) == 0
    # No order is applied twice, as the channel holds only twice the orders that cannot be delayed.
    if result != "bad 0":
        texts = [json.dumps(row) for _, rows in platform.relay.calls for row in rows]
        assert len(texts) == len(set(texts))


def test_each_call_counts_towards_the_message_limit(tmp_path: Path) -> None:
    platform = Platform(tmp_path, reloadsMax=2)
    platform.advance(1.0)
    platform.relay.call_results = ["applied, unanswered"] * 20
    platform.relay.send_snapshot = lambda _c: None  # type: ignore[method-assign, assignment]
    platform.relay.unresponsive = True
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(12.0)
    assert len(platform.relay.calls) == 2  # The results are unknown, so both count towards the limit.
    platform.advance(20.0)
    assert len(platform.relay.calls) > 2


@pytest.mark.parametrize("result", ["reset", "lost"])
@pytest.mark.parametrize("fault_s", [2.0, 6.0])
def test_drains_are_ordered_in_time_although_the_relay_broke_calls(
    platform: Platform, result: str, fault_s: float
) -> None:
    """Guards against drains that wait for the message window, used up by retries of calls that had no effect."""
    platform.relay.call_results = [result] * 1000
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(fault_s)
    platform.relay.call_results = []
    platform.advance(0.5)
    platform.discovery.change(entry(2, "leaving"))
    settings = platform.assigner.config.settings
    platform.advance(settings.drain_grace_s - settings.channel_delay_max_s)
    assert not {"s-1", "s-2"} & platform.relay.routable_hosts()
    assert platform.director_tables() == platform.relay.tables


def test_reconnection_of_unchanged_watches_causes_no_events(platform: Platform) -> None:
    before = platform.director_tables()
    rounds, events = platform.assigner.rounds.counters.rounds, platform.record_events()
    platform.break_watches()
    platform.advance(3.0)
    state_events = (ProxyConnected, ProxyDisconnected, OwnershipChanged, StoredWeight)
    assert not any(isinstance(event, state_events) for event in events)
    assert platform.assigner.runtime.proxy_zones.keys() == {0, 1, 2}
    assert platform.director_tables() == before
    assert platform.relay.watches()
    assert platform.discovery.watches()
    assert platform.assigner.rounds.counters.rounds > rounds
    assert [row for _, rows in platform.relay.calls for row in rows if row["do"] == "SET"] == []


def test_changes_during_a_disconnection_are_detected(platform: Platform) -> None:
    platform.relay.proxies = [0, 2, 4]
    del platform.relay.tables[5]
    platform.relay.tables[3] = {"s-0": 1.0}  # Another assigner owned it in the meantime.
    platform.relay.first_connections = {2, 4}  # Proxy 2 has restarted.
    events = platform.record_events()
    platform.relay.unresponsive = True
    platform.break_watches()
    platform.advance(0.5)
    # Missing proxies are kept until the heartbeat.
    assert platform.assigner.runtime.proxy_zones.keys() == {0, 1, 2, 4}
    platform.relay.unresponsive = False
    platform.relay.broadcast({})  # The heartbeat ends the snapshot.
    platform.advance(0.01)
    assert [event.proxy_id for event in events if isinstance(event, ProxyConnected)] == [2, 4]
    assert platform.assigner.runtime.proxy_zones.keys() == {0, 2, 4}
    assert 5 not in platform.assigner.runtime.fencing_tokens
    assert platform.director_tables() == platform.relay.tables


def test_recent_orders_are_not_overwritten_by_an_older_snapshot(platform: Platform) -> None:
    before = {s: dict(table) for s, table in platform.relay.tables.items()}
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(0.05)
    # The new watch returns a snapshot from before the call was applied.
    ordered_tables, platform.relay.tables = platform.relay.tables, before
    platform.break_watches()
    platform.advance(0.5)
    assert platform.director_tables() == ordered_tables
    assert not platform.logged("table_differs")


@pytest.mark.parametrize("returned_after_s", [0.0, 0.4])
def test_orders_ignored_while_another_assigner_owned_the_slice_leave_no_empty_table(
    platform: Platform, returned_after_s: float
) -> None:
    """Guards against slices without a server: orders accepted without effect were believed to be stored."""
    relay = platform.relay
    relay.unresponsive = True  # The watch is silent, so the revocation is not received.
    relay.foreign_slices = {1}
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(0.05)
    ordered_host = next(iter(platform.director_tables()[1]))
    heir_host = next(f"s-{k}" for k in (0, 2, 3) if f"s-{k}" != ordered_host)
    relay.tables[1] = {heir_host: 1.0}
    relay.unresponsive = False
    if not returned_after_s:
        relay.foreign_slices = set()
    platform.break_watches()
    platform.advance(returned_after_s)
    if returned_after_s:
        relay.foreign_slices = set()
        relay.send_table(relay.watches()[0], 1)
    platform.advance(3.0)
    platform.discovery.change(entry(int(heir_host[2:]), "leaving"))
    platform.advance(1.0)
    assert all(relay.tables.values())
    assert platform.director_tables() == relay.tables


def test_late_weight_of_a_slice_granted_again_counts_whatever_was_ordered_before(platform: Platform) -> None:
    """Guards against requests to a draining server in an entry that was taken for an older one of our own."""
    relay = platform.relay
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(0.05)
    platform.discovery.change(entry(1))
    relay.broadcast({"type": "given", "object": {"partition": 1, "yes": False}})
    relay.tables[1] = {"s-0": 1.0, "s-1": 1.0}  # As another assigner left it.
    relay.broadcast({"type": "given", "object": {"partition": 1, "yes": True}})
    relay.broadcast({"type": "held", "object": {"partition": 1, "host": "s-0", "share": 1.0}})
    platform.advance(0.05)
    relay.broadcast({"type": "held", "object": {"partition": 1, "host": "s-1", "share": 1.0}})
    platform.advance(0.05)
    assert platform.director_tables()[1] == relay.tables[1]
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(3.0)
    assert "s-1" not in relay.routable_hosts()
    assert platform.director_tables() == relay.tables


def test_call_applied_after_an_unread_grant_leaves_no_unknown_entry(platform: Platform) -> None:
    """Guards against entries that the assigner does not know: the granted table was older than the call."""
    relay: Any = platform.relay
    answer = relay.answer
    ordered_hosts: list[str] = []

    def grant_before_the_call(connection: Any, method: str, target: str, body: bytes) -> None:
        if method == "POST" and not ordered_hosts:
            rows = [row for row in json.loads(body)["orders"] if row.get("group") == 1]
            ordered_hosts.extend(row["host"] for row in rows if row["share"] > 0)
            relay.broadcast({"type": "given", "object": {"partition": 1, "yes": False}})
            relay.tables[1] = {f"s-{k}": 1.0 for k in (0, 2, 3) if f"s-{k}" not in ordered_hosts}
            relay.send_table(relay.watches()[0], 1)
        answer(connection, method, target, body)

    relay.answer = grant_before_the_call
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(2.0)
    assert platform.director_tables() == relay.tables
    platform.discovery.change(entry(int(ordered_hosts[0][2:]), "leaving"))
    platform.advance(1.0)
    assert ordered_hosts[0] not in relay.routable_hosts()


@pytest.mark.parametrize("granted_again", [False, True])
def test_queued_orders_of_a_revoked_slice_are_never_sent(platform: Platform, granted_again: bool) -> None:
    platform.relay.call_results = ["throttled"] * 4
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(0.1)
    assert platform.assigner.relay.outbox.unsettled_servers(1, granted_at_s=0.0).newer
    platform.relay.tables[1] = {"s-0": 1.0}
    platform.relay.broadcast({"type": "given", "object": {"partition": 1, "yes": granted_again}})
    if granted_again:  # The slice is granted again with another table.
        platform.relay.broadcast({"type": "held", "object": {"partition": 1, "host": "s-0", "share": 1.0}})
    platform.advance(3.0)
    rows = [row for _, rows in platform.relay.calls for row in rows if row.get("group") == 1]
    assert rows == []
    assert platform.relay.calls


def test_silent_watches_are_reopened_and_known_state_is_kept(platform: Platform) -> None:
    platform.relay.unresponsive = platform.discovery.unresponsive = True
    initial_watches = platform.relay.watches() + platform.discovery.watches()
    platform.advance(6.0)
    assert not any(c.open for c in initial_watches)
    assert platform.assigner.runtime.proxy_zones.keys() == {0, 1, 2}
    assert platform.relay.watches()
    assert platform.discovery.watches()
    assert len(platform.assigner.runtime.endpoints) == SERVERS


def test_received_response_is_processed_before_an_overdue_timeout() -> None:
    clock: Any = Clock()
    clock.connectTCP = lambda *_, **__: None
    responses: list[Response] = []
    limits = RequestLimits(connect_timeout_s=0.5, response_timeout_s=0.12, max_body_bytes=100)
    request = HttpRequest(clock, ("127.0.0.1", 1), ("GET", "/x", None), responses.append, limits)
    transport: Any = StringTransport()  # type: ignore[no-untyped-call]
    transport.setTcpNoDelay = lambda _on: None
    request.makeConnection(transport)  # type: ignore[no-untyped-call]
    clock.advance(0.5)  # After a stall of the process, timers run before received data is read.
    assert not responses
    request.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
    assert responses == [Response(RequestResult.ANSWERED, 200, b"{}")]


def test_empty_snapshot_does_not_resolve_an_uncertain_call(platform: Platform) -> None:
    platform.relay.call_results = ["lost"]
    send_snapshot = platform.relay.send_snapshot
    platform.relay.send_snapshot = lambda connection: platform.reactor.callLater(  # type: ignore[method-assign]
        0.2, send_snapshot, connection
    )
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(2.0)
    assert "s-1" not in platform.relay.routable_hosts()

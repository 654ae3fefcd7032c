"""Tests race conditions, each forced: the assigner runs as a process on loopback, the test acts as its peers.

A peer continues once it has observed the event that must come first; it does not sleep. docs/races.md lists
the cases.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any

import pytest

from tests.peers import PORTS
from tests.platform_peers import (
    HEARTBEAT,
    AssignerProcess,
    HttpConnection,
    HttpServer,
    RelayStore,
    proxy_joined,
    slice_granted,
    table_weight,
)
from tests.platform_world import entry, settings

pytestmark = pytest.mark.processes

CALL = "POST /api/txn"
RELAY_WATCH = "GET /api/watch"
LIST_WATCH = "GET /catalog/members"
SERVERS = 4
SLICES = 6
# Timeouts long enough that on a busy machine none occurs between the events that a test puts in order.
LONG_TIMEOUTS: Mapping[str, float] = {
    "platform.relay_client.RESPONSE_TIMEOUT_S": 20,
    "platform.relay_snapshot.TIMEOUT_S": 20,
    "platform.health_check_client.TIMEOUT_S": 20,
    "platform.endpoint_watch.SILENCE_TIMEOUT_S": 60,
    "platform.relay_watch.SILENCE_TIMEOUT_S": 60,
}


class Platform:
    """An assigner with its relay and discovery; `store` holds the state of the relay."""

    def __init__(
        self,
        folder: Path,
        constants: Mapping[str, float] = LONG_TIMEOUTS,
        servers: int = SERVERS,
        health_checks: bool = False,
        **family: Any,
    ) -> None:
        self.relay = HttpServer()
        self.discovery = HttpServer()
        listen = f"127.0.0.1:{PORTS.take()}"
        self.entries = [entry(k) for k in range(servers)]
        self.version = 7
        assigner_settings = settings(**({"reloadsMax": 0} | family)) | {"limits": {"probes": health_checks}}
        config = {
            "name": "n0",
            "listen": listen,
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "store": {"address": self.relay.address},
            "settings": assigner_settings,
        }
        self.store = RelayStore(
            {s: {f"s-{s % servers}": 1.0} for s in range(assigner_settings["familyInfo"]["slices"])}
        )
        self.assigner = AssignerProcess(folder / "config.json", config, constants)
        self.relay_watch: Any = None
        self.list_watch: Any = None

    def accept_watch(self, target: str, address: HttpServer | None = None) -> HttpConnection:
        """Return the connection of the next watch at an address, after sending the head of its response."""
        connection, _, _ = (
            address or (self.relay if target == RELAY_WATCH else self.discovery)
        ).next_request(target)
        connection.begin_response()
        return connection

    def start(self, *extra: Any) -> Platform:
        """Send the endpoint list and the relay's state, and wait until the assigner serves."""
        self.list_watch = self.accept_watch(LIST_WATCH)
        self.list_watch.send_lines(self.list_snapshot())
        self.relay_watch = self.accept_watch(RELAY_WATCH)
        self.relay_watch.send_lines(
            *map(proxy_joined, range(3)), *self.store.snapshot_messages(), *extra, HEARTBEAT
        )
        self.assigner.wait_for("serving")
        self.assigner.wait_for("endpoint_list", version=self.version)
        return self

    def relay_snapshot(self) -> list[dict[str, Any]]:
        """Return the messages of all proxies and tables, and the heartbeat that ends the snapshot."""
        return [*map(proxy_joined, range(3)), *self.store.snapshot_messages(), HEARTBEAT]

    def list_snapshot(self) -> dict[str, Any]:
        return {"seq": self.version, "whole": True, "hosts": self.entries}

    def change_list(self, *entries: dict[str, Any]) -> None:
        """Send changes of the endpoint list, and wait until the assigner has received them."""
        self.version += 1
        self.list_watch.send_lines({"seq": self.version, "whole": False, "hosts": list(entries)})
        self.assigner.wait_for("endpoint_list", version=self.version)

    def drain(self, k: int) -> None:
        """Report server K as leaving."""
        self.change_list(entry(k, "leaving"))

    def call(self, address: HttpServer | None = None) -> tuple[HttpConnection, bytes]:
        """Return the connection and the body of the next call."""
        connection, _, body = (address or self.relay).next_request(CALL)
        return connection, body

    def answer_call(self, address: HttpServer | None = None) -> None:
        """Apply and answer the next call."""
        connection, body = self.call(address)
        connection.respond(self.store.apply_call(body))

    def answer_calls_until_withdrawn(self, *hosts: str, address: HttpServer | None = None) -> None:
        """Apply and answer calls until proxies send no more requests to these hosts."""
        while self.store.routable_hosts() & set(hosts):
            self.answer_call(address)

    def end(self) -> None:
        self.assigner.end()
        self.relay.close()
        self.discovery.close()


@pytest.fixture
def new_platform(tmp_path: Path) -> Iterator[Callable[..., Platform]]:
    """Return a function that creates platforms, which end with the test."""
    with ExitStack() as stack:

        def create(**changes: Any) -> Platform:
            platform = Platform(tmp_path, **changes)
            stack.callback(platform.end)
            return platform

        yield create


# Shutdown --------------------------------------------------------------------------------------------


def test_no_call_begins_after_sigterm(new_platform: Callable[..., Platform]) -> None:
    """At the signal, one call is in flight and an order waits; the call is answered afterwards."""
    platform = new_platform(constants={**LONG_TIMEOUTS, "platform.service.STOP_TIMEOUT_S": 20}).start()
    platform.drain(1)
    connection, body = platform.call()
    platform.drain(2)  # This order waits for the answer.
    platform.assigner.wait_for("decision", 2)
    client = platform.assigner.connect()
    platform.assigner.signal(signal.SIGTERM)
    platform.assigner.wait_for("stopping")
    with suppress(OSError):
        client.sendall(b'{"msg":"ping"}\n')
    wait_until_connections_are_refused(platform)
    assert platform.assigner.process.poll() is None  # The call is still in flight.
    connection.respond(platform.store.apply_call(body))
    assert platform.assigner.process.wait(5) == 0
    assert not platform.relay.has_request(CALL)
    assert "s-1" not in platform.store.routable_hosts()
    assert read_to_end(client) == b""  # The ping was not answered.


def wait_until_connections_are_refused(platform: Platform, limit_s: float = 2.0) -> None:
    """Wait until connections are refused, and check that those completed before then end without a byte.

    The event "stopping" is logged before the port closes, at the end of that turn of the reactor. Until then
    the kernel completes handshakes without the process, but such connections are never accepted.
    """
    unaccepted: list[socket.socket] = []
    deadline_s = time.monotonic() + limit_s
    while True:
        assert time.monotonic() < deadline_s, f"connections are not refused after {limit_s} s"
        try:
            unaccepted.append(platform.assigner.connect())
        except ConnectionResetError:  # The port closed right after the handshake.
            continue
        except ConnectionRefusedError:
            break
    for sock in unaccepted:
        with suppress(OSError):
            sock.sendall(b'{"msg":"ping"}\n')
        assert read_to_end(sock) == b""


def read_to_end(sock: socket.socket) -> bytes:
    """Return all bytes that a connection delivers until it ends."""
    sock.settimeout(15)
    received = b""
    try:
        while data := sock.recv(1 << 16):
            received += data
    except ConnectionError:
        pass
    return received


def before_any_state(platform: Platform) -> None:
    platform.relay.next_request(RELAY_WATCH)
    platform.discovery.next_request(LIST_WATCH)


def while_changing_addresses(platform: Platform) -> None:
    platform.start()
    new_server = HttpServer()
    platform.assigner.write(discovery=new_server.address, store={"address": new_server.address})
    platform.assigner.signal(signal.SIGHUP)
    new_server.next_request(RELAY_WATCH)  # Connected, but not answered.


def with_uncertain_call(platform: Platform) -> None:
    platform.start()
    platform.drain(1)
    connection, body = platform.call()
    platform.store.apply_call(body)
    connection.reset()
    platform.relay.next_request(RELAY_WATCH)  # The snapshot is requested, but not sent.


def after_first_sigterm(platform: Platform) -> None:
    platform.start()
    platform.drain(1)
    platform.call()
    platform.assigner.signal(signal.SIGTERM)
    platform.assigner.wait_for("stopping")


@pytest.mark.parametrize(
    "state", [before_any_state, while_changing_addresses, with_uncertain_call, after_first_sigterm]
)
def test_sigterm_stops_the_assigner_at_any_time(
    new_platform: Callable[..., Platform], state: Callable[[Platform], None]
) -> None:
    platform = new_platform()
    state(platform)
    calls = len(platform.store.received)
    platform.assigner.signal(signal.SIGTERM)
    assert platform.assigner.process.wait(5) == 0
    platform.assigner.wait_for("stopping")
    assert len(platform.store.received) == calls
    assert len(platform.assigner.logged("stopping")) == 1


# Relay watch ------------------------------------------------------------------------------------------


def test_state_missing_from_an_incomplete_snapshot_is_not_removed(
    new_platform: Callable[..., Platform],
) -> None:
    """A server drains between the two parts of a snapshot; an unknown message does not end the snapshot."""
    platform = new_platform().start()
    platform.relay_watch.reset()
    platform.relay_watch = platform.accept_watch(RELAY_WATCH)
    platform.store.tables[6] = {"s-0": 1.0}  # A slice granted since the first snapshot.
    platform.relay_watch.send_lines(
        proxy_joined(0), slice_granted(6), table_weight(6, "s-0"), {"type": "tide", "object": {"level": 3}}
    )
    platform.assigner.wait_for("ownership_changed", granted=1)  # The pause after the last line has passed.
    platform.drain(1)
    # s-1 is withdrawn from all tables, though the new watch has sent only one.
    platform.answer_calls_until_withdrawn("s-1")
    platform.relay_watch.send_lines(
        *map(proxy_joined, (1, 2)), *platform.store.snapshot_messages(*range(6)), HEARTBEAT
    )
    platform.drain(0)
    platform.answer_calls_until_withdrawn("s-0", "s-1")
    assert all(platform.store.tables.values())
    assert not platform.assigner.logged("table_differs")


def test_input_received_while_the_process_is_paused_counts_though_timers_fire_first(
    new_platform: Callable[..., Platform],
) -> None:
    platform = new_platform().start()
    platform.relay_watch.reset()
    platform.relay_watch = platform.accept_watch(RELAY_WATCH)
    platform.relay_watch.send_lines(proxy_joined(0), *platform.store.snapshot_messages(0))
    platform.assigner.wait_for("relay_watch_opened", 2)  # The first part has been read.
    platform.assigner.signal(signal.SIGSTOP)
    platform.relay_watch.send_lines(
        *map(proxy_joined, (1, 2)), *platform.store.snapshot_messages(1, 2, 3, 4, 5), HEARTBEAT
    )
    time.sleep(0.5)  # All pauses of the snapshot have expired when it resumes.
    platform.list_watch.send_lines({"seq": 8, "whole": False, "hosts": [entry(1, "leaving")]})
    platform.assigner.signal(signal.SIGCONT)
    connection, body = platform.call()  # One call for both slices of the server.
    assert {r["group"] for r in json.loads(body)["orders"] if r["do"] == "SET"} == {1, 5}
    connection.respond(platform.store.apply_call(body))
    assert not platform.assigner.logged("ownership_changed", revoked=5)
    assert all(platform.store.tables.values())


def test_repeated_relay_messages_and_lists_change_nothing(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform().start()
    repeated = [proxy_joined(0), *platform.store.snapshot_messages(), HEARTBEAT]
    platform.relay_watch.send_lines(*repeated, *repeated)
    platform.drain(1)
    platform.answer_calls_until_withdrawn("s-1")
    # A delayed older list, in which the server was still active.
    platform.list_watch.send_lines({"seq": 8, "whole": False, "hosts": [entry(1)]})
    platform.drain(2)
    platform.answer_calls_until_withdrawn("s-1", "s-2")
    assert all(platform.store.tables.values())


def test_state_missing_from_a_complete_snapshot_is_removed(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform().start()
    platform.relay_watch.reset()
    platform.relay_watch = platform.accept_watch(RELAY_WATCH)
    platform.relay_watch.send_lines(
        *map(proxy_joined, range(3)), *platform.store.snapshot_messages(0, 2, 3, 4, 5), HEARTBEAT
    )
    platform.assigner.wait_for("ownership_changed", revoked=1)
    platform.drain(1)  # The server had slices 1 and 5.
    connection, body = platform.call()
    assert {r["group"] for r in json.loads(body)["orders"] if r["do"] == "SET"} == {5}
    connection.respond(platform.store.apply_call(body))


def test_weight_received_after_its_table_was_passed_on_counts(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform().start()
    platform.store.tables[6] = {"s-0": 1.0, "s-1": 1.0}
    platform.relay_watch.send_lines(slice_granted(6), table_weight(6, "s-0"))
    platform.assigner.wait_for("ownership_changed", granted=1)
    platform.store.tables[7] = {"s-0": 1.0}
    platform.relay_watch.send_lines(table_weight(6, "s-1"), slice_granted(7), table_weight(7, "s-0"))
    platform.assigner.wait_for("ownership_changed", 2, granted=1)
    platform.drain(1)
    platform.answer_calls_until_withdrawn("s-1")
    assert all(platform.store.tables.values())


def test_uncertain_weights_are_dropped_when_their_slice_was_revoked_and_granted_again(
    new_platform: Callable[..., Platform],
) -> None:
    """Between the call and its resolving snapshot, another assigner owned the slice and changed its table."""
    platform = new_platform().start()
    platform.drain(1)
    connection, body = platform.call()
    lost_orders = [
        r for r in json.loads(body)["orders"] if r["do"] == "SET" and r["share"] > 0 and r["group"] == 1
    ]
    assert lost_orders
    connection.reset()  # The call was not applied.
    snapshot = platform.accept_watch(RELAY_WATCH)
    other_host = next(f"s-{k}" for k in (0, 2, 3) if f"s-{k}" != lost_orders[0]["host"])
    platform.store.tables[1] = {other_host: 1.0}
    platform.relay_watch.send_lines(
        slice_granted(1, False), slice_granted(1), *platform.store.snapshot_messages(1)[1:], HEARTBEAT
    )
    platform.assigner.wait_for("ownership_changed", granted=1, revoked=0)
    snapshot.send_lines(*platform.store.snapshot_messages(), HEARTBEAT)
    platform.answer_calls_until_withdrawn("s-1")
    assert lost_orders[0] not in platform.store.received
    assert platform.store.tables[1] == {other_host: 1.0}


def test_slice_revoked_granted_and_revoked_in_one_packet(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform().start()
    platform.relay_watch.send_lines(
        slice_granted(1, False),
        slice_granted(1),
        table_weight(1, "s-1"),
        slice_granted(1, False),
        table_weight(1, "s-1"),
        HEARTBEAT,
    )
    platform.assigner.wait_for("ownership_changed", revoked=1)
    platform.drain(1)
    connection, body = platform.call()
    assert {r["group"] for r in json.loads(body)["orders"] if r["do"] == "SET"} == {5}
    connection.respond(platform.store.apply_call(body))


def test_successor_reads_what_was_applied_of_a_killed_senders_call(
    new_platform: Callable[..., Platform],
) -> None:
    platform = new_platform().start()
    platform.drain(1)
    connection, body = platform.call()
    platform.assigner.end()  # Killed between the call and its answer.
    connection.respond(platform.store.apply_call(body))
    first_orders = list(platform.store.received)
    platform.relay.close()
    platform.discovery.close()
    successor = new_platform()  # A process with the same configuration and no state.
    successor.store = platform.store
    successor.entries[1] = entry(1, "leaving")
    successor.start()
    successor.drain(2)
    successor.answer_calls_until_withdrawn("s-1", "s-2")
    later_orders = platform.store.received[len(first_orders) :]
    repeated = [r for r in later_orders if r["do"] == "SET" and r in first_orders]
    assert not repeated
    assert all(platform.store.tables.values())


# Calls ------------------------------------------------------------------------------------------------

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"accepted":%d}'


def test_answer_cut_at_any_byte_repeats_and_loses_no_order(new_platform: Callable[..., Platform]) -> None:
    """Cut the answer after each byte, by a close and a reset in turn; every third call is not applied."""
    cuts = len(ANSWER) - 1
    platform = new_platform(servers=cuts + 2, slices=cuts + 2).start()
    unapplied: list[str] = []
    for cut in range(cuts):
        platform.drain(cut)
        connection, body = platform.call()
        applied = cut % 3 != 2
        platform.store.apply_call(body, applied)
        orders = json.loads(body)["orders"]
        unapplied += [json.dumps(r) for r in orders if r["do"] == "SET" and not applied]
        connection.send((ANSWER % len(orders))[:cut])
        (connection.reset if cut % 2 else connection.close)()
        snapshot = platform.accept_watch(RELAY_WATCH)
        snapshot.send_lines(*platform.store.snapshot_messages(), HEARTBEAT)
        platform.assigner.wait_for("call_resolved", cut + 1)
        if not applied:
            platform.answer_calls_until_withdrawn(f"s-{cut}")
        assert f"s-{cut}" not in platform.store.routable_hosts()
    set_orders = [json.dumps(r) for r in platform.store.received if r["do"] == "SET"]
    assert Counter(set_orders) == Counter(set(set_orders)) + Counter(unapplied)
    assert all(platform.store.tables.values())


def test_snapshot_in_two_packets_repeats_no_applied_order(
    new_platform: Callable[..., Platform],
) -> None:
    platform = new_platform().start()
    platform.drain(1)
    connection, body = platform.call()
    platform.store.apply_call(body)
    connection.reset()
    snapshot = platform.accept_watch(RELAY_WATCH)
    snapshot.send_lines(*platform.store.snapshot_messages(0, 1))
    platform.assigner.wait_for("call_resolved", applied=True)
    platform.drain(2)
    platform.answer_calls_until_withdrawn("s-1", "s-2")
    set_orders = [json.dumps(r) for r in platform.store.received if r["do"] == "SET"]
    assert len(set_orders) == len(set(set_orders))


# Endpoint list ----------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "malformed", [b'{"seq":8,"whole":fal\n', b'{"whole":false,"hosts":[]}\n', b"\xff\xfe\n"]
)
def test_malformed_list_changes_are_requested_again(
    new_platform: Callable[..., Platform], malformed: bytes
) -> None:
    platform = new_platform().start()
    # The malformed line is followed by a valid change with a later version.
    platform.list_watch.send_lines(malformed, {"seq": 9, "whole": False, "hosts": [entry(3, share=1.5)]})
    platform.list_watch, target, _ = platform.discovery.next_request(LIST_WATCH)
    assert target.endswith("since=7")
    platform.list_watch.begin_response()
    platform.list_watch.send_lines(
        {"seq": 9, "whole": False, "hosts": [entry(1, "leaving"), entry(3, share=1.5)]}
    )
    platform.answer_calls_until_withdrawn("s-1")


def test_half_a_line_followed_by_silence_loses_nothing(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform(
        constants={**LONG_TIMEOUTS, "platform.endpoint_watch.SILENCE_TIMEOUT_S": 1}
    ).start()
    platform.list_watch.send_lines(b'{"seq":8,"whole":false,"hosts":[')
    platform.list_watch, target, _ = platform.discovery.next_request(LIST_WATCH)
    assert target.endswith("since=7")
    platform.list_watch.begin_response()
    platform.list_watch.send_lines({"seq": 8, "whole": False, "hosts": [entry(1, "leaving")]})
    platform.answer_calls_until_withdrawn("s-1")


def test_stale_discovery_agent_reinstates_no_server(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform().start()
    stale_list = platform.list_snapshot()
    platform.drain(1)
    platform.answer_calls_until_withdrawn("s-1")
    platform.list_watch.reset()
    platform.list_watch = platform.accept_watch(LIST_WATCH)
    platform.list_watch.send_lines(stale_list)
    platform.drain(2)
    platform.drain(3)  # Only s-0 is left.
    platform.answer_calls_until_withdrawn("s-1", "s-2", "s-3")
    assert all(platform.store.tables.values())


def test_snapshot_of_the_list_in_place_of_a_delta(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform().start()
    platform.entries[1] = entry(1, "leaving")
    del platform.entries[3]
    platform.version += 1
    platform.list_watch.send_lines(platform.list_snapshot())
    platform.answer_calls_until_withdrawn("s-1", "s-3")
    assert all(platform.store.tables.values())


def test_host_names_in_tables_are_retained_until_a_late_list_arrives(
    new_platform: Callable[..., Platform],
) -> None:
    platform = new_platform(
        constants={**LONG_TIMEOUTS, "platform.service.FORGET_PERIOD_S": 0.1, "platform.stats.PERIOD_S": 0.2}
    )
    platform.store.tables[0]["s-9"] = 1.0  # A host that the endpoint list does not contain.
    platform.relay_watch = platform.accept_watch(RELAY_WATCH)
    platform.relay_watch.send_lines(*platform.relay_snapshot())
    platform.assigner.wait_for("ownership_changed", slices=SLICES)
    # By then, the assigner has removed the host names that it does not retain.
    platform.assigner.wait_for("stats", len(platform.assigner.logged("stats")) + 2)
    platform.list_watch = platform.accept_watch(LIST_WATCH)
    platform.list_watch.send_lines(platform.list_snapshot())
    platform.answer_calls_until_withdrawn("s-9")
    assert all(platform.store.tables.values())
    assert not platform.assigner.logged("order_invalid")


# Reload -----------------------------------------------------------------------------------------------


def test_old_stream_is_read_until_the_first_line_of_the_new_one(
    new_platform: Callable[..., Platform],
) -> None:
    """The new stream is reset after its head; the lines of the old stream are still applied."""
    platform = new_platform().start()
    new_server = HttpServer()
    platform.assigner.write(discovery=new_server.address, store={"address": new_server.address})
    platform.assigner.signal(signal.SIGHUP)
    first = [platform.accept_watch(RELAY_WATCH, new_server), platform.accept_watch(LIST_WATCH, new_server)]
    platform.drain(1)  # The update is sent on the old stream.
    platform.answer_calls_until_withdrawn("s-1", address=new_server)
    for connection in first:
        connection.reset()
    platform.drain(2)
    platform.answer_calls_until_withdrawn("s-2", address=new_server)
    assert not platform.relay_watch.ended.is_set()
    assert not platform.list_watch.ended.is_set()
    platform.relay_watch = platform.accept_watch(RELAY_WATCH, new_server)
    platform.list_watch = platform.accept_watch(LIST_WATCH, new_server)
    platform.relay_watch.send_lines(*platform.relay_snapshot())
    platform.list_watch.send_lines(
        {"seq": platform.version + 1, "whole": False, "hosts": [entry(3, "leaving")]}
    )
    platform.answer_calls_until_withdrawn("s-3", address=new_server)
    assert all(platform.store.tables.values())
    assert not platform.relay.has_request(CALL)
    new_server.close()


def test_second_reload_while_the_first_one_is_connecting(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform().start()
    new_server = HttpServer()
    platform.assigner.write(discovery=new_server.address, store={"address": new_server.address})
    platform.assigner.signal(signal.SIGHUP)
    new_server.next_request(RELAY_WATCH)
    new_server.next_request(LIST_WATCH)  # Neither request is answered.
    platform.assigner.write(discovery=platform.discovery.address, store={"address": platform.relay.address})
    platform.assigner.signal(signal.SIGHUP)
    platform.assigner.wait_for("reloaded", 2)
    platform.relay_watch = platform.accept_watch(RELAY_WATCH)
    platform.list_watch = platform.accept_watch(LIST_WATCH)
    platform.relay_watch.send_lines(*platform.relay_snapshot())
    platform.list_watch.send_lines({"seq": 8, "whole": False, "hosts": [entry(1, "leaving")]})
    platform.answer_calls_until_withdrawn("s-1")
    assert not new_server.has_request(CALL)
    assert all(platform.store.tables.values())
    assert all(connection.ended.wait(5) for connection in new_server.connections)
    new_server.close()


def test_uncertain_call_to_the_old_relay_is_resolved_at_the_new_one(
    new_platform: Callable[..., Platform],
) -> None:
    platform = new_platform().start()
    platform.drain(1)
    connection, body = platform.call()
    new_server = HttpServer()
    platform.assigner.write(store={"address": new_server.address})
    platform.assigner.signal(signal.SIGHUP)
    platform.relay_watch = platform.accept_watch(RELAY_WATCH, new_server)
    platform.store.apply_call(body)  # The call is applied, but its answer is lost.
    connection.reset()
    snapshot = platform.accept_watch(RELAY_WATCH, new_server)
    for watch in (snapshot, platform.relay_watch):
        watch.send_lines(*platform.relay_snapshot())
    platform.assigner.wait_for("call_resolved", applied=True)
    platform.drain(2)
    platform.answer_calls_until_withdrawn("s-1", "s-2", address=new_server)
    set_orders = [json.dumps(r) for r in platform.store.received if r["do"] == "SET"]
    assert len(set_orders) == len(set(set_orders))
    assert not platform.relay.has_request(CALL)
    new_server.close()


def test_reload_applies_both_addresses_and_nothing_else(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform().start()
    new_server = HttpServer()
    new_settings = json.loads(json.dumps(platform.assigner.config["settings"]))
    new_settings["familyInfo"]["slices"] = 9
    new_settings["rules"]["stopSendingWithinS"] = 30.0
    new_settings["zones"] = ["b"]
    platform.assigner.write(settings=new_settings, store={"address": new_server.address})
    platform.assigner.signal(signal.SIGHUP)
    platform.assigner.wait_for("reloaded")
    ignored_keys = {r["key"] for r in platform.assigner.logged("reload_ignored")}
    assert ignored_keys == {"settings.slice_count", "settings.drain_grace_s", "names.zones"}
    platform.relay_watch = platform.accept_watch(RELAY_WATCH, new_server)
    # The proxies are of zone a, which is still in the settings in force.
    platform.relay_watch.send_lines(*platform.relay_snapshot())
    platform.drain(1)
    platform.answer_calls_until_withdrawn("s-1", address=new_server)
    platform.assigner.path.write_text('{"store": ')
    platform.assigner.signal(signal.SIGHUP)
    platform.assigner.wait_for("reload_rejected")
    platform.drain(2)
    platform.answer_calls_until_withdrawn("s-2", address=new_server)
    new_server.close()


# Persistent connections ---------------------------------------------------------------------------------

REPORT = b"TEXT inflight=2"
OK_RESPONSE = b"HTTP/1.1 200 X\r\nContent-Length: 15\r\n\r\n" + REPORT
UNAVAILABLE_RESPONSE = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    "pieces",
    [
        [OK_RESPONSE + UNAVAILABLE_RESPONSE],
        [OK_RESPONSE, UNAVAILABLE_RESPONSE],
        [OK_RESPONSE + UNAVAILABLE_RESPONSE[:9]],
    ],
)
def test_bytes_beyond_a_response_are_not_read_as_the_next_one(
    new_platform: Callable[..., Platform], pieces: list[bytes]
) -> None:
    platform = new_platform(health_checks=True, servers=1)
    server = HttpServer()
    platform.entries = [entry(0, dial=server.address)]
    platform.start()
    first, _, _ = server.next_request("GET /_load")
    for piece in pieces:
        first.send(piece)
    assert first.ended.wait(15)
    second, _, _ = server.next_request("GET /_load")
    assert second is not first
    second.respond(REPORT)
    assert server.next_request("GET /_load")[0] is second  # The connection is kept open.
    server.close()


def test_idle_connection_closed_under_the_next_health_check_is_reopened(
    new_platform: Callable[..., Platform],
) -> None:
    platform = new_platform(
        constants={**LONG_TIMEOUTS, "decisions.parameters.HEALTH_CHECK_PERIOD_S": 3},
        health_checks=True,
        servers=1,
    )
    server = HttpServer()
    platform.entries = [entry(0, dial=server.address)]
    platform.start()
    connection, _, _ = server.next_request("GET /_load")
    connection.respond(REPORT)
    for _ in range(2):
        same_connection, _, _ = server.next_request("GET /_load")
        assert same_connection is connection
        same_connection.reset()  # Reset instead of a response.
        # This belongs to the same health check, as the next one is due after 3 s.
        connection, _, _ = server.next_request("GET /_load", 2.5)
        connection.respond(REPORT)
    server.close()


# Client connections -------------------------------------------------------------------------------------


def test_pings_are_not_answered_before_the_initial_state(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform(constants={**LONG_TIMEOUTS, "platform.service.READY_TIMEOUT_S": 60})
    relay_watch = platform.accept_watch(RELAY_WATCH)
    list_watch = platform.accept_watch(LIST_WATCH)
    client = platform.assigner.connect()
    client.sendall(b'{"msg":"ping"}\n')
    rejected_client = platform.assigner.connect()
    rejected_client.sendall(b"malformed\n")
    assert read_to_end(rejected_client) == b'{"msg":"refused"}\n'
    # The ping was sent earlier, so it has been read, too.
    client.setblocking(False)
    with pytest.raises(BlockingIOError):
        client.recv(100)
    client.setblocking(True)
    list_watch.send_lines(platform.list_snapshot())
    relay_watch.send_lines(*map(proxy_joined, range(3)), *platform.store.snapshot_messages())
    assert client.makefile("rb").readline() == b'{"msg":"pong"}\n'
    platform.assigner.wait_for("ownership_changed", slices=SLICES)


def answer_everything(platform: Platform) -> None:
    """Answer one waiting request at each address; requests that have timed out are sent again."""
    for address in (platform.relay, platform.discovery):
        with suppress(TimeoutError, OSError):
            connection, target, body = address.next_request("", 0.05)
            if target == CALL:
                connection.respond(platform.store.apply_call(body))
                continue
            connection.begin_response()
            if target == RELAY_WATCH:
                connection.send_lines(*platform.relay_snapshot())
            else:
                connection.send_lines({"seq": 9, "whole": True, "hosts": platform.entries})


@pytest.mark.parametrize("unavailable", ["relay", "discovery", "both"])
def test_assigner_serves_without_relay_or_discovery_at_the_start(
    new_platform: Callable[..., Platform], unavailable: str
) -> None:
    platform = new_platform(
        constants={
            **LONG_TIMEOUTS,
            "platform.service.READY_TIMEOUT_S": 0.5,
            "platform.endpoint_watch.SILENCE_TIMEOUT_S": 1,
            "platform.relay_watch.SILENCE_TIMEOUT_S": 1,
        }
    )
    if unavailable == "discovery":
        platform.relay_watch = platform.accept_watch(RELAY_WATCH)
        platform.relay_watch.send_lines(*platform.relay_snapshot())
    elif unavailable == "relay":
        platform.list_watch = platform.accept_watch(LIST_WATCH)
        platform.list_watch.send_lines(platform.list_snapshot())
    row = platform.assigner.wait_for("serving")
    assert (row["relay"], row["listed"]) == (unavailable == "discovery", unavailable == "relay")
    platform.entries[1] = entry(1, "leaving")
    while "s-1" in platform.store.routable_hosts():
        answer_everything(platform)
    assert all(platform.store.tables.values())


class ConnectionFlood:
    """Three threads that keep opening connections, with half a message, unread pongs, or closed at once."""

    SENT_TEXTS = (b'{"msg":"hea', b"", b'{"msg":"ping"}\n' * 50)

    def __init__(self, assigner: AssignerProcess) -> None:
        self.assigner = assigner
        self.open: list[socket.socket] = []
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run, daemon=True) for _ in range(3)]

    def __enter__(self) -> ConnectionFlood:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        while not self._stop.is_set():
            for text in self.SENT_TEXTS:
                with suppress(OSError):
                    self._connect(text)

    def _connect(self, text: bytes) -> None:
        connection = self.assigner.connect()
        connection.sendall(text)
        if text:
            self.open.append(connection)
        else:
            connection.close()


def connected_collector(platform: Platform) -> socket.socket:
    collector = platform.assigner.connect()
    collector.sendall(b'{"msg":"collector","az":"a"}\n')
    return collector


def test_flood_of_connections_displaces_no_collector_and_delays_no_order(
    new_platform: Callable[..., Platform],
) -> None:
    platform = new_platform().start()
    descriptors_before = platform.assigner.descriptors()
    collectors = [connected_collector(platform) for _ in range(4)]
    platform.assigner.wait_for("collector_connected", 4)
    with ConnectionFlood(platform.assigner) as flood:
        for k in (1, 2, 3):
            while len(flood.open) < 300 * k:
                assert platform.assigner.descriptors() <= 256
            platform.drain(k)
            platform.answer_calls_until_withdrawn(f"s-{k}")
    for collector in collectors:
        collector.sendall(b'{"msg":"ping"}\n')
        assert collector.makefile("rb").readline() == b'{"msg":"pong"}\n'
    for connection in flood.open:
        read_to_end(connection)  # Each connection is closed.
    late_collector = connected_collector(platform)
    platform.assigner.wait_for("collector_connected", 5)
    assert platform.assigner.descriptors() <= descriptors_before + 6
    assert platform.assigner.process.poll() is None
    late_collector.close()


def drain_first_server(platform: Platform) -> None:
    platform.start()
    platform.drain(1)
    platform.answer_calls_until_withdrawn("s-1")


def test_thirty_assigners_started_at_once_are_ready_and_have_the_state(tmp_path: Path) -> None:
    """Each has its own relay and discovery, which answer as soon as they are asked.

    All must be ready within 10 s; the requirement is nine in ten.
    """
    count = int(os.environ.get("PUFFINTIDE_RESTARTS", "30"))
    with ExitStack() as stack:
        platforms = []
        for k in range(count):
            (tmp_path / str(k)).mkdir()
            platform = Platform(tmp_path / str(k))
            stack.callback(platform.end)
            platforms.append(platform)
        # Each relay answers at once, not after the relays of the others.
        with ThreadPoolExecutor(count) as pool:
            list(pool.map(drain_first_server, platforms))
        for platform in platforms:
            first = platform.assigner.rows[0]
            ready = platform.assigner.logged("serving")[0]
            assert ready["t"] - first["t"] < 10
            assert ready["relay"]

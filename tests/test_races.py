"""Unlucky orders of events, each forced: the assigner as a process on loopback, and its peers played by the test.

A peer goes on once it has seen what must come first; none sleeps. docs/races.md lists the cases.
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
# Waits are long, so that on a busy machine no time-out gets between what a test puts in order.
PATIENT: Mapping[str, float] = {
    "platform.relay_client.RESPONSE_TIMEOUT_S": 20,
    "platform.relay_snapshot.TIMEOUT_S": 20,
    "platform.health_check_client.TIMEOUT_S": 20,
    "platform.endpoint_watch.SILENCE_TIMEOUT_S": 60,
    "platform.relay_watch.SILENCE_TIMEOUT_S": 60,
}


class Platform:
    """An assigner with its relay and discovery; `store` is what the relay keeps."""

    def __init__(
        self,
        folder: Path,
        constants: Mapping[str, float] = PATIENT,
        servers: int = SERVERS,
        health_checks: bool = False,
        **family: Any,
    ) -> None:
        self.relay = HttpServer()
        self.discovery = HttpServer()
        listen = f"127.0.0.1:{PORTS.take()}"
        self.rows = [entry(k) for k in range(servers)]
        self.version = 7
        platforms = settings(**({"reloadsMax": 0} | family)) | {"limits": {"probes": health_checks}}
        config = {
            "name": "n0",
            "listen": listen,
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "store": {"address": self.relay.address},
            "settings": platforms,
        }
        self.store = RelayStore(
            {s: {f"s-{s % servers}": 1.0} for s in range(platforms["familyInfo"]["slices"])}
        )
        self.assigner = AssignerProcess(folder / "config.json", config, constants)
        self.relay_watch: Any = None
        self.list_watch: Any = None

    def accept_watch(self, target: str, address: HttpServer | None = None) -> HttpConnection:
        """The next watch at an address, with the head of its answer."""
        connection, _, _ = (
            address or (self.relay if target == RELAY_WATCH else self.discovery)
        ).next_request(target)
        connection.begin_response()
        return connection

    def start(self, *extra: Any) -> Platform:
        """All stands, and the assigner serves."""
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
        """All proxies and tables, and the heartbeat that ends them."""
        return [*map(proxy_joined, range(3)), *self.store.snapshot_messages(), HEARTBEAT]

    def list_snapshot(self) -> dict[str, Any]:
        return {"seq": self.version, "whole": True, "hosts": self.rows}

    def change_list(self, *rows: dict[str, Any]) -> None:
        """Discovery tells changes, and they have been heard."""
        self.version += 1
        self.list_watch.send_lines({"seq": self.version, "whole": False, "hosts": list(rows)})
        self.assigner.wait_for("endpoint_list", version=self.version)

    def drain(self, k: int) -> None:
        self.change_list(entry(k, "leaving"))

    def call(self, address: HttpServer | None = None) -> tuple[HttpConnection, bytes]:
        connection, _, body = (address or self.relay).next_request(CALL)
        return connection, body

    def answer_call(self, address: HttpServer | None = None) -> None:
        """One call, carried out and answered."""
        connection, body = self.call(address)
        connection.respond(self.store.apply_call(body))

    def answer_calls_until_withdrawn(self, *hosts: str, address: HttpServer | None = None) -> None:
        """Calls are answered until nobody is sent to these hosts any more."""
        while self.store.routable_hosts() & set(hosts):
            self.answer_call(address)

    def end(self) -> None:
        self.assigner.end()
        self.relay.close()
        self.discovery.close()


@pytest.fixture
def new_platform(tmp_path: Path) -> Iterator[Callable[..., Platform]]:
    with ExitStack() as stack:

        def platforms(**changes: Any) -> Platform:
            platform = Platform(tmp_path, **changes)
            stack.callback(platform.end)
            return platform

        yield platforms


# The end --------------------------------------------------------------------------------------------


def test_no_call_begins_after_sigterm(new_platform: Callable[..., Platform]) -> None:
    """One is on its way and another order waits; the answer comes after the signal."""
    platform = new_platform(constants={**PATIENT, "platform.service.STOP_TIMEOUT_S": 20}).start()
    platform.drain(1)
    connection, body = platform.call()
    platform.drain(2)  # waits for the answer
    platform.assigner.wait_for("decision", 2)
    asker = platform.assigner.connect()
    platform.assigner.signal(signal.SIGTERM)
    platform.assigner.wait_for("stopping")
    with suppress(OSError):
        asker.sendall(b'{"msg":"ping"}\n')
    until_connections_are_refused(platform)
    assert platform.assigner.process.poll() is None  # the call is still on its way
    connection.respond(platform.store.apply_call(body))
    assert platform.assigner.process.wait(5) == 0
    assert not platform.relay.has_request(CALL)
    assert "s-1" not in platform.store.routable_hosts()
    assert read_to_end(asker) == b""  # nor was it said to be alive


def until_connections_are_refused(platform: Platform, limit_s: float = 2.0) -> None:
    """The row "stopping" is written before the port closes, at the end of that turn of the reactor. Until then the
    kernel completes handshakes by itself: such connections are never accepted, and end without a byte."""
    unaccepted: list[socket.socket] = []
    end = time.monotonic() + limit_s
    while True:
        assert time.monotonic() < end, "connections are still taken"
        try:
            unaccepted.append(platform.assigner.connect())
        except ConnectionResetError:  # the port closed right after the handshake
            continue
        except ConnectionRefusedError:
            break
    for sock in unaccepted:
        with suppress(OSError):
            sock.sendall(b'{"msg":"ping"}\n')
        assert read_to_end(sock) == b""


def read_to_end(sock: socket.socket) -> bytes:
    """All that a connection gives until it ends."""
    sock.settimeout(15)
    out = b""
    try:
        while data := sock.recv(1 << 16):
            out += data
    except ConnectionError:
        pass
    return out


def before_any_state(platform: Platform) -> None:
    platform.relay.next_request(RELAY_WATCH)
    platform.discovery.next_request(LIST_WATCH)


def while_moving(platform: Platform) -> None:
    platform.start()
    to = HttpServer()
    platform.assigner.write(discovery=to.address, store={"address": to.address})
    platform.assigner.signal(signal.SIGHUP)
    to.next_request(RELAY_WATCH)  # dialled, and not answered


def while_uncertain(platform: Platform) -> None:
    platform.start()
    platform.drain(1)
    connection, body = platform.call()
    platform.store.apply_call(body)
    connection.reset()
    platform.relay.next_request(RELAY_WATCH)  # what stands is asked for, and not told


def after_first_sigterm(platform: Platform) -> None:
    platform.start()
    platform.drain(1)
    platform.call()
    platform.assigner.signal(signal.SIGTERM)
    platform.assigner.wait_for("stopping")


@pytest.mark.parametrize("state", [before_any_state, while_moving, while_uncertain, after_first_sigterm])
def test_sigterm_ends_it_at_any_time(
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


# The relay's news -------------------------------------------------------------------------------------


def test_state_missing_from_an_incomplete_snapshot_is_not_removed(
    new_platform: Callable[..., Platform],
) -> None:
    """What stands comes in two pieces, with a gap in which a server drains; a kind that is not known is no end."""
    platform = new_platform().start()
    platform.relay_watch.reset()
    platform.relay_watch = platform.accept_watch(RELAY_WATCH)
    platform.store.tables[6] = {"s-0": 1.0}  # new since
    platform.relay_watch.send_lines(
        proxy_joined(0), slice_granted(6), table_weight(6, "s-0"), {"type": "tide", "object": {"level": 3}}
    )
    platform.assigner.wait_for("ownership_changed", granted=1)  # the pause has passed
    platform.drain(1)
    platform.answer_calls_until_withdrawn("s-1")  # in all tables, though the watch names one
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
    platform.assigner.wait_for("relay_watch_opened", 2)  # the first piece has been read
    platform.assigner.signal(signal.SIGSTOP)
    platform.relay_watch.send_lines(
        *map(proxy_joined, (1, 2)), *platform.store.snapshot_messages(1, 2, 3, 4, 5), HEARTBEAT
    )
    time.sleep(0.5)  # all its pauses are over when it wakes
    platform.list_watch.send_lines({"seq": 8, "whole": False, "hosts": [entry(1, "leaving")]})
    platform.assigner.signal(signal.SIGCONT)
    connection, body = platform.call()  # one, for both slices that stand there
    assert {r["group"] for r in json.loads(body)["orders"] if r["do"] == "SET"} == {1, 5}
    connection.respond(platform.store.apply_call(body))
    assert not platform.assigner.logged("ownership_changed", revoked=5)
    assert all(platform.store.tables.values())


def test_repeated_relay_messages_and_lists_change_nothing(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform().start()
    ignored_keys = [proxy_joined(0), *platform.store.snapshot_messages(), HEARTBEAT]
    platform.relay_watch.send_lines(*ignored_keys, *ignored_keys)
    platform.drain(1)
    platform.answer_calls_until_withdrawn("s-1")
    platform.list_watch.send_lines(
        {"seq": 8, "whole": False, "hosts": [entry(1)]}
    )  # an older one, late: it was well then
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
    platform.drain(1)  # slices 1 and 5 were there
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
    """Between the call and the look at what became of it, an heir had the slice and moved it elsewhere."""
    platform = new_platform().start()
    platform.drain(1)
    connection, body = platform.call()
    lost = [r for r in json.loads(body)["orders"] if r["do"] == "SET" and r["share"] > 0 and r["group"] == 1]
    assert lost
    connection.reset()  # not carried out
    snapshot = platform.accept_watch(RELAY_WATCH)
    other = next(f"s-{k}" for k in (0, 2, 3) if f"s-{k}" != lost[0]["host"])
    platform.store.tables[1] = {other: 1.0}
    platform.relay_watch.send_lines(
        slice_granted(1, False), slice_granted(1), *platform.store.snapshot_messages(1)[1:], HEARTBEAT
    )
    platform.assigner.wait_for("ownership_changed", granted=1, revoked=0)
    snapshot.send_lines(*platform.store.snapshot_messages(), HEARTBEAT)
    platform.answer_calls_until_withdrawn("s-1")
    assert lost[0] not in platform.store.received
    assert platform.store.tables[1] == {other: 1.0}


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
    platform.assigner.end()  # killed between order and answer
    connection.respond(platform.store.apply_call(body))
    first = list(platform.store.received)
    platform.relay.close()
    platform.discovery.close()
    successor = new_platform()  # a process of the same configuration, from nothing
    successor.store = platform.store
    successor.rows[1] = entry(1, "leaving")
    successor.start()
    successor.drain(2)
    successor.answer_calls_until_withdrawn("s-1", "s-2")
    again = [r for r in platform.store.received[len(first) :] if r["do"] == "SET" and r in first]
    assert not again
    assert all(platform.store.tables.values())


# Calls ------------------------------------------------------------------------------------------------

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"accepted":%d}'


def test_answer_cut_at_any_byte_repeats_and_loses_no_order(new_platform: Callable[..., Platform]) -> None:
    """At each byte of it, closed and reset in turn; carried out and, every third time, not."""
    cuts = len(ANSWER) - 1
    platform = new_platform(servers=cuts + 2, slices=cuts + 2).start()
    undone: list[str] = []
    for cut in range(cuts):
        platform.drain(cut)
        connection, body = platform.call()
        carried = cut % 3 != 2
        platform.store.apply_call(body, carried)
        orders = json.loads(body)["orders"]
        undone += [json.dumps(r) for r in orders if r["do"] == "SET" and not carried]
        connection.send((ANSWER % len(orders))[:cut])
        (connection.reset if cut % 2 else connection.close)()
        snapshot = platform.accept_watch(RELAY_WATCH)
        snapshot.send_lines(*platform.store.snapshot_messages(), HEARTBEAT)
        platform.assigner.wait_for("call_resolved", cut + 1)
        if not carried:
            platform.answer_calls_until_withdrawn(f"s-{cut}")
        assert f"s-{cut}" not in platform.store.routable_hosts()
    platforms = [json.dumps(r) for r in platform.store.received if r["do"] == "SET"]
    assert Counter(platforms) == Counter(set(platforms)) + Counter(undone)
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
    platforms = [json.dumps(r) for r in platform.store.received if r["do"] == "SET"]
    assert len(platforms) == len(set(platforms))


# The list ---------------------------------------------------------------------------------------------


@pytest.mark.parametrize("bad", [b'{"seq":8,"whole":fal\n', b'{"whole":false,"hosts":[]}\n', b"\xff\xfe\n"])
def test_malformed_list_changes_are_requested_again(
    new_platform: Callable[..., Platform], bad: bytes
) -> None:
    platform = new_platform().start()
    platform.list_watch.send_lines(
        bad, {"seq": 9, "whole": False, "hosts": [entry(3, share=1.5)]}
    )  # well, and later
    platform.list_watch, target, _ = platform.discovery.next_request(LIST_WATCH)
    assert target.endswith("since=7")
    platform.list_watch.begin_response()
    platform.list_watch.send_lines(
        {"seq": 9, "whole": False, "hosts": [entry(1, "leaving"), entry(3, share=1.5)]}
    )
    platform.answer_calls_until_withdrawn("s-1")


def test_half_a_line_followed_by_silence_loses_nothing(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform(constants={**PATIENT, "platform.endpoint_watch.SILENCE_TIMEOUT_S": 1}).start()
    platform.list_watch.send_lines(b'{"seq":8,"whole":false,"hosts":[')
    platform.list_watch, target, _ = platform.discovery.next_request(LIST_WATCH)
    assert target.endswith("since=7")
    platform.list_watch.begin_response()
    platform.list_watch.send_lines({"seq": 8, "whole": False, "hosts": [entry(1, "leaving")]})
    platform.answer_calls_until_withdrawn("s-1")


def test_stale_discovery_agent_reinstates_no_server(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform().start()
    old = platform.list_snapshot()
    platform.drain(1)
    platform.answer_calls_until_withdrawn("s-1")
    platform.list_watch.reset()
    platform.list_watch = platform.accept_watch(LIST_WATCH)
    platform.list_watch.send_lines(old)
    platform.drain(2)
    platform.drain(3)  # s-0 alone is left
    platform.answer_calls_until_withdrawn("s-1", "s-2", "s-3")
    assert all(platform.store.tables.values())


def test_snapshot_of_the_list_in_place_of_a_delta(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform().start()
    platform.rows[1] = entry(1, "leaving")
    del platform.rows[3]
    platform.version += 1
    platform.list_watch.send_lines(platform.list_snapshot())
    platform.answer_calls_until_withdrawn("s-1", "s-3")
    assert all(platform.store.tables.values())


def test_host_names_in_tables_are_retained_until_a_late_list_arrives(
    new_platform: Callable[..., Platform],
) -> None:
    platform = new_platform(
        constants={**PATIENT, "platform.service.FORGET_PERIOD_S": 0.1, "platform.stats.PERIOD_S": 0.2}
    )
    platform.store.tables[0]["s-9"] = 1.0  # which the list will not have
    platform.relay_watch = platform.accept_watch(RELAY_WATCH)
    platform.relay_watch.send_lines(*platform.relay_snapshot())
    platform.assigner.wait_for("ownership_changed", slices=SLICES)
    platform.assigner.wait_for(
        "stats", len(platform.assigner.logged("stats")) + 2
    )  # and has forgotten what it forgets meanwhile
    platform.list_watch = platform.accept_watch(LIST_WATCH)
    platform.list_watch.send_lines(platform.list_snapshot())
    platform.answer_calls_until_withdrawn("s-9")
    assert all(platform.store.tables.values())
    assert not platform.assigner.logged("order_invalid")


# Reload -----------------------------------------------------------------------------------------------


def test_old_stream_is_read_until_the_first_line_of_the_new_one(
    new_platform: Callable[..., Platform],
) -> None:
    """The new one gives its head and is reset: what the old one tells meanwhile counts."""
    platform = new_platform().start()
    to = HttpServer()
    platform.assigner.write(discovery=to.address, store={"address": to.address})
    platform.assigner.signal(signal.SIGHUP)
    first = [platform.accept_watch(RELAY_WATCH, to), platform.accept_watch(LIST_WATCH, to)]
    platform.drain(1)  # told by the old one
    platform.answer_calls_until_withdrawn("s-1", address=to)
    for connection in first:
        connection.reset()
    platform.drain(2)
    platform.answer_calls_until_withdrawn("s-2", address=to)
    assert not platform.relay_watch.ended.is_set()
    assert not platform.list_watch.ended.is_set()
    platform.relay_watch = platform.accept_watch(RELAY_WATCH, to)
    platform.list_watch = platform.accept_watch(LIST_WATCH, to)
    platform.relay_watch.send_lines(*platform.relay_snapshot())
    platform.list_watch.send_lines(
        {"seq": platform.version + 1, "whole": False, "hosts": [entry(3, "leaving")]}
    )
    platform.answer_calls_until_withdrawn("s-3", address=to)
    assert all(platform.store.tables.values())
    assert not platform.relay.has_request(CALL)
    to.close()


def test_second_reload_while_the_first_move_is_connecting(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform().start()
    to = HttpServer()
    platform.assigner.write(discovery=to.address, store={"address": to.address})
    platform.assigner.signal(signal.SIGHUP)
    to.next_request(RELAY_WATCH)
    to.next_request(LIST_WATCH)  # neither is answered
    platform.assigner.write(discovery=platform.discovery.address, store={"address": platform.relay.address})
    platform.assigner.signal(signal.SIGHUP)
    platform.assigner.wait_for("reloaded", 2)
    platform.relay_watch = platform.accept_watch(RELAY_WATCH)
    platform.list_watch = platform.accept_watch(LIST_WATCH)
    platform.relay_watch.send_lines(*platform.relay_snapshot())
    platform.list_watch.send_lines({"seq": 8, "whole": False, "hosts": [entry(1, "leaving")]})
    platform.answer_calls_until_withdrawn("s-1")
    assert not to.has_request(CALL)
    assert all(platform.store.tables.values())
    assert all(connection.ended.wait(5) for connection in to.connections)
    to.close()


def test_uncertain_call_to_the_old_relay_is_resolved_at_the_new_one(
    new_platform: Callable[..., Platform],
) -> None:
    platform = new_platform().start()
    platform.drain(1)
    connection, body = platform.call()
    to = HttpServer()
    platform.assigner.write(store={"address": to.address})
    platform.assigner.signal(signal.SIGHUP)
    platform.relay_watch = platform.accept_watch(RELAY_WATCH, to)
    platform.store.apply_call(body)  # carried out, and the answer is lost
    connection.reset()
    snapshot = platform.accept_watch(RELAY_WATCH, to)
    for watch in (snapshot, platform.relay_watch):
        watch.send_lines(*platform.relay_snapshot())
    platform.assigner.wait_for("call_resolved", applied=True)
    platform.drain(2)
    platform.answer_calls_until_withdrawn("s-1", "s-2", address=to)
    platforms = [json.dumps(r) for r in platform.store.received if r["do"] == "SET"]
    assert len(platforms) == len(set(platforms))
    assert not platform.relay.has_request(CALL)
    to.close()


def test_reload_applies_both_addresses_and_nothing_else(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform().start()
    to = HttpServer()
    new = json.loads(json.dumps(platform.assigner.config["settings"]))
    new["familyInfo"]["slices"] = 9
    new["rules"]["stopSendingWithinS"] = 30.0
    new["zones"] = ["b"]
    platform.assigner.write(settings=new, store={"address": to.address})
    platform.assigner.signal(signal.SIGHUP)
    platform.assigner.wait_for("reloaded")
    ignored_keys = {r["key"] for r in platform.assigner.logged("reload_ignored")}
    assert ignored_keys == {"settings.slice_count", "settings.drain_grace_s", "names.zones"}
    platform.relay_watch = platform.accept_watch(RELAY_WATCH, to)
    platform.relay_watch.send_lines(*platform.relay_snapshot())  # of zone a, as the settings in force have it
    platform.drain(1)
    platform.answer_calls_until_withdrawn("s-1", address=to)
    platform.assigner.path.write_text('{"store": ')
    platform.assigner.signal(signal.SIGHUP)
    platform.assigner.wait_for("reload_rejected")
    platform.drain(2)
    platform.answer_calls_until_withdrawn("s-2", address=to)
    to.close()


# Kept connections ---------------------------------------------------------------------------------------

REPORT = b"TEXT inflight=2"
ONE = b"HTTP/1.1 200 X\r\nContent-Length: 15\r\n\r\n" + REPORT
OTHER = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("pieces", [[ONE + OTHER], [ONE, OTHER], [ONE + OTHER[:9]]])
def test_bytes_beyond_a_response_are_not_read_as_the_next_one(
    new_platform: Callable[..., Platform], pieces: list[bytes]
) -> None:
    platform = new_platform(health_checks=True, servers=1)
    task = HttpServer()
    platform.rows = [entry(0, dial=task.address)]
    platform.start()
    first, _, _ = task.next_request("GET /_load")
    for piece in pieces:
        first.send(piece)
    assert first.ended.wait(15)
    second, _, _ = task.next_request("GET /_load")
    assert second is not first
    second.respond(REPORT)
    assert task.next_request("GET /_load")[0] is second  # which is kept
    task.close()


def test_idle_connection_closed_under_the_next_health_check_is_reopened(
    new_platform: Callable[..., Platform],
) -> None:
    platform = new_platform(
        constants={**PATIENT, "decisions.parameters.HEALTH_CHECK_PERIOD_S": 3}, health_checks=True, servers=1
    )
    task = HttpServer()
    platform.rows = [entry(0, dial=task.address)]
    platform.start()
    connection, _, _ = task.next_request("GET /_load")
    connection.respond(REPORT)
    for _ in range(2):
        again, _, _ = task.next_request("GET /_load")
        assert again is connection
        again.reset()  # in place of an answer
        connection, _, _ = task.next_request("GET /_load", 2.5)  # the same probe: the next is due after 3 s
        connection.respond(REPORT)
    task.close()


# Who connects -------------------------------------------------------------------------------------------


def test_pings_are_not_answered_before_the_initial_state(new_platform: Callable[..., Platform]) -> None:
    platform = new_platform(constants={**PATIENT, "platform.service.READY_TIMEOUT_S": 60})
    news = platform.accept_watch(RELAY_WATCH)
    listed = platform.accept_watch(LIST_WATCH)
    asker = platform.assigner.connect()
    asker.sendall(b'{"msg":"ping"}\n')
    other = platform.assigner.connect()
    other.sendall(b"nothing that can be read\n")
    assert read_to_end(other) == b'{"msg":"refused"}\n'  # so the first has been read
    asker.setblocking(False)
    with pytest.raises(BlockingIOError):
        asker.recv(100)
    asker.setblocking(True)
    listed.send_lines(platform.list_snapshot())
    news.send_lines(*map(proxy_joined, range(3)), *platform.store.snapshot_messages())
    assert asker.makefile("rb").readline() == b'{"msg":"pong"}\n'
    platform.assigner.wait_for("ownership_changed", slices=SLICES)


def answer_everything(platform: Platform) -> None:
    """Answer one waiting request at each address; what was given up is requested again."""
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
                connection.send_lines({"seq": 9, "whole": True, "hosts": platform.rows})


@pytest.mark.parametrize("away", ["relay", "discovery", "both"])
def test_it_serves_without_relay_or_discovery_at_the_start(
    new_platform: Callable[..., Platform], away: str
) -> None:
    platform = new_platform(
        constants={
            **PATIENT,
            "platform.service.READY_TIMEOUT_S": 0.5,
            "platform.endpoint_watch.SILENCE_TIMEOUT_S": 1,
            "platform.relay_watch.SILENCE_TIMEOUT_S": 1,
        }
    )
    if away == "discovery":
        platform.relay_watch = platform.accept_watch(RELAY_WATCH)
        platform.relay_watch.send_lines(*platform.relay_snapshot())
    elif away == "relay":
        platform.list_watch = platform.accept_watch(LIST_WATCH)
        platform.list_watch.send_lines(platform.list_snapshot())
    row = platform.assigner.wait_for("serving")
    assert (row["relay"], row["listed"]) == (away == "discovery", away == "relay")
    platform.rows[1] = entry(1, "leaving")
    while "s-1" in platform.store.routable_hosts():
        answer_everything(platform)
    assert all(platform.store.tables.values())


class ConnectionFlood:
    """Three threads that open connections without end: half messages, some that close at once, unread pongs."""

    TEXTS = (b'{"msg":"hea', b"", b'{"msg":"ping"}\n' * 50)

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
            for text in self.TEXTS:
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
        read_to_end(connection)  # each is closed
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
    """Each with a relay and a list of its own that answer when asked; ready within 10 s, nine in ten asked for."""
    count = int(os.environ.get("PUFFINTIDE_RESTARTS", "30"))
    with ExitStack() as stack:
        platforms = []
        for k in range(count):
            (tmp_path / str(k)).mkdir()
            platform = Platform(tmp_path / str(k))
            stack.callback(platform.end)
            platforms.append(platform)
        with ThreadPoolExecutor(count) as pool:  # each relay answers at once, not after those of the others
            list(pool.map(drain_first_server, platforms))
        for platform in platforms:
            first = platform.assigner.rows[0]
            ready = platform.assigner.logged("serving")[0]
            assert ready["t"] - first["t"] < 10
            assert ready["relay"]

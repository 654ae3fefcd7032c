"""Real assigner and store processes on sockets against scripted peers, with faults of peers and processes."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from puffintide.protocol import messages as m
from puffintide.protocol.codec import MAX_LINE_BYTES, encode
from tests.peers import PORTS, AssignerHarness, PeerConnection, charges, dial, process, servers

pytestmark = pytest.mark.processes


@pytest.fixture
def harness(tmp_path: Path) -> AssignerHarness:
    return AssignerHarness(tmp_path)


def removes_weight(message: m.AnyMessage, server: int) -> bool:
    return isinstance(message, m.ProxyUpdate) and any(
        entry.server_id == server and entry.weight == 0 for entry in message.weights
    )


def stops_traffic(message: m.AnyMessage, server: int) -> bool:
    return removes_weight(message, server) or (
        isinstance(message, m.ProxyUpdate) and server in message.withdrawn_servers
    )


def test_draining_of_a_listed_server_reaches_store_and_proxies(harness: AssignerHarness) -> None:
    with harness.assigner():
        store, list_stream = harness.store.accept("store"), harness.list.accept("list")
        list_stream.wait_for(lambda message: isinstance(message, m.WatchRequest))
        list_stream.send(m.WatchEvent("full", 1, servers(1, 1, 1)))
        proxies = [harness.proxy(proxy_id) for proxy_id in range(2)]
        store.send(charges())
        time.sleep(0.5)
        list_stream.send(m.WatchEvent("delta", 2, servers(2)[:1]))
        updates = [proxy.wait_for(lambda message: stops_traffic(message, 0)) for proxy in proxies]
        assert updates[0] == updates[1]  # Every proxy receives the same update in one message.
        targets = {entry.server_id for entry in updates[0].weights if entry.weight > 0}
        assert targets
        assert targets <= {1, 2}
        assert all(entry.address for entry in updates[0].weights if entry.weight > 0)
        write = store.wait_for(lambda message: isinstance(message, m.WriteRequest))
        assert {entry.slice_id for entry in write.weights} <= set(range(8))
        assert write.weights[0].fencing_token >= 1


def test_late_endpoint_list_empties_no_table(harness: AssignerHarness) -> None:
    with harness.assigner():
        store = harness.store.accept("store")
        proxy = harness.proxy(0)
        store.send(charges())
        with pytest.raises(TimeoutError):
            proxy.read(1.5)  # Without a list there are no updates.
        list_stream = harness.list.accept("list")
        list_stream.send(m.WatchEvent("full", 1, servers(1, 1)))
        with pytest.raises(TimeoutError):
            proxy.wait_for(
                lambda message: (
                    isinstance(message, m.ProxyUpdate) and any(entry.weight == 0 for entry in message.weights)
                ),
                1.5,
            )


def test_cached_list_is_used_while_its_source_is_down_at_start(harness: AssignerHarness) -> None:
    with harness.assigner():
        harness.store.accept("store")
        list_stream = harness.list.accept("list")
        list_stream.send(m.WatchEvent("full", 7, servers(1, 2, 1)))
        end = time.monotonic() + 10
        while not Path(harness.section["list_cache"]).exists():
            assert time.monotonic() < end
            time.sleep(0.05)
        list_stream.close()
        harness.list.close()
    with harness.assigner():  # In the cached list server 1 is draining.
        store, proxy = harness.store.accept("store"), harness.proxy(0)
        store.send(charges(server=1))
        assert proxy.wait_for(lambda message: stops_traffic(message, 1))
        harness.list.open()
        list_stream = harness.list.accept("list")
        # The assigner requests what it missed since the cached version.
        watch_request = list_stream.wait_for(lambda message: isinstance(message, m.WatchRequest))
        assert watch_request.since_version == 7
        list_stream.send(m.WatchEvent("delta", 8, servers(2, 1, 2)))
        assert proxy.wait_for(lambda message: stops_traffic(message, 0) or stops_traffic(message, 2))


def test_unreadable_cache_is_logged_and_ignored(harness: AssignerHarness) -> None:
    Path(harness.section["list_cache"]).write_text('{"version":1,"at":0,"news":{"t":"news","kind"')
    with harness.assigner():
        harness.list.accept("list").send(m.WatchEvent("full", 1, servers(1)))
        harness.proxy(0)
    assert any(row["event"] == "endpoint_cache_unreadable" for row in harness.log())


# Malformed or unacceptable input, and a part of the reason with which it is rejected.
INVALID_INPUT = [
    (b"GET / HTTP/1.1\r\n", "not a message"),
    (encode(m.Hello(9, "proxy", 1, 0, "t")) + b"\n", "version 9"),
    (encode(m.Hello(1, "proxy", 1, 0, "other")) + b"\n", "deployment 'other'"),
    (encode(m.Hello(1, "king", 1, 0, "t")) + b"\n", "role 'king'"),
    (encode(m.Hello(1, "proxy", 70000, 0, "t")) + b"\n", "70000"),
    (encode(m.CheckpointReply(1)) + b"\n", "must be a Hello"),
    (encode(m.Hello(1, "proxy", 1, 0, "t")) + b'\n{"t":"sums","span_s":"x"}\n', "span_s"),
    (
        encode(m.Hello(1, "proxy", 1, 0, "t")) + b'\n{"t":"write","batch":1,"lines":[]}\n',
        "unexpected WriteRequest message from a proxy",
    ),
    (b"x" * (MAX_LINE_BYTES + 10), "limit"),
]


def test_invalid_input_closes_only_its_own_stream_with_a_reason(harness: AssignerHarness) -> None:
    with harness.assigner():
        harness.list.accept("list").send(m.WatchEvent("full", 1, servers(1, 1)))
        valid_stream = harness.proxy(0)
        for data, expected_reason in INVALID_INPUT:
            stream = dial(harness.port)
            try:
                stream.send_bytes(data)
            except OSError:
                continue
            rejection = stream.wait_for(lambda message: isinstance(message, m.ConnectionRejected))
            assert expected_reason in rejection.reason
            assert stream.read() is None
        partial_stream = dial(harness.port)
        partial_stream.send_bytes(encode(m.Hello(1, "proxy", 5, 0, "t"))[:20])
        partial_stream.close()
        valid_stream.send(m.CheckpointReply(1))
        with pytest.raises(TimeoutError):
            valid_stream.read(0.3)  # The valid stream stays open.


def test_two_thousand_connections_at_once_are_all_accepted(harness: AssignerHarness) -> None:
    import resource

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    count = min(2000, (hard if hard > 0 else soft) - 300)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, count + 200)), hard))
    with harness.assigner(deployment={"proxies": "2000"}):
        harness.list.accept("list").send(m.WatchEvent("full", 1, servers(1, 1)))
        streams = [
            dial(harness.port, m.Hello(m.PROTOCOL_VERSION, "proxy", proxy_id, 0, "t"))
            for proxy_id in range(count)
        ]
        accepted = sum(isinstance(stream.read(), m.Welcome) for stream in streams)
        for stream in streams:
            stream.close()
        assert accepted == count


def test_port_in_use_is_reported_in_one_line(harness: AssignerHarness, tmp_path: Path) -> None:
    with harness.assigner():
        path = tmp_path / "assigner.ini"
        command = [sys.executable, "-m", "puffintide", "assigner", "--config", str(path)]
        second = subprocess.run(command, capture_output=True, text=True, timeout=20)
    assert second.returncode == 2
    assert str(harness.port) in second.stderr
    assert len(second.stderr.splitlines()) == 1


def test_restarted_assigner_is_granted_its_slices_again(harness: AssignerHarness) -> None:
    with harness.assigner() as running:
        harness.store.accept("store").send(charges())
        list_stream = harness.list.accept("list")
        list_stream.send(m.WatchEvent("full", 1, servers(1, 1)))
        proxy = harness.proxy(0)
        time.sleep(0.4)
        running.kill()
        assert proxy.read() is None or proxy.wait_for(lambda message: message is None)
    with harness.assigner():
        harness.store.accept("store").send(charges(server=1, token=100))
        list_stream = harness.list.accept("list")
        list_stream.send(m.WatchEvent("full", 2, servers(1, 2)))
        proxy = harness.proxy(0, first_connection=False)
        update = proxy.wait_for(lambda message: stops_traffic(message, 1))
        assert all(entry.fencing_token >= 100 for entry in update.weights if entry.server_id == 1)


@pytest.fixture
def store(tmp_path: Path) -> Any:
    port = PORTS.take()
    tables = tmp_path / "tables.jsonl"
    tables.write_text(
        "".join(
            json.dumps({"slice": slice_id, "server": slice_id % 3, "address": "127.0.0.1:1"}) + "\n"
            for slice_id in range(8)
        )
    )
    section = {"listen": f"127.0.0.1:{port}", "start_tables": str(tables)}
    with process(tmp_path, "store", section) as running:
        yield running, port


def connect_assigner(port: int, assigner_id: int) -> PeerConnection:
    stream = dial(port, m.Hello(m.PROTOCOL_VERSION, "assigner", assigner_id, 0, "t"))
    stream.wait_for(lambda message: isinstance(message, m.Welcome))
    return stream


def receive_ownerships(stream: PeerConnection, count: int) -> dict[int, m.SliceOwnership]:
    """Read until the ownerships of count slices have been received, and return them by slice id."""
    received: dict[int, m.SliceOwnership] = {}
    while len(received) < count:
        for ownership in stream.wait_for(lambda message: isinstance(message, m.SliceOwnerships)).ownerships:
            received[ownership.slice_id] = ownership
    return received


def test_suspended_assigner_loses_ownership_and_its_late_writes_are_rejected(store: Any) -> None:
    _, port = store
    first, second = connect_assigner(port, 0), connect_assigner(port, 1)
    granted = receive_ownerships(first, 4)
    assert set(granted) == {0, 2, 4, 6}
    assert set(receive_ownerships(second, 4)) == {1, 3, 5, 7}
    proxy = dial(port, m.Hello(m.PROTOCOL_VERSION, "proxy", 0, 0, "t"))
    proxy.send(m.ReadRequest())
    assert set(receive_ownerships(proxy, 8)) == set(range(8))
    first.ignore_pings = True
    # The first assigner is silent like a suspended process, so the store grants its slices to the second one
    # and notifies the proxies.
    deadline = time.monotonic() + 10
    taken: dict[int, m.SliceOwnership] = {}
    while set(taken) != {0, 2, 4, 6}:
        assert time.monotonic() < deadline
        try:
            message = second.read(0.2)
        except TimeoutError:
            continue
        if isinstance(message, m.SliceOwnerships):
            taken.update({ownership.slice_id: ownership for ownership in message.ownerships})
    assert all(
        taken[slice_id].fencing_token > granted[slice_id].fencing_token
        and taken[slice_id].entries == granted[slice_id].entries
        for slice_id in taken
    )
    notification = proxy.wait_for(lambda message: isinstance(message, m.SliceOwnerships))
    owners = {ownership.slice_id: ownership.owner_id for ownership in notification.ownerships}
    assert owners == dict.fromkeys((0, 2, 4, 6), 1)
    # After it has reconnected, its slices are granted again. Writes with the old token are rejected.
    reconnected = connect_assigner(port, 0)
    granted_again = receive_ownerships(reconnected, 4)
    reconnected.send(
        m.WriteRequest(
            1,
            [
                m.WeightEntry(0, 9, 1.0, granted[0].fencing_token),
                m.WeightEntry(1, 9, 1.0, 0),
                m.WeightEntry(2, 8, 1.0, granted_again[2].fencing_token),
            ],
        )
    )
    rejected = {
        reconnected.wait_for(lambda message: isinstance(message, m.WriteRejected)).slice_id for _ in range(2)
    }
    assert rejected == {0, 1}
    proxy.wait_for(lambda message: isinstance(message, m.SliceOwnerships))  # The slices were granted again.
    proxy.send(m.ReadRequest())
    tables = receive_ownerships(proxy, 8)
    assert [entry.server_id for entry in tables[0].entries] == [0]
    assert sorted(entry.server_id for entry in tables[2].entries) == [2, 8]


def test_suspended_store_is_detected_and_written_to_after_it_resumes(
    harness: AssignerHarness, store: Any
) -> None:
    running, port = store
    harness.section["store"] = f"127.0.0.1:{port}"
    with harness.assigner():
        list_stream = harness.list.accept("list")
        list_stream.send(m.WatchEvent("full", 1, servers(1, 1, 1)))
        proxy = harness.proxy(0)
        time.sleep(0.5)
        running.send_signal(signal.SIGSTOP)
        list_stream.send(m.WatchEvent("delta", 2, servers(2)[:1]))
        # Proxies are updated although the store does not respond.
        assert proxy.wait_for(lambda message: stops_traffic(message, 0))
        time.sleep(2.6)
        running.send_signal(signal.SIGCONT)
        reader = dial(port, m.Hello(m.PROTOCOL_VERSION, "proxy", 1, 0, "t"))
        end = time.monotonic() + 10
        while True:
            reader.send(m.ReadRequest())
            tables = receive_ownerships(reader, 8)
            if all(any(entry.server_id != 0 for entry in tables[slice_id].entries) for slice_id in (0, 3, 6)):
                break
            assert time.monotonic() < end, "the store did not receive the weights set while it was suspended"
            time.sleep(0.3)
    events = {row["event"] for row in harness.log()}
    assert "store_disconnected" in events


def run_zone_command(
    folder: Path, arguments: list[str], store_port: int, assigners: str = ""
) -> subprocess.CompletedProcess[str]:
    path = folder / "operator.ini"
    path.write_text(
        "[deployment]\nname = t\nzones = a, b\nproxies = 3\nslices = 8\nassigners = 2\n"
        "[class read]\naim_s = 1\ndeadline_s = 4\n"
        f"[operator]\nstore = 127.0.0.1:{store_port}\nassigners = {assigners}\n"
    )
    command = [sys.executable, "-m", "puffintide", "zone", *arguments, "--config", str(path)]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=30, env=os.environ | {"COLUMNS": "200"}
    )


def test_zone_command_is_stored_for_assigners_that_connect_later(tmp_path: Path) -> None:
    port = PORTS.take()
    with process(tmp_path, "store", {"listen": f"127.0.0.1:{port}"}):
        connected = dial(port, m.Hello(m.PROTOCOL_VERSION, "assigner", 0, 0, "t"))
        connected.wait_for(lambda message: isinstance(message, m.Welcome))
        command = run_zone_command(tmp_path, ["drain", "b", "--pace", "2"], port)
        assert (command.returncode, "zone b: drain, pace 2" in command.stdout) == (0, True), command.stderr
        received = connected.wait_for(lambda message: isinstance(message, m.ZoneCommands)).commands
        later = dial(port, m.Hello(m.PROTOCOL_VERSION, "assigner", 1, 1, "t"))
        assert later.wait_for(lambda message: isinstance(message, m.ZoneCommands)).commands == received
        assert [
            (command.zone, command.operation, command.pace, command.sequence) for command in received
        ] == [(1, "drain", 2.0, 1)]
        assert "zone 'c' is unknown; allowed: a, b" in run_zone_command(tmp_path, ["hold", "c"], port).stderr
        # The store validates commands itself, and rejects commands of proxies.
        for role, zone_command in (
            ("operator", m.ZoneCommand(7, "hold")),
            ("operator", m.ZoneCommand(0, "hold", 99.0)),
            ("proxy", m.ZoneCommand(0, "hold")),
        ):
            sender = dial(port, m.Hello(m.PROTOCOL_VERSION, role, 0, 0, "t"))
            sender.wait_for(lambda message: isinstance(message, m.Welcome))
            sender.send(zone_command)
            assert sender.wait_for(lambda message: isinstance(message, m.ConnectionRejected)).reason
        run_zone_command(tmp_path, ["return", "b"], port)
        latest = connected.wait_for(lambda message: isinstance(message, m.ZoneCommands)).commands
        assert [command.operation for command in latest] == ["return"]


def test_zone_on_hold_is_emptied_and_the_command_outlives_the_assigner(
    harness: AssignerHarness, tmp_path: Path
) -> None:
    for _ in range(2):  # The restarted assigner receives the command from the store.
        with harness.assigner(reports={"names": "busy"}):
            store, list_stream = harness.store.accept("store"), harness.list.accept("list")
            list_stream.wait_for(lambda message: isinstance(message, m.WatchRequest))
            list_stream.send(m.WatchEvent("full", 1, servers(1, 1, 1, 1)))
            proxy = harness.proxy(0)
            store.send(charges(server=0))
            store.send(m.ZoneCommands([m.ZoneCommand(0, "hold", 1.0, "me", 1)]))
            slice_usages = [m.SliceUsage(slice_id, 0, 5, 0) for slice_id in range(8)]
            emptied_slices: set[int] = set()
            end = time.monotonic() + 15
            while len(emptied_slices) < 8:
                assert time.monotonic() < end
                proxy.send(m.UsageReport(0.5, [m.ServerUsage(0, 40, 0, 2.0, [0.2])], slice_usages))
                with contextlib.suppress(TimeoutError):
                    update = proxy.wait_for(lambda message: isinstance(message, m.ProxyUpdate), 0.5)
                    assert all(entry.server_id % 2 for entry in update.weights if entry.weight >= 1)
                    emptied_slices |= {
                        entry.slice_id
                        for entry in update.weights
                        if entry.server_id == 0 and entry.weight == 0
                    }
            status = run_zone_command(tmp_path, ["show"], harness.store.port, f"127.0.0.1:{harness.port}")
            assert status.returncode == 0
            assert "drained" in status.stdout
            assert "by hand: hold" in status.stdout
    unreachable = run_zone_command(tmp_path, ["show"], harness.store.port, f"127.0.0.1:{harness.port}")
    assert unreachable.returncode == 1
    assert "refused" in unreachable.stdout

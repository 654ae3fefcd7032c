"""Real processes on sockets, against scripted peers: what a deployment does to them on a bad day."""

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


def moved(order: m.AnyMessage, server: int) -> bool:
    return isinstance(order, m.ProxyUpdate) and any(
        x.server_id == server and x.weight == 0 for x in order.weights
    )


def shut(order: m.AnyMessage, server: int) -> bool:
    return moved(order, server) or (isinstance(order, m.ProxyUpdate) and server in order.withdrawn_servers)


def test_draining_server_of_the_list_reaches_store_and_proxies(harness: AssignerHarness) -> None:
    with harness.assigner():
        store, listed = harness.store.accept("store"), harness.list.accept("list")
        listed.wait_for(lambda x: isinstance(x, m.WatchRequest))
        listed.send(m.WatchEvent("full", 1, servers(1, 1, 1)))
        proxies = [harness.proxy(p) for p in range(2)]
        store.send(charges())
        time.sleep(0.5)
        listed.send(m.WatchEvent("delta", 2, servers(2)[:1]))
        orders = [proxy.wait_for(lambda x: shut(x, 0)) for proxy in proxies]
        assert orders[0] == orders[1]  # one order, one message a proxy
        targets = {x.server_id for x in orders[0].weights if x.weight > 0}
        assert targets
        assert targets <= {1, 2}
        assert all(x.address for x in orders[0].weights if x.weight > 0)
        write = store.wait_for(lambda x: isinstance(x, m.WriteRequest))
        assert {x.slice_id for x in write.weights} <= set(range(8))
        assert write.weights[0].fencing_token >= 1


def test_late_endpoint_list_empties_no_table(harness: AssignerHarness) -> None:
    with harness.assigner():
        store = harness.store.accept("store")
        proxy = harness.proxy(0)
        store.send(charges())
        with pytest.raises(TimeoutError):
            proxy.read(1.5)  # no list, no order
        listed = harness.list.accept("list")
        listed.send(m.WatchEvent("full", 1, servers(1, 1)))
        with pytest.raises(TimeoutError):
            proxy.wait_for(
                lambda x: isinstance(x, m.ProxyUpdate) and any(ln.weight == 0 for ln in x.weights), 1.5
            )


def test_cached_list_is_used_while_its_source_is_down_at_start(harness: AssignerHarness) -> None:
    with harness.assigner():
        harness.store.accept("store")
        listed = harness.list.accept("list")
        listed.send(m.WatchEvent("full", 7, servers(1, 2, 1)))
        end = time.monotonic() + 10
        while not Path(harness.section["list_cache"]).exists():
            assert time.monotonic() < end
            time.sleep(0.05)
        listed.close()
        harness.list.close()
    with harness.assigner():  # the old list says that server 1 drains
        store, proxy = harness.store.accept("store"), harness.proxy(0)
        store.send(charges(server=1))
        assert proxy.wait_for(lambda x: shut(x, 1))
        harness.list.open()
        listed = harness.list.accept("list")
        assert (
            listed.wait_for(lambda x: isinstance(x, m.WatchRequest)).since_version == 7
        )  # what was missed is asked for
        listed.send(m.WatchEvent("delta", 8, servers(2, 1, 2)))
        assert proxy.wait_for(lambda x: shut(x, 0) or shut(x, 2))


def test_unreadable_cache_is_logged_and_ignored(harness: AssignerHarness) -> None:
    Path(harness.section["list_cache"]).write_text('{"version":1,"at":0,"news":{"t":"news","kind"')
    with harness.assigner():
        harness.list.accept("list").send(m.WatchEvent("full", 1, servers(1)))
        harness.proxy(0)
    assert any(row["event"] == "endpoint_cache_unreadable" for row in harness.log())


DAMAGE = [
    (b"GET / HTTP/1.1\r\n", "not a message"),
    (encode(m.Hello(9, "proxy", 1, 0, "t")) + b"\n", "version 9"),
    (encode(m.Hello(1, "proxy", 1, 0, "other")) + b"\n", "deployment 'other'"),
    (encode(m.Hello(1, "king", 1, 0, "t")) + b"\n", "role 'king'"),
    (encode(m.Hello(1, "proxy", 70000, 0, "t")) + b"\n", "70000"),
    (encode(m.CheckpointReply(1)) + b"\n", "must be a Hello"),
    (encode(m.Hello(1, "proxy", 1, 0, "t")) + b'\n{"t":"sums","span_s":"x"}\n', "span_s"),
    (
        encode(m.Hello(1, "proxy", 1, 0, "t")) + b'\n{"t":"write","batch":1,"lines":[]}\n',
        "not for an assigner",
    ),
    (b"x" * (MAX_LINE_BYTES + 10), "limit"),
]


def test_malformed_message_closes_its_own_stream_with_a_reason(harness: AssignerHarness) -> None:
    with harness.assigner():
        harness.list.accept("list").send(m.WatchEvent("full", 1, servers(1, 1)))
        good = harness.proxy(0)
        for data, words in DAMAGE:
            line = dial(harness.port)
            try:
                line.send_bytes(data)
            except OSError:
                continue
            refusal = line.wait_for(lambda x: isinstance(x, m.ConnectionRejected))
            assert words in refusal.reason
            assert line.read() is None
        half = dial(harness.port)
        half.send_bytes(encode(m.Hello(1, "proxy", 5, 0, "t"))[:20])
        half.close()
        good.send(m.CheckpointReply(1))
        with pytest.raises(TimeoutError):
            good.read(0.3)  # the good stream stands


def test_two_thousand_connections_at_once_are_all_accepted(harness: AssignerHarness) -> None:
    import resource

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    count = min(2000, (hard if hard > 0 else soft) - 300)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, count + 200)), hard))
    with harness.assigner(deployment={"proxies": "2000"}):
        harness.list.accept("list").send(m.WatchEvent("full", 1, servers(1, 1)))
        lines = [dial(harness.port, m.Hello(m.PROTOCOL_VERSION, "proxy", p, 0, "t")) for p in range(count)]
        greeted = sum(isinstance(line.read(), m.Welcome) for line in lines)
        for line in lines:
            line.close()
        assert greeted == count


def test_port_in_use_is_reported_in_one_line(harness: AssignerHarness, tmp_path: Path) -> None:
    with harness.assigner():
        path = tmp_path / "assigner.ini"
        words = [sys.executable, "-m", "puffintide", "assigner", "--config", str(path)]
        again = subprocess.run(words, capture_output=True, text=True, timeout=20)
    assert again.returncode == 2
    assert str(harness.port) in again.stderr
    assert len(again.stderr.splitlines()) == 1


def test_restarted_assigner_is_granted_its_slices_again(harness: AssignerHarness) -> None:
    with harness.assigner() as running:
        harness.store.accept("store").send(charges())
        listed = harness.list.accept("list")
        listed.send(m.WatchEvent("full", 1, servers(1, 1)))
        proxy = harness.proxy(0)
        time.sleep(0.4)
        running.kill()
        assert proxy.read() is None or proxy.wait_for(lambda x: x is None)
    with harness.assigner():
        harness.store.accept("store").send(charges(server=1, token=100))
        listed = harness.list.accept("list")
        listed.send(m.WatchEvent("full", 2, servers(1, 2)))
        proxy = harness.proxy(0, fresh=False)
        order = proxy.wait_for(lambda x: shut(x, 1))
        assert all(x.fencing_token >= 100 for x in order.weights if x.server_id == 1)


@pytest.fixture
def store(tmp_path: Path) -> Any:
    port = PORTS.take()
    tables = tmp_path / "tables.jsonl"
    tables.write_text(
        "".join(json.dumps({"slice": n, "server": n % 3, "address": "127.0.0.1:1"}) + "\n" for n in range(8))
    )
    section = {"listen": f"127.0.0.1:{port}", "start_tables": str(tables)}
    with process(tmp_path, "store", section) as running:
        yield running, port


def assigner_at(port: int, number: int) -> PeerConnection:
    line = dial(port, m.Hello(m.PROTOCOL_VERSION, "assigner", number, 0, "t"))
    line.wait_for(lambda x: isinstance(x, m.Welcome))
    return line


def given(line: PeerConnection, count: int) -> dict[int, m.SliceOwnership]:
    found: dict[int, m.SliceOwnership] = {}
    while len(found) < count:
        for charge in line.wait_for(lambda x: isinstance(x, m.SliceOwnerships)).ownerships:
            found[charge.slice_id] = charge
    return found


def test_suspended_assigner_loses_ownership_and_its_late_writes_are_rejected(store: Any) -> None:
    _, port = store
    first, second = assigner_at(port, 0), assigner_at(port, 1)
    mine = given(first, 4)
    assert set(mine) == {0, 2, 4, 6}
    assert set(given(second, 4)) == {1, 3, 5, 7}
    proxy = dial(port, m.Hello(m.PROTOCOL_VERSION, "proxy", 0, 0, "t"))
    proxy.send(m.ReadRequest())
    assert set(given(proxy, 8)) == set(range(8))
    first.ignore_pings = True
    # It is silent, as a stopped process is: the store gives its slices to the other, and tells the proxies.
    deadline = time.monotonic() + 10
    taken: dict[int, m.SliceOwnership] = {}
    while set(taken) != {0, 2, 4, 6}:
        assert time.monotonic() < deadline
        try:
            message = second.read(0.2)
        except TimeoutError:
            continue
        if isinstance(message, m.SliceOwnerships):
            taken.update({c.slice_id: c for c in message.ownerships})
    assert all(
        taken[n].fencing_token > mine[n].fencing_token and taken[n].entries == mine[n].entries for n in taken
    )
    news = {c.slice_id: c for c in proxy.wait_for(lambda x: isinstance(x, m.SliceOwnerships)).ownerships}
    assert {n: c.owner_id for n, c in news.items()} == dict.fromkeys((0, 2, 4, 6), 1)
    # Awake again, it dials; its slices are given back, and a write with its old token changes nothing.
    again = assigner_at(port, 0)
    back = given(again, 4)
    again.send(
        m.WriteRequest(
            1,
            [
                m.WeightEntry(0, 9, 1.0, mine[0].fencing_token),
                m.WeightEntry(1, 9, 1.0, 0),
                m.WeightEntry(2, 8, 1.0, back[2].fencing_token),
            ],
        )
    )
    refused = {again.wait_for(lambda x: isinstance(x, m.WriteRejected)).slice_id for _ in range(2)}
    assert refused == {0, 1}
    proxy.wait_for(lambda x: isinstance(x, m.SliceOwnerships))  # that it was given back
    proxy.send(m.ReadRequest())
    tables = given(proxy, 8)
    assert [h.server_id for h in tables[0].entries] == [0]
    assert sorted(h.server_id for h in tables[2].entries) == [2, 8]


def test_suspended_store_is_noticed_and_written_to_after_its_return(
    harness: AssignerHarness, store: Any
) -> None:
    running, port = store
    harness.section["store"] = f"127.0.0.1:{port}"
    with harness.assigner():
        listed = harness.list.accept("list")
        listed.send(m.WatchEvent("full", 1, servers(1, 1, 1)))
        proxy = harness.proxy(0)
        time.sleep(0.5)
        running.send_signal(signal.SIGSTOP)
        listed.send(m.WatchEvent("delta", 2, servers(2)[:1]))
        assert proxy.wait_for(lambda x: shut(x, 0))  # proxies are told though the store is not there
        time.sleep(2.6)
        running.send_signal(signal.SIGCONT)
        reader = dial(port, m.Hello(m.PROTOCOL_VERSION, "proxy", 1, 0, "t"))
        end = time.monotonic() + 10
        while True:
            reader.send(m.ReadRequest())
            tables = given(reader, 8)
            if all(any(h.server_id != 0 for h in tables[n].entries) for n in (0, 3, 6)):
                break
            assert time.monotonic() < end, "the store never heard what was ordered while it was away"
            time.sleep(0.3)
    events = {row["event"] for row in harness.log()}
    assert "store_disconnected" in events


def zone(tmp: Path, words: list[str], store: int, assigners: str = "") -> subprocess.CompletedProcess[str]:
    path = tmp / "operator.ini"
    path.write_text(
        "[deployment]\nname = t\nzones = a, b\nproxies = 3\nslices = 8\nassigners = 2\n"
        "[class read]\naim_s = 1\ndeadline_s = 4\n"
        f"[operator]\nstore = 127.0.0.1:{store}\nassigners = {assigners}\n"
    )
    command = [sys.executable, "-m", "puffintide", "zone", *words, "--config", str(path)]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=30, env=os.environ | {"COLUMNS": "200"}
    )


def test_zone_command_is_stored_for_assigners_that_connect_later(tmp_path: Path) -> None:
    port = PORTS.take()
    with process(tmp_path, "store", {"listen": f"127.0.0.1:{port}"}):
        here = dial(port, m.Hello(m.PROTOCOL_VERSION, "assigner", 0, 0, "t"))
        here.wait_for(lambda x: isinstance(x, m.Welcome))
        done = zone(tmp_path, ["drain", "b", "--pace", "2"], port)
        assert (done.returncode, "zone b: drain, pace 2" in done.stdout) == (0, True), done.stderr
        told = here.wait_for(lambda x: isinstance(x, m.ZoneCommands)).commands
        later = dial(port, m.Hello(m.PROTOCOL_VERSION, "assigner", 1, 1, "t"))
        assert later.wait_for(lambda x: isinstance(x, m.ZoneCommands)).commands == told
        assert [(h.zone, h.operation, h.pace, h.sequence) for h in told] == [(1, "drain", 2.0, 1)]
        assert "zone 'c' is unknown; allowed: a, b" in zone(tmp_path, ["hold", "c"], port).stderr
        # The wire is not trusted to have been checked by the command, and a proxy has no hand.
        for role, hand in (
            ("operator", m.ZoneCommand(7, "hold")),
            ("operator", m.ZoneCommand(0, "hold", 99.0)),
            ("proxy", m.ZoneCommand(0, "hold")),
        ):
            stranger = dial(port, m.Hello(m.PROTOCOL_VERSION, role, 0, 0, "t"))
            stranger.wait_for(lambda x: isinstance(x, m.Welcome))
            stranger.send(hand)
            assert stranger.wait_for(lambda x: isinstance(x, m.ConnectionRejected)).reason
        zone(tmp_path, ["return", "b"], port)
        assert [h.operation for h in here.wait_for(lambda x: isinstance(x, m.ZoneCommands)).commands] == [
            "return"
        ]


def test_zone_on_hold_is_emptied_and_the_command_outlives_the_assigner(
    harness: AssignerHarness, tmp_path: Path
) -> None:
    for _ in range(2):  # the second life has it from the store
        with harness.assigner(reports={"names": "busy"}):
            store, listed = harness.store.accept("store"), harness.list.accept("list")
            listed.wait_for(lambda x: isinstance(x, m.WatchRequest))
            listed.send(m.WatchEvent("full", 1, servers(1, 1, 1, 1)))
            proxy = harness.proxy(0)
            store.send(charges(server=0))
            store.send(m.ZoneCommands([m.ZoneCommand(0, "hold", 1.0, "me", 1)]))
            heat = [m.SliceUsage(n, 0, 5, 0) for n in range(8)]
            gone: set[int] = set()
            end = time.monotonic() + 15
            while len(gone) < 8:
                assert time.monotonic() < end
                proxy.send(m.UsageReport(0.5, [m.ServerUsage(0, 40, 0, 2.0, [0.2])], heat))
                with contextlib.suppress(TimeoutError):
                    order = proxy.wait_for(lambda x: isinstance(x, m.ProxyUpdate), 0.5)
                    assert all(line.server_id % 2 for line in order.weights if line.weight >= 1)
                    gone |= {
                        line.slice_id for line in order.weights if line.server_id == 0 and line.weight == 0
                    }
            shown = zone(tmp_path, ["show"], harness.store.port, f"127.0.0.1:{harness.port}")
            assert shown.returncode == 0
            assert "drained" in shown.stdout
            assert "by hand: hold" in shown.stdout
    nobody = zone(tmp_path, ["show"], harness.store.port, f"127.0.0.1:{harness.port}")
    assert nobody.returncode == 1
    assert "refused" in nobody.stdout

"""Copies between real processes: the commands, a store that lost all, peers that do not read, days of faults."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from puffintide.protocol import messages as m
from puffintide.protocol.codec import encode
from tests.peers import MAX_WAIT_S, PORTS, ListeningPeer, dial, process

pytestmark = pytest.mark.processes
ROOT = Path(__file__).parent.parent
COUNT, SLICES = 3, 30
SIZE: dict[str, Any] = {"deployment": {"assigners": str(COUNT), "slices": str(SLICES)}}


class Cluster:
    """A store and assigners that have no list of servers and so decide nothing: what they hold is what they were
    given."""

    def __init__(self, folder: Path, stack: contextlib.ExitStack) -> None:
        self.folder, self.stack = folder, stack
        self.store, self.list = PORTS.take(), ListeningPeer()
        self.ports = [PORTS.take() for _ in range(COUNT)]
        self.running: dict[str, Any] = {}
        rows = [{"slice": n, "server": n % 4, "address": f"127.0.0.1:{9000 + n % 4}"} for n in range(SLICES)]
        (folder / "tables.jsonl").write_text("\n".join(map(json.dumps, rows)) + "\n")

    def start_store(self, **more: str) -> None:
        section = {"listen": f"127.0.0.1:{self.store}", "file": str(self.folder / "kept.db"), **more}
        self.running["store"] = self.stack.enter_context(process(self.folder, "store", section, **SIZE))

    def start(self, k: int) -> None:
        folder = self.folder / str(k)
        folder.mkdir(exist_ok=True)
        peers = {"addresses": ", ".join(f"127.0.0.1:{port}" for port in self.ports), "catch_up_s": "1"}
        section = {
            "id": str(k),
            "zone": "0",
            "listen": f"127.0.0.1:{self.ports[k]}",
            "store": f"127.0.0.1:{self.store}",
            "list": f"127.0.0.1:{self.list.port}",
        }
        made = process(folder, "assigner", section, "--life", "1", peers=peers, **SIZE)
        self.running[f"{k}"] = self.stack.enter_context(made)

    def kill(self, *names: str) -> None:
        for name in names:
            self.running[name].kill()
            self.running[name].wait()

    def command(self, *words: str) -> subprocess.CompletedProcess[str]:
        path = self.folder / "operator.ini"
        at = ", ".join(f"127.0.0.1:{port}" for port in self.ports)
        path.write_text(
            f"[deployment]\nname = t\nzones = a, b\nproxies = 3\nslices = {SLICES}\nassigners = {COUNT}\n"
            "[class read]\naim_s = 1\ndeadline_s = 4\n"
            f"[operator]\nstore = 127.0.0.1:{self.store}\nassigners = {at}\n"
        )
        program = [sys.executable, "-m", "puffintide", *words, "--config", str(path)]
        wide = os.environ | {"COLUMNS": "160"}
        return subprocess.run(program, capture_output=True, text=True, timeout=30, env=wide)

    def wait_for(self, done: Callable[[Any], bool], *words: str) -> subprocess.CompletedProcess[str]:
        end = time.monotonic() + MAX_WAIT_S
        while not done(got := self.command(*words)):
            assert time.monotonic() < end, got.stdout + got.stderr
            time.sleep(0.2)
        return got


def test_operator_shows_and_checks_replicas_and_restores_a_lost_store(tmp_path: Path) -> None:
    with contextlib.ExitStack() as stack:
        c = Cluster(tmp_path, stack)
        c.start_store(start_tables=str(tmp_path / "tables.jsonl"))
        for k in range(COUNT):
            c.start(k)
        c.wait_for(lambda got: "3 assigners hold the same tables" in got.stdout, "copies", "check")
        assert c.command("copies", "check").returncode == 0
        shown = c.wait_for(lambda got: got.stdout.count(" 10 ") >= COUNT * COUNT, "copies", "show")
        assert shown.returncode == 0
        refused = c.command("store", "refill")
        assert refused.returncode != 0
        assert "it is not empty" in refused.stderr
        c.kill("store", "1", "2")
        for file in tmp_path.glob("kept.db*"):
            file.unlink()
        c.start_store(refill="yes", refill_wait_s="60")
        alone = c.command("copies", "check")
        assert alone.returncode == 1, alone.stdout
        assert alone.stdout.count("127.0.0.1") == 2, alone.stdout
        empty = c.command("charge", "show")  # nobody is given anything on one assigner's word
        assert str(SLICES) not in empty.stdout, empty.stdout
        c.wait_for(lambda got: got.returncode == 0, "store", "refill")
        reader = dial(c.store, m.Hello(m.PROTOCOL_VERSION, "proxy", 0, 0, "t"))
        reader.wait_for(lambda x: isinstance(x, m.Welcome))
        found: dict[int, m.SliceOwnership] = {}
        end = time.monotonic() + MAX_WAIT_S
        while len(found) < SLICES or any(x.owner_id != 0 for x in found.values()):
            assert time.monotonic() < end, found
            reader.send(m.ReadRequest())
            got = reader.wait_for(lambda x: isinstance(x, m.SliceOwnerships | m.ReadComplete))
            found |= {x.slice_id: x for x in got.ownerships} if isinstance(got, m.SliceOwnerships) else {}
        assert {n: [h.server_id for h in x.entries] for n, x in found.items()} == {
            n: [n % 4] for n in range(SLICES)
        }
        assert min(x.fencing_token for x in found.values()) > 2**32


def test_peer_that_never_reads_or_is_suspended_delays_nobody(tmp_path: Path) -> None:
    with contextlib.ExitStack() as stack:
        c = Cluster(tmp_path, stack)
        c.start_store(start_tables=str(tmp_path / "tables.jsonl"))
        c.start(0)
        c.start(1)
        for port in c.ports[:2]:  # greets, asks for all that there is again and again, and reads nothing
            deaf = stack.enter_context(socket.create_connection(("127.0.0.1", port), 2))
            deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            hello = m.Hello(m.PROTOCOL_VERSION, "assigner", 2, 0, "t", incarnation=1)
            deaf.sendall(encode(hello) + b"\n" + (encode(m.VersionDigest([])) + b"\n") * 2000)
        c.running["1"].send_signal(signal.SIGSTOP)
        shown = c.wait_for(
            lambda got: f" {SLICES} " in got.stdout, "copies", "show"
        )  # the first has them all by now
        assert shown.returncode == 1
        assert "silent" in shown.stdout
        c.running["1"].send_signal(signal.SIGCONT)
        # Those two hold all of each other's: the third, which does not answer, is all there is to say.
        c.wait_for(
            lambda got: got.stdout.count("\n") == 1 and str(c.ports[2]) in got.stdout, "copies", "check"
        )


def played(folder: Path, day: str) -> tuple[str, dict[str, list[dict[str, Any]]]]:
    words = ["day", "run", str(ROOT / "days" / day), "--out", str(folder), "--quiet"]
    run = subprocess.run(
        [sys.executable, "-m", "puffintide", *words], capture_output=True, text=True, timeout=180
    )
    assert run.returncode == 0, run.stdout + run.stderr
    logs = {p.stem: [json.loads(x) for x in p.read_text().splitlines()] for p in folder.glob("[as]*.log")}
    return next(line for line in run.stdout.splitlines() if "copies agree" in line), logs


@pytest.mark.parametrize(
    ("day", "cases", "slices", "assigners"),
    [("replication.ini", 48, 48, 3), ("replication-many.ini", 300, 60, 6)],
)
def test_replicas_agree_after_a_scenario_of_faults(
    day: str, cases: int, slices: int, assigners: int, tmp_path: Path
) -> None:
    """Ways cut one way and both, in parts, late, doubled, out of order; processes killed and stopped; the store's
    disk lost, and one come back from an old backup."""
    row, logs = played(tmp_path, day)
    assert "kept" in row, row
    assert int(row.split("│")[3]) > cases, row
    refilled = [x for x in logs["store"] if x["event"] == "restored_from_replicas"]
    assert [(x["tables"], x["assigner_ids"]) for x in refilled] == [(slices, list(range(assigners)))]
    for name, events in logs.items():
        caught = [x for x in events if x["event"] == "caught_up"]
        assert all(x["rows"] > 0 for x in caught[1:]), (
            name,
            caught,
        )  # who returns begins with what others hold

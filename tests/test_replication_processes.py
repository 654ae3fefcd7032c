"""Replication between real processes: operator commands, a store that lost its data, and faults.

The faults are peers that do not read and scenarios with many faults.
"""

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
ASSIGNER_COUNT, SLICE_COUNT = 3, 30
SECTIONS: dict[str, Any] = {"deployment": {"assigners": str(ASSIGNER_COUNT), "slices": str(SLICE_COUNT)}}


class Cluster:
    """A store and assigners without an endpoint list.

    The assigners make no decisions, so their tables are those that they were granted.
    """

    def __init__(self, folder: Path, stack: contextlib.ExitStack) -> None:
        self.folder, self.stack = folder, stack
        self.store_port, self.endpoint_list = PORTS.take(), ListeningPeer()
        self.assigner_ports = [PORTS.take() for _ in range(ASSIGNER_COUNT)]
        self.processes: dict[str, Any] = {}
        rows = [
            {"slice": slice_id, "server": slice_id % 4, "address": f"127.0.0.1:{9000 + slice_id % 4}"}
            for slice_id in range(SLICE_COUNT)
        ]
        (folder / "tables.jsonl").write_text("\n".join(map(json.dumps, rows)) + "\n")

    def start_store(self, **options: str) -> None:
        section = {"listen": f"127.0.0.1:{self.store_port}", "file": str(self.folder / "kept.db"), **options}
        self.processes["store"] = self.stack.enter_context(process(self.folder, "store", section, **SECTIONS))

    def start_assigner(self, assigner_id: int) -> None:
        folder = self.folder / str(assigner_id)
        folder.mkdir(exist_ok=True)
        addresses = ", ".join(f"127.0.0.1:{port}" for port in self.assigner_ports)
        peers = {"addresses": addresses, "catch_up_s": "1"}
        section = {
            "id": str(assigner_id),
            "zone": "0",
            "listen": f"127.0.0.1:{self.assigner_ports[assigner_id]}",
            "store": f"127.0.0.1:{self.store_port}",
            "list": f"127.0.0.1:{self.endpoint_list.port}",
        }
        assigner = process(folder, "assigner", section, "--life", "1", peers=peers, **SECTIONS)
        self.processes[f"{assigner_id}"] = self.stack.enter_context(assigner)

    def kill(self, *names: str) -> None:
        for name in names:
            self.processes[name].kill()
            self.processes[name].wait()

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        path = self.folder / "operator.ini"
        addresses = ", ".join(f"127.0.0.1:{port}" for port in self.assigner_ports)
        path.write_text(
            "[deployment]\nname = t\nzones = a, b\nproxies = 3\n"
            f"slices = {SLICE_COUNT}\nassigners = {ASSIGNER_COUNT}\n"
            "[class read]\naim_s = 1\ndeadline_s = 4\n"
            f"[operator]\nstore = 127.0.0.1:{self.store_port}\nassigners = {addresses}\n"
        )
        command = [sys.executable, "-m", "puffintide", *arguments, "--config", str(path)]
        environment = os.environ | {"COLUMNS": "160"}
        return subprocess.run(command, capture_output=True, text=True, timeout=30, env=environment)

    def run_until(self, is_done: Callable[[Any], bool], *arguments: str) -> subprocess.CompletedProcess[str]:
        """Repeat a command until its result satisfies is_done."""
        deadline = time.monotonic() + MAX_WAIT_S
        while not is_done(result := self.run_command(*arguments)):
            assert time.monotonic() < deadline, result.stdout + result.stderr
            time.sleep(0.2)
        return result


def test_operator_shows_and_checks_replicas_and_restores_a_lost_store(tmp_path: Path) -> None:
    with contextlib.ExitStack() as stack:
        cluster = Cluster(tmp_path, stack)
        cluster.start_store(start_tables=str(tmp_path / "tables.jsonl"))
        for assigner_id in range(ASSIGNER_COUNT):
            cluster.start_assigner(assigner_id)
        cluster.run_until(
            lambda result: "3 assigners hold the same tables" in result.stdout, "copies", "check"
        )
        assert cluster.run_command("copies", "check").returncode == 0
        shown = cluster.run_until(
            lambda result: result.stdout.count(" 10 ") >= ASSIGNER_COUNT * ASSIGNER_COUNT, "copies", "show"
        )
        assert shown.returncode == 0
        rejected = cluster.run_command("store", "refill")
        assert rejected.returncode != 0
        assert "the store is not empty" in rejected.stderr
        cluster.kill("store", "1", "2")
        for file in tmp_path.glob("kept.db*"):
            file.unlink()
        cluster.start_store(refill="yes", refill_wait_s="60")
        check = cluster.run_command("copies", "check")
        assert check.returncode == 1, check.stdout
        assert check.stdout.count("127.0.0.1") == 2, check.stdout
        # The tables of a single assigner are not enough to grant slices.
        ownerships = cluster.run_command("charge", "show")
        assert str(SLICE_COUNT) not in ownerships.stdout, ownerships.stdout
        cluster.run_until(lambda result: result.returncode == 0, "store", "refill")
        reader = dial(cluster.store_port, m.Hello(m.PROTOCOL_VERSION, "proxy", 0, 0, "t"))
        reader.wait_for(lambda message: isinstance(message, m.Welcome))
        restored: dict[int, m.SliceOwnership] = {}
        deadline = time.monotonic() + MAX_WAIT_S
        while len(restored) < SLICE_COUNT or any(item.owner_id != 0 for item in restored.values()):
            assert time.monotonic() < deadline, restored
            reader.send(m.ReadRequest())
            reply = reader.wait_for(lambda message: isinstance(message, m.SliceOwnerships | m.ReadComplete))
            restored |= (
                {item.slice_id: item for item in reply.ownerships}
                if isinstance(reply, m.SliceOwnerships)
                else {}
            )
        servers = {
            slice_id: [entry.server_id for entry in item.entries] for slice_id, item in restored.items()
        }
        assert servers == {slice_id: [slice_id % 4] for slice_id in range(SLICE_COUNT)}
        assert min(item.fencing_token for item in restored.values()) > 2**32


def test_peer_that_never_reads_or_is_suspended_delays_no_other(tmp_path: Path) -> None:
    with contextlib.ExitStack() as stack:
        cluster = Cluster(tmp_path, stack)
        cluster.start_store(start_tables=str(tmp_path / "tables.jsonl"))
        cluster.start_assigner(0)
        cluster.start_assigner(1)
        for port in cluster.assigner_ports[:2]:
            # This peer sends a greeting and requests all rows many times, but never reads.
            non_reader = stack.enter_context(socket.create_connection(("127.0.0.1", port), 2))
            non_reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            hello = m.Hello(m.PROTOCOL_VERSION, "assigner", 2, 0, "t", incarnation=1)
            non_reader.sendall(encode(hello) + b"\n" + (encode(m.VersionDigest([])) + b"\n") * 2000)
        cluster.processes["1"].send_signal(signal.SIGSTOP)
        # Assigner 0 eventually holds the tables of all slices.
        shown = cluster.run_until(lambda result: f" {SLICE_COUNT} " in result.stdout, "copies", "show")
        assert shown.returncode == 1
        assert "silent" in shown.stdout
        cluster.processes["1"].send_signal(signal.SIGCONT)
        # Assigners 0 and 1 agree, so the only line reports that assigner 2 does not answer.
        cluster.run_until(
            lambda result: result.stdout.count("\n") == 1 and str(cluster.assigner_ports[2]) in result.stdout,
            "copies",
            "check",
        )


def run_scenario(folder: Path, scenario: str) -> tuple[str, dict[str, list[dict[str, Any]]]]:
    """Run a scenario, and return the report's line on replica agreement and the logs by process."""
    arguments = ["day", "run", str(ROOT / "days" / scenario), "--out", str(folder), "--quiet"]
    result = subprocess.run(
        [sys.executable, "-m", "puffintide", *arguments], capture_output=True, text=True, timeout=180
    )
    assert result.returncode == 0, result.stdout + result.stderr
    logs = {
        path.stem: [json.loads(line) for line in path.read_text().splitlines()]
        for path in folder.glob("[as]*.log")
    }
    return next(line for line in result.stdout.splitlines() if "copies agree" in line), logs


@pytest.mark.parametrize(
    ("scenario", "case_threshold", "slice_count", "assigner_count"),
    [("replication.ini", 48, 48, 3), ("replication-many.ini", 300, 60, 6)],
)
def test_replicas_agree_after_a_scenario_of_faults(
    scenario: str, case_threshold: int, slice_count: int, assigner_count: int, tmp_path: Path
) -> None:
    """The scenarios contain faults of links, processes and the store.

    Links are cut in one or both directions and in part, and messages are delayed, duplicated and reordered.
    Processes are killed and stopped. The store loses its disk, and one is restored from an old backup.
    """
    row, logs = run_scenario(tmp_path, scenario)
    assert "kept" in row, row
    assert int(row.split("│")[3]) > case_threshold, row
    restorations = [entry for entry in logs["store"] if entry["event"] == "restored_from_replicas"]
    assert [(entry["tables"], entry["assigner_ids"]) for entry in restorations] == [
        (slice_count, list(range(assigner_count)))
    ]
    for name, entries in logs.items():
        caught_up = [entry for entry in entries if entry["event"] == "caught_up"]
        # A restarted assigner begins with the rows that the others hold.
        assert all(entry["rows"] > 0 for entry in caught_up[1:]), (name, caught_up)

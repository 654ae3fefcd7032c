"""Starts the processes of the proxy's benchmarks: servers, relays, proxies and clients."""

from __future__ import annotations

import configparser
import contextlib
import json
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

from puffintide.protocol import messages as m
from puffintide.proxy.state import SavedState, save_state

WEIGHTS = (1.0, 2.0, 3.0, 4.0)  # of the four servers
SLICE_COUNT = 16
CONNECT_TIMEOUT_S = 5
CLIENT_TIMEOUT_S = 150


def start_process(module: str, *arguments: str) -> subprocess.Popen[str]:
    """Run a module of Python in a process and wait until it prints "ready"."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    assert process.stdout is not None
    assert process.stdout.readline() == "ready\n", f"{module} {arguments} did not start"
    return process


def kill_all(processes: list[subprocess.Popen[str]]) -> None:
    """Kill processes and wait for their ends."""
    for process in processes:
        process.kill()
        process.wait()


def start_line_servers(ports: list[int]) -> subprocess.Popen[str]:
    """Servers that answer attempts at once."""
    return start_process("benchmarks.bench_servers", "serve", "--lines", _joined(ports))


def start_http_servers(ports: list[int]) -> subprocess.Popen[str]:
    """Servers that answer any HTTP request at once, and attempts too."""
    return start_process("benchmarks.bench_servers", "serve", "--http", _joined(ports))


def start_relay(port: int, target: int) -> subprocess.Popen[str]:
    """A relay of bytes from one port to another."""
    return start_process("benchmarks.bench_servers", "relay", str(port), str(target))


@contextlib.contextmanager
def http_server(ports: list[int]) -> Iterator[None]:
    """Run servers of HTTP within a block."""
    process = start_http_servers(ports)
    try:
        yield
    finally:
        kill_all([process])


def run_client(port: int, target: str, count: int, rate: float, connections: int = 1) -> dict[str, float]:
    """Run the load generator; returns the figures that it prints."""
    arguments = [str(port), target, str(count), str(rate), str(connections)]
    command = [sys.executable, "-m", "benchmarks.load_generator", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, timeout=CLIENT_TIMEOUT_S)
    figures: dict[str, float] = json.loads(done.stdout)
    assert not figures["bad"], f"{figures['bad']} requests were not answered"
    return figures


def attempt_counts(ports: list[int]) -> list[int]:
    """The number of attempts that each line server has answered."""
    counts = []
    for port in ports:
        with socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S) as connection:
            connection.sendall(b'{"t":"count"}\n')
            counts.append(json.loads(connection.makefile().readline())["count"])
    return counts


def proxy_file(
    folder: Path, servers: list[int], port: int, unused_port: int, name: str = "proxy", **options: str
) -> Path:
    """Write the configuration of a proxy that serves from the tables of its state file.

    Args:
        folder: For the configuration and the state file.
        servers: Ports of the servers in all tables; their weights are the first of WEIGHTS.
        port: Of the proxy.
        unused_port: Where no assigner and no store listens.
        name: Of the files.
        options: More keys of [proxy].
    """
    table = [
        m.TableEntry(server_id, weight, f"127.0.0.1:{server_port}")
        for server_id, (weight, server_port) in enumerate(zip(WEIGHTS, servers, strict=False))
    ]
    ownerships = [m.SliceOwnership(slice_id, 1, 0, table) for slice_id in range(SLICE_COUNT)]
    state_path = folder / f"{name}.json"
    save_state(str(state_path), SavedState(1, time.time(), ownerships, {}, []))
    sections = {
        "deployment": {"name": "cost", "proxies": "8", "slices": str(SLICE_COUNT)},
        "class read": {"aim_s": "1", "deadline_s": "10"},
        "proxy": {
            "id": "0",
            "listen": f"127.0.0.1:{port}",
            "assigners": f"127.0.0.1:{unused_port}",
            "store": f"127.0.0.1:{unused_port}",
            "state": str(state_path),
        }
        | options,
    }
    return write_config(folder / f"{name}.ini", sections)


def write_config(path: Path, sections: dict[str, dict[str, str]]) -> Path:
    """Write a configuration file; returns its path."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with path.open("w") as file:
        parser.write(file)
    return path


def _joined(ports: list[int]) -> str:
    return ",".join(map(str, ports))

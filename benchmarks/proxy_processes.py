"""Functions that start the processes of the proxy benchmarks: servers, relays, proxies and clients."""

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

WEIGHTS = (1.0, 2.0, 3.0, 4.0)  # Weights of the four servers.
SLICE_COUNT = 16
CONNECT_TIMEOUT_S = 5
CLIENT_TIMEOUT_S = 150


def start_process(module: str, *arguments: str) -> subprocess.Popen[str]:
    """Run a Python module in a process and wait until it prints "ready"."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    assert process.stdout is not None
    assert process.stdout.readline() == "ready\n", f"start of {module} {arguments}: it did not print 'ready'"
    return process


def kill_all(processes: list[subprocess.Popen[str]]) -> None:
    """Kill processes and wait until they have exited."""
    for process in processes:
        process.kill()
        process.wait()


def start_line_servers(ports: list[int]) -> subprocess.Popen[str]:
    """Start servers that answer attempts immediately."""
    return start_process("benchmarks.bench_servers", "serve", "--lines", _join_ports(ports))


def start_http_servers(ports: list[int]) -> subprocess.Popen[str]:
    """Start servers that answer HTTP requests and attempts immediately."""
    return start_process("benchmarks.bench_servers", "serve", "--http", _join_ports(ports))


def start_relay(port: int, target: int) -> subprocess.Popen[str]:
    """Start a relay of bytes from one port to another."""
    return start_process("benchmarks.bench_servers", "relay", str(port), str(target))


@contextlib.contextmanager
def http_server(ports: list[int]) -> Iterator[None]:
    """Run HTTP servers for the duration of a block."""
    process = start_http_servers(ports)
    try:
        yield
    finally:
        kill_all([process])


def run_client(port: int, target: str, count: int, rate: float, connections: int = 1) -> dict[str, float]:
    """Run the load generator and return the figures that it prints."""
    arguments = [str(port), target, str(count), str(rate), str(connections)]
    command = [sys.executable, "-m", "benchmarks.load_generator", *arguments]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=CLIENT_TIMEOUT_S)
    figures: dict[str, float] = json.loads(completed.stdout)
    assert not figures["bad"], f"load on port {port}: {figures['bad']} of {count} responses were bad"
    return figures


def attempt_counts(ports: list[int]) -> list[int]:
    """Return the number of attempts that each line server has answered."""
    counts = []
    for port in ports:
        with socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S) as connection:
            connection.sendall(b'{"t":"count"}\n')
            counts.append(json.loads(connection.makefile().readline())["count"])
    return counts


def write_proxy_config(
    folder: Path, servers: list[int], port: int, unused_port: int, name: str = "proxy", **options: str
) -> Path:
    """Write the configuration of a proxy that serves from the tables of its state file.

    Args:
        folder: Folder for the configuration and the state file.
        servers: Ports of the servers in all tables; their weights are the first values of WEIGHTS.
        port: Port on which the proxy listens.
        unused_port: Port on which neither an assigner nor a store listens.
        name: Name of both files without their suffixes.
        options: Further keys of the section [proxy].

    Returns:
        The path of the configuration file.
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
    """Write a configuration file and return its path."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with path.open("w") as file:
        parser.write(file)
    return path


def _join_ports(ports: list[int]) -> str:
    return ",".join(map(str, ports))

"""Compares requests sent directly to a server, through a byte relay and through the proxy.

    python -m benchmarks.proxy_cost [--requests 100000] [--rounds 3] [--table FILE] [--plot FILE]

One run measures the three paths in turn for several rounds and prints medians. On a shared machine only
ratios within one run are comparable. Throughput is measured with 64 requests in flight, on 64 connections and
on a single one, where a relay forwards many requests in one write. Latency is measured at fixed rates. The
servers answer immediately. The distribution of the proxy's requests over the servers is compared with the
published weights.
"""

from __future__ import annotations

import os
import statistics
import subprocess
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from enum import StrEnum
from pathlib import Path

import click

from benchmarks.load_generator import WINDOW
from benchmarks.proxy_processes import (
    WEIGHTS,
    attempt_counts,
    kill_all,
    run_client,
    start_http_servers,
    start_line_servers,
    start_process,
    start_relay,
    write_proxy_config,
)
from puffintide.scenarios.place import Ports

PROCESS_COUNTS = (1, 2, 3, 4)  # Numbers of proxy processes that share one port.
SHARED_PORT_CLIENTS = 3  # Number of concurrent clients of a shared port.
RATE_FRACTIONS = (0.25, 0.5, 0.75)  # Fixed rates as fractions of the proxy's throughput.
MIN_REQUESTS = 2000  # Minimum number of requests in a run at a fixed rate.
MAX_REQUESTS = 20000  # Maximum number of requests in a run at a fixed rate.
FIXED_RATE_RUN_S = 3  # Duration of a run at a fixed rate, within the limits above.
US_PER_MS = 1000
QUANTILES = ("p50", "p99", "p99.9")


class NetworkPath(StrEnum):
    """Path of a request to a server; the values are also targets of the load generator."""

    DIRECT = "direct"
    RELAY = "relay"
    PROXY = "proxy"


PathPorts = dict[NetworkPath, int]
PathValues = dict[NetworkPath, float]
Latencies = dict[NetworkPath, list[tuple[float, float]]]  # (rate, p99 in milliseconds)


class Testbed:
    """Processes of servers, relays and proxies.

    Attributes:
        servers: Ports of the four line servers.
        line_paths: Port of each path. It leads to the first line server, or to all of them through the proxy.
        http_paths: Port of each path to the HTTP servers, in the same way.
        shared_ports: Shared port by the number of proxy processes that listen on it.
    """

    def __init__(self, folder: Path) -> None:
        ports = Ports(os.getpid() * 41)
        self.servers = [ports.take() for _ in WEIGHTS]
        self._http_servers = [ports.take() for _ in WEIGHTS]
        self.line_paths = _take_path_ports(ports, self.servers[0])
        self.http_paths = _take_path_ports(ports, self._http_servers[0])
        self.shared_ports = {count: ports.take() for count in PROCESS_COUNTS}
        self._unused_port = ports.take()
        self._unused_lines_port = ports.take()
        self._folder = folder
        self._processes: list[subprocess.Popen[str]] = []

    def start(self) -> None:
        """Start all processes."""
        # Two processes, so that the servers are not the bottleneck.
        for servers in (self.servers[:2], self.servers[2:]):
            self._processes.append(start_line_servers(servers))
        self._processes.append(start_http_servers(self._http_servers))
        self._processes.append(start_relay(self.line_paths[NetworkPath.RELAY], self.servers[0]))
        self._processes.append(start_relay(self.http_paths[NetworkPath.RELAY], self._http_servers[0]))
        self._start_proxy(self.servers, self.line_paths[NetworkPath.PROXY], "proxy")
        http = f"127.0.0.1:{self.http_paths[NetworkPath.PROXY]}"
        self._start_proxy(self._http_servers, self._unused_lines_port, "http", http=http)
        for count, port in self.shared_ports.items():
            for index in range(count):
                name = f"shared-{count}-{index}"
                self._start_proxy(self.servers, port, name, id=str(index), shared_port="yes")

    def stop(self) -> None:
        """Kill all processes."""
        kill_all(self._processes)

    def _start_proxy(self, servers: list[int], port: int, name: str, **options: str) -> None:
        config = write_proxy_config(self._folder, servers, port, self._unused_port, name, **options)
        self._processes.append(start_process("puffintide", "proxy", "--config", str(config)))


def _take_path_ports(ports: Ports, server: int) -> PathPorts:
    return {
        NetworkPath.DIRECT: server,
        NetworkPath.RELAY: ports.take(),
        NetworkPath.PROXY: ports.take(),
    }


def throughput_rows(testbed: Testbed, requests: int, rounds: int) -> tuple[list[str], PathValues]:
    """Return rows on the throughput and server choices of the proxy, and the throughput of each path."""
    counts_before = attempt_counts(testbed.servers)
    multi_connection_rates: dict[NetworkPath, list[float]] = {path: [] for path in NetworkPath}
    single_connection_rates: dict[NetworkPath, list[float]] = {path: [] for path in NetworkPath}
    requests_per_run = requests // rounds // 2
    for _ in range(rounds):
        for path, port in testbed.line_paths.items():
            multi_connection_rates[path].append(run_client(port, path, requests_per_run, 0, WINDOW)["rate"])
            single_connection_rates[path].append(run_client(port, path, requests_per_run, 0)["rate"])
    requests_per_path = 2 * requests_per_run * rounds
    counts_after = attempt_counts(testbed.servers)
    received = [after - before for before, after in zip(counts_before, counts_after, strict=True)]
    received[0] -= 2 * requests_per_path  # Requests of the direct path and of the relay.
    deviation = max(
        abs(count / (requests_per_path * weight / sum(WEIGHTS)) - 1)
        for count, weight in zip(received, WEIGHTS, strict=True)
    )
    throughput = _medians(multi_connection_rates)
    rows = [
        "| throughput, requests a second | direct | relay | proxy | proxy over relay |",
        "| --- | --- | --- | --- | --- |",
        _throughput_row(f"one in flight on each of {WINDOW} connections", throughput),
        _throughput_row(f"{WINDOW} in flight on one connection", _medians(single_connection_rates)),
        "",
        (
            f"Choices of the proxy over {requests_per_path} requests: "
            f"at most {deviation:.2%} off the weights {WEIGHTS}."
        ),
    ]
    return rows, throughput


def latency_rows(paths: PathPorts, rounds: int, proxy_rate: float, latencies: Latencies) -> Iterator[str]:
    """Yield rows for fixed rates, and append the p99 of each to the latencies."""
    yield "| fixed rate | path | p50 ms | p99 ms | p99.9 ms |"
    yield "| --- | --- | --- | --- | --- |"
    for rate_fraction in RATE_FRACTIONS:
        rate = proxy_rate * rate_fraction
        count = min(MAX_REQUESTS, max(MIN_REQUESTS, int(rate * FIXED_RATE_RUN_S)))
        for path, port in paths.items():
            runs = [run_client(port, path, count, rate) for _ in range(rounds)]
            medians_ms = {q: statistics.median(run[q] for run in runs) / US_PER_MS for q in QUANTILES}
            latencies[path].append((rate, medians_ms["p99"]))
            cells = " | ".join(f"{value:.2f}" for value in medians_ms.values())
            yield f"| {rate:.0f} ({rate_fraction:.0%} of the proxy's) | {path} | {cells} |"


def http_rows(paths: PathPorts, requests: int, rounds: int) -> list[str]:
    """Return rows for HTTP/1.1 on 64 persistent connections with one request in flight on each."""
    runs: dict[NetworkPath, list[dict[str, float]]] = {path: [] for path in NetworkPath}
    for _ in range(rounds):
        for path, port in paths.items():
            runs[path].append(run_client(port, "http", requests // rounds, 0, WINDOW))
    throughput = _medians({path: [run["rate"] for run in runs[path]] for path in runs})
    p99_us = _medians({path: [run["p99"] for run in runs[path]] for path in runs})
    p99_cells = " | ".join(f"{value / US_PER_MS:.2f}" for value in p99_us.values())
    return [
        "| HTTP/1.1, requests a second | direct | relay | proxy | proxy over relay |",
        "| --- | --- | --- | --- | --- |",
        _throughput_row(f"one in flight on each of {WINDOW} connections", throughput),
        f"| p99 ms at that rate | {p99_cells} | |",
    ]


def shared_port_rows(ports: dict[int, int], requests: int, rounds: int) -> list[str]:
    """Return rows for several proxy processes on one port under several concurrent clients."""
    rates: dict[int, list[float]] = {count: [] for count in ports}
    for _ in range(rounds):
        for count, port in ports.items():
            with ThreadPoolExecutor(SHARED_PORT_CLIENTS) as pool:
                runs = [
                    pool.submit(run_client, port, NetworkPath.PROXY, requests // rounds, 0, WINDOW)
                    for _ in range(SHARED_PORT_CLIENTS)
                ]
                rates[count].append(sum(run.result()["rate"] for run in runs))
    medians = {count: statistics.median(values) for count, values in rates.items()}
    rows = ["| proxy processes on one port | requests a second | over one process |", "| --- | --- | --- |"]
    rows += [f"| {count} | {rate:.0f} | {rate / medians[1]:.2f} |" for count, rate in medians.items()]
    return rows


def _medians(values: dict[NetworkPath, list[float]]) -> PathValues:
    return {path: statistics.median(path_values) for path, path_values in values.items()}


def _throughput_row(name: str, throughput: PathValues) -> str:
    cells = " | ".join(f"{throughput[path]:.0f}" for path in NetworkPath)
    return f"| {name} | {cells} | {throughput[NetworkPath.PROXY] / throughput[NetworkPath.RELAY]:.2f} |"


def _plot(latencies: Latencies, file: str) -> None:
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    for path, points in latencies.items():
        axes.plot([rate for rate, _ in points], [p99_ms for _, p99_ms in points], marker="o", label=path)
    axes.set_xlabel("requests a second, fixed rate")
    axes.set_ylabel("p99, ms")
    axes.legend()
    figure.tight_layout()
    figure.savefig(file)


@click.command()
@click.option("--requests", default=100_000)
@click.option("--rounds", default=3)
@click.option("--table", default="")
@click.option("--plot", default="")
def main(requests: int, rounds: int, table: str, plot: str) -> None:
    """Run the benchmark, print the tables, and write them and the curves of p99 to files."""
    latencies: Latencies = {path: [] for path in NetworkPath}
    with tempfile.TemporaryDirectory() as folder:
        testbed = Testbed(Path(folder))
        try:
            testbed.start()
            rows, throughput = throughput_rows(testbed, requests, rounds)
            proxy_rate = throughput[NetworkPath.PROXY]
            rows += ["", *latency_rows(testbed.line_paths, rounds, proxy_rate, latencies)]
            rows += ["", *http_rows(testbed.http_paths, requests // 4, rounds)]
            rows += ["", *shared_port_rows(testbed.shared_ports, requests // 4, rounds)]
        finally:
            testbed.stop()
    text = "\n".join(rows)
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")
    if plot:
        _plot(latencies, plot)


if __name__ == "__main__":
    main()

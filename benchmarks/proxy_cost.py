"""What the proxy costs: the same requests straight to a server, through a bare byte relay, and through the proxy.

    python -m benchmarks.proxy_cost [--requests 100000] [--rounds 3] [--table FILE] [--plot FILE]

One run measures all three beside each other, round after round, and gives medians; only ratios within a run mean
anything on a shared machine. First the throughput with 64 requests in flight, on as many connections and on one
(where a relay forwards many requests with one write), then the latency at fixed rates. Servers answer at once. The
choices of the proxy are checked by what each server got of all requests, beside the published weights.
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
    proxy_file,
    run_client,
    start_http_servers,
    start_line_servers,
    start_process,
    start_relay,
)
from puffintide.scenarios.place import Ports

PROCESS_COUNTS = (1, 2, 3, 4)  # of proxies on one port
CLIENT_COUNT = 3  # that drive proxies on one port
LOADS = (0.25, 0.5, 0.75)  # fixed rates, as fractions of the proxy's throughput
MIN_REQUESTS = 2000  # at a fixed rate
MAX_REQUESTS = 20000
FIXED_RATE_S = 3  # of requests
US_PER_MS = 1000
QUANTILES = ("p50", "p99", "p99.9")


class NetworkPath(StrEnum):
    """How requests come to a server; the values are those of the load generator's targets, too."""

    DIRECT = "direct"
    RELAY = "relay"
    PROXY = "proxy"


PathPorts = dict[NetworkPath, int]
PathValues = dict[NetworkPath, float]
Latencies = dict[NetworkPath, list[tuple[float, float]]]  # rate and p99 in milliseconds


class Testbed:
    """Servers, relays and proxies as processes.

    Attributes:
        servers: ports of the four line servers.
        line_paths: the port of each path to the first line server, or to all by the proxy.
        http_paths: the same for HTTP.
        shared_ports: the port of so many proxy processes.
    """

    def __init__(self, folder: Path) -> None:
        ports = Ports(os.getpid() * 41)
        self.servers = [ports.take() for _ in WEIGHTS]
        self._http_servers = [ports.take() for _ in WEIGHTS]
        self.line_paths = _paths(ports, self.servers[0])
        self.http_paths = _paths(ports, self._http_servers[0])
        self.shared_ports = {count: ports.take() for count in PROCESS_COUNTS}
        self._unused_port = ports.take()
        self._unused_lines_port = ports.take()
        self._folder = folder
        self._processes: list[subprocess.Popen[str]] = []

    def start(self) -> None:
        """Start all processes."""
        for servers in (self.servers[:2], self.servers[2:]):  # two processes, so that they are no bottleneck
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
        config = proxy_file(self._folder, servers, port, self._unused_port, name, **options)
        self._processes.append(start_process("puffintide", "proxy", "--config", str(config)))


def _paths(ports: Ports, server: int) -> PathPorts:
    return {
        NetworkPath.DIRECT: server,
        NetworkPath.RELAY: ports.take(),
        NetworkPath.PROXY: ports.take(),
    }


def throughput_rows(testbed: Testbed, requests: int, rounds: int) -> tuple[list[str], PathValues]:
    """Rows for the throughput and the choices of the proxy; and the throughput of each path."""
    counts_before = attempt_counts(testbed.servers)
    many: dict[NetworkPath, list[float]] = {path: [] for path in NetworkPath}
    single: dict[NetworkPath, list[float]] = {path: [] for path in NetworkPath}
    part = requests // rounds // 2
    for _ in range(rounds):
        for path, port in testbed.line_paths.items():
            many[path].append(run_client(port, path, part, 0, WINDOW)["rate"])
            single[path].append(run_client(port, path, part, 0)["rate"])
    through_each = 2 * part * rounds
    counts_after = attempt_counts(testbed.servers)
    received = [after - before for before, after in zip(counts_before, counts_after, strict=True)]
    received[0] -= 2 * through_each  # direct and by the relay
    deviation = max(
        abs(count / (through_each * weight / sum(WEIGHTS)) - 1)
        for count, weight in zip(received, WEIGHTS, strict=True)
    )
    throughput = _medians(many)
    rows = [
        "| throughput, requests a second | direct | relay | proxy | proxy over relay |",
        "| --- | --- | --- | --- | --- |",
        _throughput_row(f"one in flight on each of {WINDOW} connections", throughput),
        _throughput_row(f"{WINDOW} in flight on one connection", _medians(single)),
        "",
        f"Choices of the proxy over {through_each} requests: at most {deviation:.2%} off the weights {WEIGHTS}.",
    ]
    return rows, throughput


def latency_rows(paths: PathPorts, rounds: int, proxy_rate: float, latencies: Latencies) -> Iterator[str]:
    """Rows for fixed rates; adds their p99 to the latencies."""
    yield "| fixed rate | path | p50 ms | p99 ms | p99.9 ms |"
    yield "| --- | --- | --- | --- | --- |"
    for load in LOADS:
        rate = proxy_rate * load
        count = min(MAX_REQUESTS, max(MIN_REQUESTS, int(rate * FIXED_RATE_S)))
        for path, port in paths.items():
            runs = [run_client(port, path, count, rate) for _ in range(rounds)]
            medians_ms = {q: statistics.median(run[q] for run in runs) / US_PER_MS for q in QUANTILES}
            latencies[path].append((rate, medians_ms["p99"]))
            cells = " | ".join(f"{value:.2f}" for value in medians_ms.values())
            yield f"| {rate:.0f} ({load:.0%} of the proxy's) | {path} | {cells} |"


def http_rows(paths: PathPorts, requests: int, rounds: int) -> list[str]:
    """Rows for HTTP/1.1 on 64 persistent connections, one request in flight on each."""
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
    """Rows for several processes on one port, with several clients at once."""
    rates: dict[int, list[float]] = {count: [] for count in ports}
    for _ in range(rounds):
        for count, port in ports.items():
            with ThreadPoolExecutor(CLIENT_COUNT) as pool:
                runs = [
                    pool.submit(run_client, port, NetworkPath.PROXY, requests // rounds, 0, WINDOW)
                    for _ in range(CLIENT_COUNT)
                ]
                rates[count].append(sum(run.result()["rate"] for run in runs))
    medians = {count: statistics.median(values) for count, values in rates.items()}
    rows = ["| proxy processes on one port | requests a second | over one process |", "| --- | --- | --- |"]
    rows += [f"| {count} | {rate:.0f} | {rate / medians[1]:.2f} |" for count, rate in medians.items()]
    return rows


def _medians(values: dict[NetworkPath, list[float]]) -> PathValues:
    return {path: statistics.median(of_path) for path, of_path in values.items()}


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
    """Measure, print the tables, and write them and the curves of p99 to files."""
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

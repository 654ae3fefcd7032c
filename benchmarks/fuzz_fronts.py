"""Fuzzes a proxy process over the line protocol and HTTP/1.1 for a given time, reproducibly by seed.

    python -m benchmarks.fuzz_fronts [--seconds 300] [--seed 1] [--jobs 6] [--table FILE]

Each job generates cases from its own seed: random bytes, or valid heads, chunked bodies and lines in which
bytes are changed, removed, repeated or moved. A case is sent at once or byte by byte, and its connection is
half-closed, read to its end or closed early. After every tenth case a valid request on a new connection must
be answered.

The run fails on a crash (the process has ended), a hang (no response to a valid request for 5 s) or a leak
(memory rises in the last half of the run, or files stay open). A failure is printed with the case that
preceded it, its seed and its number.
"""

from __future__ import annotations

import contextlib
import os
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import TextIO

import click

from benchmarks.proxy_processes import http_server, write_proxy_config
from puffintide.protocol import messages as m
from puffintide.protocol.codec import encode
from puffintide.scenarios.place import Ports

HELLO = encode(m.Hello(m.PROTOCOL_VERSION, "client", 1)) + b"\n"
HTTP_CORPUS = (
    b"GET /a?b=c HTTP/1.1\r\nhost: x\r\nx-puffintide-key: 7\r\nx-puffintide-deadline-ms: 900\r\n\r\n",
    b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 11\r\nidempotency-key: k\r\n\r\nhello world",
    b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n6;e=v\r\n world\r\n0\r\nt: 1\r\n\r\n",
    b"GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\nexpect: 100-continue\r\ncontent-length: 0\r\n\r\n",
    b"HEAD / HTTP/1.0\r\n\r\nGET / HTTP/1.1\r\nhost: y\r\n\r\n",
)
LINE_CORPUS = (
    HELLO
    + encode(m.ClientRequest(1, 0, 5, 2.0))
    + b"\n"
    + encode(m.ClientRequest(2, 0, 2**64 - 1, 0.001))
    + b"\n",
    HELLO + encode(m.Ping()) + b"\n" + encode(m.ClientRequest(1, 9, 5, 2.0)) + b"\n",
    encode(m.ClientRequest(1, 0, 5, 2.0)) + b"\n" + HELLO,
    HELLO + encode(m.UsageReport(0.5)) + b"\n",
)
VALID_HTTP = b"GET /fine HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
VALID_LINES = HELLO + encode(m.ClientRequest(77, 0, 5, 4.0)) + b"\n"
INSERTED_BYTES = (b"\r\n", b"\n", b"\0", b"\xff\xfe", b"{", b'"', b": ", b"\r\n\r\n")
INSERTED_NUMBERS = (-1, 0, 2**31, 2**63, 2**64, 10**30, 1e308, "NaN")
MAX_RANDOM_BYTES = 3000
MAX_CHUNK_BYTES = 40
MAX_BYTEWISE_BYTES = 60  # Maximum number of bytes of a case that is sent byte by byte.
RECEIVE_BYTES = 65536
CASES_PER_VALID_REQUEST = 10
CONNECT_TIMEOUT_S = 5
RESPONSE_TIMEOUT_S = 5
CASE_TIMEOUT_S = 0.3  # Timeout of each socket operation of a case.
SAMPLE_COUNT = 10  # Number of samples of memory and open files in a run.
JOIN_TIMEOUT_S = 15
SETTLE_S = 3  # Time between the last case and the count of open files.
MAX_MEMORY_RATIO = 1.1  # Maximum memory at the end of the run, relative to the middle of the run.
MAX_OPEN_FILES_AT_END = 60
KB_PER_PAGE = 4
KB_PER_MB = 1024
MAX_PRINTED_CHARACTERS = 3000


class Interface(StrEnum):
    """A port of the proxy."""

    HTTP = "http"
    LINES = "lines"


class InvalidResponseError(Exception):
    """A valid request did not get the expected response."""


def make_case(rng: random.Random, corpus: tuple[bytes, ...]) -> bytes:
    """Return a case: random bytes, or valid messages of the corpus after some mutations."""
    if rng.random() < 0.1:
        return rng.randbytes(rng.randint(1, MAX_RANDOM_BYTES))
    data = bytearray(b"".join(rng.choice(corpus) for _ in range(rng.choice((1, 1, 2, 5)))))
    for _ in range(rng.randint(0, 6)):
        _mutate(rng, data)
        if not data:
            break
    return bytes(data)


def _mutate(rng: random.Random, data: bytearray) -> None:
    """Change, remove, repeat, move or insert bytes at a random offset."""
    offset = rng.randrange(len(data) + 1)
    chunk = bytes(data[offset : offset + rng.randint(1, MAX_CHUNK_BYTES)])
    match rng.randrange(6):
        case 0:
            data[offset : offset + 1] = bytes([rng.randrange(256)])
        case 1:
            del data[offset : offset + len(chunk)]
        case 2:
            data[offset:offset] = chunk * rng.choice((1, 2, 50))
        case 3:
            data[rng.randrange(len(data) + 1) : 0] = chunk
        case 4:
            data[offset:offset] = rng.choice(INSERTED_BYTES)
        case 5:
            data[offset:offset] = str(rng.choice(INSERTED_NUMBERS)).encode()


class FuzzJob(threading.Thread):
    """Sends cases until a given time or the first failure.

    Attributes:
        cases: Number of cases sent, by interface.
        failure: Description of the failure with the seed and the number of the case; empty without a failure.
    """

    def __init__(self, seed: int, ports: dict[Interface, int], until_s: float) -> None:
        super().__init__(daemon=True)
        self.cases = dict.fromkeys(Interface, 0)
        self.failure = ""
        self._seed = seed
        self._rng = random.Random(seed)
        self._ports = ports
        self._until_s = until_s

    def run(self) -> None:
        """Send cases until the end time or the first failure."""
        number = 0
        while time.monotonic() < self._until_s and not self.failure:
            number += 1
            interface = self._rng.choice(tuple(Interface))
            data = make_case(self._rng, HTTP_CORPUS if interface is Interface.HTTP else LINE_CORPUS)
            try:
                self._send_case(interface, data)
                if number % CASES_PER_VALID_REQUEST == 0:
                    self._check_valid_request(Interface.HTTP, VALID_HTTP, b" 200 ")
                    self._check_valid_request(Interface.LINES, VALID_LINES, b'"id":77,"status":0')
            except (OSError, InvalidResponseError) as error:
                self.failure = (
                    f"seed {self._seed}, case {number} ({interface}): {error!r} after {data[:300]!r}"
                )
            self.cases[interface] += 1

    def _send_case(self, interface: Interface, data: bytes) -> None:
        with self._connect(interface) as connection:
            connection.settimeout(CASE_TIMEOUT_S)
            with contextlib.suppress(OSError):
                if self._rng.random() < 0.1:
                    for index in range(min(MAX_BYTEWISE_BYTES, len(data))):
                        connection.sendall(data[index : index + 1])
                else:
                    connection.sendall(data)
                close_choice = self._rng.random()
                if close_choice < 0.5:
                    connection.shutdown(socket.SHUT_WR)
                if close_choice < 0.9:
                    while connection.recv(RECEIVE_BYTES):
                        pass

    def _check_valid_request(self, interface: Interface, request: bytes, expected: bytes) -> None:
        with self._connect(interface) as connection:
            connection.settimeout(RESPONSE_TIMEOUT_S)
            connection.sendall(request)
            response = b""
            while expected not in response:
                data = connection.recv(RECEIVE_BYTES)
                if not data:
                    raise InvalidResponseError(
                        f"valid request over {interface}: connection closed after {response[:200]!r}"
                    )
                response += data

    def _connect(self, interface: Interface) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self._ports[interface]), CONNECT_TIMEOUT_S)


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Memory and open files of a process."""

    memory_kb: int
    open_files: int

    @classmethod
    def of_process(cls, pid: int) -> ResourceUsage:
        """Read the usage of a running process from /proc."""
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return cls(pages * KB_PER_PAGE, len(os.listdir(f"/proc/{pid}/fd")))

    def table_cells(self) -> str:
        """Return two table cells: memory in MiB and open files."""
        return f"{self.memory_kb / KB_PER_MB:.1f} | {self.open_files}"


@dataclass(frozen=True, slots=True)
class FuzzResult:
    """Result of a run without a crash or a hang.

    Attributes:
        rows: Table rows of the samples.
        has_leak: Whether memory or open files exceeded their limits.
        tracebacks: Number of tracebacks in the proxy's log.
    """

    rows: list[str]
    has_leak: bool
    tracebacks: int


def run_jobs(
    proxy: subprocess.Popen[str], log: TextIO, ports: dict[Interface, int], seeds: range, duration_s: float
) -> FuzzResult:
    """Fuzz a running proxy and return the result.

    Raises:
        SystemExit: The proxy crashed or hung.
    """
    started_at_s = time.monotonic()
    jobs = [FuzzJob(seed, ports, started_at_s + duration_s) for seed in seeds]
    for job in jobs:
        job.start()
    rows = []
    usage = []
    for sample in range(1, SAMPLE_COUNT + 1):
        elapsed_s = duration_s * sample / SAMPLE_COUNT
        time.sleep(max(0.0, started_at_s + elapsed_s - time.monotonic()))
        _exit_if_failed(proxy, jobs, log)
        usage.append(ResourceUsage.of_process(proxy.pid))
        cases = " | ".join(str(sum(job.cases[interface] for job in jobs)) for interface in Interface)
        rows.append(f"| after {elapsed_s:.0f} s | {cases} | {usage[-1].table_cells()} |")
    for job in jobs:
        job.join(JOIN_TIMEOUT_S)
    time.sleep(SETTLE_S)
    usage_at_end = ResourceUsage.of_process(proxy.pid)
    rows.append(f"| {SETTLE_S} s after the end | | | {usage_at_end.table_cells()} |")
    usage_at_half = usage[SAMPLE_COUNT // 2 - 1]
    has_leak = (
        usage[-1].memory_kb > usage_at_half.memory_kb * MAX_MEMORY_RATIO
        or usage_at_end.open_files > MAX_OPEN_FILES_AT_END
    )
    return FuzzResult(rows, has_leak, _print_tracebacks(log))


def _exit_if_failed(proxy: subprocess.Popen[str], jobs: list[FuzzJob], log: TextIO) -> None:
    failures = [job.failure for job in jobs if job.failure]
    if proxy.poll() is None and not failures:
        return
    log.seek(0)
    click.echo(f"failed: {failures} exit {proxy.poll()} {log.read()[-MAX_PRINTED_CHARACTERS:]}")
    sys.exit(1)


def _print_tracebacks(log: TextIO) -> int:
    """Print the first traceback of a log and return the number of tracebacks."""
    log.seek(0)
    text = log.read()
    if "Traceback" in text:
        click.echo(text[text.index("Traceback") :][:MAX_PRINTED_CHARACTERS])
    return text.count("Traceback")


@click.command()
@click.option("--seconds", default=300.0)
@click.option("--seed", default=1)
@click.option("--jobs", default=6)
@click.option("--table", default="")
def main(seconds: float, seed: int, jobs: int, table: str) -> None:
    """Run the jobs, print the table, and exit with 1 if the proxy failed, leaked or logged a traceback."""
    ports = Ports(os.getpid() * 37)
    server_port, lines_port, http_port, unused_port = (ports.take() for _ in range(4))
    with tempfile.TemporaryDirectory() as folder, http_server([server_port]):
        options = {"http": f"127.0.0.1:{http_port}", "head_s": "0.5", "idle_s": "1"}
        config = write_proxy_config(Path(folder), [server_port], lines_port, unused_port, **options)
        command = [sys.executable, "-m", "puffintide", "proxy", "--config", str(config)]
        with (Path(folder) / "errors").open("w+") as log:
            proxy = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log, text=True)
            try:
                assert proxy.stdout is not None
                assert proxy.stdout.readline() == "ready\n"
                interfaces = {Interface.HTTP: http_port, Interface.LINES: lines_port}
                result = run_jobs(proxy, log, interfaces, range(seed, seed + jobs), seconds)
            finally:
                proxy.kill()
                proxy.wait()
    rows = [
        f"| seeds {seed} to {seed + jobs - 1} | cases over HTTP | over lines | MiB | files |",
        "| --- | --- | --- | --- | --- |",
        *result.rows,
        "",
        f"Unhandled errors in its log: {result.tracebacks}.",
    ]
    click.echo("\n".join(rows))
    if table:
        Path(table).write_text("\n".join(rows) + "\n", encoding="utf-8")
    sys.exit(1 if result.has_leak or result.tracebacks else 0)


if __name__ == "__main__":
    main()

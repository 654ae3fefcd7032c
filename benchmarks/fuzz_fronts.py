"""Fuzzes the fronts of a real proxy process: its own lines and HTTP/1.1, from seeds, for a stated time.

    python -m benchmarks.fuzz_fronts [--seconds 300] [--seed 1] [--jobs 6] [--table FILE]

Each job makes cases from its own seed: random bytes; valid heads, chunked bodies and lines with bytes changed, left
out, doubled or moved; sent whole, or byte by byte, cut off in the middle or left open. After each tenth case a
valid request on a new connection must be answered. A crash (the process is gone), a hang (a valid request without
its answer for 5 s) or growth (memory or open files that still rise in the last half) fails the run; the case before
it is printed with its seed and number.
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
from pathlib import Path

import click

from benchmarks.proxy_cost import http_server, proxy_file
from puffintide.protocol import messages as m
from puffintide.protocol.codec import encode
from puffintide.scenarios.place import Ports

HELLO = encode(m.Hello(m.PROTOCOL_VERSION, "client", 1)) + b"\n"
SEEDS_HTTP = (
    b"GET /a?b=c HTTP/1.1\r\nhost: x\r\nx-puffintide-key: 7\r\nx-puffintide-deadline-ms: 900\r\n\r\n",
    b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 11\r\nidempotency-key: k\r\n\r\nhello world",
    b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n6;e=v\r\n world\r\n0\r\nt: 1\r\n\r\n",
    b"GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\nexpect: 100-continue\r\ncontent-length: 0\r\n\r\n",
    b"HEAD / HTTP/1.0\r\n\r\nGET / HTTP/1.1\r\nhost: y\r\n\r\n",
)
SEEDS_LINES = (
    HELLO
    + encode(m.ClientRequest(1, 0, 5, 2.0))
    + b"\n"
    + encode(m.ClientRequest(2, 0, 2**64 - 1, 0.001))
    + b"\n",
    HELLO + encode(m.Ping()) + b"\n" + encode(m.ClientRequest(1, 9, 5, 2.0)) + b"\n",
    encode(m.ClientRequest(1, 0, 5, 2.0)) + b"\n" + HELLO,
    HELLO + encode(m.UsageReport(0.5)) + b"\n",
)
FINE_HTTP = b"GET /fine HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
FINE_LINES = HELLO + encode(m.ClientRequest(77, 0, 5, 4.0)) + b"\n"


def damaged(rng: random.Random, seeds: tuple[bytes, ...]) -> bytes:
    if rng.random() < 0.1:
        return rng.randbytes(rng.randint(1, 3000))
    data = bytearray(b"".join(rng.choice(seeds) for _ in range(rng.choice((1, 1, 2, 5)))))
    for _ in range(rng.randint(0, 6)):
        at = rng.randrange(len(data) + 1)
        piece = bytes(data[at : at + rng.randint(1, 40)])
        match rng.randrange(6):
            case 0:
                data[at : at + 1] = bytes([rng.randrange(256)])
            case 1:
                del data[at : at + len(piece)]
            case 2:
                data[at:at] = piece * rng.choice((1, 2, 50))
            case 3:
                data[rng.randrange(len(data) + 1) : 0] = piece
            case 4:
                data[at:at] = rng.choice((b"\r\n", b"\n", b"\0", b"\xff\xfe", b"{", b'"', b": ", b"\r\n\r\n"))
            case 5:
                data[at:at] = str(rng.choice((-1, 0, 2**31, 2**63, 2**64, 10**30, 1e308, "NaN"))).encode()
        if not data:
            break
    return bytes(data)


class Job(threading.Thread):
    def __init__(self, seed: int, ports: dict[str, int], until: float) -> None:
        super().__init__(daemon=True)
        self.rng, self.ports, self.until, self.seed = random.Random(seed), ports, until, seed
        self.cases = {"http": 0, "lines": 0}
        self.failure = ""

    def run(self) -> None:
        number = 0
        while time.monotonic() < self.until and not self.failure:
            number += 1
            way = self.rng.choice(("http", "lines"))
            data = damaged(self.rng, SEEDS_HTTP if way == "http" else SEEDS_LINES)
            try:
                self.one(way, data)
                if number % 10 == 0:
                    self.fine("http", FINE_HTTP, b" 200 ")
                    self.fine("lines", FINE_LINES, b'"id":77,"status":0')
            except (OSError, AssertionError) as error:
                self.failure = f"seed {self.seed}, case {number} ({way}): {error!r} after {data[:300]!r}"
            self.cases[way] += 1

    def one(self, way: str, data: bytes) -> None:
        with socket.create_connection(("127.0.0.1", self.ports[way]), 5) as sock:
            sock.settimeout(0.3)
            with contextlib.suppress(OSError):
                if self.rng.random() < 0.1:
                    for k in range(min(60, len(data))):
                        sock.sendall(data[k : k + 1])
                else:
                    sock.sendall(data)
                end = self.rng.random()
                if end < 0.5:
                    sock.shutdown(socket.SHUT_WR)
                if end < 0.9:
                    while sock.recv(65536):
                        pass

    def fine(self, way: str, data: bytes, wanted: bytes) -> None:
        with socket.create_connection(("127.0.0.1", self.ports[way]), 5) as sock:
            sock.settimeout(5)
            sock.sendall(data)
            got = b""
            while wanted not in got:
                more = sock.recv(65536)
                assert more, f"a valid request over {way} got {got[:200]!r}"
                got += more


def held(pid: int) -> tuple[int, int]:
    """KiB in memory, open files."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * 4, len(os.listdir(f"/proc/{pid}/fd"))


@click.command()
@click.option("--seconds", default=300.0)
@click.option("--seed", default=1)
@click.option("--jobs", default=6)
@click.option("--table", default="")
def main(seconds: float, seed: int, jobs: int, table: str) -> None:
    found = Ports(os.getpid() * 37)
    server, lines, http, nobody = (found.take() for _ in range(4))
    rows = [
        f"| seeds {seed} to {seed + jobs - 1} | cases over HTTP | over lines | MiB | files |",
        "| --- | --- | --- | --- | --- |",
    ]
    with tempfile.TemporaryDirectory() as folder, http_server([server]):
        more = {"http": f"127.0.0.1:{http}", "head_s": "0.5", "idle_s": "1"}
        config = proxy_file(Path(folder), [server], lines, nobody, **more)
        words = [sys.executable, "-m", "puffintide", "proxy", "--config", str(config)]
        with (Path(folder) / "errors").open("w+") as errors:
            running = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=errors, text=True)
            try:
                assert running.stdout is not None and running.stdout.readline() == "ready\n"
                began = time.monotonic()
                work = [Job(seed + k, {"http": http, "lines": lines}, began + seconds) for k in range(jobs)]
                for job in work:
                    job.start()
                sizes = []
                for k in range(1, 11):
                    time.sleep(max(0.0, began + seconds * k / 10 - time.monotonic()))
                    failed = [job.failure for job in work if job.failure]
                    if running.poll() is not None or failed:
                        errors.seek(0)
                        click.echo(f"failed: {failed} exit {running.poll()} {errors.read()[-3000:]}")
                        sys.exit(1)
                    sizes.append(held(running.pid))
                    cases = [sum(job.cases[way] for job in work) for way in ("http", "lines")]
                    rows.append(
                        f"| after {seconds * k / 10:.0f} s | {cases[0]} | {cases[1]} "
                        f"| {sizes[-1][0] / 1024:.1f} | {sizes[-1][1]} |"
                    )
                for job in work:
                    job.join(15)
                time.sleep(3)
                sizes.append(held(running.pid))
                rows.append(f"| 3 s after the end | | | {sizes[-1][0] / 1024:.1f} | {sizes[-1][1]} |")
                errors.seek(0)
                log = errors.read()
                traces = log.count("Traceback")
                if traces:
                    click.echo(log[log.index("Traceback") :][:3000])
            finally:
                running.kill()
                running.wait()
    rows += ["", f"Unhandled errors in its log: {traces}."]
    click.echo("\n".join(rows))
    if table:
        Path(table).write_text("\n".join(rows) + "\n", encoding="utf-8")
    grown = sizes[-2][0] > sizes[4][0] * 1.1 or sizes[-1][1] > 60
    sys.exit(1 if grown or traces else 0)


if __name__ == "__main__":
    main()

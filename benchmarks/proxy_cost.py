"""What the proxy costs: the same requests straight to a server, through a bare byte relay, and through the proxy.

    python -m benchmarks.proxy_cost [--requests 100000] [--rounds 3] [--table FILE] [--plot FILE]

One run measures all three side by side, round after round, and gives medians; only ratios within a run count on
a shared machine. First the throughput with 64 requests under way, on as many connections and on one (where a relay
moves many requests at a stroke), then latency at fixed open-loop rates (the time of a request runs from when it was
due, so that a slow answer hides nothing). Servers answer at once. The choice check counts what each server got over
all requests beside the published weights.
"""

from __future__ import annotations

import configparser
import contextlib
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click
from hdrh.histogram import HdrHistogram

from puffintide.protocol import messages as m
from puffintide.protocol.codec import encode
from puffintide.proxy.state import SavedState, save_state
from puffintide.scenarios.place import Ports

WEIGHTS = (1.0, 2.0, 3.0, 4.0)
SLICES = 16
WINDOW = 64
WAYS = ("direct", "relay", "proxy")
SCALES = (1, 2, 3, 4)  # processes on one port
DRIVERS = 3


# Child processes ---------------------------------------------------------------------------------------------


def _protocols() -> Any:
    from twisted.internet.protocol import Factory, Protocol

    class Server(Protocol):
        """Greets and answers each try at once; counts them."""

        transport: Any
        factory: Any

        def connectionMade(self) -> None:
            self.transport.setTcpNoDelay(True)
            self.rest = b""
            self.factory.streams += 1

        def dataReceived(self, data: bytes) -> None:
            *lines, self.rest = (self.rest + data).split(b"\n")
            out = []
            for line in lines:
                if line.startswith(b'{"t":"try","id":'):
                    self.factory.count += 1
                    out.append(b'{"t":"answer","id":' + line[16 : line.index(b",", 16)] + b',"status":0}\n')
                elif line.startswith(b'{"t":"hello"'):
                    out.append(encode(m.Welcome(m.PROTOCOL_VERSION, "server", 0)) + b"\n")
                elif line.startswith(b'{"t":"count"'):
                    out.append(b'{"count":%d}\n' % self.factory.count)
                elif line.startswith(b'{"t":"ping"'):
                    out.append(b'{"t":"pong"}\n')
            self.transport.write(b"".join(out))

    class Servers(Factory):
        protocol = Server
        noisy = False
        count = 0
        streams = 0

    class Http(Server):
        """Answers each head at once, a body with its request; a peer that begins with "{" speaks lines."""

        def dataReceived(self, data: bytes) -> None:
            if (self.rest or data)[:1] == b"{":
                super().dataReceived(data)
                return
            *heads, self.rest = (self.rest + data).split(b"\r\n\r\n")
            self.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n" * len(heads))

    class HttpServers(Servers):
        protocol = Http

    return Servers, HttpServers


def serve(ports: list[int], http: list[int]) -> None:
    from twisted.internet import reactor

    made: Any = reactor
    servers, others = _protocols()
    for port in http:
        made.listenTCP(port, others(), 500, "127.0.0.1")
    for port in ports:
        made.listenTCP(port, servers(), 500, "127.0.0.1")
    print("ready", flush=True)
    made.run()


def relay(port: int, target: int) -> None:
    """Bytes both ways and nothing else, Twisted's own port forwarder."""
    from twisted.internet import reactor
    from twisted.protocols.portforward import ProxyFactory

    made: Any = reactor
    made.listenTCP(port, ProxyFactory("127.0.0.1", target), 500, "127.0.0.1")
    print("ready", flush=True)
    made.run()


def drive(port: int, way: str, count: int, rate: float, streams: int) -> None:
    """The client: `count` requests over so many connections, WINDOW under way in all if rate is 0, else at that
    many a second. Prints a result."""
    from twisted.internet import reactor
    from twisted.internet.protocol import ClientFactory, Protocol

    made: Any = reactor
    histogram = HdrHistogram(1, 60_000_000, 3)  # microseconds
    work: dict[str, Any] = {"sent": 0, "done": 0, "bad": 0, "began": 0.0}
    due: dict[int, float] = {}

    def line(number: int) -> bytes:
        if way == "proxy":
            return b'{"t":"ask","id":%d,"request_class":0,"key":%d,"left_s":10}\n' % (number, number)
        return (
            b'{"t":"try","id":%d,"request":%d,"proxy":0,"slice":0,"request_class":0,"key":%d,"number":0,"left_s":10}\n'
            % (number, number, number)
        )

    class Client(Protocol):
        transport: Any

        def connectionMade(self) -> None:
            self.transport.setTcpNoDelay(True)
            self.rest = b""
            self.out = 0
            if way == "http":
                work["began"] = work["began"] or time.monotonic()
                self.http()
            else:
                self.transport.write(encode(m.Hello(m.PROTOCOL_VERSION, "client", 0)) + b"\n")

        def http(self) -> None:
            work["sent"] += 1
            due[id(self)] = time.monotonic()
            self.transport.write(b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n" % work["sent"])

        def dataReceived(self, data: bytes) -> None:
            if way == "http":
                self.rest += data
                if b"\r\n\r\n" in self.rest:
                    work["bad"] += not self.rest.startswith(b"HTTP/1.1 200 ")
                    self.rest = b""
                    histogram.record_value(max(1, int((time.monotonic() - due.pop(id(self))) * 1e6)))
                    work["done"] += 1
                    self.finish() if work["done"] >= count else self.http()
                return
            *lines, self.rest = (self.rest + data).split(b"\n")
            now = time.monotonic()
            for answer in lines:
                if answer.startswith(b'{"t":"welcome"'):
                    work["began"] = work["began"] or now
                    self.more(WINDOW // streams) if not rate else self.tick()
                    continue
                if b'"id":' not in answer:
                    if answer.startswith(b'{"t":"ping"'):
                        self.transport.write(b'{"t":"pong"}\n')
                    continue
                at = answer.index(b'"id":') + 5
                number = int(answer[at : answer.index(b",", at)])
                work["bad"] += b'"status":0' not in answer
                histogram.record_value(max(1, int((now - due.pop(number)) * 1e6)))
                work["done"] += 1
                self.out -= 1
            if work["done"] >= count:
                self.finish()
            elif not rate:
                self.more(WINDOW // streams - self.out)

        def more(self, number: int) -> None:
            now = time.monotonic()
            out = []
            for _ in range(min(number, count - work["sent"])):
                work["sent"] += 1
                self.out += 1
                due[work["sent"]] = now
                out.append(line(work["sent"]))
            self.transport.write(b"".join(out))

        def tick(self) -> None:
            now = time.monotonic()
            while work["sent"] < count and work["began"] + work["sent"] / rate <= now:
                due[work["sent"] + 1] = work["began"] + work["sent"] / rate
                work["sent"] += 1
                self.out += 1
                self.transport.write(line(work["sent"]))
            if work["sent"] < count:
                made.callLater(max(0.0, work["began"] + work["sent"] / rate - time.monotonic()), self.tick)

        def finish(self) -> None:
            if not work["began"] or work.get("over"):
                return
            work["over"] = 1
            took = time.monotonic() - work["began"]
            row = {"rate": count / took, "bad": work["bad"]}
            row |= {f"p{q}": histogram.get_value_at_percentile(q) for q in (50, 99, 99.9)}
            print(json.dumps(row), flush=True)
            made.stop()

    class Clients(ClientFactory):
        protocol = Client
        noisy = False

    for _ in range(streams):
        made.connectTCP("127.0.0.1", port, Clients())
    made.callLater(120, made.stop)
    made.run()


# The run ------------------------------------------------------------------------------------------------------


def _spawn(*words: str) -> subprocess.Popen[str]:
    started = subprocess.Popen(
        [sys.executable, "-m", *words], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )
    assert started.stdout is not None and started.stdout.readline() == "ready\n", f"{words} did not start"
    return started


def _drive(port: int, way: str, count: int, rate: float, streams: int = 1) -> dict[str, float]:
    words = [
        sys.executable,
        "-m",
        "benchmarks.proxy_cost",
        "--drive",
        f"{port},{way},{count},{rate},{streams}",
    ]
    done = subprocess.run(words, capture_output=True, text=True, timeout=150)
    row: dict[str, float] = json.loads(done.stdout)
    assert not row["bad"], f"{row['bad']} requests were not answered"
    return row


def _counts(ports: list[int]) -> list[int]:
    import socket

    found = []
    for port in ports:
        with socket.create_connection(("127.0.0.1", port), 5) as sock:
            sock.sendall(b'{"t":"count"}\n')
            found.append(json.loads(sock.makefile().readline())["count"])
    return found


@click.command()
@click.option("--requests", default=100_000)
@click.option("--rounds", default=3)
@click.option("--table", default="")
@click.option("--plot", default="")
@click.option("--drive", "drive_words", default="", hidden=True)
@click.option("--serve", "serve_words", default="", hidden=True)
@click.option("--relay", "relay_words", default="", hidden=True)
def main(
    requests: int, rounds: int, table: str, plot: str, drive_words: str, serve_words: str, relay_words: str
) -> None:
    if drive_words:
        port, way, count, rate, streams = drive_words.split(",")
        drive(int(port), way, int(count), float(rate), int(streams))
        return
    if serve_words:
        words = serve_words.partition(":")
        serve([int(p) for p in words[0].split(",") if p], [int(p) for p in words[2].split(",") if p])
        return
    if relay_words:
        front, target = relay_words.split(",")
        relay(int(front), int(target))
        return
    ports = Ports(os.getpid() * 41)
    servers = [ports.take() for _ in WEIGHTS]
    others = [ports.take() for _ in WEIGHTS]
    relay_port, http_relay, nobody = ports.take(), ports.take(), ports.take()
    proxy_port, http_port, unused = ports.take(), ports.take(), ports.take()
    shared = [ports.take() for _ in SCALES]
    started: list[subprocess.Popen[str]] = []
    with tempfile.TemporaryDirectory() as made:
        folder = Path(made)
        try:
            me = "benchmarks.proxy_cost"
            for part in (servers[:2], servers[2:]):  # two processes, so that they are not what gives first
                started.append(_spawn(me, "--serve", ",".join(map(str, part))))
            started.append(_spawn(me, "--serve", ":" + ",".join(map(str, others))))
            started.append(_spawn(me, "--relay", f"{relay_port},{servers[0]}"))
            started.append(_spawn(me, "--relay", f"{http_relay},{others[0]}"))
            config = proxy_file(folder, servers, proxy_port, nobody)
            started.append(_spawn("puffintide", "proxy", "--config", str(config)))
            config = proxy_file(folder, others, unused, nobody, "http", http=f"127.0.0.1:{http_port}")
            started.append(_spawn("puffintide", "proxy", "--config", str(config)))
            for one, number in zip(shared, SCALES, strict=True):
                for k in range(number):
                    config = proxy_file(
                        folder, servers, one, nobody, f"shared-{number}-{k}", id=str(k), shared_port="yes"
                    )
                    started.append(_spawn("puffintide", "proxy", "--config", str(config)))
            ways = {"direct": servers[0], "relay": relay_port, "proxy": proxy_port}
            text = _measure(requests, rounds, servers, ways, plot)
            text += "\n\n" + _http(
                requests // 4, rounds, {"direct": others[0], "relay": http_relay, "proxy": http_port}
            )
            text += "\n\n" + _scale(requests // 4, rounds, dict(zip(SCALES, shared, strict=True)))
        finally:
            for process in started:
                process.kill()
                process.wait()
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")


@contextlib.contextmanager
def http_server(ports: list[int]) -> Iterator[None]:
    """A process of servers that answer any HTTP request on these ports, and the program's own lines too."""
    both = ",".join(map(str, ports))
    running = _spawn("benchmarks.proxy_cost", "--serve", f":{both}")
    try:
        yield
    finally:
        running.kill()
        running.wait()


def proxy_file(
    folder: Path, servers: list[int], port: int, nobody: int, name: str = "proxy", **more: str
) -> Path:
    """A proxy that lives on the tables of its file, with no assigner or store there."""
    held = [
        m.TableEntry(s, w, f"127.0.0.1:{p}") for s, (w, p) in enumerate(zip(WEIGHTS, servers, strict=False))
    ]
    charges = [m.SliceOwnership(n, 1, 0, held) for n in range(SLICES)]
    save_state(str(folder / f"{name}.json"), SavedState(1, time.time(), charges, {}, []))
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(
        {
            "deployment": {"name": "cost", "proxies": "8", "slices": str(SLICES)},
            "class read": {"aim_s": "1", "deadline_s": "10"},
            "proxy": {
                "id": "0",
                "listen": f"127.0.0.1:{port}",
                "assigners": f"127.0.0.1:{nobody}",
                "store": f"127.0.0.1:{nobody}",
                "state": str(folder / f"{name}.json"),
            }
            | more,
        }
    )
    path = folder / f"{name}.ini"
    with path.open("w") as file:
        parser.write(file)
    return path


def _http(requests: int, rounds: int, ways: dict[str, int]) -> str:
    """HTTP/1.1 on 64 kept connections, one request under way on each."""
    rows: dict[str, list[dict[str, float]]] = {way: [] for way in WAYS}
    for _ in range(rounds):
        for way in WAYS:
            rows[way].append(_drive(ways[way], "http", requests // rounds, 0, WINDOW))
    rate = {way: statistics.median(row["rate"] for row in rows[way]) for way in WAYS}
    p99 = {way: statistics.median(row["p99"] for row in rows[way]) / 1000 for way in WAYS}
    return "\n".join(
        [
            "| HTTP/1.1, requests a second | direct | relay | proxy | proxy over relay |",
            "| --- | --- | --- | --- | --- |",
            _rates(f"one under way on each of {WINDOW} connections", rate),
            f"| p99 ms at that rate | {p99['direct']:.2f} | {p99['relay']:.2f} | {p99['proxy']:.2f} | |",
        ]
    )


def _scale(requests: int, rounds: int, ports: dict[int, int]) -> str:
    """Several processes on one port, driven by three clients at once."""
    rates: dict[int, list[float]] = {number: [] for number in ports}
    for _ in range(rounds):
        for number, port in ports.items():
            with ThreadPoolExecutor(DRIVERS) as pool:
                runs = [
                    pool.submit(_drive, port, "proxy", requests // rounds, 0, WINDOW) for _ in range(DRIVERS)
                ]
                rates[number].append(sum(run.result()["rate"] for run in runs))
    rate = {number: statistics.median(values) for number, values in rates.items()}
    lines = ["| proxy processes on one port | requests a second | over one process |", "| --- | --- | --- |"]
    lines += [f"| {number} | {value:.0f} | {value / rate[1]:.2f} |" for number, value in rate.items()]
    return "\n".join(lines)


def _measure(requests: int, rounds: int, servers: list[int], ways: dict[str, int], plot: str) -> str:
    before = _counts(servers)
    full: dict[str, list[float]] = {way: [] for way in WAYS}
    single: dict[str, list[float]] = {way: [] for way in WAYS}
    part = requests // rounds // 2
    for _ in range(rounds):
        for way in WAYS:
            full[way].append(_drive(ways[way], way, part, 0, WINDOW)["rate"])
            single[way].append(_drive(ways[way], way, part, 0)["rate"])
    through = 2 * part * rounds
    after = _counts(servers)
    rate = {way: statistics.median(values) for way, values in full.items()}
    got = [b - a for a, b in zip(before, after, strict=True)]
    got[0] -= 4 * part * rounds  # direct and relay went there
    off = max(abs(g / (through * w / sum(WEIGHTS)) - 1) for g, w in zip(got, WEIGHTS, strict=True))
    lines = [
        "| throughput, requests a second | direct | relay | proxy | proxy over relay |",
        "| --- | --- | --- | --- | --- |",
        _rates(f"one under way on each of {WINDOW} connections", rate),
        _rates(f"{WINDOW} under way on one connection", {w: statistics.median(v) for w, v in single.items()}),
        "",
        f"Choices of the proxy over {through} requests: at most {off:.2%} off the weights {WEIGHTS}.",
        "",
        "| open-loop rate | way | p50 ms | p99 ms | p99.9 ms |",
        "| --- | --- | --- | --- | --- |",
    ]
    series: dict[str, list[tuple[float, float]]] = {way: [] for way in WAYS}
    for share in (0.25, 0.5, 0.75):
        at = rate["proxy"] * share
        for way in WAYS:
            runs = [_drive(ways[way], way, min(20000, max(2000, int(at * 3))), at) for _ in range(rounds)]
            row = {q: statistics.median(run[q] for run in runs) / 1000 for q in ("p50", "p99", "p99.9")}
            series[way].append((at, row["p99"]))
            lines.append(
                f"| {at:.0f} ({share:.0%} of the proxy's) | {way} | {row['p50']:.2f} | {row['p99']:.2f} "
                f"| {row['p99.9']:.2f} |"
            )
    if plot:
        _plot(series, plot)
    return "\n".join(lines)


def _rates(name: str, rate: dict[str, float]) -> str:
    shown = " | ".join(f"{rate[way]:.0f}" for way in WAYS)
    return f"| {name} | {shown} | {rate['proxy'] / rate['relay']:.2f} |"


def _plot(series: dict[str, list[tuple[float, float]]], path: str) -> None:
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    for way, points in series.items():
        axes.plot([p[0] for p in points], [p[1] for p in points], marker="o", label=way)
    axes.set_xlabel("requests a second, open loop")
    axes.set_ylabel("p99, ms")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


if __name__ == "__main__":
    main()

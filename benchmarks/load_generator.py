"""A client that sends requests in a closed loop or at a fixed rate, and prints throughput and latencies.

    python -m benchmarks.load_generator PORT TARGET COUNT RATE CONNECTIONS

TARGET is "proxy" (client requests), "http" (HTTP/1.1) or any other word for attempts sent directly to a
server. If RATE is 0, WINDOW requests are in flight over all connections together, but only one on each HTTP
connection. Otherwise RATE requests per second are sent on one connection. The latency of a request then
counts from its due time, so that a slow response does not hide the delay of the requests after it.

The output is one JSON object: requests per second, bad responses, and latency quantiles in microseconds.
"""

from __future__ import annotations

import json
import time
from typing import Any

import click
from hdrh.histogram import HdrHistogram
from twisted.internet import reactor as twisted_reactor
from twisted.internet.protocol import ClientFactory, Protocol

from puffintide.protocol import messages as m
from puffintide.protocol.codec import encode

WINDOW = 64  # Number of requests in flight over all connections.
RUN_TIMEOUT_S = 120
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1e6
QUANTILES = (50, 99, 99.9)
PROXY_REQUEST = b'{"t":"ask","id":%d,"request_class":0,"key":%d,"left_s":10}\n'
SERVER_REQUEST = (
    b'{"t":"try","id":%d,"request":%d,"proxy":0,"slice":0,"request_class":0,'
    b'"key":%d,"number":0,"left_s":10}\n'
)
HTTP_REQUEST = b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n"
HTTP_OK_PREFIX = b"HTTP/1.1 200 "

reactor: Any = twisted_reactor


class LoadRun:
    """The requests of all connections in one run of the load generator.

    Attributes:
        rate: Requests per second, or 0 for a closed loop.
        window: Maximum number of requests in flight on one connection.
        sent: Number of requests sent.
        started_at_s: Time at which the first connection was ready; 0 before.
    """

    def __init__(self, target: str, count: int, rate: float, connections: int) -> None:
        self.rate = rate
        self.window = WINDOW // connections
        self.sent = 0
        self.started_at_s = 0.0
        self._target = target
        self._count = count
        self._response_count = 0
        self._bad_response_count = 0
        self._is_finished = False
        self._due_at_s: dict[int, float] = {}  # Due times by request number.
        self._latencies_us = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    @property
    def remaining(self) -> int:
        """Number of requests still to be sent."""
        return self._count - self.sent

    @property
    def next_due_at_s(self) -> float:
        """Time at which the next request is due at a fixed rate."""
        return self.started_at_s + self.sent / self.rate

    def on_connected(self) -> None:
        """Start the run when the first connection is ready; later connections change nothing."""
        self.started_at_s = self.started_at_s or time.monotonic()

    def next_request(self, due_at_s: float) -> bytes:
        """Count the next request as sent and return its bytes."""
        self.sent += 1
        number = self.sent
        self._due_at_s[number] = due_at_s
        if self._target == "http":
            return HTTP_REQUEST % number
        if self._target == "proxy":
            return PROXY_REQUEST % (number, number)
        return SERVER_REQUEST % (number, number, number)

    def record_response(self, number: int, is_good: bool, now_s: float) -> bool:
        """Record a response and return whether it was the last one.

        After the last response, the figures are printed and the reactor is stopped.
        """
        latency_s = now_s - self._due_at_s.pop(number)
        self._latencies_us.record_value(max(1, int(latency_s * US_PER_S)))
        self._bad_response_count += not is_good
        self._response_count += 1
        if self._response_count < self._count:
            return False
        self._finish()
        return True

    def _finish(self) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        elapsed_s = time.monotonic() - self.started_at_s
        figures = {"rate": self._count / elapsed_s, "bad": self._bad_response_count}
        figures |= {f"p{q}": self._latencies_us.get_value_at_percentile(q) for q in QUANTILES}
        print(json.dumps(figures), flush=True)
        reactor.stop()


class LineClient(Protocol):
    """A connection that speaks the line protocol."""

    transport: Any

    def __init__(self, load: LoadRun) -> None:
        self._load = load
        self._incomplete = b""
        self._is_welcomed = False
        self._in_flight = 0

    def connectionMade(self) -> None:
        """Send the hello message."""
        self.transport.setTcpNoDelay(True)
        self.transport.write(encode(m.Hello(m.PROTOCOL_VERSION, "client", 0)) + b"\n")

    def dataReceived(self, data: bytes) -> None:
        """Record responses and send as many requests as the window allows."""
        *lines, self._incomplete = (self._incomplete + data).split(b"\n")
        now_s = time.monotonic()
        for line in lines:
            self._line_received(line, now_s)
        if self._is_welcomed and not self._load.rate:
            self._fill_window()

    def _line_received(self, line: bytes, now_s: float) -> None:
        if line.startswith(b'{"t":"welcome"'):
            self._is_welcomed = True
            self._load.on_connected()
            if self._load.rate:
                self._send_due()
        elif line.startswith(b'{"t":"ping"'):
            self.transport.write(b'{"t":"pong"}\n')
        elif b'"id":' in line:
            start = line.index(b'"id":') + len(b'"id":')
            number = int(line[start : line.index(b",", start)])
            self._in_flight -= 1
            self._load.record_response(number, b'"status":0' in line, now_s)

    def _fill_window(self) -> None:
        now_s = time.monotonic()
        count = min(self._load.window - self._in_flight, self._load.remaining)
        requests = [self._load.next_request(now_s) for _ in range(count)]
        self._in_flight += len(requests)
        self.transport.write(b"".join(requests))

    def _send_due(self) -> None:
        """Send the requests that are due at the fixed rate, and schedule the next."""
        now_s = time.monotonic()
        while self._load.remaining and self._load.next_due_at_s <= now_s:
            self.transport.write(self._load.next_request(self._load.next_due_at_s))
            self._in_flight += 1
        if self._load.remaining:
            reactor.callLater(max(0.0, self._load.next_due_at_s - time.monotonic()), self._send_due)


class HttpClient(Protocol):
    """A persistent HTTP/1.1 connection with one request in flight."""

    transport: Any

    def __init__(self, load: LoadRun) -> None:
        self._load = load
        self._incomplete = b""
        self._number = 0

    def connectionMade(self) -> None:
        """Send the first request."""
        self.transport.setTcpNoDelay(True)
        self._load.on_connected()
        self._send()

    def dataReceived(self, data: bytes) -> None:
        """Record the response, which has an empty body, and send the next request."""
        self._incomplete += data
        if b"\r\n\r\n" not in self._incomplete:
            return
        is_good = self._incomplete.startswith(HTTP_OK_PREFIX)
        self._incomplete = b""
        if not self._load.record_response(self._number, is_good, time.monotonic()):
            self._send()

    def _send(self) -> None:
        request = self._load.next_request(time.monotonic())
        self._number = self._load.sent
        self.transport.write(request)


class LoadFactory(ClientFactory):
    """A factory of the connections that share one run."""

    noisy = False

    def __init__(self, load: LoadRun, protocol: type[LineClient | HttpClient]) -> None:
        self._load = load
        self._protocol = protocol

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: ARG002
        """Return a protocol that shares the run."""
        return self._protocol(self._load)


@click.command()
@click.argument("port", type=int)
@click.argument("target")
@click.argument("count", type=int)
@click.argument("rate", type=float)
@click.argument("connections", type=int)
def main(port: int, target: str, count: int, rate: float, connections: int) -> None:
    """Send the requests and print the figures."""
    load = LoadRun(target, count, rate, connections)
    protocol = HttpClient if target == "http" else LineClient
    for _ in range(connections):
        reactor.connectTCP("127.0.0.1", port, LoadFactory(load, protocol))
    reactor.callLater(RUN_TIMEOUT_S, reactor.stop)
    reactor.run()


if __name__ == "__main__":
    main()

"""Servers and a byte relay for the proxy benchmarks, each in a process of its own.

    python -m benchmarks.bench_servers serve [--lines PORT,...] [--http PORT,...]
    python -m benchmarks.bench_servers relay PORT TARGET

Both commands print "ready" once they listen on the loopback interface, and run until they are killed.
"""

from __future__ import annotations

from typing import Any

import click
from twisted.internet import reactor as twisted_reactor
from twisted.internet.protocol import Factory, Protocol
from twisted.protocols.portforward import ProxyFactory

from puffintide.protocol import messages as m
from puffintide.protocol.codec import encode

MAX_PENDING_CONNECTIONS = 500
# Messages are recognised by their first bytes, which costs less than decoding them.
ATTEMPT_PREFIX = b'{"t":"try","id":'
HELLO_PREFIX = b'{"t":"hello"'
COUNT_REQUEST = b'{"t":"count"'  # Requests the number of attempts so far; not part of the protocol.
PING_PREFIX = b'{"t":"ping"'
HTTP_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"

reactor: Any = twisted_reactor


class LineServer(Protocol):
    """A server connection that answers each attempt immediately and counts it."""

    transport: Any
    factory: Any

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm, so that small writes are sent immediately."""
        self.transport.setTcpNoDelay(True)
        self.incomplete = b""

    def dataReceived(self, data: bytes) -> None:
        """Answer all complete lines in one write."""
        *lines, self.incomplete = (self.incomplete + data).split(b"\n")
        self.transport.write(b"".join(self._response(line) for line in lines))

    def _response(self, line: bytes) -> bytes:
        if line.startswith(ATTEMPT_PREFIX):
            self.factory.attempt_count += 1
            id_start = len(ATTEMPT_PREFIX)
            return b'{"t":"answer","id":' + line[id_start : line.index(b",", id_start)] + b',"status":0}\n'
        if line.startswith(HELLO_PREFIX):
            return encode(m.Welcome(m.PROTOCOL_VERSION, "server", 0)) + b"\n"
        if line.startswith(COUNT_REQUEST):
            return b'{"count":%d}\n' % self.factory.attempt_count
        if line.startswith(PING_PREFIX):
            return b'{"t":"pong"}\n'
        return b""


class HttpServer(LineServer):
    """A server connection that answers each HTTP request head immediately.

    Bodies are not parsed: the bytes after a head count as part of the next head. A peer whose first byte is
    "{" speaks the line protocol instead.
    """

    def dataReceived(self, data: bytes) -> None:
        """Answer all complete request heads in one write."""
        if (self.incomplete or data)[:1] == b"{":
            super().dataReceived(data)
            return
        *heads, self.incomplete = (self.incomplete + data).split(b"\r\n\r\n")
        self.transport.write(HTTP_RESPONSE * len(heads))


class LineServerFactory(Factory):
    """A factory of line server connections on one port, with their total number of attempts."""

    protocol = LineServer
    noisy = False
    attempt_count = 0


class HttpServerFactory(LineServerFactory):
    """A factory of HTTP server connections on one port."""

    protocol = HttpServer


def _listen(port: int, factory: Any) -> None:
    reactor.listenTCP(port, factory, MAX_PENDING_CONNECTIONS, "127.0.0.1")


def _run_reactor() -> None:
    print("ready", flush=True)
    reactor.run()


def _parse_ports(text: str) -> list[int]:
    return [int(port) for port in text.split(",") if port]


@click.group()
def main() -> None:
    """Run servers or a relay."""


@main.command()
@click.option("--lines", default="", help="Ports for the program's own protocol.")
@click.option("--http", default="", help="Ports for HTTP/1.1.")
def serve(lines: str, http: str) -> None:
    """Run servers that answer immediately."""
    for port in _parse_ports(http):
        _listen(port, HttpServerFactory())
    for port in _parse_ports(lines):
        _listen(port, LineServerFactory())
    _run_reactor()


@main.command()
@click.argument("port", type=int)
@click.argument("target", type=int)
def relay(port: int, target: int) -> None:
    """Forward bytes in both directions with Twisted's port forwarder."""
    _listen(port, ProxyFactory("127.0.0.1", target))
    _run_reactor()


if __name__ == "__main__":
    main()

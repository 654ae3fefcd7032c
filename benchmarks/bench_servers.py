"""Servers and a byte relay beside which the proxy is measured, as processes of their own.

    python -m benchmarks.bench_servers serve [--lines PORT,...] [--http PORT,...]
    python -m benchmarks.bench_servers relay PORT TARGET

Both print "ready" when they listen on the loopback, and run until they are killed.
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
ATTEMPT_PREFIX = b'{"t":"try","id":'  # messages are recognised by their first bytes, to cost little
HELLO_PREFIX = b'{"t":"hello"'
COUNT_REQUEST = b'{"t":"count"'  # not of the protocol: asks for the number of attempts so far
PING_PREFIX = b'{"t":"ping"'
HTTP_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"

reactor: Any = twisted_reactor


class LineServer(Protocol):
    """Welcomes a peer, answers each attempt at once and counts it."""

    transport: Any
    factory: Any

    def connectionMade(self) -> None:
        """Send small writes at once."""
        self.transport.setTcpNoDelay(True)
        self.incomplete = b""

    def dataReceived(self, data: bytes) -> None:
        """Answer all complete lines with one write."""
        *lines, self.incomplete = (self.incomplete + data).split(b"\n")
        self.transport.write(b"".join(self._response(line) for line in lines))

    def _response(self, line: bytes) -> bytes:
        if line.startswith(ATTEMPT_PREFIX):
            self.factory.attempt_count += 1
            start = len(ATTEMPT_PREFIX)
            return b'{"t":"answer","id":' + line[start : line.index(b",", start)] + b',"status":0}\n'
        if line.startswith(HELLO_PREFIX):
            return encode(m.Welcome(m.PROTOCOL_VERSION, "server", 0)) + b"\n"
        if line.startswith(COUNT_REQUEST):
            return b'{"count":%d}\n' % self.factory.attempt_count
        if line.startswith(PING_PREFIX):
            return b'{"t":"pong"}\n'
        return b""


class HttpServer(LineServer):
    """Answers each head at once, a body along with its request; a peer that begins with "{" sends lines."""

    def dataReceived(self, data: bytes) -> None:
        """Answer all complete heads."""
        if (self.incomplete or data)[:1] == b"{":
            super().dataReceived(data)
            return
        *heads, self.incomplete = (self.incomplete + data).split(b"\r\n\r\n")
        self.transport.write(HTTP_RESPONSE * len(heads))


class LineServerFactory(Factory):
    """The servers of one port."""

    protocol = LineServer
    noisy = False
    attempt_count = 0


class HttpServerFactory(LineServerFactory):
    """The same for HTTP."""

    protocol = HttpServer


def _listen(port: int, factory: Any) -> None:
    reactor.listenTCP(port, factory, MAX_PENDING_CONNECTIONS, "127.0.0.1")


def _run() -> None:
    print("ready", flush=True)
    reactor.run()


def _ports(text: str) -> list[int]:
    return [int(port) for port in text.split(",") if port]


@click.group()
def main() -> None:
    """Run servers or a relay."""


@main.command()
@click.option("--lines", default="", help="Ports for the program's own protocol.")
@click.option("--http", default="", help="Ports for HTTP/1.1.")
def serve(lines: str, http: str) -> None:
    """Run servers that answer at once."""
    for port in _ports(http):
        _listen(port, HttpServerFactory())
    for port in _ports(lines):
        _listen(port, LineServerFactory())
    _run()


@main.command()
@click.argument("port", type=int)
@click.argument("target", type=int)
def relay(port: int, target: int) -> None:
    """Forward bytes both ways and nothing else, with Twisted's own port forwarder."""
    _listen(port, ProxyFactory("127.0.0.1", target))
    _run()


if __name__ == "__main__":
    main()

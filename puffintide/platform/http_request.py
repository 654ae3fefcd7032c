"""One HTTP request on a connection of its own, with a limit on every wait."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from puffintide.platform.config import Address
from puffintide.platform.errors import MalformedResponseError
from puffintide.platform.http_exchange import HttpExchange, RequestResult, Response
from puffintide.platform.reactor import Reactor, Timer, connect

GRACE_S = 0.01  # before a wait ends, for a response that waits unread because this process was late


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of one request."""

    connect_timeout_s: float
    response_timeout_s: float  # once connected
    max_body_bytes: int


class HttpRequest(Protocol):
    """Sends a request at once, and calls on_done once, whatever happens."""

    transport: Any

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        request: tuple[str, str, bytes | None],
        on_done: Callable[[Response], None],
        limits: RequestLimits,
    ) -> None:
        """Send a request.

        Args:
            reactor: The reactor of the connection.
            address: Where to send it to.
            request: Method, target and body.
            on_done: Called with the response.
            limits: Limits of time and size.
        """
        self.request = request
        self.on_done = on_done
        self.limits = limits
        self.exchange = HttpExchange(f"{address[0]}:{address[1]}", limits.max_body_bytes)
        self._body: list[bytes] = []
        self._ended = False
        self._timer = Timer(reactor)
        connect(reactor, address, self, self._on_connect_failure, limits.connect_timeout_s)

    def _on_connect_failure(self) -> None:
        self._end(RequestResult.UNREACHABLE)

    def connectionMade(self) -> None:
        """Send the request."""
        if self._ended:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.exchange.request(*self.request))
        self._timer.start(self.limits.response_timeout_s, self._on_timeout)

    def _on_timeout(self) -> None:
        self._timer.start(GRACE_S, self._end, RequestResult.TIMED_OUT)

    def dataReceived(self, data: bytes) -> None:
        """Read a part of the response."""
        if self._ended:
            return
        try:
            self._body += self.exchange.receive(data)
        except MalformedResponseError:
            self._end(RequestResult.MALFORMED)
            return
        if self.exchange.complete:
            self._end(RequestResult.ANSWERED)

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """End the request, unless it has ended before."""
        if self._ended:
            return
        with suppress(MalformedResponseError):  # a response without a length ends with its connection
            self._body += self.exchange.receive(b"")
        self._end(RequestResult.ANSWERED if self.exchange.complete else RequestResult.DISCONNECTED)

    def _end(self, result: RequestResult) -> None:
        if self._ended:
            return
        self._ended = True
        self._timer.cancel()
        if self.transport is not None:
            self.transport.abortConnection()
        self.on_done(Response(result, self.exchange.status or 0, b"".join(self._body)))

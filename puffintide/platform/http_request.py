"""Sends an HTTP request on its own connection, with a timeout for every wait."""

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

# Time in seconds for which a timed-out request is still kept open. If this process was late, a response may
# have arrived without being read yet.
TIMEOUT_GRACE_S = 0.01


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Time and size limits of one request."""

    connect_timeout_s: float
    response_timeout_s: float  # Measured from when the connection is established.
    max_body_bytes: int


class HttpRequest(Protocol):
    """One request, sent when it is created; on_done is called exactly once, whatever the outcome."""

    transport: Any

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        request: tuple[str, str, bytes | None],
        on_done: Callable[[Response], None],
        limits: RequestLimits,
    ) -> None:
        """Connect and send the request.

        Args:
            reactor: The reactor that opens the connection.
            address: The address of the server.
            request: The method, the target and the body of the request.
            on_done: Callback that receives the outcome of the request.
            limits: The time and size limits of the request.
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
        """Send the request, or abort if the request has already ended."""
        if self._ended:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.exchange.request(*self.request))
        self._timer.start(self.limits.response_timeout_s, self._on_timeout)

    def _on_timeout(self) -> None:
        self._timer.start(TIMEOUT_GRACE_S, self._end, RequestResult.TIMED_OUT)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes, and end the request when the response is complete."""
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
        """End the request, unless it has already ended."""
        if self._ended:
            return
        with suppress(MalformedResponseError):  # A response without a length ends with its connection.
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

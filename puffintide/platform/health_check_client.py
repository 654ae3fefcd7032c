"""Checks the health of one server over a persistent connection. A failed check is not repeated here."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from puffintide.decisions.events import HealthCheckStatus
from puffintide.platform.config import Address
from puffintide.platform.errors import MalformedResponseError
from puffintide.platform.health_check_response import classify_response, parse_load_report
from puffintide.platform.http_exchange import HttpExchange
from puffintide.platform.reactor import Reactor, Timer, connect

# Timeout of a health check in seconds. A healthy server answers in tens of milliseconds; the director checks
# again after twice this time.
TIMEOUT_S = 0.4
# Time in seconds by which the connect timeout exceeds TIMEOUT_S; the timeout of a check drops the connection
# first.
CONNECT_GRACE_S = 1.0
MAX_BODY_BYTES = 16 * 1024

OnResult = Callable[[HealthCheckStatus, float, dict[str, float]], None]


class _Connection(Protocol):
    """A connection to the server, reused by consecutive checks."""

    transport: Any

    def __init__(self, client: HealthCheckClient) -> None:
        self.client = client
        self.established = False
        self._exchange = HttpExchange(f"{client.address[0]}:{client.address[1]}", MAX_BODY_BYTES)
        self._body: list[bytes] = []
        self._ended = False
        self._requests = 0
        self._response_started = False
        connect_timeout_s = TIMEOUT_S + CONNECT_GRACE_S
        connect(client.reactor, client.address, self, self._on_connect_failure, connect_timeout_s)

    def _on_connect_failure(self) -> None:
        self._end(HealthCheckStatus.UNREACHABLE)

    def request(self) -> None:
        """Send the request of a check."""
        self._body = []
        self._response_started = False
        self._requests += 1
        self.transport.write(self._exchange.request("GET", self.client.target))

    def connectionMade(self) -> None:
        """Send the first request, or abort if the connection is no longer needed."""
        if self._ended:
            self.transport.abortConnection()
            return
        self.established = True
        self.transport.setTcpNoDelay(True)
        self.request()

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes, and finish the check when the response is complete."""
        if self._ended:
            return
        if self._exchange.complete:
            # These bytes were not requested; a later response could not be distinguished from them.
            self.drop()
            return
        self._response_started = True
        try:
            self._body += self._exchange.receive(data)
        except MalformedResponseError:
            self.drop()
            self.client.finish(HealthCheckStatus.ERROR)
            return
        if self._exchange.complete:
            if not self._exchange.reusable:
                self.drop()
            self.client.on_response(self._exchange.status or 0, b"".join(self._body))

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Fail the check in flight, or reconnect if the peer closed the connection while it was idle.

        Do nothing if this side dropped the connection.
        """
        self._end(HealthCheckStatus.RESET)

    def drop(self) -> None:
        """Abort the connection."""
        self._ended = True
        if self.transport is not None:
            self.transport.abortConnection()
        self.client.on_connection_ended(self)

    def _end(self, status: HealthCheckStatus) -> None:
        if self._ended:
            return
        self._ended = True
        self.client.on_connection_ended(self)
        closed_while_idle = self._requests > 1 and not self._response_started
        if status is HealthCheckStatus.RESET and closed_while_idle:
            self.client.reconnect()
        else:
            self.client.finish(status)


class HealthCheckClient:
    """Client that checks one server, with at most one check in flight."""

    def __init__(self, reactor: Reactor, address: Address, target: str, on_result: OnResult) -> None:
        """Prepare a client.

        Args:
            reactor: The reactor that opens the connections.
            address: The address of the server.
            target: The request target of each check.
            on_result: Callback that receives the status, elapsed seconds and load values of each check.
        """
        self.reactor = reactor
        self.address = address
        self.target = target
        self._on_result = on_result
        self._connection: _Connection | None = None
        self._started_at_s: float | None = None  # None if no check is in flight.
        self._timeout = Timer(reactor)

    def check(self) -> None:
        """Start a check, unless one is in flight."""
        if self._started_at_s is not None:
            return
        self._started_at_s = self.reactor.seconds()
        self._timeout.start(TIMEOUT_S, self._on_timeout)
        if self._connection is None:
            self._connection = _Connection(self)
        else:
            self._connection.request()

    def stop(self) -> None:
        """Drop the check in flight and the connection."""
        self._timeout.cancel()
        self._started_at_s = None
        if self._connection is not None:
            self._connection.drop()

    def reconnect(self) -> None:
        """Continue the check, within its timeout, on a new connection after the idle one was closed."""
        if self._started_at_s is not None:
            self._connection = _Connection(self)

    def on_connection_ended(self, connection: _Connection) -> None:
        """Discard a connection that has ended."""
        if self._connection is connection:
            self._connection = None

    def on_response(self, http_status: int, body: bytes) -> None:
        """Classify a response and finish the check with its outcome."""
        status = classify_response(http_status, self._elapsed_s(), TIMEOUT_S)
        load_values = None
        if status is HealthCheckStatus.OK:
            load_values = parse_load_report(body.decode("ascii", "replace"))
        self.finish(status, load_values)

    def finish(self, status: HealthCheckStatus, load_values: dict[str, float] | None = None) -> None:
        """Report the outcome of the check in flight, if there is one."""
        if self._started_at_s is None:
            return
        elapsed_s = self._elapsed_s()
        self._started_at_s = None
        self._timeout.cancel()
        self._on_result(status, elapsed_s, load_values or {})

    def _elapsed_s(self) -> float:
        return 0.0 if self._started_at_s is None else float(self.reactor.seconds() - self._started_at_s)

    def _on_timeout(self) -> None:
        connection = self._connection
        established = connection is not None and connection.established
        if connection is not None:
            connection.drop()
        self.finish(HealthCheckStatus.TIMEOUT if established else HealthCheckStatus.UNREACHABLE)

"""Health checks of servers over sockets, which the decision module requests."""

from __future__ import annotations

from collections.abc import Callable, Container
from dataclasses import dataclass

from puffintide.decisions.events import HealthCheckResult, HealthCheckStatus
from puffintide.protocol import messages as m
from puffintide.protocol.client import StreamClient
from puffintide.protocol.clock import ConnectingReactor, Timer
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import Stream
from puffintide.tls.context import TlsContextFactory

# Heartbeat interval of a stream to a server, in seconds. Between checks the stream only has to stay open.
HEARTBEAT_INTERVAL_S = 30.0
HEARTBEAT_TIMEOUT_S = 60.0  # Time without a message after which a stream to a server is closed, in seconds.


@dataclass(frozen=True, slots=True)
class _PendingCheck:
    """A health check that is in progress."""

    check_id: int
    started_at_s: float


@dataclass(frozen=True, slots=True)
class HealthCheckOptions:
    """Options of the health checks.

    Attributes:
        greeting_factory: Returns the Hello of a new connection.
        timeout_s: Time after which a check has failed, in seconds.
        tls: The factory of TLS contexts; None for plain TCP.
    """

    greeting_factory: Callable[[], m.Hello]
    timeout_s: float
    tls: TlsContextFactory | None


class HealthChecker:
    """Checks one server over a persistent stream, with one check in progress at a time."""

    def __init__(
        self,
        reactor: ConnectingReactor,
        address: str,
        options: HealthCheckOptions,
        on_result: Callable[[int, float, tuple[float, ...]], None],
    ) -> None:
        """Connect to a server.

        Args:
            reactor: The reactor that opens connections and runs timers.
            address: The address of the server, as HOST:PORT.
            options: The options of the checks.
            on_result: Called with the status, the duration in seconds and the load values of each check.
        """
        self.reactor = reactor
        self.address = address
        self.options = options
        self.on_result = on_result
        self._stream: Stream | None = None
        self._pending: _PendingCheck | None = None
        self._last_check_id = 0
        self._timeout: Timer | None = None
        self._client = self._connect()

    def check(self, now: float) -> None:
        """Start a check, unless one is already in progress."""
        if self._pending is not None:
            return
        self._last_check_id += 1
        self._pending = _PendingCheck(self._last_check_id, now)
        self._timeout = self.reactor.callLater(self.options.timeout_s, self._on_timeout)
        if self._stream is not None:
            self._stream.send(m.HealthCheckRequest(self._last_check_id))
        elif self._last_check_id > 1:
            self._client.stop()
            self._client = self._connect()

    def stop(self) -> None:
        """Close the stream."""
        self._client.stop()

    def _connect(self) -> StreamClient:
        return StreamClient(
            self.reactor,
            self.address,
            self.options.greeting_factory,
            self._on_message,
            self._on_connection_lost,
            reconnect=False,
            connect_timeout_s=self.options.timeout_s,
            heartbeat_timeout_s=HEARTBEAT_TIMEOUT_S,
            heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
            tls=self.options.tls,
        ).start()

    def _on_message(self, stream: Stream, message: AnyMessage) -> None:
        match message:
            case m.Welcome():
                self._stream = stream
                if self._pending is not None:
                    stream.send(m.HealthCheckRequest(self._pending.check_id))
            case m.HealthCheckResponse(check_id=check_id, status=status, load_values=load_values):
                if self._pending is not None and check_id == self._pending.check_id:
                    self._finish(status, tuple(load_values))

    def _on_connection_lost(self, _reason: str) -> None:
        was_connected = self._stream is not None
        self._stream = None
        if self._pending is not None:
            self._finish(m.AttemptStatus.RESET if was_connected else m.AttemptStatus.UNREACHABLE, ())

    def _on_timeout(self) -> None:
        self._timeout = None
        self._finish(m.AttemptStatus.TIMEOUT, ())

    def _finish(self, status: int, load_values: tuple[float, ...]) -> None:
        """End the check in progress, if there is one, and report its result."""
        if self._pending is None:
            return
        elapsed_s = self.reactor.seconds() - self._pending.started_at_s
        self._pending = None
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
        if status == m.AttemptStatus.TIMEOUT and self._stream is None:
            status = m.AttemptStatus.UNREACHABLE
        self.on_result(status, elapsed_s, load_values)


class HealthCheckers:
    """The health checkers of all servers.

    Attributes:
        by_server: The health checkers of the listed servers that were checked, by server id.
    """

    def __init__(
        self,
        reactor: ConnectingReactor,
        options: HealthCheckOptions,
        on_result: Callable[[HealthCheckResult], None],
    ) -> None:
        self.reactor = reactor
        self.options = options
        self.on_result = on_result
        self.by_server: dict[int, HealthChecker] = {}

    def check(self, now: float, server_id: int, address: str) -> None:
        """Start a check of a server at an address of the form HOST:PORT; do nothing if it is empty."""
        if not address:
            return
        checker = self.by_server.get(server_id)
        if checker is None or checker.address != address:
            if checker is not None:
                checker.stop()
            checker = self._create_checker(server_id, address)
            self.by_server[server_id] = checker
        checker.check(now)

    def retain(self, server_ids: Container[int]) -> None:
        """Stop and remove the checkers of all servers that are not in server_ids."""
        for server_id in sorted(self.by_server):
            if server_id not in server_ids:
                self.by_server.pop(server_id).stop()

    def _create_checker(self, server_id: int, address: str) -> HealthChecker:
        def on_result(status: int, elapsed_s: float, load_values: tuple[float, ...]) -> None:
            """Add the server id to a result and forward it."""
            self.on_result(HealthCheckResult(server_id, HealthCheckStatus(status), elapsed_s, load_values))

        return HealthChecker(self.reactor, address, self.options, on_result)

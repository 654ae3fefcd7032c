"""Listens at the assigner's address for load report collectors and pings, and rejects other connections."""

from __future__ import annotations

from collections.abc import Callable, Container
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from puffintide.platform.client_messages import (
    PONG,
    REJECTED,
    ClientMessage,
    CollectorHello,
    Ping,
    ServerReport,
    SliceReport,
    decode_client_message,
)
from puffintide.platform.errors import InvalidMessageError, MalformedMessageError
from puffintide.platform.log import Log
from puffintide.platform.message_decoding import quoted
from puffintide.platform.reactor import Reactor
from puffintide.protocol.incomplete_lines import IncompleteLines
from puffintide.protocol.line_receiver import LineReceiver

MAX_LINE_BYTES = 1 << 20
MAX_UNIDENTIFIED_LINE_BYTES = 4096
MAX_INCOMPLETE_BYTES = 8 << 20  # Incomplete lines of all connections together; the process has little memory.
# Time in seconds after which a connection that is not identified as a collector is closed. The platform
# grants 1 s to identify, and requires that others are closed after 3 s at most.
IDENTIFY_TIMEOUT_S = 1.5
SWEEP_PERIOD_S = 0.25  # Period of the check for expired connections, in seconds.
CLOSE_TIMEOUT_S = 0.5  # Time in seconds after which a closing connection is aborted.
MAX_COLLECTORS = 32  # Beyond this number, the collector that was silent for the longest time is closed.
# Silence in seconds after which a collector counts as inactive. If there are too many collectors and none is
# inactive, the newest one is closed.
INACTIVE_COLLECTOR_S = 3.0
# Maximum number of connections accepted in one reactor turn, set again at each connection. Under a flood,
# Twisted raises this limit further and further, while the connections that are aborted to make room stay open
# until the next turn.
MAX_ACCEPTS_PER_TURN = 20
MAX_LOGGED_REASON_LENGTH = 200


@dataclass(slots=True)
class ListenerCounters:
    """Numbers of connections and messages since the start."""

    accepted: int = 0
    rejected: int = 0
    invalid_messages: int = 0
    reports: int = 0
    closed: int = 0


class ClientConnection(LineReceiver):
    """One accepted connection."""

    def __init__(self, listener: Listener) -> None:
        super().__init__(listener.reactor, MAX_UNIDENTIFIED_LINE_BYTES, listener.incomplete_lines)
        self.listener = listener
        self.accepted_at_s = listener.reactor.seconds()
        self.active_at_s = self.accepted_at_s
        self.closing_since_s: float | None = None
        self.zone: str | None = None  # Zone of a collector; None for other connections.
        self.unanswered_pings = 0  # Pings received before this assigner serves.

    @property
    def is_collector(self) -> bool:
        """Return whether the connection has identified itself as a collector."""
        return self.zone is not None

    def connectionMade(self) -> None:
        """Register the connection, and as a producer, which Twisted pauses when the peer does not read."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.listener.on_connected(self)

    def pauseProducing(self) -> None:
        """Abort the connection, as the peer does not read."""
        self.transport.abortConnection()

    def resumeProducing(self) -> None:
        """Do nothing, as a paused connection has been aborted."""

    def stopProducing(self) -> None:
        """Do nothing, as the connection has ended."""

    def dataReceived(self, data: bytes) -> None:
        """Record the activity, and handle the lines that are complete."""
        self.active_at_s = self.listener.reactor.seconds()
        super().dataReceived(data)

    def handle_line(self, line: bytes) -> None:
        """Handle a line, unless it is empty."""
        if line.strip():
            self._on_line(line)

    def handle_line_too_long(self, reason: str) -> None:
        """Reject the connection."""
        self.reject(reason)

    def _on_line(self, line: bytes) -> None:
        try:
            message = decode_client_message(line)
        except InvalidMessageError as error:
            if self.is_collector:
                self.listener.on_invalid_message(str(error))
            else:
                self.reject(str(error))
        except MalformedMessageError as error:
            self.reject(str(error))
        else:
            self._on_message(message)

    def _on_message(self, message: ClientMessage) -> None:
        match message:
            case Ping():
                self.unanswered_pings += 1
                if self.listener.serving:
                    self.answer_pings()
            case CollectorHello():
                self._identify(message.zone)
            case ServerReport() | SliceReport():
                if self.is_collector:
                    self.listener.on_report(message)
                else:
                    self.reject(f"received {type(message).__name__} before CollectorHello")

    def _identify(self, zone: str) -> None:
        if zone not in self.listener.zones:
            self.reject(f"cannot register collector: zone {quoted(zone)} is not in the settings")
        elif not self.is_collector:
            self.zone = zone
            self.lines.max_line_bytes = MAX_LINE_BYTES
            self.listener.on_identified(self)

    def answer_pings(self) -> None:
        """Answer all unanswered pings."""
        self.transport.write(PONG * self.unanswered_pings)
        self.unanswered_pings = 0

    def reject(self, reason: str) -> None:
        """Log the reason and close the connection; collectors are not sent a rejection."""
        if self.closing_since_s is None:
            self.listener.on_rejected(reason)
            self.close(b"" if self.is_collector else REJECTED)

    def close(self, last_line: bytes = b"") -> None:
        """Close the connection after the last line, if there is one, has been sent."""
        self.closing_since_s = self.listener.reactor.seconds()
        self.discard_lines()
        if last_line:
            self.transport.write(last_line)
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Unregister the connection."""
        self.discard_lines()
        self.listener.on_disconnected(self)


class Listener(Factory):
    """Accepts connections, and limits how many are open."""

    noisy = False

    def __init__(
        self,
        reactor: Reactor,
        zones: Container[str],
        on_report: Callable[[ServerReport | SliceReport], None],
        log: Log,
        max_unidentified: int,
    ) -> None:
        """Prepare the listener.

        Args:
            reactor: The reactor whose clock the timeouts use.
            zones: The names of the zones in the settings.
            on_report: Callback that receives each report of a collector.
            log: The log of the assigner.
            max_unidentified: The maximum number of connections that are not collectors; beyond it, the oldest
                is closed.
        """
        self.reactor = reactor
        self.zones = zones
        self.log = log
        self.max_unidentified = max_unidentified
        self.incomplete_lines = IncompleteLines(MAX_INCOMPLETE_BYTES)
        self.serving = False
        self.port: Any = None
        self.unidentified: dict[ClientConnection, None] = {}  # Ordered by age, oldest first.
        self.collectors: dict[ClientConnection, None] = {}
        self.counters = ListenerCounters()
        self._on_report = on_report

    def buildProtocol(self, _address: Any) -> ClientConnection:
        """Return the protocol of a new connection."""
        return ClientConnection(self)

    def start(self, port: Any) -> None:
        """Start enforcing the timeouts of the connections accepted at a port."""
        self.port = port
        self._sweep()

    def serve(self) -> None:
        """Answer the pings received so far and all later ones."""
        self.serving = True
        for connection in self._connections():
            if connection.unanswered_pings:
                connection.answer_pings()

    def stop(self) -> None:
        """Abort all connections, and stop answering pings."""
        self.serving = False
        for connection in self._connections():
            connection.transport.abortConnection()

    def _connections(self) -> list[ClientConnection]:
        return [*self.unidentified, *self.collectors]

    def on_connected(self, connection: ClientConnection) -> None:
        """Register a connection, and close the oldest unidentified one if there are too many."""
        self.counters.accepted += 1
        self.port.numberAccepts = MAX_ACCEPTS_PER_TURN
        self.unidentified[connection] = None
        if len(self.unidentified) > self.max_unidentified:
            self.counters.closed += 1
            oldest = next(iter(self.unidentified))
            # The aborted connection ends one reactor turn later. It is removed at once, so that the next
            # connection closes another one.
            del self.unidentified[oldest]
            oldest.transport.abortConnection()

    def on_identified(self, connection: ClientConnection) -> None:
        """Register a collector, and close another if there are too many."""
        self.unidentified.pop(connection, None)
        self.collectors[connection] = None
        self.log("collector_connected", zone=connection.zone)
        if len(self.collectors) > MAX_COLLECTORS:
            least_active = min(self.collectors, key=lambda collector: collector.active_at_s)
            is_inactive = self.reactor.seconds() - least_active.active_at_s > INACTIVE_COLLECTOR_S
            (least_active if is_inactive else connection).transport.abortConnection()

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Unregister a connection."""
        self.unidentified.pop(connection, None)
        self.collectors.pop(connection, None)
        if connection.is_collector:
            self.log("collector_disconnected", zone=connection.zone)

    def on_report(self, report: ServerReport | SliceReport) -> None:
        """Count a report and pass it on."""
        self.counters.reports += 1
        self._on_report(report)

    def on_invalid_message(self, reason: str) -> None:
        """Count and log an invalid message, which is ignored."""
        self.counters.invalid_messages += 1
        self.log("message_rejected", reason=reason[:MAX_LOGGED_REASON_LENGTH])

    def on_rejected(self, reason: str) -> None:
        """Count and log a connection that is rejected."""
        self.counters.rejected += 1
        self.log("connection_rejected", reason=reason[:MAX_LOGGED_REASON_LENGTH])

    def _sweep(self) -> None:
        now_s = self.reactor.seconds()
        self.reactor.callLater(SWEEP_PERIOD_S, self._sweep)
        for connection in self._connections():
            if connection.closing_since_s is not None:
                if now_s - connection.closing_since_s > CLOSE_TIMEOUT_S:
                    connection.transport.abortConnection()
            elif not connection.is_collector and now_s - connection.accepted_at_s > IDENTIFY_TIMEOUT_S:
                self.counters.closed += 1
                connection.close()

"""A client that maintains a stream to one address and reconnects with backoff."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from puffintide.protocol.clock import ConnectingReactor, Timer
from puffintide.protocol.messages import AnyMessage, ConnectionRejected
from puffintide.protocol.session import Greeting, Session
from puffintide.protocol.stream import HEARTBEAT_INTERVAL_S, HEARTBEAT_TIMEOUT_S, MessageHandler, Stream
from puffintide.tls.context import TlsContextFactory

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
CONNECT_TIMEOUT_S = 2.0
MAX_BACKOFF_DOUBLINGS = 8


class _StreamClientFactory(ClientFactory):
    """Twisted factory that creates the Stream of each connection of a StreamClient."""

    noisy = False

    def __init__(self, client: StreamClient) -> None:
        self.client = client

    def buildProtocol(self, _addr: IAddress | None) -> Stream:
        client = self.client
        session = Session(client.greeting_factory(), client.heartbeat_interval_s, client.heartbeat_timeout_s)
        return Stream(client.reactor, session, client.on_message, client.handle_stream_lost)

    def clientConnectionFailed(self, _connector: Any, reason: Failure) -> None:
        self.client.handle_connection_failed(reason.getErrorMessage())


class StreamClient:
    """Maintains a stream to one address and reconnects when it is lost.

    The delay between attempts doubles up to a limit and is randomized by jitter.

    Args:
        reactor: Reactor that opens connections and schedules timers.
        address: Address of the peer, as HOST:PORT.
        greeting_factory: Returns this end's Hello. Called once for each connection.
        on_message: Handler of messages, as in Stream.
        on_lost: Called with the reason after each lost stream and each failed connection attempt.
        jitter: Returns a number from 0 to 1 for each backoff, which scales the backoff by 0.5 to 1.5.
        backoff_s: Minimum and maximum backoff in seconds.
        reconnect: Whether to reconnect after a failure or a lost stream.
        heartbeat_interval_s: Interval of heartbeats in seconds, as in Session.
        heartbeat_timeout_s: Timeout of heartbeats in seconds, as in Session.
        connect_timeout_s: Time in seconds after which a connection attempt fails.
        tls: TLS configuration; None for plain TCP.
    """

    def __init__(
        self,
        reactor: ConnectingReactor,
        address: str,
        greeting_factory: Callable[[], Greeting],
        on_message: MessageHandler,
        on_lost: Callable[[str], None] | None = None,
        jitter: Callable[[], float] = lambda: 0.5,
        backoff_s: tuple[float, float] = (MIN_BACKOFF_S, MAX_BACKOFF_S),
        reconnect: bool = True,
        heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S,
        heartbeat_timeout_s: float = HEARTBEAT_TIMEOUT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        tls: TlsContextFactory | None = None,
    ) -> None:
        self.reactor = reactor
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.greeting_factory = greeting_factory
        self.on_message = on_message
        self.on_lost = on_lost
        self.jitter = jitter
        self.min_backoff_s, self.max_backoff_s = backoff_s
        self.reconnect = reconnect
        self.heartbeat_interval_s = heartbeat_interval_s
        self.heartbeat_timeout_s = heartbeat_timeout_s
        self.connect_timeout_s = connect_timeout_s
        self.tls = tls
        self.consecutive_failures = 0
        self.stopped = False
        self._reconnect_timer: Timer | None = None
        self._connector: Any = None

    def start(self) -> StreamClient:
        """Start connecting unless the client is stopped.

        Returns:
            The client itself.
        """
        self._reconnect_timer = None
        if self.stopped:
            return self
        factory = _StreamClientFactory(self)
        if self.tls is None:
            self._connector = self.reactor.connectTCP(self.host, self.port, factory, self.connect_timeout_s)
        else:
            self._connector = self.reactor.connectSSL(
                self.host, self.port, factory, self.tls, self.connect_timeout_s
            )
        return self

    def handle_stream_lost(self, stream: Stream, reason: AnyMessage) -> None:
        """Handle a closed stream; a completed handshake resets the backoff."""
        if stream.established:
            self.consecutive_failures = 0
        self.handle_connection_failed(reason.reason if isinstance(reason, ConnectionRejected) else "")

    def handle_connection_failed(self, reason: str) -> None:
        """Report a lost or failed connection and schedule the next attempt."""
        self.consecutive_failures += 1
        if self.on_lost is not None:
            self.on_lost(reason)
        if self.reconnect and not self.stopped:
            delay_s = self._next_backoff_s() * (0.5 + self.jitter())
            self._reconnect_timer = self.reactor.callLater(delay_s, self.start)

    def _next_backoff_s(self) -> float:
        doublings = min(self.consecutive_failures - 1, MAX_BACKOFF_DOUBLINGS)
        factor: int = 2**doublings
        return min(self.max_backoff_s, self.min_backoff_s * factor)

    def stop(self) -> None:
        """Close the stream and stop reconnecting."""
        self.stopped = True
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
            self._reconnect_timer = None
        if self._connector is not None:
            self._connector.disconnect()

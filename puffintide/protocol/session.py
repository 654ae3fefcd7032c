"""One end of a stream without I/O: handshake, heartbeats and message order. The caller passes the time."""

from __future__ import annotations

from collections.abc import Callable

from puffintide.protocol.codec import decode
from puffintide.protocol.errors import HandshakeError, HeartbeatTimeoutError, PeerRejectedError
from puffintide.protocol.messages import (
    PROTOCOL_VERSION,
    AnyMessage,
    ConnectionRejected,
    Hello,
    Message,
    Ping,
    Pong,
    Welcome,
)

Greeting = Hello | Welcome
# Returns the reason for rejecting the peer, or None to accept it.
PeerCheck = Callable[[Greeting], str | None]


def accept_any_peer(_: Greeting) -> str | None:
    """Accept every peer; used as the default PeerCheck."""
    return None


class Session:
    """Protocol state of one end of a stream.

    The session performs the handshake, then passes messages to its owner and exchanges heartbeats. A protocol
    violation by the peer raises a ProtocolError: the owner sends its text in a ConnectionRejected and closes
    the stream. The owner calls `due_heartbeats` periodically, which also detects half-open streams.

    Args:
        greeting: First message of this end: a Hello if it opened the connection, a Welcome if it accepted it.
        heartbeat_interval_s: Time in seconds without a message from the peer after which a Ping is sent.
        heartbeat_timeout_s: Time in seconds without a message after which the peer is considered lost.
        check_peer: Returns the reason for rejecting the peer's greeting, or None to accept it.
    """

    def __init__(
        self,
        greeting: Greeting,
        heartbeat_interval_s: float,
        heartbeat_timeout_s: float,
        check_peer: PeerCheck = accept_any_peer,
    ) -> None:
        self.greeting = greeting
        self.heartbeat_interval_s = heartbeat_interval_s
        self.heartbeat_timeout_s = heartbeat_timeout_s
        self.check_peer = check_peer
        self.peer_greeting: Greeting | None = None  # None until the handshake completes.
        self.last_received_s = 0.0
        self.last_ping_s = 0.0

    def handle_connected(self, now_s: float) -> list[Message]:
        """Record that the transport is connected and return the messages to send."""
        self.last_received_s = now_s
        self.last_ping_s = now_s
        return [self.greeting] if isinstance(self.greeting, Hello) else []

    def receive_line(self, now_s: float, line: bytes) -> tuple[list[AnyMessage], list[Message]]:
        """Process a line from the peer.

        Returns:
            The messages for the owner and the messages to send back.

        Raises:
            ProtocolError: The line cannot be decoded, is out of order, or is a rejection.
        """
        self.last_received_s = now_s
        message = decode(line)
        if self.peer_greeting is None:
            return self._complete_handshake(message)
        match message:
            case Ping():
                return [], [Pong()]
            case Pong():
                return [], []
            case ConnectionRejected(reason=reason):
                peer = self.peer_greeting
                raise PeerRejectedError(f"connection rejected by {peer.role} {peer.id}: {reason}")
            case Hello() | Welcome():
                raise HandshakeError(f"unexpected {type(message).__name__} after the handshake")
        return [message], []

    def _complete_handshake(self, message: AnyMessage) -> tuple[list[AnyMessage], list[Message]]:
        if isinstance(message, ConnectionRejected):
            raise PeerRejectedError(f"connection rejected during the handshake: {message.reason}")
        expected: type[Greeting] = Welcome if isinstance(self.greeting, Hello) else Hello
        if not isinstance(message, expected):
            found = type(message).__name__
            raise HandshakeError(f"first message must be a {expected.__name__}, not a {found}")
        if message.version != PROTOCOL_VERSION:
            raise HandshakeError(
                f"protocol version {message.version} is not supported, only {PROTOCOL_VERSION}"
            )
        reason = self.check_peer(message)
        if reason is not None:
            raise HandshakeError(reason)
        self.peer_greeting = message
        return [message], [self.greeting] if isinstance(self.greeting, Welcome) else []

    def lost_at_s(self, now_s: float) -> float:
        """Return when the peer was lost, given that the loss is noticed now.

        A process that was paused notices it later than the heartbeat timeout.
        """
        return min(now_s, self.last_received_s + self.heartbeat_timeout_s)

    def due_heartbeats(self, now_s: float) -> list[Message]:
        """Return the heartbeats to send now.

        Raises:
            HeartbeatTimeoutError: Nothing was received from the peer for heartbeat_timeout_s.
        """
        silence_s = now_s - self.last_received_s
        if silence_s > self.heartbeat_timeout_s:
            raise HeartbeatTimeoutError(f"heartbeat timeout: peer silent for {silence_s:.1f} s")
        last_activity_s = max(self.last_received_s, self.last_ping_s)
        if self.peer_greeting is not None and now_s - last_activity_s >= self.heartbeat_interval_s:
            self.last_ping_s = now_s
            return [Ping()]
        return []

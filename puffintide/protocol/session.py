"""One end of a stream without I/O: handshake, heartbeats and the order of messages. Time is passed in."""

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
PeerCheck = Callable[[Greeting], str | None]  # returns the reason for which a peer is rejected, if any


def accept_any_peer(_: Greeting) -> str | None:
    """A PeerCheck that rejects nobody."""
    return None


class Session:
    """Sends a Hello, or answers one with a Welcome; then passes messages on and exchanges heartbeats.

    A peer that breaks the protocol raises a ProtocolError: the owner sends a ConnectionRejected with its text, and
    closes the stream. `due_heartbeats` is to be called from time to time; it is how a half-open stream is noticed.

    Args:
        greeting: First message of this end: a Hello if it connected, a Welcome if it was connected to.
        heartbeat_interval_s: Silence after which a Ping is sent.
        heartbeat_timeout_s: Silence after which the peer is regarded as gone.
        check_peer: Decides whether the peer's greeting is accepted.
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
        self.peer_greeting: Greeting | None = None  # None until the handshake is complete
        self.last_received_s = 0.0
        self.last_ping_s = 0.0

    def connected(self, now_s: float) -> list[Message]:
        """The transport is connected; returns the messages to send."""
        self.last_received_s = now_s
        self.last_ping_s = now_s
        return [self.greeting] if isinstance(self.greeting, Hello) else []

    def received(self, now_s: float, line: bytes) -> tuple[list[AnyMessage], list[Message]]:
        """Takes a line from the peer.

        Returns:
            The messages for the owner, and the messages to send back.

        Raises:
            ProtocolError: The line can't be decoded, comes out of order, or is a rejection.
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
                raise PeerRejectedError(f"refused by {peer.role} {peer.id}: {reason}")
            case Hello() | Welcome():
                raise HandshakeError("greeted twice")
        return [message], []

    def _complete_handshake(self, message: AnyMessage) -> tuple[list[AnyMessage], list[Message]]:
        if isinstance(message, ConnectionRejected):
            raise PeerRejectedError(f"refused: {message.reason}")
        expected: type[Greeting] = Welcome if isinstance(self.greeting, Hello) else Hello
        if not isinstance(message, expected):
            found = type(message).__name__
            raise HandshakeError(f"first line must be a {expected.__name__}, not a {found}")
        if message.version != PROTOCOL_VERSION:
            raise HandshakeError(f"version {message.version} is not spoken here, only {PROTOCOL_VERSION}")
        reason = self.check_peer(message)
        if reason is not None:
            raise HandshakeError(reason)
        self.peer_greeting = message
        return [message], [self.greeting] if isinstance(self.greeting, Welcome) else []

    def due_heartbeats(self, now_s: float) -> list[Message]:
        """Returns the heartbeats to send now.

        Raises:
            HeartbeatTimeoutError: The peer has been silent for heartbeat_timeout_s.
        """
        unresponsive_s = now_s - self.last_received_s
        if unresponsive_s > self.heartbeat_timeout_s:
            raise HeartbeatTimeoutError(f"peer silent for {unresponsive_s:.1f} s")
        last_activity_s = max(self.last_received_s, self.last_ping_s)
        if self.peer_greeting is not None and now_s - last_activity_s >= self.heartbeat_interval_s:
            self.last_ping_s = now_s
            return [Ping()]
        return []

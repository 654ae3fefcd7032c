"""One end of a stream without I/O: greeting, heartbeat and order of messages. Time is passed in."""

from __future__ import annotations

from collections.abc import Callable

from puffintide.protocol.codec import WireError, decode
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
Judge = Callable[[Greeting], str | None]  # the reason for which a peer is refused, if any


def any_peer(_: Greeting) -> str | None:
    return None


class Session:
    """Dials with a Hello or answers one with a Welcome; then passes messages on.

    received() gives (messages for the owner, messages to send back). A peer that breaks the protocol raises
    WireError: send Refuse with its text and close. due() is called now and then: it sends pings and tells when a
    peer has been silent for too long, which is how a half-open stream is noticed.
    """

    def __init__(self, me: Greeting, ping_s: float, dead_s: float, judge: Judge = any_peer) -> None:
        self.me = me
        self.ping_s = ping_s
        self.dead_s = dead_s
        self.judge = judge
        self.peer: Greeting | None = None
        self.heard = 0.0
        self.pinged = 0.0

    def opened(self, now: float) -> list[Message]:
        self.heard = self.pinged = now
        return [self.me] if isinstance(self.me, Hello) else []

    def received(self, now: float, line: bytes) -> tuple[list[AnyMessage], list[Message]]:
        self.heard = now
        message = decode(line)
        if self.peer is None:
            return self._greeted(message)
        match message:
            case Ping():
                return [], [Pong()]
            case Pong():
                return [], []
            case ConnectionRejected(reason=reason):
                raise WireError(f"refused by {self.peer.role} {self.peer.id}: {reason}")
            case Hello() | Welcome():
                raise WireError("greeted twice")
        return [message], []

    def _greeted(self, message: AnyMessage) -> tuple[list[AnyMessage], list[Message]]:
        if isinstance(message, ConnectionRejected):
            raise WireError(f"refused: {message.reason}")
        wanted: type[Greeting] = Welcome if isinstance(self.me, Hello) else Hello
        if not isinstance(message, wanted):
            raise WireError(f"first line must be a {wanted.__name__}, not a {type(message).__name__}")
        if message.version != PROTOCOL_VERSION:
            raise WireError(f"version {message.version} is not spoken here, only {PROTOCOL_VERSION}")
        reason = self.judge(message)
        if reason is not None:
            raise WireError(reason)
        self.peer = message
        return [message], [self.me] if isinstance(self.me, Welcome) else []

    def due(self, now: float) -> list[Message]:
        """Pings that are due. Raises WireError when the peer has been silent for dead_s."""
        if now - self.heard > self.dead_s:
            raise WireError(f"peer silent for {now - self.heard:.1f} s")
        if self.peer is not None and now - max(self.heard, self.pinged) >= self.ping_s:
            self.pinged = now
            return [Ping()]
        return []

"""The factory for streams accepted by a listening port."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from puffintide.protocol.clock import Clock
from puffintide.protocol.incomplete_lines import IncompleteLines
from puffintide.protocol.session import Greeting, PeerCheck, Session, accept_any_peer
from puffintide.protocol.stream import HEARTBEAT_INTERVAL_S, HEARTBEAT_TIMEOUT_S, MessageHandler, Stream


class StreamServerFactory(Factory):
    """Twisted factory that creates a Stream for each peer that connects to a listening port.

    Args:
        clock: Clock that schedules heartbeats.
        greeting_factory: Returns this end's Welcome. Called once for each connection.
        on_message: Handler of messages, as in Stream.
        on_lost: Handler of closed streams, as in Stream.
        check_peer: Returns the reason for rejecting the peer's Hello, or None to accept it.
        heartbeat_interval_s: Interval of heartbeats in seconds, as in Session.
        heartbeat_timeout_s: Timeout of heartbeats in seconds, as in Session.
    """

    noisy = False

    def __init__(
        self,
        clock: Clock,
        greeting_factory: Callable[[], Greeting],
        on_message: MessageHandler,
        on_lost: MessageHandler | None = None,
        check_peer: PeerCheck = accept_any_peer,
        heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S,
        heartbeat_timeout_s: float = HEARTBEAT_TIMEOUT_S,
    ) -> None:
        self.clock = clock
        self.greeting_factory = greeting_factory
        self.on_message = on_message
        self.on_lost = on_lost
        self.check_peer = check_peer
        self.heartbeat_interval_s = heartbeat_interval_s
        self.heartbeat_timeout_s = heartbeat_timeout_s
        self._incomplete_lines = IncompleteLines()

    def buildProtocol(self, _addr: IAddress | None) -> Stream:
        """Create the stream of one connection."""
        session = Session(
            self.greeting_factory(), self.heartbeat_interval_s, self.heartbeat_timeout_s, self.check_peer
        )
        return Stream(self.clock, session, self.on_message, self.on_lost, self._incomplete_lines)

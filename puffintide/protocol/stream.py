"""The session on a Twisted transport, and the factory of those that a listening port accepts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from puffintide.protocol.clock import Clock, Timer
from puffintide.protocol.codec import MAX_LINE_BYTES, encode
from puffintide.protocol.errors import PeerRejectedError, ProtocolError
from puffintide.protocol.messages import AnyMessage, ConnectionRejected, Hello, Message, PeerRole, Welcome
from puffintide.protocol.session import Greeting, PeerCheck, Session, accept_any_peer
from puffintide.tls.context import peer_dns_names
from puffintide.tls.keys import certificate_name

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 2.0
MAX_REASON_LENGTH = 500  # characters of a rejection's reason that are sent

MessageHandler = Callable[["Stream", AnyMessage], None]


class PeerIdentity(NamedTuple):
    """Who is at the other end of a stream; its number is unique within the role."""

    role: str
    id: int


UNIDENTIFIED_PEER = PeerIdentity("", -1)


def close_gracefully(transport: Any) -> None:
    """Closes a transport once all is written.

    The producer goes first, as a TLS transport would otherwise wait for its end.
    """
    transport.unregisterProducer()
    transport.loseConnection()


class Stream(LineOnlyReceiver):
    """A connection to a peer: lines in, messages out.

    Args:
        clock: For heartbeats.
        session: The protocol's state of this connection.
        on_message: Called with the stream and each message, the peer's greeting first.
        on_lost: Called once with the stream and a ConnectionRejected that has the reason.
    """

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES
    transport: Any

    def __init__(
        self, clock: Clock, session: Session, on_message: MessageHandler, on_lost: MessageHandler | None
    ) -> None:
        self.clock = clock
        self.session = session
        self.on_message = on_message
        self.on_lost = on_lost
        self.writable = True  # False while the peer reads more slowly than this end writes
        self.established = False  # the handshake is complete
        self.closed = False
        self.close_reason = ""  # why this end closed it; empty if it did not
        self.peer = UNIDENTIFIED_PEER  # set by the owner
        self.on_writable: Callable[[], None] | None = None  # called when the stream is writable again
        self._heartbeat_timer: Timer | None = None

    def connectionMade(self) -> None:
        """The transport is connected."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._send_all(self.session.connected(self.clock.seconds()))
        self._schedule_heartbeat()

    def lineReceived(self, line: bytes) -> None:
        """Passes the message of a line on, or rejects the peer."""
        if self.closed:
            return
        try:
            messages, replies = self.session.received(self.clock.seconds(), line)
        except PeerRejectedError as error:
            self._close(str(error))
            return
        except ProtocolError as error:
            self.reject(str(error))
            return
        mismatch = None if self.established else self._certificate_mismatch(messages)
        if mismatch is not None:
            self.reject(mismatch)
            return
        self._send_all(replies)
        for message in messages:
            self.established = True
            self.on_message(self, message)

    def _certificate_mismatch(self, messages: list[AnyMessage]) -> str | None:
        """On TLS a peer is whom its certificate names; clients need any certificate of the same authority."""
        certificate_names = peer_dns_names(self.transport)
        if certificate_names is None or not messages:
            return None
        greeting = messages[0]
        if not isinstance(greeting, Hello | Welcome) or greeting.role == PeerRole.CLIENT:
            return None
        own = self.session.greeting
        deployment = own.deployment if isinstance(own, Hello) else getattr(greeting, "deployment", "")
        name = certificate_name(greeting.role, greeting.id, deployment)
        if name in certificate_names:
            return None
        return f"its certificate is for {', '.join(sorted(certificate_names)) or 'nobody'}, not {name}"

    def lineLengthExceeded(self, _line: bytes) -> None:
        """Rejects a peer whose line is too long."""
        self.reject(f"line over the limit of {MAX_LINE_BYTES} bytes")

    def send(self, message: Message) -> None:
        """Encodes and sends a message; does nothing once the stream is closed."""
        self.send_line(encode(message))

    def send_line(self, line: bytes) -> None:
        """Sends a message that is already encoded, for those that go to many peers."""
        if not self.closed:
            self.transport.write(line + b"\n")

    def _send_all(self, messages: list[Message]) -> None:
        for message in messages:
            self.send(message)

    def reject(self, reason: str) -> None:
        """Sends the reason and closes the stream."""
        if self.closed:
            return
        self.send(ConnectionRejected(reason[:MAX_REASON_LENGTH]))
        self._close(reason)

    def _close(self, reason: str) -> None:
        self.close_reason = reason
        close_gracefully(self.transport)
        if not self.writable:
            self.transport.abortConnection()

    def abort(self, reason: str) -> None:
        """Closes the stream at once, without sending what is buffered."""
        self.close_reason = self.close_reason or reason
        if not self.closed:
            self.transport.abortConnection()

    def _schedule_heartbeat(self) -> None:
        delay_s = self.session.heartbeat_interval_s / 2
        self._heartbeat_timer = self.clock.callLater(delay_s, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        self._heartbeat_timer = None
        try:
            self._send_all(self.session.due_heartbeats(self.clock.seconds()))
        except ProtocolError as error:
            self.abort(str(error))
            return
        self._schedule_heartbeat()

    def pauseProducing(self) -> None:
        """The transport's buffer is full."""
        self.writable = False

    def resumeProducing(self) -> None:
        """The transport's buffer has drained."""
        self.writable = True
        if self.on_writable is not None:
            self.on_writable()

    def stopProducing(self) -> None:
        """The transport is closing."""
        self.writable = False

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The transport is closed, by either end."""
        self.closed = True
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
            self._heartbeat_timer = None
        if self.on_lost is not None:
            self.on_lost(self, ConnectionRejected(self.close_reason or reason.getErrorMessage()))


class StreamServerFactory(Factory):
    """Makes a Stream for each peer that connects to a listening port.

    Args:
        clock: For heartbeats.
        greeting_factory: Returns this end's Welcome, once for each connection.
        on_message: As of Stream.
        on_lost: As of Stream.
        check_peer: Decides whether the peer's Hello is accepted.
        heartbeat_interval_s: As of Session.
        heartbeat_timeout_s: As of Session.
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

    def buildProtocol(self, _addr: IAddress | None) -> Stream:
        """Makes the stream of one connection."""
        session = Session(
            self.greeting_factory(), self.heartbeat_interval_s, self.heartbeat_timeout_s, self.check_peer
        )
        return Stream(self.clock, session, self.on_message, self.on_lost)

"""A session on a Twisted transport, and the factory for streams accepted by a listening port."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from puffintide.protocol.clock import Clock
from puffintide.protocol.codec import MAX_LINE_BYTES, encode
from puffintide.protocol.errors import PeerRejectedError, ProtocolError
from puffintide.protocol.incomplete_lines import IncompleteLines
from puffintide.protocol.line_receiver import LineReceiver
from puffintide.protocol.messages import AnyMessage, ConnectionRejected, Hello, Message, PeerRole, Welcome
from puffintide.protocol.periodic_timer import PeriodicTimer
from puffintide.protocol.session import Greeting, PeerCheck, Session, accept_any_peer
from puffintide.protocol.tcp_state import is_closed_by_peer
from puffintide.tls.context import peer_dns_names
from puffintide.tls.keys import certificate_name

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 2.0
MAX_GREETING_BYTES = 16 << 10  # Maximum length of a greeting, and of every line of a client.
MAX_UNREAD_REPLY_BYTES = 64 << 10  # Replies that a peer may leave unread before its next lines wait.
MAX_REASON_LENGTH = 500  # Maximum length of the reason sent with a rejection, in characters.

MessageHandler = Callable[["Stream", AnyMessage], None]


class PeerIdentity(NamedTuple):
    """Identity of the peer at the other end of a stream. The id is unique within the role."""

    role: str
    id: int


UNIDENTIFIED_PEER = PeerIdentity("", -1)


def close_gracefully(transport: Any) -> None:
    """Close a transport after its buffered data is written.

    The producer is unregistered first, because a TLS transport would otherwise wait for it to finish.
    """
    transport.unregisterProducer()
    transport.loseConnection()


class Stream(LineReceiver):
    """A connection to a peer that sends and receives messages as lines.

    Lines wait while the peer does not read the replies to earlier ones.

    Args:
        clock: Clock that schedules heartbeats.
        session: Protocol state of this connection.
        on_message: Called with the stream and each message, starting with the peer's greeting.
        on_lost: Called once when the stream is closed, with the stream and a ConnectionRejected that holds
            the reason.
        incomplete_lines: Limits the incomplete lines of several streams together, if there is one.
    """

    def __init__(
        self,
        clock: Clock,
        session: Session,
        on_message: MessageHandler,
        on_lost: MessageHandler | None,
        incomplete_lines: IncompleteLines | None = None,
    ) -> None:
        super().__init__(clock, MAX_LINE_BYTES, incomplete_lines)
        self.session = session
        self.on_message = on_message
        self.on_lost = on_lost
        self.writable = True  # False while the transport's write buffer is full.
        self.established = False  # True once the handshake is complete.
        self.closed = False
        self.close_reason = ""  # Reason why this end closed the stream; empty if it did not.
        self.peer = UNIDENTIFIED_PEER  # Set by the owner.
        self.on_writable: Callable[[], None] | None = None  # Called when the stream is writable again.
        self._heartbeats = PeriodicTimer(clock, session.heartbeat_interval_s / 2, self._send_heartbeat)
        self._closing = False
        self._replying = False  # Whether what is sent answers a received line.
        self._unread_reply_bytes = 0  # Size of the replies since the stream is not writable.

    def connectionMade(self) -> None:
        """Send the greeting and start the heartbeats."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._send_all(self.session.handle_connected(self.clock.seconds()))
        self._heartbeats.start()

    # Received lines ------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        """Handle the lines that are complete, and limit the incomplete one."""
        super().dataReceived(data)
        if not self._closing and self.lines.buffered_bytes > self._max_line_bytes():
            self._reject_too_long()

    def handle_line(self, line: bytes) -> None:
        """Pass the message of a line to the owner, or reject the peer if the line is invalid."""
        if len(line) > self._max_line_bytes():
            self._reject_too_long()
            return
        self._replying = True
        try:
            self._receive_line(line)
        finally:
            self._replying = False

    def handle_line_too_long(self, reason: str) -> None:
        """Reject the peer."""
        self.reject(reason)

    def may_handle_line(self) -> bool:
        """Return whether the peer reads the replies to its earlier lines."""
        return self.writable or self._unread_reply_bytes <= MAX_UNREAD_REPLY_BYTES

    def on_turn(self) -> None:
        """Abort the stream of a client that has closed it, as its requests are not to be forwarded."""
        if self._is_client() and is_closed_by_peer(self.transport):
            self.abort("client closed the connection")

    def _is_client(self) -> bool:
        greeting = self.session.peer_greeting
        return greeting is not None and greeting.role == PeerRole.CLIENT

    def _max_line_bytes(self) -> int:
        return MAX_LINE_BYTES if self.established and not self._is_client() else MAX_GREETING_BYTES

    def _reject_too_long(self) -> None:
        self.reject(f"received line exceeds the limit of {self._max_line_bytes()} bytes")

    def _receive_line(self, line: bytes) -> None:
        try:
            messages, replies = self.session.receive_line(self.clock.seconds(), line)
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
        """Return why the peer's TLS certificate does not match its greeting, or None.

        A client may present any certificate of the same authority. Every other peer must present the
        certificate of its role, id and deployment.
        """
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
        return f"peer certificate is for {', '.join(sorted(certificate_names)) or 'no name'}, not {name}"

    # Sent messages -------------------------------------------------------------------------------

    def send(self, message: Message) -> None:
        """Encode and send a message; do nothing if the stream is closed."""
        self.send_line(encode(message))

    def send_line(self, line: bytes) -> None:
        """Send an encoded message, so that a message for many peers is encoded only once."""
        if self.closed:
            return
        if self._replying and not self.writable:
            self._unread_reply_bytes += len(line) + 1
        self.transport.write(line + b"\n")

    def send_reply(self, message: Message) -> None:
        """Send the reply to an earlier message, which counts towards the limit of unread replies."""
        replying, self._replying = self._replying, True
        try:
            self.send(message)
        finally:
            self._replying = replying

    def _send_all(self, messages: list[Message]) -> None:
        for message in messages:
            self.send(message)

    def reject(self, reason: str) -> None:
        """Send the reason and close the stream."""
        if self.closed or self._closing:
            return
        self.send(ConnectionRejected(reason[:MAX_REASON_LENGTH]))
        self._close(reason)

    def _close(self, reason: str) -> None:
        self.close_reason = reason
        self._end_input()
        close_gracefully(self.transport)
        if not self.writable:
            self.transport.abortConnection()

    def abort(self, reason: str) -> None:
        """Close the stream immediately and discard buffered data."""
        self.close_reason = self.close_reason or reason
        self._end_input()
        if not self.closed:
            self.transport.abortConnection()

    def _end_input(self) -> None:
        """Discard what was received and is not handled, as the stream closes."""
        self._closing = True
        self.discard_lines()

    def _send_heartbeat(self) -> None:
        try:
            self._send_all(self.session.due_heartbeats(self.clock.seconds()))
        except ProtocolError as error:
            unread = "peer does not read the replies to its messages"
            self._heartbeats.stop()
            self.abort(str(error) if self.may_handle_line() else unread)

    def pauseProducing(self) -> None:
        """Mark the stream as not writable, because the transport's buffer is full."""
        self.writable = False

    def resumeProducing(self) -> None:
        """Mark the stream as writable again, because the transport's buffer has drained."""
        self.writable = True
        self._unread_reply_bytes = 0
        if self.on_writable is not None:
            self.on_writable()
        self.continue_lines()

    def stopProducing(self) -> None:
        """Mark the stream as not writable, because the transport is closing."""
        self.writable = False

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancel the heartbeats and tell the owner that the transport was closed by either end."""
        self.closed = True
        self._end_input()
        self._heartbeats.stop()
        if self.on_lost is not None:
            self.on_lost(self, ConnectionRejected(self.close_reason or reason.getErrorMessage()))


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

"""The session on a Twisted transport, and a dialler that comes again. It decides nothing about routing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, Factory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from puffintide.protocol.codec import LINE_MOST, WireError, encode
from puffintide.protocol.messages import AnyMessage, ConnectionRejected, Hello, Message, Welcome
from puffintide.protocol.session import Greeting, Judge, Session, any_peer
from puffintide.tls.context import Contexts, names
from puffintide.tls.keys import party

PING_S, DEAD_S = 0.5, 2.0  # a half-open stream is noticed within the second
Handler = Callable[["Stream", AnyMessage], None]


def hang_up(transport: Any) -> None:
    """Closes once all is written. A TLS transport would first wait for its producer to end, which ours never do."""
    transport.unregisterProducer()
    transport.loseConnection()


class Stream(LineOnlyReceiver):
    """Lines in, messages out. `writable` is False while the peer reads more slowly than we write."""

    delimiter = b"\n"
    MAX_LENGTH = LINE_MOST
    transport: Any

    def __init__(self, clock: Any, session: Session, on_message: Handler, on_lost: Handler | None) -> None:
        self.clock = clock
        self.session = session
        self.on_message = on_message
        self.on_lost = on_lost
        self.writable = True
        self.up = False  # greeted
        self.ended = False
        self.reason = ""  # why it was closed from this side
        self.tag: Any = None  # the owner's mark
        self.on_writable: Callable[[], None] | None = None  # called when the peer has read on
        self._check: Any = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._send_all(self.session.opened(self.clock.seconds()))
        self._schedule()

    def lineReceived(self, line: bytes) -> None:
        if self.ended:
            return
        try:
            messages, replies = self.session.received(self.clock.seconds(), line)
        except WireError as error:
            self.refuse(str(error))
            return
        wrong = None if self.up else self._wrong_name(messages)
        if wrong is not None:
            self.refuse(wrong)
            return
        self._send_all(replies)
        for message in messages:
            self.up = True
            self.on_message(self, message)

    def _wrong_name(self, messages: list[AnyMessage]) -> str | None:
        """On TLS a peer is who its certificate says, and nobody else. Clients need any of the same authority."""
        shown = names(self.transport)
        if shown is None or not messages:
            return None
        greeting = messages[0]
        if not isinstance(greeting, Hello | Welcome) or greeting.role == "client":
            return None
        mine = self.session.me
        deployment = mine.deployment if isinstance(mine, Hello) else getattr(greeting, "deployment", "")
        name = party(greeting.role, greeting.id, deployment)
        return (
            None
            if name in shown
            else f"its certificate is for {', '.join(sorted(shown)) or 'nobody'}, not {name}"
        )

    def lineLengthExceeded(self, line: bytes) -> None:
        self.refuse(f"line over the limit of {LINE_MOST} bytes")

    def send(self, message: Message) -> None:
        self.send_line(encode(message))

    def send_line(self, line: bytes) -> None:
        """A message that is already encoded, for those sent to many."""
        if not self.ended:
            self.transport.write(line + b"\n")

    def _send_all(self, messages: list[Message]) -> None:
        for message in messages:
            self.send(message)

    def refuse(self, reason: str) -> None:
        """Says why and closes."""
        if not self.ended:
            self.reason = reason
            if not reason.startswith("refused"):
                self.send(ConnectionRejected(reason[:500]))
            hang_up(self.transport)
            if not self.writable:
                self.transport.abortConnection()

    def abort(self, reason: str) -> None:
        self.reason = self.reason or reason
        if not self.ended:
            self.transport.abortConnection()

    def _schedule(self) -> None:
        self._check = self.clock.callLater(self.session.ping_s / 2, self._beat)

    def _beat(self) -> None:
        self._check = None
        try:
            self._send_all(self.session.due(self.clock.seconds()))
        except WireError as error:
            self.abort(str(error))
            return
        self._schedule()

    # The transport calls these when its buffer fills or drains.
    def pauseProducing(self) -> None:
        self.writable = False

    def resumeProducing(self) -> None:
        self.writable = True
        if self.on_writable is not None:
            self.on_writable()

    def stopProducing(self) -> None:
        self.writable = False

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.ended = True
        if self._check is not None:
            self._check.cancel()
            self._check = None
        if self.on_lost is not None:
            self.on_lost(self, ConnectionRejected(self.reason or reason.getErrorMessage()))


class Acceptor(Factory):
    """Makes a Stream for each peer that dials."""

    noisy = False

    def __init__(
        self,
        clock: Any,
        me: Callable[[], Greeting],
        on_message: Handler,
        on_lost: Handler | None = None,
        judge: Judge = any_peer,
        ping_s: float = PING_S,
        dead_s: float = DEAD_S,
    ) -> None:
        self.clock, self.me, self.judge = clock, me, judge
        self.on_message, self.on_lost = on_message, on_lost
        self.ping_s, self.dead_s = ping_s, dead_s

    def buildProtocol(self, addr: IAddress | None) -> Stream:
        session = Session(self.me(), self.ping_s, self.dead_s, self.judge)
        return Stream(self.clock, session, self.on_message, self.on_lost)


class _Dial(ClientFactory):
    noisy = False

    def __init__(self, owner: Dialler) -> None:
        self.owner = owner

    def buildProtocol(self, addr: IAddress | None) -> Stream:
        owner = self.owner
        session = Session(owner.me(), owner.ping_s, owner.dead_s)
        return Stream(owner.reactor, session, owner.on_message, owner._lost)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.owner._failed(reason.getErrorMessage())


class Dialler:
    """Keeps a stream to one address: dials again after a wait that grows to its limit, with jitter given by
    `draw` (0 to 1). on_lost is called for each stream that had come up or failed."""

    def __init__(
        self,
        reactor: Any,
        address: str,
        me: Callable[[], Greeting],
        on_message: Handler,
        on_lost: Callable[[str], None] | None = None,
        draw: Callable[[], float] = lambda: 0.5,
        wait_s: tuple[float, float] = (0.1, 1.0),
        again: bool = True,
        ping_s: float = PING_S,
        dead_s: float = DEAD_S,
        connect_s: float = 2.0,
        tls: Contexts | None = None,
    ) -> None:
        self.reactor, self.me, self.on_message, self.on_lost = reactor, me, on_message, on_lost
        host, _, port = address.rpartition(":")
        self.host, self.port = host, int(port)
        self.draw, self.wait_s, self.again = draw, wait_s, again
        self.ping_s, self.dead_s, self.connect_s = ping_s, dead_s, connect_s
        self.tls = tls
        self.stream: Stream | None = None
        self.failures = 0
        self.stopped = False
        self._later: Any = None
        self._connector: Any = None

    def start(self) -> Dialler:
        self._later = None
        if not self.stopped and self.tls is None:
            self._connector = self.reactor.connectTCP(self.host, self.port, _Dial(self), self.connect_s)
        elif not self.stopped:
            self._connector = self.reactor.connectSSL(
                self.host, self.port, _Dial(self), self.tls, self.connect_s
            )
        return self

    def _lost(self, stream: Stream, why: AnyMessage) -> None:
        if stream.up:
            self.failures = 0
        self._failed(why.reason if isinstance(why, ConnectionRejected) else "")

    def _failed(self, why: str) -> None:
        self.failures += 1
        if self.on_lost is not None:
            self.on_lost(why)
        if self.again and not self.stopped:
            wait = min(self.wait_s[1], self.wait_s[0] * 2 ** min(self.failures - 1, 8))
            self._later = self.reactor.callLater(wait * (0.5 + self.draw()), self.start)

    def stop(self) -> None:
        self.stopped = True
        if self._later is not None:
            self._later.cancel()
            self._later = None
        if self._connector is not None:
            self._connector.disconnect()

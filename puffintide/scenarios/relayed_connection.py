"""A connection through the recording proxy and the protocols of its two sides."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from puffintide.protocol.codec import MAX_LINE_BYTES
from puffintide.scenarios.link_faults import TO_INITIATOR, TO_TARGET, Initiator, Link

if TYPE_CHECKING:
    from puffintide.scenarios.recording_proxy import RecordingProxy

DIRECTIONS = (TO_TARGET, TO_INITIATOR)


@dataclass
class RelayedConnection:
    """The state of a connection through the recording proxy. Lists are indexed by direction or side."""

    number: int
    link: Link
    initiator: Initiator = field(default_factory=Initiator)
    # The first side is that of the initiator, the second that of the target.
    sides: list[Any] = field(default_factory=lambda: [None, None])
    # Each entry holds the time to forward the line, the time when it was received, and the line.
    queues: list[deque[tuple[float, float, bytes]]] = field(default_factory=lambda: [deque(), deque()])
    queued_bytes: list[int] = field(default_factory=lambda: [0, 0])
    timers: list[Any] = field(default_factory=lambda: [None, None])
    closed: bool = False


class Side(Protocol):
    """One side of a relayed connection.

    Args:
        proxy: The recording proxy that forwards the lines.
        number: The direction of the lines that this side sends, TO_TARGET or TO_INITIATOR.
        connection: The relayed connection; None until the initiator has connected.
        link: The link of the connection.
    """

    transport: Any

    def __init__(
        self, proxy: RecordingProxy, number: int, connection: RelayedConnection | None, link: Link
    ) -> None:
        self.proxy = proxy
        self.number = number
        self.connection = connection
        self.link = link
        self._buffer = bytearray()
        self._is_accepted = number == TO_INITIATOR  # Refusing faults are checked after the hello message.

    def connectionMade(self) -> None:
        """Open the relayed connection of an initiator, or start to forward the lines queued for a target."""
        self.transport.setTcpNoDelay(True)
        if self.number == TO_TARGET:
            self.connection = self.proxy.open_connection(self.link, self)
            return
        assert self.connection is not None
        if self.connection.closed:
            self.transport.abortConnection()
            return
        self.connection.sides[1] = self
        for direction in DIRECTIONS:
            self.proxy.schedule(self.connection, direction)

    def dataReceived(self, data: bytes) -> None:
        """Split the received data into lines and forward each."""
        self._buffer += data
        connection = self.connection
        if connection is None or connection.closed:
            return
        while (line_end := self._buffer.find(b"\n")) >= 0:
            line = bytes(self._buffer[:line_end])
            del self._buffer[: line_end + 1]
            self.proxy.receive(connection, self.number, line)
            if not self._is_accepted:
                self._is_accepted = True
                if self.proxy.is_refused(connection):
                    self.proxy.close_connection(connection, None)
                    return
        if len(self._buffer) > MAX_LINE_BYTES:
            self.proxy.close_connection(connection, None)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002
        """Close the other side."""
        if self.connection is not None:
            self.proxy.close_connection(self.connection, self)


class InitiatorSideFactory(Factory):
    """Accepts connections of initiators on a link."""

    noisy = False

    def __init__(self, proxy: RecordingProxy, link: Link) -> None:
        self.proxy = proxy
        self.link = link

    def buildProtocol(self, addr: IAddress | None) -> Side:  # noqa: ARG002
        """Return the side of a party that has connected."""
        return Side(self.proxy, TO_TARGET, None, self.link)


class TargetSideFactory(ClientFactory):
    """Connects to the target of a link."""

    noisy = False

    def __init__(self, proxy: RecordingProxy, connection: RelayedConnection) -> None:
        self.proxy = proxy
        self.connection = connection

    def buildProtocol(self, addr: IAddress | None) -> Side:  # noqa: ARG002
        """Return the side of the target."""
        return Side(self.proxy, TO_INITIATOR, self.connection, self.connection.link)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002
        """Close the relayed connection because its target is unreachable."""
        self.proxy.close_connection(self.connection, None)

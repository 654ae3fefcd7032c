"""What the proxy uses of a Twisted reactor and its transports, as types."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.protocol import ClientFactory


class DelayedCall(Protocol):
    """A scheduled call, as of Twisted's IDelayedCall."""

    def active(self) -> bool:
        """Whether the call is still to be made."""

    def cancel(self) -> None:
        """Prevent the call."""

    def getTime(self) -> float:  # noqa: N802
        """When the call is to be made, in seconds of the reactor's clock."""


class Reactor(Protocol):
    """Clock, timers and outgoing connections, as of Twisted's IReactorTime, IReactorTCP and IReactorSSL."""

    def seconds(self) -> float:
        """The current time in seconds."""

    def callLater(self, delay: float, callable: Callable[..., object], /, *args: object) -> DelayedCall:
        """Schedule a call after a delay in seconds."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float, /) -> object:
        """Open a TCP connection."""

    def connectSSL(
        self, host: str, port: int, factory: ClientFactory, context_factory: object, timeout: float, /
    ) -> object:
        """Open a TLS connection."""


class Transport(Protocol):
    """A connection, as of Twisted's ITCPTransport and IPushProducer."""

    def write(self, data: bytes) -> None:
        """Send data."""

    def abortConnection(self) -> None:
        """Close at once, without sending what is buffered."""

    def loseConnection(self) -> None:
        """Close once all buffered data is sent."""

    def pauseProducing(self) -> None:
        """Stop reading."""

    def resumeProducing(self) -> None:
        """Read on."""

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Call the producer's pauseProducing while the peer reads more slowly than we write."""

    def unregisterProducer(self) -> None:
        """Undo registerProducer."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Send small segments without delay."""


def cancel_if_active(call: DelayedCall | None) -> None:
    """Prevent a scheduled call that was not made yet."""
    if call is not None and call.active():
        call.cancel()

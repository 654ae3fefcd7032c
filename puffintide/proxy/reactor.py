"""Types of the parts of a Twisted reactor and its transports that the proxy uses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.protocol import ClientFactory


class DelayedCall(Protocol):
    """A scheduled call; a subset of Twisted's IDelayedCall."""

    def active(self) -> bool:
        """Return whether the call is still pending."""

    def cancel(self) -> None:
        """Cancel the call."""

    def getTime(self) -> float:  # noqa: N802
        """Return the time of the call, in seconds of the reactor's clock."""


class Reactor(Protocol):
    """Clock, timers and connections; a subset of Twisted's IReactorTime, IReactorTCP and IReactorSSL."""

    def seconds(self) -> float:
        """Return the current time in seconds."""

    def callLater(self, delay: float, callable: Callable[..., object], /, *args: object) -> DelayedCall:
        """Schedule a call after a delay in seconds."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float, /) -> object:
        """Open a TCP connection."""

    def connectSSL(
        self, host: str, port: int, factory: ClientFactory, context_factory: object, timeout: float, /
    ) -> object:
        """Open a TLS connection."""


class Transport(Protocol):
    """A connection; a subset of Twisted's ITCPTransport and IPushProducer."""

    def write(self, data: bytes) -> None:
        """Send data, or buffer it until it can be sent."""

    def abortConnection(self) -> None:
        """Close immediately and discard buffered data."""

    def loseConnection(self) -> None:
        """Close once all buffered data is sent."""

    def pauseProducing(self) -> None:
        """Stop reading."""

    def resumeProducing(self) -> None:
        """Resume reading."""

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Register the producer to pause while the peer reads more slowly than data is written."""

    def unregisterProducer(self) -> None:
        """Remove the registered producer."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Set whether small segments are sent without delay (TCP_NODELAY)."""


def cancel_if_active(call: DelayedCall | None) -> None:
    """Cancel a scheduled call if it is still pending."""
    if call is not None and call.active():
        call.cancel()

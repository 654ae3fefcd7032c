"""Types of Twisted's reactor as this package uses it, timers and outgoing connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol as Connection

from puffintide.platform.config import Address


class DelayedCall(Protocol):
    """A call that the reactor makes later."""

    def active(self) -> bool:
        """Return whether the call is still to be made."""

    def cancel(self) -> None:
        """Cancel the call, which must be active."""

    def getTime(self) -> float:  # noqa: N802
        """Return when the call is due, on the reactor's clock."""


class Clock(Protocol):
    """A clock that can delay calls."""

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""

    def callLater(self, delay: float, call: Callable[..., Any], /, *args: Any) -> Any:
        """Schedule a call after a delay in seconds, and return it as a DelayedCall."""


class Reactor(Clock, Protocol):
    """The reactor's clock and TCP transports."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Listen on a port, and return it as an IListeningPort."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> Any:
        """Open a connection; its protocol is built by the factory."""

    def stop(self) -> None:
        """End the reactor's loop."""


class Timer:
    """A delayed call that can be replaced or cancelled at any time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._call: DelayedCall | None = None

    @property
    def pending(self) -> bool:
        """Return whether a call is still to be made."""
        return self._call is not None and self._call.active()

    def due_at_s(self) -> float:
        """Return when the call is due, on the reactor's clock; infinity if none is pending."""
        return self._call.getTime() if self._call is not None and self._call.active() else float("inf")

    def start(self, delay_s: float, call: Callable[..., Any], *args: Any) -> None:
        """Schedule a call after a delay, in place of any that is pending."""
        self.cancel()
        self._call = self._clock.callLater(delay_s, call, *args)

    def cancel(self) -> None:
        """Cancel the call if it is pending."""
        if self._call is not None and self._call.active():
            self._call.cancel()


class _SingleConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, connection: Connection, on_failure: Callable[[], None]) -> None:
        self._connection = connection
        self._on_failure = on_failure

    def buildProtocol(self, _address: Any) -> Connection:
        """Return the protocol instance that was given."""
        self._connection.factory = self
        return self._connection

    def clientConnectionFailed(self, _connector: Any, _reason: Any) -> None:
        """Report that the connection cannot be established."""
        self._on_failure()


def connect(
    reactor: Reactor,
    address: Address,
    connection: Connection,
    on_failure: Callable[[], None],
    timeout_s: float,
) -> None:
    """Open one connection with this protocol instance.

    Args:
        reactor: The reactor that opens the connection.
        address: The address to connect to.
        connection: The protocol instance, used only for this connection.
        on_failure: Callback that is called if the connection cannot be established.
        timeout_s: The maximum time to establish the connection, in seconds.
    """
    factory = _SingleConnectionFactory(connection, on_failure)
    reactor.connectTCP(*address, factory, timeout=timeout_s)

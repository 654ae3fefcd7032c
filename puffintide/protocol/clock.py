"""What the program takes of a Twisted reactor, and the process's reactor on the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A call that is scheduled."""

    def cancel(self) -> None:
        """Makes the call not happen. Raises twisted.internet.error.AlreadyCalled when it has."""


class Clock(Protocol):
    """Time and timers, as of Twisted's IReactorTime."""

    def seconds(self) -> float:
        """The present time in seconds; its origin is arbitrary."""

    def callLater(self, delay: float, callable: Callable[..., object], /, *args: object) -> Timer:
        """Schedules a call after a delay in seconds."""


class ConnectingReactor(Clock, Protocol):
    """A clock that also opens connections, as of Twisted's IReactorTCP and IReactorSSL."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float, /) -> Any:
        """Opens a TCP connection within a timeout in seconds; returns an IConnector."""

    def connectSSL(self, host: str, port: int, factory: Any, context: Any, timeout: float, /) -> Any:
        """Opens a TLS connection within a timeout in seconds; returns an IConnector."""


def monotonic_reactor() -> Any:
    """The process's reactor, its seconds() being the machine's monotonic clock.

    A wall clock that is set then affects no timer. To be called before any timer is set.
    """
    from twisted.internet import reactor

    reactor.seconds = time.monotonic  # type: ignore[method-assign,misc]
    return reactor

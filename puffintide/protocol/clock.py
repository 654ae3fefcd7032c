"""Interfaces of the Twisted reactor that the program uses, and the reactor on the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call.

        Raises:
            twisted.internet.error.AlreadyCalled: The call has already happened.
        """


class Clock(Protocol):
    """Time and timers, as in Twisted's IReactorTime."""

    def seconds(self) -> float:
        """Return the current time in seconds since an arbitrary origin."""

    def callLater(self, delay: float, callable: Callable[..., object], /, *args: object) -> Timer:
        """Schedule a call after a delay in seconds."""


class ConnectingReactor(Clock, Protocol):
    """A clock that also opens connections, as in Twisted's IReactorTCP and IReactorSSL."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float, /) -> Any:
        """Open a TCP connection with a timeout in seconds and return its IConnector."""

    def connectSSL(self, host: str, port: int, factory: Any, context: Any, timeout: float, /) -> Any:
        """Open a TLS connection with a timeout in seconds and return its IConnector."""


def monotonic_reactor() -> Any:
    """Return the process's reactor with seconds() replaced by the monotonic clock.

    Adjustments of the wall clock then affect no timer. Must be called before the first timer is scheduled.
    """
    from twisted.internet import reactor

    reactor.seconds = time.monotonic  # type: ignore[method-assign,misc]
    return reactor

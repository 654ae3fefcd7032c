"""A timeout that can be replaced, so that at most one is pending."""

from __future__ import annotations

from collections.abc import Callable

from puffintide.proxy.reactor import DelayedCall, Reactor, cancel_if_active


class Timeout:
    """Calls a function once a delay has passed, unless it is set again before.

    Args:
        reactor: Clock of the timeout.
        on_timeout: The function.
    """

    def __init__(self, reactor: Reactor, on_timeout: Callable[[], None]) -> None:
        self._reactor = reactor
        self._on_timeout = on_timeout
        self._pending: DelayedCall | None = None

    @property
    def is_pending(self) -> bool:
        """Return whether a timeout is set and has not passed."""
        return self._pending is not None and self._pending.active()

    def set(self, delay_s: float | None) -> None:
        """Replace the pending timeout by one after a delay in seconds; None sets no other."""
        cancel_if_active(self._pending)
        self._pending = None if delay_s is None else self._reactor.callLater(delay_s, self._on_timeout)

"""Pauses reading from a connection, and finds out meanwhile whether its peer is still there."""

from __future__ import annotations

from collections.abc import Callable

from puffintide.protocol.tcp_state import is_closed_by_peer
from puffintide.proxy.reactor import DelayedCall, Reactor, Transport, cancel_if_active

PEER_CHECK_PERIOD_S = 0.25


class ReadPause:
    """The pause of one connection's reading.

    The reactor does not notice the end of a connection that it does not read. The state of the TCP connection is
    therefore checked periodically.

    Args:
        reactor: Clock of the checks.
        on_peer_closed: Called once if the peer has closed the connection during a pause.
    """

    def __init__(self, reactor: Reactor, on_peer_closed: Callable[[], None]) -> None:
        self._reactor = reactor
        self._on_peer_closed = on_peer_closed
        self._check: DelayedCall | None = None  # Set during a pause.

    def set_paused(self, transport: Transport, paused: bool) -> None:
        """Pause or resume reading, unless that is its state already."""
        if paused == (self._check is not None):
            return
        if paused:
            transport.pauseProducing()
            self._schedule_check(transport)
        else:
            self.stop()
            transport.resumeProducing()

    def stop(self) -> None:
        """Stop the checks, as the connection closes."""
        cancel_if_active(self._check)
        self._check = None

    def _schedule_check(self, transport: Transport) -> None:
        self._check = self._reactor.callLater(PEER_CHECK_PERIOD_S, self._check_peer, transport)

    def _check_peer(self, transport: Transport) -> None:
        if is_closed_by_peer(transport):
            self._on_peer_closed()
        else:
            self._schedule_check(transport)

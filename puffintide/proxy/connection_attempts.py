"""How many connections to one server may be opened at once. No I/O, no clock.

A server that is new or has returned is opened one connection at first, and one more for each that was established;
a failure resets this to one. Without that limit, all waiting requests would open a connection at the same moment.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ConnectionAttempts:
    """Connections to one server, and the request attempts that wait for one.

    A waiting attempt takes whichever connection is ready first. A failed connection ends all waiting attempts: each
    would have met the same failure, and nothing of them was written.
    """

    max_connections: int  # established and connecting together
    established: int = 0
    connecting: int = 0
    max_connecting: int = 1
    waiting: dict[int, None] = field(default_factory=dict)  # attempt ids, oldest first

    def enqueue(self, attempt_id: int) -> bool:
        """Let an attempt wait for a connection. False: it is rejected, as no connection can become available."""
        if self.established + self.connecting >= self.max_connections and not self.connecting:
            return False
        if len(self.waiting) >= self.max_connections:
            return False
        self.waiting[attempt_id] = None
        return True

    def begin_connecting(self) -> int:
        """The number of connections to open now; they count as connecting."""
        headroom = min(self.max_connecting, self.max_connections - self.established) - self.connecting
        count = max(0, min(headroom, len(self.waiting) - self.connecting))
        self.connecting += count
        return count

    def on_established(self) -> None:
        """A connection was established."""
        self.connecting -= 1
        self.established += 1
        self.max_connecting = min(self.max_connections, self.max_connecting + 1)

    def on_connect_failed(self) -> list[int]:
        """A connection could not be established. Returns the attempts that fail with it."""
        self.connecting -= 1
        self.max_connecting = 1
        failed = list(self.waiting)
        self.waiting = {}
        return failed

    def on_connection_lost(self) -> None:
        """An established connection was closed."""
        self.established -= 1
        if not self.established:
            self.max_connecting = 1  # the server may have restarted

    def pop_waiting(self) -> int | None:
        """Remove and return the attempt that takes a connection which is ready."""
        for attempt_id in self.waiting:
            del self.waiting[attempt_id]
            return attempt_id
        return None

    def discard(self, attempt_id: int) -> bool:
        """Stop waiting for a connection. False if the attempt was not waiting."""
        return self.waiting.pop(attempt_id, 0) is None

    def is_unused(self) -> bool:
        """Whether no connection is open or wanted."""
        return not (self.established or self.connecting or self.waiting)

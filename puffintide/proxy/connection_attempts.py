"""Limits on opening connections to one server. This module does no I/O and reads no clock.

The limit on concurrent connection attempts starts at one for a new or returning server. It rises by one with
each established connection. A failed connection attempt, or the loss of the last connection, resets it to
one. Without the limit, all waiting requests would open a connection at the same moment.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ConnectionAttempts:
    """The connections to one server, and the request attempts that wait for one.

    A waiting attempt takes the first connection that becomes ready. A connection failure fails all waiting
    attempts: each would see the same failure, and no byte of them was written.
    """

    max_connections: int  # Limit on established plus connecting connections.
    established: int = 0
    connecting: int = 0
    max_connecting: int = 1
    waiting: dict[int, None] = field(default_factory=dict)  # Attempt ids, oldest first.

    def enqueue(self, attempt_id: int) -> bool:
        """Queue an attempt for a connection.

        Returns:
            False if the attempt is rejected: the server is at its connection limit with none connecting, or
            the queue is full.
        """
        if self.established + self.connecting >= self.max_connections and not self.connecting:
            return False
        if len(self.waiting) >= self.max_connections:
            return False
        self.waiting[attempt_id] = None
        return True

    def begin_connecting(self) -> int:
        """Return the number of connections to open now, and count them as connecting."""
        headroom = min(self.max_connecting, self.max_connections - self.established) - self.connecting
        count = max(0, min(headroom, len(self.waiting) - self.connecting))
        self.connecting += count
        return count

    def on_established(self) -> None:
        """Count a new connection as established, and raise the limit on concurrent connects."""
        self.connecting -= 1
        self.established += 1
        self.max_connecting = min(self.max_connections, self.max_connecting + 1)

    def on_connect_failed(self) -> list[int]:
        """Reset the limit on concurrent connects to one, and return the waiting attempts, which fail."""
        self.connecting -= 1
        self.max_connecting = 1
        failed = list(self.waiting)
        self.waiting = {}
        return failed

    def on_connection_lost(self) -> None:
        """Count an established connection as closed, and reset the limit if none is left."""
        self.established -= 1
        if not self.established:
            self.max_connecting = 1  # The server may have restarted.

    def pop_waiting(self) -> int | None:
        """Remove and return the oldest waiting attempt, or None if there is none."""
        for attempt_id in self.waiting:
            del self.waiting[attempt_id]
            return attempt_id
        return None

    def discard(self, attempt_id: int) -> bool:
        """Remove an attempt from the queue, and return whether it was waiting."""
        return self.waiting.pop(attempt_id, 0) is None

    def is_unused(self) -> bool:
        """Return whether no connection is open or being opened and no attempt waits for one."""
        return not (self.established or self.connecting or self.waiting)

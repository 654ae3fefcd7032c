"""The rate-limited FIFO queue of updates to the proxies, without I/O and without a clock of its own.

The rate limit is in entries per second. A message leaves the queue once the entries before it have been sent
at that rate. A proxy that does not read delays only its own messages, which wait in a backlog. The entries of
a backlog count as queued. While all queued entries exceed the capacity, the proxy with the largest backlog is
removed, and the caller has to close its stream. Without any backlog, the queue may exceed the capacity.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from puffintide.protocol.messages import ProxyUpdate


@dataclass(slots=True)
class _ProxyBacklog:
    """Messages of one proxy that have left the queue and wait until the proxy reads again."""

    writable: bool = True
    updates: deque[ProxyUpdate] = field(default_factory=deque)
    entry_count: float = 0.0


class Channel:
    """A rate-limited queue of updates to all proxies.

    Attributes:
        entries_per_s: Rate at which entries leave the queue, including those of message headers.
        capacity_entries: Number of entries queued for all proxies together above which backlogs are removed.
        max_queued_entries: Highest number of entries that were queued at one time.
        messages_sent: Number of messages sent to all proxies.
        max_messages_per_window: Highest number of messages sent to one proxy within message_window_s.
    """

    def __init__(self, entries_per_s: float, capacity_entries: float, message_window_s: float = 10.0) -> None:
        self.entries_per_s = entries_per_s
        self.capacity_entries = capacity_entries
        self.max_queued_entries = 0.0
        self.messages_sent = 0
        self.max_messages_per_window = 0
        self._message_window_s = message_window_s
        self._queue: deque[tuple[int, ProxyUpdate]] = deque()
        self._queue_entries = 0.0
        self._last_departure_at = 0.0
        self._backlogs: dict[int, _ProxyBacklog] = {}
        self._recent_sends: dict[int, deque[float]] = {}
        self._overflowed_proxies: list[int] = []

    def add_proxy(self, proxy_id: int) -> None:
        """Accept updates for a proxy, starting with an empty backlog."""
        self.remove_proxy(proxy_id)
        self._backlogs[proxy_id] = _ProxyBacklog()

    def remove_proxy(self, proxy_id: int) -> None:
        """Drop all queued updates of a proxy and accept no more for it."""
        self._backlogs.pop(proxy_id, None)
        self._recent_sends.pop(proxy_id, None)
        dropped_entries = sum(
            update.channel_cost for queued_for, update in self._queue if queued_for == proxy_id
        )
        if dropped_entries:
            self._queue = deque(
                (queued_for, update) for queued_for, update in self._queue if queued_for != proxy_id
            )
            self._queue_entries -= dropped_entries

    def enqueue(self, proxy_id: int, update: ProxyUpdate) -> None:
        """Queue an update for a proxy, or drop it if the proxy was not added or has been removed."""
        if proxy_id not in self._backlogs:
            return
        self._queue.append((proxy_id, update))
        self._queue_entries += update.channel_cost
        while self.queued_entries() > self.capacity_entries and self._remove_largest_backlog():
            pass
        self.max_queued_entries = max(self.max_queued_entries, self.queued_entries())

    def queued_entries(self) -> float:
        """Return the number of entries in the queue and in all backlogs, including message headers."""
        return self._queue_entries + sum(backlog.entry_count for backlog in self._backlogs.values())

    def dequeue(self, now: float) -> tuple[list[tuple[int, ProxyUpdate]], list[int]]:
        """Remove the messages that the rate limit allows by now from the queue, and return those to send.

        Messages to proxies that do not read are moved to their backlogs instead.

        Returns:
            The messages with the ids of their proxies, and the ids of the proxies that were removed since the
            last call because their backlogs were too large.
        """
        departures: list[tuple[int, ProxyUpdate]] = []
        while self._queue:
            proxy_id, update = self._queue[0]
            departs_at = self._departure_at(update)
            if departs_at > now:
                break
            self._queue.popleft()
            self._queue_entries -= update.channel_cost
            self._last_departure_at = departs_at
            backlog = self._backlogs[proxy_id]
            if backlog.writable and not backlog.updates:
                departures.append((proxy_id, update))
                self._count_message(proxy_id, now)
            else:
                backlog.updates.append(update)
                backlog.entry_count += update.channel_cost
        overflowed = self._overflowed_proxies
        self._overflowed_proxies = []
        return departures, overflowed

    def set_writable(self, now: float, proxy_id: int, writable: bool) -> list[ProxyUpdate]:
        """Record whether a proxy reads, and return the messages of its backlog that can be sent now."""
        backlog = self._backlogs.get(proxy_id)
        if backlog is None:
            return []
        backlog.writable = writable
        if not writable:
            return []
        updates = list(backlog.updates)
        backlog.updates.clear()
        backlog.entry_count = 0.0
        for _ in updates:
            self._count_message(proxy_id, now)
        return updates

    def next_departure_at(self) -> float | None:
        """Return the time at which the next message leaves the queue, or None when the queue is empty."""
        return self._departure_at(self._queue[0][1]) if self._queue else None

    def _departure_at(self, update: ProxyUpdate) -> float:
        """Return the time at which an update leaves if it is the first one in the queue.

        An idle channel accumulates no credit for a later burst.
        """
        return max(self._last_departure_at, update.ordered_at_s) + update.channel_cost / self.entries_per_s

    def _remove_largest_backlog(self) -> bool:
        """Remove the proxy with the largest backlog, and return False if all backlogs are empty."""
        largest = max(
            sorted(self._backlogs), key=lambda proxy_id: self._backlogs[proxy_id].entry_count, default=None
        )
        if largest is None or not self._backlogs[largest].entry_count:
            return False
        self.remove_proxy(largest)
        self._overflowed_proxies.append(largest)
        return True

    def _count_message(self, proxy_id: int, now: float) -> None:
        """Update the message counters for a message that is sent to a proxy now."""
        recent = self._recent_sends.setdefault(proxy_id, deque())
        recent.append(now)
        while recent[0] < now - self._message_window_s:
            recent.popleft()
        self.messages_sent += 1
        self.max_messages_per_window = max(self.max_messages_per_window, len(recent))

"""The way of orders to the proxies: one queue, paced by lines a second, in order. No I/O and no clock.

A message leaves when the lines before it have been sent at the stated pace. A proxy that does not read holds its
own messages back (parked), never those of others. Held lines count as waiting: where all of them would pass the
limit, the proxy that holds most is given up, which the module sees as a proxy lost.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from puffintide.protocol.messages import ProxyUpdate


@dataclass(slots=True)
class _Parked:
    writable: bool = True
    orders: deque[ProxyUpdate] = field(default_factory=deque)
    lines: float = 0.0


class Channel:
    """put() what is ordered, take() what may leave now; waiting() is the rule's count of lines.

    limit: lines that may wait in all. Guards against proxies that stop reading, one or many.
    """

    def __init__(self, lines_per_s: float, limit: float, span_s: float = 10.0) -> None:
        self.entries_per_s = lines_per_s
        self.capacity_entries = limit
        self._queue: deque[tuple[int, ProxyUpdate]] = deque()
        self._free_at = 0.0  # when the last message taken had left at the stated pace
        self._parked: dict[int, _Parked] = {}
        self._waiting = 0.0
        self.max_queued_entries = 0.0
        self.messages_sent = 0  # messages in all, and the most to one proxy within span_s, for the log
        self.max_messages_per_window = 0
        self._span_s = span_s
        self._recent: dict[int, deque[float]] = {}
        self._given_up: list[int] = []

    def add_proxy(self, proxy: int) -> None:
        self.remove_proxy(proxy)
        self._parked[proxy] = _Parked()

    def remove_proxy(self, proxy: int) -> None:
        """What waits for the proxy is lost with its stream."""
        self._parked.pop(proxy, None)
        self._recent.pop(proxy, None)
        lost = sum(order.channel_cost for to, order in self._queue if to == proxy)
        if lost:
            self._queue = deque((to, order) for to, order in self._queue if to != proxy)
            self._waiting -= lost

    def enqueue(self, proxy: int, order: ProxyUpdate) -> None:
        if proxy in self._parked:
            self._queue.append((proxy, order))
            self._waiting += order.channel_cost
            while self.queued_entries() > self.capacity_entries and self._give_up():
                pass
            self.max_queued_entries = max(self.max_queued_entries, self.queued_entries())

    def queued_entries(self) -> float:
        """Lines that wait, heads included, whether in the queue or held back by a proxy that does not read."""
        return self._waiting + sum(parked.lines for parked in self._parked.values())

    def dequeue(self, now: float) -> tuple[list[tuple[int, ProxyUpdate]], list[int]]:
        """(messages that leave now, proxies whose stream is given up as they hold back too much)."""
        out: list[tuple[int, ProxyUpdate]] = []
        while self._queue:
            proxy, order = self._queue[0]
            leaves = max(self._free_at, order.ordered_at_s) + order.channel_cost / self.entries_per_s
            if leaves > now:
                break
            self._queue.popleft()
            self._waiting -= order.channel_cost
            self._free_at = leaves
            parked = self._parked[proxy]  # leave() took away what was for others
            if parked.writable and not parked.orders:
                out.append((proxy, order))
                self._count(proxy, now)
            else:
                parked.orders.append(order)
                parked.lines += order.channel_cost
        given_up, self._given_up = self._given_up, []
        return out, given_up

    def _give_up(self) -> bool:
        """Drops the proxy that holds most lines back, if any does."""
        worst = max(sorted(self._parked), key=lambda p: self._parked[p].lines, default=None)
        if worst is None or not self._parked[worst].lines:
            return False
        self.remove_proxy(worst)
        self._given_up.append(worst)
        return True

    def _count(self, proxy: int, now: float) -> None:
        recent = self._recent.setdefault(proxy, deque())
        recent.append(now)
        while recent[0] < now - self._span_s:
            recent.popleft()
        self.messages_sent += 1
        self.max_messages_per_window = max(self.max_messages_per_window, len(recent))

    def set_writable(self, now: float, proxy: int, writable: bool) -> list[ProxyUpdate]:
        """Tells that a proxy reads again or not; gives what it had held back."""
        parked = self._parked.get(proxy)
        if parked is None:
            return []
        parked.writable = writable
        if not writable:
            return []
        orders = list(parked.orders)
        parked.orders.clear()
        parked.lines = 0.0
        for _ in orders:
            self._count(proxy, now)
        return orders

    def next_departure_at(self) -> float | None:
        """When the next message leaves, if one waits."""
        if not self._queue:
            return None
        order = self._queue[0][1]
        return max(self._free_at, order.ordered_at_s) + order.channel_cost / self.entries_per_s

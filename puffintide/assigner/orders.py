"""The streams to the proxies and the paced way of orders to them."""

from __future__ import annotations

from typing import Any

from puffintide.assigner.channel import Channel
from puffintide.protocol import messages as m
from puffintide.protocol.stream import Stream

MARK_S = 120.0  # for so long a mark that has not come back is remembered


class Orders:
    def __init__(self, reactor: Any, channel: Channel) -> None:
        self.reactor, self.channel = reactor, channel
        self.proxies: dict[int, Stream] = {}
        self.marks: dict[int, float] = {}  # when each was ordered
        self.late_most = 0.0
        self._drain_at: Any = None

    def joined(self, number: int, stream: Stream) -> None:
        stream.tag = ("proxy", number)
        self.proxies[number] = stream
        self.channel.join(number)

    def left(self, number: int) -> None:
        self.proxies.pop(number, None)
        self.channel.leave(number)

    def put(self, orders: list[tuple[int, m.ProxyUpdate]]) -> None:
        now = float(self.reactor.seconds())
        for proxy, order in orders:
            self.channel.put(proxy, order)
            if order.checkpoint_id is not None:
                self.marks = {k: at for k, at in self.marks.items() if now - at < MARK_S}
                self.marks[order.checkpoint_id] = now
        self._drain()

    def applied(self, mark: int) -> float:
        """Seconds from the order to its being applied."""
        now = float(self.reactor.seconds())
        took = now - self.marks.get(mark, now)
        self.late_most = max(self.late_most, took)
        return took

    def _drain(self) -> None:
        now = float(self.reactor.seconds())
        for number, stream in sorted(self.proxies.items()):
            for order in self.channel.set_writable(now, number, stream.writable):
                stream.send(order)
        leave, given_up = self.channel.take(now)
        for proxy, order in leave:
            self.proxies[proxy].send(order)
        for proxy in given_up:
            self.proxies[proxy].abort("does not read its orders")
        if self._drain_at is not None and self._drain_at.active():
            return
        due = self.channel.next_due()
        if due is not None:
            self._drain_at = self.reactor.callLater(max(0.002, due - now), self._drain)
        elif self.channel.waiting() > 0:
            self._drain_at = self.reactor.callLater(0.05, self._drain)

"""The streams to the proxies and the paced way of orders to them."""

from __future__ import annotations

from typing import Any

from puffintide.assigner.channel import Channel
from puffintide.protocol import messages as m
from puffintide.protocol.stream import PeerIdentity, Stream

MARK_S = 120.0  # for so long a mark that has not come back is remembered


class ProxyUpdateSender:
    def __init__(self, reactor: Any, channel: Channel) -> None:
        self.reactor, self.channel = reactor, channel
        self.streams: dict[int, Stream] = {}
        self.checkpoint_times: dict[int, float] = {}  # when each was ordered
        self.max_checkpoint_delay_s = 0.0
        self._drain_at: Any = None

    def add_proxy(self, number: int, stream: Stream) -> None:
        stream.peer = PeerIdentity("proxy", number)
        self.streams[number] = stream
        self.channel.add_proxy(number)

    def remove_proxy(self, number: int) -> None:
        self.streams.pop(number, None)
        self.channel.remove_proxy(number)

    def send(self, orders: list[tuple[int, m.ProxyUpdate]]) -> None:
        now = float(self.reactor.seconds())
        for proxy, order in orders:
            self.channel.enqueue(proxy, order)
            if order.checkpoint_id is not None:
                self.checkpoint_times = {
                    k: at for k, at in self.checkpoint_times.items() if now - at < MARK_S
                }
                self.checkpoint_times[order.checkpoint_id] = now
        self._drain()

    def on_checkpoint_reply(self, mark: int) -> float:
        """Seconds from the order to its being applied."""
        now = float(self.reactor.seconds())
        took = now - self.checkpoint_times.get(mark, now)
        self.max_checkpoint_delay_s = max(self.max_checkpoint_delay_s, took)
        return took

    def _drain(self) -> None:
        now = float(self.reactor.seconds())
        for number, stream in sorted(self.streams.items()):
            for order in self.channel.set_writable(now, number, stream.writable):
                stream.send(order)
        leave, given_up = self.channel.dequeue(now)
        for proxy, order in leave:
            self.streams[proxy].send(order)
        for proxy in given_up:
            self.streams[proxy].abort("does not read its orders")
        if self._drain_at is not None and self._drain_at.active():
            return
        due = self.channel.next_departure_at()
        if due is not None:
            self._drain_at = self.reactor.callLater(max(0.002, due - now), self._drain)
        elif self.channel.queued_entries() > 0:
            self._drain_at = self.reactor.callLater(0.05, self._drain)

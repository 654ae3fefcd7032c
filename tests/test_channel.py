"""The channel of updates to the proxies: rate, order and backpressure."""

from __future__ import annotations

import pytest

from puffintide.assigner.channel import Channel
from puffintide.protocol import messages as m


def update(ordered_at_s: float, cost: float = 10.0) -> m.ProxyUpdate:
    return m.ProxyUpdate(1, ordered_at_s, cost)


def test_messages_are_sent_in_order_at_the_configured_rate() -> None:
    channel = Channel(entries_per_s=100.0, capacity_entries=1000.0)
    for proxy in range(3):
        channel.add_proxy(proxy)
        channel.enqueue(proxy, update(0.0))
    assert channel.queued_entries() == 30
    assert channel.dequeue(0.05) == ([], [])
    assert [proxy for proxy, _ in channel.dequeue(0.1)[0]] == [0]
    assert [proxy for proxy, _ in channel.dequeue(0.31)[0]] == [1, 2]
    assert channel.queued_entries() == 0
    assert channel.next_departure_at() is None
    channel.enqueue(0, update(5.0))
    assert channel.next_departure_at() == pytest.approx(5.1)  # An idle channel accumulates no credit.


def test_blocked_proxy_delays_no_other_and_is_removed_before_the_capacity_is_exceeded() -> None:
    channel = Channel(entries_per_s=1e9, capacity_entries=45.0)
    for proxy in (0, 1, 2):
        channel.add_proxy(proxy)
    channel.set_writable(0.0, 0, False)
    for second in range(3):
        channel.enqueue(0, update(second))
        channel.enqueue(1, update(second))
        sent, removed = channel.dequeue(second + 0.5)
        assert [proxy for proxy, _ in sent] == [1]
        assert removed == []
    assert channel.queued_entries() == 30
    channel.set_writable(3.0, 2, False)
    channel.enqueue(2, update(3))
    channel.dequeue(3.5)
    channel.enqueue(1, update(4))  # Exceeds the capacity, so the proxy with the largest backlog is removed.
    sent, removed = channel.dequeue(4.5)
    assert [proxy for proxy, _ in sent] == [1]
    assert removed == [0]
    assert channel.max_queued_entries <= 45
    assert channel.queued_entries() == 10
    assert channel.set_writable(5.0, 0, True) == []
    assert len(channel.set_writable(5.0, 2, True)) == 1


def test_queued_messages_are_dropped_when_their_proxy_is_removed() -> None:
    channel = Channel(100.0, 1000.0)
    channel.add_proxy(0)
    channel.add_proxy(1)
    channel.enqueue(0, update(0.0))
    channel.enqueue(1, update(0.0))
    channel.remove_proxy(0)
    assert channel.queued_entries() == 10
    channel.add_proxy(0)
    assert [proxy for proxy, _ in channel.dequeue(9.0)[0]] == [1]

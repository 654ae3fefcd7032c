"""Slices with a single writer: no two servers execute writes at once, whatever proxies, store and time do."""

from __future__ import annotations

import random
from typing import Any

import pytest

from puffintide.assigner.handover import FIRST_CHECKPOINT_ID, Handover, HandoverSteps
from puffintide.protocol.messages import ProxyUpdate, WeightEntry

LEASE, LONGEST = 1.0, 2.0


def line(number: int, server: int, token: int = 1) -> WeightEntry:
    return WeightEntry(number, server, 1.0, token)


def batch(
    number: int, lines: list[WeightEntry], proxies: list[int], withdrawn: list[int] | None = None
) -> tuple[int, list[WeightEntry], list[tuple[int, ProxyUpdate]]]:
    return (
        number,
        lines,
        [
            (p, ProxyUpdate(number, 0.0, 9.0, lines, withdrawn_servers=withdrawn or [], checkpoint_id=7))
            for p in proxies
        ],
    )


def made(patience_s: float = 10.0) -> Handover:
    found = Handover(LEASE, LONGEST, patience_s, 2.0)
    for proxy in (0, 1):
        found.on_proxy_connected(0.0, proxy)
    return found


def lines_of(steps: HandoverSteps) -> dict[int, list[int]]:
    return {p: [x.server_id for x in o.weights] for p, o in steps.proxy_updates if o.weights}


def test_migration_drains_then_stores_then_sends_new_weights() -> None:
    handover = made()
    steps = handover.add_batch(1.0, *batch(5, [line(3, 8)], [0, 1], withdrawn=[4]))
    stops = {p: o for p, o in steps.proxy_updates if o.cleared_slices}
    assert set(stops) == {0, 1}
    assert all(o.cleared_slices == [3] and not o.weights for o in stops.values())
    assert len(steps.proxy_updates) == 2
    assert all(o.withdrawn_servers == [4] for o in stops.values())
    assert steps.writes == []
    mark = stops[0].checkpoint_id
    assert mark is not None
    assert mark >= FIRST_CHECKPOINT_ID
    assert handover.on_checkpoint_reply(1.2, 0, mark) == HandoverSteps()
    stored = handover.on_checkpoint_reply(1.4, 1, mark)
    assert stored.writes == [(5, [line(3, 8)])]
    assert stored.proxy_updates == []
    assert handover.on_write_acknowledged(1.5, 4) == HandoverSteps()
    assert lines_of(handover.on_write_acknowledged(1.6, 5)) == {0: [8], 1: [8]}
    assert not handover.migrations


def test_pending_batches_are_merged_into_the_next_migration() -> None:
    handover = made()
    first = handover.add_batch(1.0, *batch(5, [line(3, 8)], [0, 1]))
    assert handover.add_batch(1.1, *batch(6, [line(3, 7), line(4, 9)], [0, 1])).proxy_updates == []
    assert (
        len(handover.add_batch(1.1, *batch(7, [line(3, 9)], [0, 1], withdrawn=[2])).proxy_updates) == 2
    )  # updates without weights are sent at once
    for proxy in (0, 1):
        handover.on_checkpoint_reply(1.2, proxy, first.proxy_updates[0][1].checkpoint_id or 0)
    after = handover.on_write_acknowledged(1.3, 5)
    assert lines_of(after) == {0: [8], 1: [8]}
    stops = [o for _, o in after.proxy_updates if o.cleared_slices]
    assert [o.cleared_slices for o in stops] == [[3, 4], [3, 4]]
    for proxy in (0, 1):
        handover.on_checkpoint_reply(1.4, proxy, stops[0].checkpoint_id or 0)
    final = handover.on_write_acknowledged(1.5, 7)
    assert [sorted((x.slice_id, x.server_id) for x in o.weights) for _, o in final.proxy_updates] == [
        [(3, 9), (4, 9)]
    ] * 2


def test_weights_of_a_slice_owned_by_another_are_dropped() -> None:
    handover = made()
    steps = handover.add_batch(1.0, *batch(5, [line(3, 8), line(4, 8)], [0, 1]))
    for proxy in (0, 1):
        handover.on_checkpoint_reply(1.2, proxy, steps.proxy_updates[0][1].checkpoint_id or 0)
    handover.drop_slice(3)
    assert all(
        [x.slice_id for x in o.weights] == [4]
        for _, o in handover.on_write_acknowledged(1.3, 5).proxy_updates
    )


def test_disconnected_proxy_is_waited_for_and_new_proxy_receives_weights_first() -> None:
    handover = made()
    steps = handover.add_batch(1.0, *batch(5, [line(3, 8)], [0, 1]))
    handover.on_checkpoint_reply(1.1, 0, steps.proxy_updates[0][1].checkpoint_id or 0)
    assert handover.on_proxy_disconnected(1.2, 1).writes == []
    assert handover.on_proxy_connected(1.5, 1).proxy_updates == []  # its first update comes with the weights
    assert handover.advance(1.2 + LEASE + LONGEST - 0.01).writes == []
    assert handover.advance(1.2 + LEASE + LONGEST).writes != []
    assert lines_of(handover.on_write_acknowledged(4.5, 5)) == {0: [8], 1: [8]}
    assert [p for p, _ in handover.on_proxy_connected(5.0, 2).proxy_updates] == [2]  # no migration: at once


def test_draining_is_limited_and_unreachable_store_is_waited_for() -> None:
    handover = made(patience_s=1.5)
    handover.add_batch(1.0, *batch(5, [line(3, 8)], [0, 1]))
    assert handover.advance(2.4).writes == []
    assert handover.advance(2.5).writes != []
    assert handover.advance(900.0) == HandoverSteps()
    assert handover.unacknowledged_writes() == [(5, [line(3, 8)])]
    handover.on_token_renewed(3, 44)
    assert handover.unacknowledged_writes() == [(5, [line(3, 8, 44)])]
    assert all(
        x.fencing_token == 44
        for _, o in handover.on_write_acknowledged(901.0, 5).proxy_updates
        for x in o.weights
    )


class Site:
    """Proxies with writes in flight, a store, and messages that are delayed."""

    def __init__(self, seed: int, patience_s: float = 50.0) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.handover = Handover(LEASE, LONGEST, patience_s, 2.0)
        self.table: dict[int, int | None] = {}  # the one slice's server, by proxy
        self.steered: dict[int, float] = {}  # until when each proxy takes writes
        self.writes: list[tuple[int, int, float]] = []  # proxy, server, when it ends
        self.post: list[tuple[float, int, str, Any]] = []
        self.order = 0
        self.stored = 0
        self.max_servers = 0

    def send(self, what: str, data: Any, max_delay_s: float = 0.4) -> None:
        self.order += 1
        self.post.append((self.now + self.rng.uniform(0.01, max_delay_s), self.order, what, data))

    def carry_out(self, steps: HandoverSteps) -> None:
        for proxy, order in steps.proxy_updates:
            last = max((at for at, _, w, d in self.post if w == "order" and d[0] == proxy), default=0.0)
            self.order += 1
            at = max(last, self.now + self.rng.uniform(0.01, 0.4)) + 1e-6  # in order on one stream
            self.post.append((at, self.order, "order", (proxy, self.incarnation.get(proxy, 0), order)))
        for number, lines in steps.writes:
            self.send("write", (number, lines[0].server_id if lines else None))

    incarnation: dict[int, int]

    def busy(self, proxy: int) -> bool:
        return any(p == proxy and end > self.now for p, _, end in self.writes)

    def run(self) -> int:
        self.incarnation = {}
        moves = 0
        for proxy in range(3):
            self.incarnation[proxy] = 1
            self.table[proxy] = self.stored
            self.carry_out(self.handover.on_proxy_connected(self.now, proxy))
        for _ in range(1500):
            self.now += 0.02
            for item in sorted(i for i in self.post if i[0] <= self.now):
                self.post.remove(item)
                self.arrive(item[2], item[3])
            self.carry_out(self.handover.advance(self.now))
            for proxy in list(self.incarnation):
                server = self.table.get(proxy)
                if server is not None and self.steered.get(proxy, 0.0) > self.now and self.rng.random() < 0.2:
                    self.writes.append((proxy, server, self.now + self.rng.uniform(0.0, LONGEST)))
            if self.rng.random() < 0.01:
                moves += 1
                new = self.rng.randrange(10)
                self.carry_out(
                    self.handover.add_batch(
                        self.now,
                        moves,
                        [line(0, new)],
                        [(p, ProxyUpdate(moves, 0.0, 3.0, [line(0, new)])) for p in self.connected],
                    )
                )
            if self.rng.random() < 0.004 and self.connected:
                self.cut(self.rng.choice(self.connected))
            self.writes = [w for w in self.writes if w[2] > self.now]
            servers = {s for _, s, _ in self.writes}
            self.max_servers = max(self.max_servers, len(servers))
        return moves

    @property
    def connected(self) -> list[int]:
        return sorted(self.handover.proxies)

    def cut(self, proxy: int) -> None:
        """Close its stream: both ends notice at once, and it connects again later and reads the store."""
        self.incarnation[proxy] += 1
        self.steered[proxy] = min(self.steered.get(proxy, 0.0), self.now + LEASE)
        self.carry_out(self.handover.on_proxy_disconnected(self.now, proxy))
        self.send("back", proxy, 4.0)

    def arrive(self, what: str, data: Any) -> None:
        match what:
            case "write":
                number, server = data
                self.stored = server if server is not None else self.stored
                self.send("written", number)
            case "written":
                self.carry_out(self.handover.on_write_acknowledged(self.now, data))
            case "back":
                assert isinstance(data, int)
                self.table[data] = self.stored
                self.steered[data] = 0.0
                self.carry_out(self.handover.on_proxy_connected(self.now, data))
            case "applied":
                self.checkpoint_reply_arrives(*data)
            case _:
                self.update_arrives(*data)

    def checkpoint_reply_arrives(self, proxy: int, incarnation: int, mark: int) -> None:
        if self.incarnation[proxy] != incarnation:
            return
        if self.busy(proxy):
            self.send("applied", (proxy, incarnation, mark), 0.05)
        else:
            self.carry_out(self.handover.on_checkpoint_reply(self.now, proxy, mark))

    def update_arrives(self, proxy: int, incarnation: int, order: ProxyUpdate) -> None:
        if self.incarnation[proxy] != incarnation:
            return
        self.steered[proxy] = 1e9
        if order.cleared_slices:
            self.table[proxy] = None
        for x in order.weights:
            self.table[proxy] = x.server_id
        if order.checkpoint_id is not None and order.checkpoint_id >= FIRST_CHECKPOINT_ID:
            self.send("applied", (proxy, incarnation, order.checkpoint_id), 0.05)


@pytest.mark.parametrize("seed", range(25))
def test_no_two_servers_execute_writes_at_once(seed: int) -> None:
    site = Site(seed)
    assert site.run() > 5
    assert site.max_servers == 1


def test_without_draining_two_servers_would_execute_writes_at_once() -> None:
    sites = [Site(seed, patience_s=0.0) for seed in range(10)]
    for site in sites:
        site.run()
    assert max(site.max_servers for site in sites) > 1

"""What a plain dispatcher holds and how it picks: no I/O, no clock, no judgement of servers.

Tables come from the store (Charge) and from assigners (Order). A line of an order for a slice whose charge has a
newer token is dropped; a newer token than known is taken over.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import xxhash

from puffintide.interface import ALL_TABLES
from puffintide.wire.messages import Charge, Level, Order


def slice_of(key: int, slices: int) -> int:
    """xxh64 with seed 0 of the key as 8 bytes, little-endian, modulo the number of slices."""
    return xxhash.xxh64_intdigest(key.to_bytes(8, "little")) % slices


@dataclass(slots=True)
class Table:
    assigner: int = -1
    token: int = 0
    lines: dict[int, float] = field(default_factory=dict)
    turn: dict[int, float] = field(default_factory=dict)  # smooth weighted round


class Tables:
    """pick() gives a server for a slice, admits() whether a request is let in, retry() how tries follow."""

    def __init__(self, slices: int, retry_default: int, pick: str, draw: Callable[[], float]) -> None:
        self.retry_default, self.how, self.draw = retry_default, pick, draw
        self.tables = {number: Table() for number in range(slices)}
        self.addresses: dict[int, str] = {}
        self.withdrawn: dict[int, set[int]] = {}  # by assigner
        self.levels: dict[tuple[int, int], dict[int, Level]] = {}  # (assigner, table): by class
        self._credit: dict[tuple[int, int], float] = {}
        self.stale = 0  # lines dropped as their token was old

    def charge(self, charge: Charge) -> None:
        table = self.tables.get(charge.slice)
        if table is None or charge.token < table.token:
            return
        if charge.token != table.token:
            self.levels.pop((table.assigner, charge.slice), None)
        table.assigner, table.token = charge.assigner, charge.token
        table.lines = {h.server: h.weight for h in charge.lines if h.weight > 0}
        self.addresses.update({h.server: h.address for h in charge.lines if h.address})

    def order(self, assigner: int, order: Order) -> None:
        """All of it at once."""
        for number in order.clear:
            table = self.tables.get(number)
            if table is not None and table.assigner == assigner:
                table.lines.clear()
                self.levels.pop((assigner, number), None)
        for line in order.lines:
            table = self.tables.get(line.table)
            if table is None or line.token < table.token:
                self.stale += 1
                continue
            if line.token > table.token:
                table.assigner, table.token = assigner, line.token
            if line.address:
                self.addresses[line.server] = line.address
            if line.weight > 0:
                table.lines[line.server] = line.weight
            else:
                table.lines.pop(line.server, None)
                table.turn.pop(line.server, None)
        out = self.withdrawn.setdefault(assigner, set())
        out.update(order.out)
        out.difference_update(order.back)
        for level in order.levels:
            classes = [k for k in range(16) if not level.classes or level.classes >> k & 1]
            self.levels.setdefault((assigner, level.table), {}).update(dict.fromkeys(classes, level))

    def open(self, number: int) -> dict[int, float]:
        table = self.tables[number]
        out = self.withdrawn.get(table.assigner, set())
        return {s: w for s, w in table.lines.items() if s not in out}

    def pick(self, number: int, avoid: frozenset[int] = frozenset()) -> int | None:
        """A server for the slice, evenly by weight; one of `avoid` only where there is no other."""
        lines = self.open(number)
        lines = {s: w for s, w in lines.items() if s not in avoid} or lines
        if not lines:
            return None
        if self.how == "random":
            mark = self.draw() * sum(lines.values())
            for server, weight in sorted(lines.items()):
                mark -= weight
                if mark <= 0:
                    return server
            return max(lines)
        turn = self.tables[number].turn
        total = 0.0
        for server, weight in lines.items():
            turn[server] = turn.get(server, 0.0) + weight
            total += weight
        best = max(sorted(lines), key=lambda s: turn[s])
        turn[best] -= total
        return best

    def _level(self, number: int, request_class: int) -> tuple[float, Level | None]:
        assigner = self.tables[number].assigner
        every = self.levels.get((assigner, ALL_TABLES), {}).get(request_class)
        own = self.levels.get((assigner, number), {}).get(request_class)
        least = min((x.level for x in (every, own) if x is not None), default=1.0)
        return least, own or every

    def admits(self, number: int, request_class: int, admit: str) -> bool:
        """Whether the next request is let in; shares are dealt evenly, not by chance."""
        if admit != "fraction":
            return True
        level, _ = self._level(number, request_class)
        if level >= 1:
            return True
        key = (self.tables[number].assigner, request_class)
        credit = self._credit.get(key, 0.0) + level
        self._credit[key] = credit - (credit >= 1)
        return credit >= 1

    def retry(self, number: int, request_class: int) -> int:
        _, level = self._level(number, request_class)
        return self.retry_default if level is None else level.retry

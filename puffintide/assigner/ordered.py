"""The tables in this assigner's charge, as it has ordered them. Pure.

In an unbroken tenure these hold, whatever the store missed: it was away, it lost its last commits, or it came back
from a backup. Where another has had the slice in between, what was ordered before is void: it went by a table that
is no more.
"""

from __future__ import annotations

from collections.abc import Iterable

from puffintide.protocol.messages import Charge, Held, Line


class Ordered:
    def __init__(self) -> None:
        self.lines: dict[int, dict[int, Held]] = {}
        self.batches: dict[int, int] = {}  # of the last order for each
        self.changed: set[int] = set()  # since somebody took note

    def charge(self, charge: Charge, goes_on: bool) -> None:
        if not goes_on:
            self.lines[charge.slice] = {h.server: h for h in charge.lines}
            self.batches[charge.slice] = charge.batch
        self.changed.add(charge.slice)

    def written(self, batch: int, lines: Iterable[Line]) -> None:
        for line in lines:
            table = self.lines.setdefault(line.table, {})
            if line.weight > 0:
                table[line.server] = Held(line.server, line.weight, line.address, line.zone)
            else:
                table.pop(line.server, None)
            self.batches[line.table] = batch
            self.changed.add(line.table)

    def taken(self, number: int) -> None:
        self.lines.pop(number, None)
        self.batches.pop(number, None)
        self.changed.discard(number)

    def missing(self, charges: Iterable[Charge]) -> tuple[int, list[Line]]:
        """(batch, lines) to write once more under the tokens that were given: what the store's tables lack."""
        lines: list[Line] = []
        batch = 0
        for charge in charges:
            mine, stored = self.lines.get(charge.slice, {}), {h.server: h for h in charge.lines}
            new = [h for s, h in sorted(mine.items()) if s not in stored or stored[s].weight != h.weight]
            found = [Line(charge.slice, h.server, h.weight, charge.token, h.address, h.zone) for h in new]
            found += [Line(charge.slice, s, 0.0, charge.token) for s in sorted(stored.keys() - mine.keys())]
            if found:
                lines += found
                batch = max(batch, self.batches.get(charge.slice, 0))
        return batch, lines

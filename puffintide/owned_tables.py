"""The tables in this assigner's charge, as it has ordered them. Pure.

In an unbroken tenure these hold, whatever the store missed: it was away, it lost its last commits, or it came back
from a backup. Where another has had the slice in between, what was ordered before is void: it went by a table that
is no more.
"""

from __future__ import annotations

from collections.abc import Iterable

from puffintide.protocol.messages import SliceOwnership, TableEntry, WeightEntry


class OwnedTables:
    def __init__(self) -> None:
        self.entries: dict[int, dict[int, TableEntry]] = {}
        self.batches: dict[int, int] = {}  # of the last order for each
        self.changed_slices: set[int] = set()  # since somebody took note

    def on_ownership_granted(self, charge: SliceOwnership, goes_on: bool) -> None:
        if not goes_on:
            self.entries[charge.slice_id] = {h.server_id: h for h in charge.entries}
            self.batches[charge.slice_id] = charge.batch
        self.changed_slices.add(charge.slice_id)

    def apply_writes(self, batch: int, lines: Iterable[WeightEntry]) -> None:
        for line in lines:
            table = self.entries.setdefault(line.slice_id, {})
            if line.weight > 0:
                table[line.server_id] = TableEntry(line.server_id, line.weight, line.address, line.zone)
            else:
                table.pop(line.server_id, None)
            self.batches[line.slice_id] = batch
            self.changed_slices.add(line.slice_id)

    def on_ownership_revoked(self, number: int) -> None:
        self.entries.pop(number, None)
        self.batches.pop(number, None)
        self.changed_slices.discard(number)

    def missing_writes(self, charges: Iterable[SliceOwnership]) -> tuple[int, list[WeightEntry]]:
        """(batch, lines) to write once more under the tokens that were given: what the store's tables lack."""
        lines: list[WeightEntry] = []
        batch = 0
        for charge in charges:
            mine, stored = self.entries.get(charge.slice_id, {}), {h.server_id: h for h in charge.entries}
            new = [h for s, h in sorted(mine.items()) if s not in stored or stored[s].weight != h.weight]
            found = [
                WeightEntry(charge.slice_id, h.server_id, h.weight, charge.fencing_token, h.address, h.zone)
                for h in new
            ]
            found += [
                WeightEntry(charge.slice_id, s, 0.0, charge.fencing_token)
                for s in sorted(stored.keys() - mine.keys())
            ]
            if found:
                lines += found
                batch = max(batch, self.batches.get(charge.slice_id, 0))
        return batch, lines

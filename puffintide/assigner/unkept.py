"""Lines that the store has not told to be kept: which stand, and which are void. Pure.

A line stands while the slice's tenure is unbroken, under whatever token holds now. Where another has had the
slice in between, what was ordered before is void: it went by a table that is no more.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

import msgspec

from puffintide.wire.messages import Line


class Unkept:
    """At most one line for each table and server, the newest last."""

    def __init__(self) -> None:
        self.rows: dict[tuple[int, int], tuple[int, Line]] = {}  # by table and server: batch, line

    def put(self, batch: int, lines: list[Line]) -> None:
        for line in lines:
            self.rows.pop((line.table, line.server), None)
            self.rows[line.table, line.server] = (batch, line)

    def kept(self, batch: int) -> None:
        """All up to this batch is kept, or was refused."""
        self.rows = {k: row for k, row in self.rows.items() if row[0] > batch}

    def void(self, number: int) -> None:
        self.rows = {k: row for k, row in self.rows.items() if k[0] != number}

    def again(self, slices: Collection[int], tokens: Mapping[int, int]) -> tuple[int, list[Line]]:
        """(batch, lines) to write once more, for slices whose tenure goes on."""
        rows = [row for (table, _), row in self.rows.items() if table in slices]
        lines = [msgspec.structs.replace(line, token=tokens[line.table]) for _, line in rows]
        return max((batch for batch, _ in rows), default=0), lines

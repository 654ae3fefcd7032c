"""Who has charge of each slice, and the tables. Pure: time is passed in, nothing is read or sent.

A slice has a home assigner (its number modulo the assigners there are). While the home is away for longer than
takeover_s the slice is given to the next one present, and back when the home returns. Every change of charge takes
a new token; a write with an older token is refused, so that an assigner that was stopped beyond its charge and
wakes again changes nothing.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from puffintide.wire.messages import Charge, Held, Line


@dataclass(slots=True)
class SliceRecord:
    assigner: int = -1
    token: int = 0
    batch: int = 0  # of the last write under this token
    lines: dict[int, Held] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Change:
    """A slice went from one assigner to another; -1 is nobody."""

    slice: int
    old: int
    new: int


class Book:
    def __init__(
        self,
        slices: int,
        assigners: int,
        takeover_s: float,
        single_writer: bool,
        lines_most: int = 1000,
        opened: float = 0.0,
    ) -> None:
        self.assigners, self.takeover_s, self.single_writer = assigners, takeover_s, single_writer
        self.lines_most = lines_most  # of one table
        self.opened = opened  # when the store began
        self.slices = {number: SliceRecord() for number in range(slices)}
        self.present: set[int] = set()
        self.away: dict[int, float] = {}  # since when
        self.token = 0

    def home(self, number: int) -> int:
        return number % self.assigners

    def joined(self, now: float, assigner: int) -> list[Change]:
        """An assigner's stream stands. What it had is given to it anew, since it may have missed changes or
        lost its memory; its home slices come back to it."""
        self.present.add(assigner)
        self.away.pop(assigner, None)
        changes: list[Change] = []
        for number, record in sorted(self.slices.items()):
            if assigner in (record.assigner, self.home(number)):
                changes.append(self._give(number, assigner))
        return changes + self.due(now)

    def left(self, now: float, assigner: int) -> None:
        if assigner in self.present:
            self.present.discard(assigner)
            self.away[assigner] = now

    def due(self, now: float) -> list[Change]:
        """Slices whose assigner has been away for too long, or that nobody has, go to one that is present."""
        changes: list[Change] = []
        here = sorted(self.present)
        for number, record in sorted(self.slices.items()):
            gone = self.away.get(record.assigner)
            lost = record.assigner not in self.present and (gone is None or now - gone >= self.takeover_s)
            if not lost or not here:
                continue
            if record.assigner < 0 and now - self.opened < self.takeover_s:
                continue  # nobody has been seen yet: the home has its time to come
            changes.append(self._give(number, here[number % len(here)]))
        return changes

    def _give(self, number: int, assigner: int) -> Change:
        record = self.slices[number]
        self.token += 1
        old, record.assigner, record.token = record.assigner, assigner, self.token
        record.batch = 0
        return Change(number, old, assigner)

    def charge(self, number: int) -> Charge:
        record = self.slices[number]
        lines = [record.lines[s] for s in sorted(record.lines)]
        return Charge(number, record.token, record.assigner, lines, record.batch)

    def load(self, tables: Mapping[int, Sequence[Held]]) -> None:
        """Tables to start with."""
        for number, lines in tables.items():
            self.slices[number].lines = {h.server: h for h in lines}

    def write(
        self, assigner: int, lines: Sequence[Line], clear: Sequence[int], batch: int = 0
    ) -> dict[int, str]:
        """Takes lines whose writer has charge; gives the reason for each slice refused."""
        refused: dict[int, str] = {}
        for number in clear:
            record = self.slices.get(number)
            if record is not None and record.assigner == assigner:
                record.lines.clear()
                record.batch = max(record.batch, batch)
            else:
                refused[number] = "not in this assigner's charge"
        for line in lines:
            record = self.slices.get(line.table)
            if record is None:
                refused[line.table] = "no such slice"
            elif record.assigner != assigner:
                refused[line.table] = f"in charge of assigner {record.assigner}"
            elif line.token != record.token:
                refused[line.table] = f"token {line.token} is not the present {record.token}"
            elif line.weight <= 0:
                record.batch = max(record.batch, batch)
                record.lines.pop(line.server, None)
            elif line.server not in record.lines and len(record.lines) >= self.lines_most:
                refused[line.table] = f"a table holds {self.lines_most} lines at most"
            else:
                record.batch = max(record.batch, batch)
                if self.single_writer:
                    record.lines.clear()
                record.lines[line.server] = Held(line.server, line.weight, line.address, line.zone)
        return refused

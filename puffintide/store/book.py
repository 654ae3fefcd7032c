"""Who has charge of each slice, and the tables. Pure: time is passed in, nothing is read or sent.

A slice has a home assigner (its number modulo the assigners there are), or the one that an operator moved it to.
While that one is away for longer than takeover_s the slice is given to another that is present, and it goes back
when it returns, so many slices a second, as each change costs caches. Every change of charge takes a new token; a
write with an older token is refused, so that an assigner that was stopped beyond its charge and wakes again changes
nothing, whatever the clocks say.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from puffintide.protocol.messages import SliceOwnership, TableEntry, WeightEntry
from puffintide.protocol.validation import weights_problem
from puffintide.store.engine import Image, SliceState

BURST_S = 0.25  # of the pace that may be saved up


@dataclass(slots=True)
class SliceRecord:
    assigner: int = -1
    token: int = 0
    batch: int = 0  # of the last write under this token
    lines: dict[int, TableEntry] = field(default_factory=dict)
    pin: int = -1  # the assigner that an operator moved it to
    since: int = 0  # the first token of this unbroken tenure
    life: int = 0  # which life of the assigner has it


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
        moves_per_s: float = 200.0,
    ) -> None:
        self.assigners, self.takeover_s, self.single_writer = assigners, takeover_s, single_writer
        self.lines_most = lines_most  # of one table
        self.opened = opened  # when the store began: whoever is not there yet has its time to come
        self.moves_per_s = moves_per_s
        self.slices = {number: SliceRecord() for number in range(slices)}
        self.present: set[int] = set()
        self.away: dict[int, float] = {}  # since when
        self.lives: dict[int, int] = {}  # of those present
        self.token = 0
        self.dirty: set[int] = set()  # changed since these were last taken
        self._credit, self._looked = 0.0, opened

    def home(self, number: int) -> int:
        pin = self.slices[number].pin
        return pin if pin >= 0 else number % self.assigners

    def joined(self, now: float, assigner: int, life: int = 0) -> list[Change]:
        """An assigner's stream stands. What it had is given to it anew, as it may have missed that; in the same
        life its tenure goes on, and what it ordered while we were away counts. Its home slices that others have
        come back by and by."""
        self.present.add(assigner)
        self.lives[assigner] = life
        self.away.pop(assigner, None)
        mine = [n for n, record in sorted(self.slices.items()) if record.assigner == assigner]
        nobodys = [n for n, r in sorted(self.slices.items()) if r.assigner < 0 and self.home(n) == assigner]
        return [self._give(number, assigner) for number in sorted(mine + nobodys)] + self.due(now)

    def left(self, now: float, assigner: int) -> None:
        if assigner in self.present:
            self.present.discard(assigner)
            self.away[assigner] = now

    def due(self, now: float) -> list[Change]:
        """Slices whose assigner has been away for too long, or that nobody has, go to one that is present; those
        that stand elsewhere go home, at the pace."""
        most = max(1.0, self.moves_per_s * BURST_S)
        self._credit = min(most, self._credit + self.moves_per_s * max(0.0, now - self._looked))
        self._looked = now
        changes: list[Change] = []
        here = sorted(self.present)
        for number, record in sorted(self.slices.items()) if here else []:
            home = self.home(number)
            if record.assigner in self.present:
                if home != record.assigner and home in self.present and self._credit >= 1:
                    self._credit -= 1
                    changes.append(self._give(number, home))
            elif now - self.away.get(record.assigner, self.opened) >= self.takeover_s:
                changes.append(self._give(number, home if home in self.present else here[number % len(here)]))
        return changes

    def members(self, now: float) -> list[int]:
        """Those present, and those away whose lease has not run out."""
        held = [a for a, since in self.away.items() if now - since < self.takeover_s]
        return sorted({*self.present, *held})

    def move(self, numbers: Sequence[int], to: int) -> str | None:
        """An operator's move: these slices have their home there from now on; -1 takes that back. Gives what is
        wrong, and then nothing is moved."""
        unknown = [n for n in numbers if n not in self.slices]
        if unknown:
            return f"slice {unknown[0]} is not among the {len(self.slices)}"
        if not -1 <= to < self.assigners:
            return f"assigner {to} is not among the {self.assigners}"
        for number in numbers:
            self.slices[number].pin = to
            self.dirty.add(number)
        return None

    def seen(self, token: int) -> list[Change]:
        """A party has seen this token. One beyond ours means that we are an older copy of ourselves: tokens go on
        above it, and all that is in charge is given anew, so that nothing given out before counts any more."""
        if token <= self.token:
            return []
        self.token = token
        held = [(n, r.assigner) for n, r in sorted(self.slices.items()) if r.assigner in self.present]
        return [self._give(number, assigner) for number, assigner in held]

    def _give(self, number: int, assigner: int) -> Change:
        record = self.slices[number]
        self.token += 1
        life = self.lives.get(assigner, 0)
        if record.assigner != assigner or record.life != life or not record.since:
            record.since, record.life, record.batch = self.token, life, 0
        old, record.assigner, record.token = record.assigner, assigner, self.token
        self.dirty.add(number)
        return Change(number, old, assigner)

    def state(self, number: int) -> SliceState:
        record = self.slices[number]
        lines = [record.lines[s] for s in sorted(record.lines)]
        return SliceState(
            number, record.assigner, record.token, record.batch, lines, record.pin, record.since, record.life
        )

    def take_dirty(self) -> tuple[SliceState, ...]:
        found = tuple(self.state(number) for number in sorted(self.dirty))
        self.dirty = set()
        return found

    def load(self, tables: Mapping[int, Sequence[TableEntry]]) -> None:
        """Tables to start with."""
        for number, lines in tables.items():
            self.slices[number].lines = {h.server_id: h for h in lines}
            self.dirty.add(number)

    def restore(self, image: Image) -> None:
        """What was kept. Slices beyond those there are now are left as they are kept."""
        self.token = image.token
        for number, state in image.slices.items():
            if number in self.slices:
                pin = state.pin if state.pin < self.assigners else -1
                lines = {h.server_id: h for h in state.lines}
                self.slices[number] = SliceRecord(
                    state.assigner, state.token, state.batch, lines, pin, state.since, state.life
                )

    def write(self, assigner: int, lines: Sequence[WeightEntry], batch: int = 0) -> dict[int, str]:
        """Takes lines whose writer has charge; gives the reason for each slice refused."""
        refused: dict[int, str] = {}
        for line in lines:
            record = self.slices.get(line.slice_id)
            if record is None:
                refused[line.slice_id] = "no such slice"
            elif record.assigner != assigner:
                refused[line.slice_id] = f"in charge of assigner {record.assigner}"
            elif line.fencing_token != record.token:
                refused[line.slice_id] = f"token {line.fencing_token} is not the present {record.token}"
            elif (wrong := weights_problem([line])) is not None:
                refused[line.slice_id] = wrong
            elif (
                line.weight > 0
                and line.server_id not in record.lines
                and len(record.lines) >= self.lines_most
            ):
                refused[line.slice_id] = f"a table holds {self.lines_most} lines at most"
            else:
                record.batch = max(record.batch, batch)
                self.dirty.add(line.slice_id)
                if line.weight <= 0:
                    record.lines.pop(line.server_id, None)
                    continue
                if self.single_writer:
                    record.lines.clear()
                record.lines[line.server_id] = TableEntry(
                    line.server_id, line.weight, line.address, line.zone
                )
        return refused


def charge_of(state: SliceState) -> SliceOwnership:
    return SliceOwnership(state.slice, state.token, state.assigner, state.lines, state.batch, state.since)

"""Tables of slices as rows of copies, and what a store that lost all takes from them. Pure.

A row's value is (token, batch, then server, weight, address, zone of each line).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

import msgspec

from puffintide.owned_tables import OwnedTables
from puffintide.protocol.checks import wrong_lines
from puffintide.protocol.messages import ReplicatedRow, ReplicationDelta, TableEntry, Value
from puffintide.replication import conflict_resolution
from puffintide.replication.replica import MAX_ROWS_PER_DELTA, Reading, Replica

KIND = "table"
ADOPT_S = 1.0
AGE_MOST = 1e8  # seconds
FENCING_TOKEN_GAP = (
    2**32
)  # between the highest token that was seen and the first of a store that was refilled


def pack_table(token: int, batch: int, lines: Iterable[TableEntry]) -> Value:
    flat: list[float | str] = [float(token), float(batch)]
    for h in sorted(lines, key=lambda h: h.server_id):
        flat += [float(h.server_id), h.weight, h.address, float(h.zone)]
    return tuple(flat)


def unpack_table(value: Value) -> list[TableEntry]:
    return [
        TableEntry(int(value[at]), float(value[at + 1]), str(value[at + 2]), int(value[at + 3]))
        for at in range(2, len(value), 4)
    ]


def table_problem(number: int, value: Value, slices: int) -> str | None:
    """Why it can be no table's copy, or None."""
    if not 0 <= number < slices:
        return f"table {number} is not among the {slices}"
    if len(value) < 2 or len(value) % 4 != 2:
        return f"table {number}: {len(value)} values are no token, batch and lines of four"
    for at, item in enumerate(value):
        if isinstance(item, str) != (at >= 2 and at % 4 == 0):
            return f"table {number}: value {at} is of the wrong kind"
        if isinstance(item, float | int) and not (math.isfinite(item) and abs(item) < 2**53):
            return f"table {number}: value {at} is beyond all bounds"
    if min(float(value[0]), float(value[1])) < 0:
        return f"table {number}: token {value[0]} or batch {value[1]} is below 0"
    return wrong_lines(unpack_table(value))


KINDS = {KIND: None, "fleet": 1, "server": 2, "leaving": 1}  # and how many figures each holds


def validate_delta(piece: ReplicationDelta, slices: int) -> tuple[list[str], ReplicationDelta | None]:
    """(reasons, what of it is sound): a row that can't be is refused for itself, and the rest taken. None: nothing
    of it can be used.
    """
    if not (
        0 <= piece.after_sequence <= piece.through_sequence <= piece.latest_sequence
        and piece.compacted_sequence >= 0
        and piece.incarnation >= 0
    ):
        return [
            f"after {piece.after_sequence}, upto {piece.through_sequence}, top {piece.latest_sequence} do not rise"
        ], None
    good, reasons = [], []
    for row in piece.rows:
        wrong = _wrong_row(row, piece, slices)
        if wrong is None:
            good.append(row)
        else:
            reasons.append(wrong)
    gone = [
        row
        for row in piece.deletions
        if row[0] in KINDS and piece.after_sequence < row[2] <= piece.through_sequence
    ]
    reasons += [
        f"taken back: {row[0][:20]!r} {row[1]}, {row[2]}" for row in piece.deletions if row not in gone
    ]
    return reasons, msgspec.structs.replace(piece, rows=good, deletions=gone)


def _wrong_row(row: ReplicatedRow, piece: ReplicationDelta, slices: int) -> str | None:
    where = f"{row.row_type[:20]!r} {row.row_id}"
    if row.row_type not in KINDS:
        return f"{where}: no such kind"
    if not piece.after_sequence < row.sequence <= piece.through_sequence:
        return (
            f"{where}: sequence {row.sequence} is not from {piece.after_sequence} to {piece.through_sequence}"
        )
    if not 0 <= row.age_s < AGE_MOST:
        return f"{where}: age {row.age_s:g} s"
    if row.row_type == KIND:
        return table_problem(row.row_id, row.value, slices)
    if not -1 <= row.row_id < 2**31 or len(row.value) != KINDS[row.row_type]:
        return f"{where}: {len(row.value)} figures of {KINDS[row.row_type]}"
    sound = all(isinstance(v, float | int) and math.isfinite(v) and 0 <= v < 2**53 for v in row.value)
    return None if sound else f"{where}: {row.value!r:.60} can't be"


def publish_tables(now: float, replica: Replica, tokens: Mapping[int, int], ordered: OwnedTables) -> None:
    """Puts the tables in one assigner's charge into its copies when they change. The copy of one that was taken
    stays until another's with a later token is here: store and new owner may be lost together.
    """
    for number in sorted(ordered.changed_slices & tokens.keys()):
        lines = ordered.entries.get(number, {}).values()
        replica.put(now, KIND, number, pack_table(tokens[number], ordered.batches.get(number, 0), lines))
    ordered.changed_slices = set()


def adopt_orphans(now: float, replica: Replica) -> None:
    """An assigner that comes back without what it had must not take the others' copies of it along. Who follows it
    by number writes them as its own, the next after a while, unless a copy as new stands by then.
    """
    numbers = [number for _, number in replica.orphans]
    readings = replica.readings(now, KIND, numbers=numbers) if numbers else {}
    for (kind, number), orphan in sorted(replica.orphans.items()):
        best = conflict_resolution.latest_table(readings.get(number, []))
        if best is not None and best.value[:2] >= orphan.row.value[:2]:
            del replica.orphans[kind, number]
        elif (
            now - orphan.orphaned_at_s
            >= ((replica.local_id - orphan.origin_id) % replica.origin_count - 1) * ADOPT_S
        ):
            replica.put(orphan.row.observed_at_s, kind, number, orphan.row.value)
            del replica.orphans[kind, number]


def delete_superseded(now: float, replica: Replica, tokens: Mapping[int, int]) -> None:
    """Takes back copies that another's later token has made idle."""
    idle = replica.local_rows(KIND).keys() - tokens.keys()
    readings = replica.readings(now, KIND, numbers=idle) if idle else {}
    for number in sorted(idle):
        best = conflict_resolution.latest_table(readings[number])
        if best is not None and best.origin_id != replica.local_id:
            replica.delete(KIND, number)


def latest_tables(
    replica: Replica, clock: Callable[[], float], changed: Iterable[int] | None = None
) -> Iterator[ReplicationDelta]:
    """For each slice, or these, the table that holds by the rule, as pieces; the last one's upto is its top. Each
    is made when it is asked for, so that no turn of the loop is long.
    """
    held = {n for h in replica.origin_states.values() for n in h.rows_by_type.get(KIND, {})}
    held |= {n for h in replica.origin_states.values() for kind, n in h.previous_rows if kind == KIND}
    numbers = sorted(held if changed is None else held.intersection(changed))
    for first in range(0, max(1, len(numbers)), MAX_ROWS_PER_DELTA):
        part = numbers[first : first + MAX_ROWS_PER_DELTA]
        readings = replica.readings(clock(), KIND, numbers=part)
        best = [
            (n, r) for n in part if (r := conflict_resolution.latest_table(readings.get(n, []))) is not None
        ]
        rows = [
            ReplicatedRow(KIND, n, first + k + 1, round(r.age_s, 3), r.value) for k, (n, r) in enumerate(best)
        ]
        yield ReplicationDelta(replica.local_id, 0, first, first + len(part), len(numbers), 0, rows)


def table_conflicts(views: Mapping[str, Replica]) -> list[str]:
    """A line for each slice whose newest table differs between holders, and the rule by which one counts."""
    best: dict[int, dict[str, Reading]] = {}
    for who, replica in sorted(views.items()):
        for number, rows in replica.readings(0.0, KIND).items():
            found = conflict_resolution.latest_table(rows)
            if found is not None:
                best.setdefault(number, {})[who] = found
    lines = []
    for number, held in sorted(best.items()):
        latest_tables = conflict_resolution.latest_table(held.values())
        assert latest_tables is not None
        behind = [w for w in sorted(views) if w not in held or held[w].value != latest_tables.value]
        if behind:
            one = all(r.value[0] == latest_tables.value[0] for r in held.values())
            rule = "the latest write" if one else "the highest token"
            lines.append(
                f"slice {number}: {', '.join(behind)} not as assigner {latest_tables.origin_id} wrote it, token "
                f"{latest_tables.value[0]:.0f}, batch {latest_tables.value[1]:.0f}; {rule} counts"
            )
    return lines


class TableRestore:
    """Gathers what assigners hold, for a store that is empty. By itself it goes on once all configured assigners
    have answered, or wait_s after the first and with more than half of them: never on one word where others may
    hold newer. An operator may let it go on with those that are there.
    """

    def __init__(self, slices: int, assigners: int, wait_s: float) -> None:
        self.slices, self.assigners, self.wait_s = slices, assigners, wait_s
        self.best: dict[int, Value] = {}
        self.answered: set[int] = set()
        self.first: float | None = None
        self.parts: dict[int, dict[int, Value]] = {}  # of answers that are under way
        self.token = 0  # the highest that was seen, also of tables that lost

    def on_delta(self, now: float, assigner: int, piece: ReplicationDelta) -> list[str]:
        """A piece of an answer; gives why rows of it were refused."""
        if piece.after_sequence == 0:
            self.parts[assigner] = {}
        reasons = []
        part = self.parts.setdefault(assigner, {})
        for row in piece.rows:
            wrong = f"kind {row.row_type[:20]!r} is no table"
            if row.row_type == KIND:
                wrong = table_problem(row.row_id, row.value, self.slices) or ""
            if not wrong:
                part[row.row_id] = row.value
            else:
                reasons.append(wrong)
        if piece.through_sequence >= piece.latest_sequence:
            self.answered.add(assigner)
            self.first = now if self.first is None else self.first
            for number, value in self.parts.pop(assigner).items():
                self.token = max(self.token, int(float(value[0])))
                self.best[number] = max(self.best.get(number, value), value)
        return reasons

    def on_assigner_disconnected(self, assigner: int) -> None:
        """Its stream broke: what it had told in full stands."""
        self.parts.pop(assigner, None)

    def is_ready(self, now: float) -> bool:
        waited = self.first is not None and now - self.first >= self.wait_s
        return len(self.answered) >= self.assigners or (waited and 2 * len(self.answered) > self.assigners)

    def first_fencing_token(self, own: int) -> int:
        """From here on tokens go: far above any that was seen, also by those that did not answer."""
        return max(own, self.token + FENCING_TOKEN_GAP)

    def tables(self) -> dict[int, Sequence[TableEntry]]:
        return {number: unpack_table(value) for number, value in sorted(self.best.items())}

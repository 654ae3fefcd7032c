"""What every assigner knows, as each holds it. Pure: time is passed in, nothing is read or sent.

A row has one origin, which alone writes it, under a version of that origin: its life and a sequence that rises
with each change. What is held of an origin is a function of the version up to which it is complete, so that of two
copies the one with the higher version is the newer one whole, in whatever order, how often and by whatever way it
came.
Wall clocks have no part in it; a row's age travels along and goes on on the holder's own monotonic clock.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from operator import itemgetter

from puffintide.protocol.messages import ReplicatedRow, ReplicationDelta, ReplicaVersion, Value

MAX_DELETIONS = 2000  # rows taken back that are remembered of one origin; who knows less is sent all
MAX_ROWS_PER_DELTA = 400  # in one message
LOG_COMPACTION_SLACK = 64
NONCE_BITS = 20  # the lowest of a life
DURABLE_ROW_TYPES = ("table",)  # kinds that outlive the life in which they were written

Key = tuple[str, int]  # kind and number


@dataclass(frozen=True, slots=True)
class Row:
    sequence: int
    observed_at_s: float  # when its origin observed it, on our clock
    value: Value


@dataclass(frozen=True, slots=True)
class Reading:
    """A row as others see it."""

    origin_id: int
    version: tuple[int, int]
    age_s: float
    value: Value


@dataclass(frozen=True, slots=True)
class Orphan:
    origin_id: int
    orphaned_at_s: float
    row: Row


@dataclass(slots=True)
class OriginState:
    """All that is held of one origin: complete up to (life, seq)."""

    incarnation: int = 0
    sequence: int = 0
    compacted_sequence: int = 0  # what was taken back up to here is forgotten, and nothing of it is held
    latest_sequence: int = 0  # the highest sequence of this life that was heard of
    rows: dict[Key, Row] = field(default_factory=dict)
    rows_by_type: dict[str, dict[int, Row]] = field(
        default_factory=dict
    )  # the same, so that one kind is found at once
    deletions: dict[Key, int] = field(default_factory=dict)  # like rows and log by sequence, the latest last
    change_log: list[tuple[int, Key]] = field(
        default_factory=list
    )  # all of them; some have changed again since
    previous_rows: dict[Key, Row] = field(default_factory=dict)  # read until what takes its place is whole

    def version(self) -> tuple[int, int]:
        return self.incarnation, self.sequence

    def accepts_changes(self, life: int, after: int, floor: int, top: int) -> bool:
        """Whether changes after that sequence, told by one who holds all up to top and has forgotten what was taken
        back up to floor, go on from what is held here. Who is less far than our floor may hold what died since."""
        return (
            life == self.incarnation
            and after <= self.sequence
            and max(self.sequence, self.compacted_sequence) >= floor
            and top >= self.compacted_sequence
        )

    def clear(self) -> None:
        self.sequence = 0
        self.rows, self.rows_by_type, self.deletions, self.change_log = {}, {}, {}, []

    def record_change(self, key: Key, seq: int, row: Row | None) -> None:
        """A change, the latest so far: the row as it is now, or None where it was taken back."""
        self.rows.pop(key, None)
        self.deletions.pop(key, None)
        if row is not None:
            self.rows[key] = row
            self.rows_by_type.setdefault(key[0], {})[key[1]] = row
        else:
            self.deletions[key] = seq
            self.rows_by_type.get(key[0], {}).pop(key[1], None)
        while len(self.deletions) > MAX_DELETIONS:
            oldest = next(iter(self.deletions))
            self.compacted_sequence = max(self.compacted_sequence, self.deletions.pop(oldest))
        self.change_log.append((seq, key))
        if len(self.change_log) > 2 * (len(self.rows) + len(self.deletions)) + LOG_COMPACTION_SLACK:
            self.change_log = [entry for entry in self.change_log if self.is_current(entry)]

    def is_current(self, entry: tuple[int, Key]) -> bool:
        seq, key = entry
        row = self.rows.get(key)
        return row.sequence == seq if row is not None else self.deletions.get(key) == seq

    def changes_after(self, after: int, most: int) -> list[tuple[int, Key]]:
        """The next ones, in order."""
        found: list[tuple[int, Key]] = []
        for at in range(bisect_right(self.change_log, after, key=itemgetter(0)), len(self.change_log)):
            if len(found) >= most:
                break
            if self.is_current(self.change_log[at]):
                found.append(self.change_log[at])
        return found


class Replica:
    """me: our own number. life: which start of this assigner it is; goes above any that others remember of us.
    nonce: drawn at the start, below 2^NONCE_BITS; tells two starts under one life's number apart."""

    def __init__(self, me: int, life: int, origins: int, nonce: int = 0) -> None:
        self.local_id, self.origin_count, self.nonce = me, origins, nonce
        self.origin_states = {me: OriginState(life << NONCE_BITS | nonce)}
        self.orphans: dict[Key, Orphan] = {}  # lasting rows of an origin that began anew without them
        self.incarnation_conflicts = 0  # times that others knew a later life of us than our own
        self.contested_deltas = 0  # two origins under one number: pieces of our own life that we never wrote

    # What we know ourselves ----------------------------------------------------------------------

    def put(self, now: float, kind: str, number: int, value: Value) -> None:
        """An observation of now. Each makes a new version: call it when the value changed, or has grown old."""
        mine = self.origin_states[self.local_id]
        mine.sequence += 1
        mine.record_change((kind, number), mine.sequence, Row(mine.sequence, now, value))

    def delete(self, kind: str, number: int) -> None:
        """No longer ours to tell. What is dead stays dead: the others hear of it as of a row."""
        mine = self.origin_states[self.local_id]
        if (kind, number) in mine.rows:
            mine.sequence += 1
            mine.record_change((kind, number), mine.sequence, None)

    def local_rows(self, kind: str) -> Mapping[int, Row]:
        return self.origin_states[self.local_id].rows_by_type.get(kind, {})

    # Between assigners ---------------------------------------------------------------------------

    def digest(self) -> list[ReplicaVersion]:
        return [
            ReplicaVersion(o, h.incarnation, h.sequence, h.compacted_sequence)
            for o, h in sorted(self.origin_states.items())
        ]

    def is_behind(self, theirs: Iterable[ReplicaVersion]) -> bool:
        """Whether somebody knows more of any origin than we do; our own later life counts as heard of."""
        found = False
        for version in theirs:
            if 0 <= version.origin_id < self.origin_count:
                self._outbid(version)
                held = self.origin_states.get(version.origin_id, OriginState())
                found |= (
                    version.origin_id != self.local_id
                    and (version.incarnation, version.sequence) > held.version()
                )
        return found

    def _outbid(self, version: ReplicaVersion) -> None:
        """Others remember of us what we did not write: our life's number was used before, and a file was lost. A
        former life never outranks the present one, so ours goes above."""
        mine = self.origin_states[self.local_id]
        if version.origin_id != self.local_id or (version.incarnation, version.sequence) <= mine.version():
            return
        mine.incarnation = ((version.incarnation >> NONCE_BITS) + 1) << NONCE_BITS | self.nonce
        rows, mine.compacted_sequence = mine.rows, 0
        mine.clear()
        for key, row in rows.items():
            mine.sequence += 1
            mine.record_change(key, mine.sequence, Row(mine.sequence, row.observed_at_s, row.value))
        self.incarnation_conflicts += 1

    def deltas_for(
        self, now: float, theirs: Iterable[ReplicaVersion], rows_most: int
    ) -> list[ReplicationDelta]:
        """What another lacks, by its digest; no more than rows_most rows at once: it asks again."""
        known = {v.origin_id: v for v in theirs}
        found: list[ReplicationDelta] = []
        for origin, held in sorted(self.origin_states.items()):
            their = known.get(origin, ReplicaVersion(origin, 0, 0))
            if (their.incarnation, their.sequence) >= held.version() or held.sequence < held.latest_sequence:
                continue  # who is not whole yet leaves it to another
            goes_on = (
                their.incarnation == held.incarnation
                and max(their.sequence, their.compacted_sequence) >= held.compacted_sequence
            )
            if goes_on and held.sequence < their.compacted_sequence:
                continue
            after = their.sequence if goes_on else 0
            while True:
                if rows_most <= 0:
                    return found
                part = held.changes_after(after, min(MAX_ROWS_PER_DELTA, rows_most) + 1)
                last = len(part) <= min(MAX_ROWS_PER_DELTA, rows_most)
                part = part[: min(MAX_ROWS_PER_DELTA, rows_most)]
                rows_most -= max(1, len(part))
                upto = held.sequence if last else part[-1][0]
                found.append(self._piece(now, origin, held, part, after, upto))
                after = upto
                if last:
                    break
        return found

    @staticmethod
    def _piece(
        now: float, origin: int, held: OriginState, part: list[tuple[int, Key]], after: int, upto: int
    ) -> ReplicationDelta:
        rows = [
            ReplicatedRow(k, n, seq, round(now - held.rows[k, n].observed_at_s, 3), held.rows[k, n].value)
            for seq, (k, n) in part
            if (k, n) in held.rows
        ]
        gone = [(k, n, seq) for seq, (k, n) in part if (k, n) in held.deletions]
        return ReplicationDelta(
            origin, held.incarnation, after, upto, held.sequence, held.compacted_sequence, rows, gone
        )

    def apply(self, now: float, piece: ReplicationDelta) -> bool:
        """Whether anything of it was new. A piece that does not follow on what is held changes nothing, and is
        sent again once our digest has told."""
        if not 0 <= piece.origin_id < self.origin_count:
            return False
        if piece.origin_id == self.local_id:
            self.contested_deltas += piece.incarnation >= self.origin_states[self.local_id].incarnation
            self._outbid(ReplicaVersion(self.local_id, piece.incarnation, piece.latest_sequence))
            return False
        held = self.origin_states.setdefault(piece.origin_id, OriginState())
        follows = held.accepts_changes(
            piece.incarnation, piece.after_sequence, piece.compacted_sequence, piece.latest_sequence
        )
        if (
            piece.incarnation,
            piece.through_sequence if follows else piece.latest_sequence,
        ) <= held.version():
            return False
        if not follows:  # from the beginning, or not at all
            if piece.after_sequence > 0:
                return False
            if piece.incarnation > held.incarnation:
                lasting = {
                    k: r for k, r in (held.previous_rows | held.rows).items() if k[0] in DURABLE_ROW_TYPES
                }
                self.orphans |= {k: Orphan(piece.origin_id, now, r) for k, r in lasting.items()}
            held.previous_rows = held.previous_rows or held.rows
            held.incarnation, held.compacted_sequence, held.latest_sequence = (
                piece.incarnation,
                piece.compacted_sequence,
                0,
            )
            held.clear()
        held.latest_sequence = max(held.latest_sequence, piece.latest_sequence)
        changes = [
            ((r.row_type, r.row_id), r.sequence, Row(r.sequence, now - r.age_s, r.value)) for r in piece.rows
        ]
        told: list[tuple[Key, int, Row | None]] = [
            *changes,
            *(((k, n), seq, None) for k, n, seq in piece.deletions),
        ]
        for key, seq, row in sorted(told, key=itemgetter(1)):
            if seq > held.sequence:  # the rest is held already: all up to there is
                held.record_change(key, seq, row)
        held.sequence = piece.through_sequence
        if held.sequence >= held.latest_sequence:
            held.previous_rows = {}
        return True

    def row_count(self) -> int:
        return sum(len(held.rows) for held in self.origin_states.values())

    # Reading -------------------------------------------------------------------------------------

    def readings(
        self, now: float, kind: str, age_most: float = float("inf"), numbers: Collection[int] | None = None
    ) -> dict[int, list[Reading]]:
        """What all origins say of each number, or of these alone; ours among them, none older than age_most."""
        found: dict[int, list[Reading]] = {}
        for origin, held in sorted(self.origin_states.items()):
            rows = held.rows_by_type.get(kind, {})
            if held.previous_rows:
                former = {
                    n: row
                    for (k, n), row in held.previous_rows.items()
                    if k == kind and (k, n) not in held.deletions
                }
                rows = former | rows
            for number in rows if numbers is None else numbers:
                row = rows.get(number)
                if row is not None and now - row.observed_at_s <= age_most:
                    reading = Reading(
                        origin, (held.incarnation, row.sequence), now - row.observed_at_s, row.value
                    )
                    found.setdefault(number, []).append(reading)
        return found

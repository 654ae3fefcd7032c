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

GONE_MOST = 2000  # rows taken back that are remembered of one origin; who knows less is sent all
PIECE_ROWS = 400  # in one message
LOG_SPARE = 64
NONCE_BITS = 20  # the lowest of a life
LASTING = ("table",)  # kinds that outlive the life in which they were written

Key = tuple[str, int]  # kind and number


@dataclass(frozen=True, slots=True)
class Row:
    seq: int
    seen: float  # when its origin observed it, on our clock
    value: Value


@dataclass(frozen=True, slots=True)
class Reading:
    """A row as others see it."""

    origin: int
    version: tuple[int, int]
    age_s: float
    value: Value


@dataclass(frozen=True, slots=True)
class Orphan:
    origin: int
    since: float
    row: Row


@dataclass(slots=True)
class Held:
    """All that is held of one origin: complete up to (life, seq)."""

    life: int = 0
    seq: int = 0
    floor: int = 0  # what was taken back up to here is forgotten, and nothing of it is held
    top: int = 0  # the highest sequence of this life that was heard of
    rows: dict[Key, Row] = field(default_factory=dict)
    kinds: dict[str, dict[int, Row]] = field(
        default_factory=dict
    )  # the same, so that one kind is found at once
    gone: dict[Key, int] = field(default_factory=dict)  # like rows and log by sequence, the latest last
    log: list[tuple[int, Key]] = field(default_factory=list)  # all of them; some have changed again since
    former: dict[Key, Row] = field(default_factory=dict)  # read until what takes its place is whole

    def version(self) -> tuple[int, int]:
        return self.life, self.seq

    def follows(self, life: int, after: int, floor: int, top: int) -> bool:
        """Whether changes after that sequence, told by one who holds all up to top and has forgotten what was taken
        back up to floor, go on from what is held here. Who is less far than our floor may hold what died since."""
        return (
            life == self.life
            and after <= self.seq
            and max(self.seq, self.floor) >= floor
            and top >= self.floor
        )

    def clear(self) -> None:
        self.seq = 0
        self.rows, self.kinds, self.gone, self.log = {}, {}, {}, []

    def note(self, key: Key, seq: int, row: Row | None) -> None:
        """A change, the latest so far: the row as it is now, or None where it was taken back."""
        self.rows.pop(key, None)
        self.gone.pop(key, None)
        if row is not None:
            self.rows[key] = row
            self.kinds.setdefault(key[0], {})[key[1]] = row
        else:
            self.gone[key] = seq
            self.kinds.get(key[0], {}).pop(key[1], None)
        while len(self.gone) > GONE_MOST:
            oldest = next(iter(self.gone))
            self.floor = max(self.floor, self.gone.pop(oldest))
        self.log.append((seq, key))
        if len(self.log) > 2 * (len(self.rows) + len(self.gone)) + LOG_SPARE:
            self.log = [entry for entry in self.log if self.stands(entry)]

    def stands(self, entry: tuple[int, Key]) -> bool:
        seq, key = entry
        row = self.rows.get(key)
        return row.seq == seq if row is not None else self.gone.get(key) == seq

    def changes(self, after: int, most: int) -> list[tuple[int, Key]]:
        """The next ones, in order."""
        found: list[tuple[int, Key]] = []
        for at in range(bisect_right(self.log, after, key=itemgetter(0)), len(self.log)):
            if len(found) >= most:
                break
            if self.stands(self.log[at]):
                found.append(self.log[at])
        return found


class Replica:
    """me: our own number. life: which start of this assigner it is; goes above any that others remember of us.
    nonce: drawn at the start, below 2^NONCE_BITS; tells two starts under one life's number apart."""

    def __init__(self, me: int, life: int, origins: int, nonce: int = 0) -> None:
        self.me, self.origins, self.nonce = me, origins, nonce
        self.held = {me: Held(life << NONCE_BITS | nonce)}
        self.orphans: dict[Key, Orphan] = {}  # lasting rows of an origin that began anew without them
        self.reborn = 0  # times that others knew a later life of us than our own
        self.contested = 0  # two origins under one number: pieces of our own life that we never wrote

    # What we know ourselves ----------------------------------------------------------------------

    def put(self, now: float, kind: str, number: int, value: Value) -> None:
        """An observation of now. Each makes a new version: call it when the value changed, or has grown old."""
        mine = self.held[self.me]
        mine.seq += 1
        mine.note((kind, number), mine.seq, Row(mine.seq, now, value))

    def drop(self, kind: str, number: int) -> None:
        """No longer ours to tell. What is dead stays dead: the others hear of it as of a row."""
        mine = self.held[self.me]
        if (kind, number) in mine.rows:
            mine.seq += 1
            mine.note((kind, number), mine.seq, None)

    def mine(self, kind: str) -> Mapping[int, Row]:
        return self.held[self.me].kinds.get(kind, {})

    # Between assigners ---------------------------------------------------------------------------

    def digest(self) -> list[ReplicaVersion]:
        return [ReplicaVersion(o, h.life, h.seq, h.floor) for o, h in sorted(self.held.items())]

    def behind(self, theirs: Iterable[ReplicaVersion]) -> bool:
        """Whether somebody knows more of any origin than we do; our own later life counts as heard of."""
        found = False
        for version in theirs:
            if 0 <= version.origin_id < self.origins:
                self._outbid(version)
                held = self.held.get(version.origin_id, Held())
                found |= (
                    version.origin_id != self.me and (version.incarnation, version.sequence) > held.version()
                )
        return found

    def _outbid(self, version: ReplicaVersion) -> None:
        """Others remember of us what we did not write: our life's number was used before, and a file was lost. A
        former life never outranks the present one, so ours goes above."""
        mine = self.held[self.me]
        if version.origin_id != self.me or (version.incarnation, version.sequence) <= mine.version():
            return
        mine.life = ((version.incarnation >> NONCE_BITS) + 1) << NONCE_BITS | self.nonce
        rows, mine.floor = mine.rows, 0
        mine.clear()
        for key, row in rows.items():
            mine.seq += 1
            mine.note(key, mine.seq, Row(mine.seq, row.seen, row.value))
        self.reborn += 1

    def differences(
        self, now: float, theirs: Iterable[ReplicaVersion], rows_most: int
    ) -> list[ReplicationDelta]:
        """What another lacks, by its digest; no more than rows_most rows at once: it asks again."""
        known = {v.origin_id: v for v in theirs}
        found: list[ReplicationDelta] = []
        for origin, held in sorted(self.held.items()):
            their = known.get(origin, ReplicaVersion(origin, 0, 0))
            if (their.incarnation, their.sequence) >= held.version() or held.seq < held.top:
                continue  # who is not whole yet leaves it to another
            goes_on = (
                their.incarnation == held.life and max(their.sequence, their.compacted_sequence) >= held.floor
            )
            if goes_on and held.seq < their.compacted_sequence:
                continue
            after = their.sequence if goes_on else 0
            while True:
                if rows_most <= 0:
                    return found
                part = held.changes(after, min(PIECE_ROWS, rows_most) + 1)
                last = len(part) <= min(PIECE_ROWS, rows_most)
                part = part[: min(PIECE_ROWS, rows_most)]
                rows_most -= max(1, len(part))
                upto = held.seq if last else part[-1][0]
                found.append(self._piece(now, origin, held, part, after, upto))
                after = upto
                if last:
                    break
        return found

    @staticmethod
    def _piece(
        now: float, origin: int, held: Held, part: list[tuple[int, Key]], after: int, upto: int
    ) -> ReplicationDelta:
        rows = [
            ReplicatedRow(k, n, seq, round(now - held.rows[k, n].seen, 3), held.rows[k, n].value)
            for seq, (k, n) in part
            if (k, n) in held.rows
        ]
        gone = [(k, n, seq) for seq, (k, n) in part if (k, n) in held.gone]
        return ReplicationDelta(origin, held.life, after, upto, held.seq, held.floor, rows, gone)

    def take(self, now: float, piece: ReplicationDelta) -> bool:
        """Whether anything of it was new. A piece that does not follow on what is held changes nothing, and is
        sent again once our digest has told."""
        if not 0 <= piece.origin_id < self.origins:
            return False
        if piece.origin_id == self.me:
            self.contested += piece.incarnation >= self.held[self.me].life
            self._outbid(ReplicaVersion(self.me, piece.incarnation, piece.latest_sequence))
            return False
        held = self.held.setdefault(piece.origin_id, Held())
        follows = held.follows(
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
            if piece.incarnation > held.life:
                lasting = {k: r for k, r in (held.former | held.rows).items() if k[0] in LASTING}
                self.orphans |= {k: Orphan(piece.origin_id, now, r) for k, r in lasting.items()}
            held.former = held.former or held.rows
            held.life, held.floor, held.top = piece.incarnation, piece.compacted_sequence, 0
            held.clear()
        held.top = max(held.top, piece.latest_sequence)
        changes = [
            ((r.row_type, r.row_id), r.sequence, Row(r.sequence, now - r.age_s, r.value)) for r in piece.rows
        ]
        told: list[tuple[Key, int, Row | None]] = [
            *changes,
            *(((k, n), seq, None) for k, n, seq in piece.deletions),
        ]
        for key, seq, row in sorted(told, key=itemgetter(1)):
            if seq > held.seq:  # the rest is held already: all up to there is
                held.note(key, seq, row)
        held.seq = piece.through_sequence
        if held.seq >= held.top:
            held.former = {}
        return True

    def count(self) -> int:
        return sum(len(held.rows) for held in self.held.values())

    # Reading -------------------------------------------------------------------------------------

    def readings(
        self, now: float, kind: str, age_most: float = float("inf"), numbers: Collection[int] | None = None
    ) -> dict[int, list[Reading]]:
        """What all origins say of each number, or of these alone; ours among them, none older than age_most."""
        found: dict[int, list[Reading]] = {}
        for origin, held in sorted(self.held.items()):
            rows = held.kinds.get(kind, {})
            if held.former:
                former = {
                    n: row for (k, n), row in held.former.items() if k == kind and (k, n) not in held.gone
                }
                rows = former | rows
            for number in rows if numbers is None else numbers:
                row = rows.get(number)
                if row is not None and now - row.seen <= age_most:
                    reading = Reading(origin, (held.life, row.seq), now - row.seen, row.value)
                    found.setdefault(number, []).append(reading)
        return found

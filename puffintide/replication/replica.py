"""Replica of the rows of all assigners, as held by one of them. No I/O; the current time is passed in.

Each row is written by a single origin, under a version that consists of the origin's incarnation and a
sequence that rises with each change. The rows held of an origin are a function of the version up to which
they are complete. Of two replicas, the one with the higher version is therefore newer as a whole, regardless
of the order, number and path of the messages. Wall clocks are not compared: a row is sent with its age, which
continues on the holder's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from math import inf

from puffintide.protocol.messages import ReplicatedRow, ReplicationDelta, ReplicaVersion, Value
from puffintide.replication.origin_state import Change, OriginState, Row, RowKey
from puffintide.replication.row_types import DURABLE_ROW_TYPES

MAX_ROWS_PER_DELTA = 400
NONCE_BITS = 20  # Number of lowest bits of an incarnation that hold the nonce.


@dataclass(frozen=True, slots=True)
class Reading:
    """A row of one origin with its version and its age in seconds."""

    origin_id: int
    version: tuple[int, int]
    age_s: float
    value: Value


@dataclass(frozen=True, slots=True)
class Orphan:
    """A durable row whose origin restarted without it."""

    origin_id: int
    orphaned_at_s: float
    row: Row


class Replica:
    """Rows of all origins.

    Attributes:
        local_id: Id of the assigner that holds this replica and is itself an origin.
        origin_count: Number of assigners; origins are numbered from 0.
        nonce: Random number below 2^NONCE_BITS that distinguishes two starts with the same incarnation.
        origin_states: State of each origin, by origin.
        orphans: Durable rows whose origin restarted without them, by key.
        incarnation_conflicts: Number of times that peers knew a later version of this assigner than its own.
        contested_deltas: Number of received deltas of this assigner's current or a later incarnation that it
            did not write, because two processes use the same id.
    """

    def __init__(self, local_id: int, incarnation: int, origin_count: int, nonce: int = 0) -> None:
        self.local_id = local_id
        self.origin_count = origin_count
        self.nonce = nonce
        self.origin_states = {local_id: OriginState(incarnation << NONCE_BITS | nonce)}
        self.orphans: dict[RowKey, Orphan] = {}
        self.incarnation_conflicts = 0
        self.contested_deltas = 0

    # Local rows -----------------------------------------------------------------------------------

    @property
    def _local_state(self) -> OriginState:
        return self.origin_states[self.local_id]

    def put(self, observed_at_s: float, row_type: str, row_id: int, value: Value) -> None:
        """Set a local row; as each call creates a version, call it only on a change or to renew the age."""
        local = self._local_state
        local.sequence += 1
        local.record_change(
            RowKey(row_type, row_id), local.sequence, Row(local.sequence, observed_at_s, value)
        )

    def delete(self, row_type: str, row_id: int) -> None:
        """Delete a local row if it exists; the deletion is replicated like a row."""
        local = self._local_state
        key = RowKey(row_type, row_id)
        if key in local.rows:
            local.sequence += 1
            local.record_change(key, local.sequence, None)

    def local_rows(self, row_type: str) -> Mapping[int, Row]:
        """Return the local rows of a type by id."""
        return self._local_state.rows_by_type.get(row_type, {})

    # Replication between assigners ----------------------------------------------------------------

    def digest(self) -> list[ReplicaVersion]:
        """Return the version up to which each origin's rows are held."""
        return [
            ReplicaVersion(origin_id, state.incarnation, state.sequence, state.compacted_sequence)
            for origin_id, state in sorted(self.origin_states.items())
        ]

    def is_behind(self, versions: Iterable[ReplicaVersion]) -> bool:
        """Return whether a peer holds newer rows of another origin.

        A version of this assigner that it did not write raises its incarnation.
        """
        behind = False
        for version in versions:
            if not 0 <= version.origin_id < self.origin_count:
                continue
            self._outrank_unknown_version(version)
            state = self.origin_states.get(version.origin_id, OriginState())
            if version.origin_id != self.local_id and _version_of(version) > state.version():
                behind = True
        return behind

    def deltas_for(
        self, now: float, versions: Iterable[ReplicaVersion], max_rows: int
    ) -> list[ReplicationDelta]:
        """Return at most max_rows of the rows and deletions that a peer lacks according to its versions.

        The peer requests the remaining ones later.
        """
        known = {version.origin_id: version for version in versions}
        deltas: list[ReplicationDelta] = []
        for origin_id, state in sorted(self.origin_states.items()):
            after = _resume_sequence(state, known.get(origin_id, ReplicaVersion(origin_id, 0, 0)))
            while after is not None:
                if max_rows <= 0:
                    return deltas
                delta = _next_delta(now, origin_id, state, after, min(MAX_ROWS_PER_DELTA, max_rows))
                max_rows -= max(1, len(delta.rows) + len(delta.deletions))
                deltas.append(delta)
                after = delta.through_sequence if delta.through_sequence < state.sequence else None
        return deltas

    def apply(self, now: float, delta: ReplicationDelta) -> bool:
        """Apply a delta and return whether it contained anything new.

        A delta that does not continue the rows held here changes nothing; it is sent again after the next
        digest of this assigner.
        """
        if not 0 <= delta.origin_id < self.origin_count:
            return False
        if delta.origin_id == self.local_id:
            self.contested_deltas += delta.incarnation >= self._local_state.incarnation
            self._outrank_unknown_version(
                ReplicaVersion(self.local_id, delta.incarnation, delta.latest_sequence)
            )
            return False
        state = self.origin_states.setdefault(delta.origin_id, OriginState())
        continues = state.accepts_changes(delta)
        newest_sequence = delta.through_sequence if continues else delta.latest_sequence
        if (delta.incarnation, newest_sequence) <= state.version():
            return False
        if not continues:
            if delta.after_sequence > 0:
                return False
            self._restart_origin(now, state, delta)
        _apply_changes(now, state, delta)
        return True

    def row_count(self) -> int:
        """Return the number of rows of all origins."""
        return sum(len(state.rows) for state in self.origin_states.values())

    # Reading --------------------------------------------------------------------------------------

    def readings(
        self, now: float, row_type: str, max_age_s: float = inf, row_ids: Collection[int] | None = None
    ) -> dict[int, list[Reading]]:
        """Return the rows of a type from all origins, the local one included, by row id.

        Args:
            now: Current time in seconds on the holder's clock.
            row_type: Type of the rows.
            max_age_s: Age in seconds above which a row is left out.
            row_ids: Row ids to look up; None for all.
        """
        readings: dict[int, list[Reading]] = {}
        for origin_id, state in sorted(self.origin_states.items()):
            rows = state.readable_rows(row_type)
            for row_id in rows if row_ids is None else row_ids:
                row = rows.get(row_id)
                if row is None or now - row.observed_at_s > max_age_s:
                    continue
                version = (state.incarnation, row.sequence)
                reading = Reading(origin_id, version, now - row.observed_at_s, row.value)
                readings.setdefault(row_id, []).append(reading)
        return readings

    # Incarnations ---------------------------------------------------------------------------------

    def _outrank_unknown_version(self, version: ReplicaVersion) -> None:
        """Raise the local incarnation above a version of this assigner that peers hold but it did not write.

        Such a version shows that the local incarnation was used before, because the file that stores it was
        lost. An earlier incarnation must never outrank the current one.
        """
        local = self._local_state
        if version.origin_id != self.local_id or _version_of(version) <= local.version():
            return
        local.incarnation = ((version.incarnation >> NONCE_BITS) + 1) << NONCE_BITS | self.nonce
        local.compacted_sequence = 0
        rows = local.rows
        local.clear()
        for key, row in rows.items():
            local.sequence += 1
            local.record_change(key, local.sequence, Row(local.sequence, row.observed_at_s, row.value))
        self.incarnation_conflicts += 1

    def _restart_origin(self, now: float, state: OriginState, delta: ReplicationDelta) -> None:
        if delta.incarnation > state.incarnation:
            for key, row in (state.previous_rows | state.rows).items():
                if key.row_type in DURABLE_ROW_TYPES:
                    self.orphans[key] = Orphan(delta.origin_id, now, row)
        state.restart(delta.incarnation, delta.compacted_sequence)


def _version_of(version: ReplicaVersion) -> tuple[int, int]:
    return version.incarnation, version.sequence


def _resume_sequence(state: OriginState, peer: ReplicaVersion) -> int | None:
    """Return the sequence after which to send an origin's changes, 0 for all, or None to send nothing.

    Rows that are incomplete here are left to another sender.
    """
    if _version_of(peer) >= state.version() or state.sequence < state.latest_sequence:
        return None
    continues = (
        peer.incarnation == state.incarnation
        and max(peer.sequence, peer.compacted_sequence) >= state.compacted_sequence
    )
    if not continues:
        return 0
    return None if state.sequence < peer.compacted_sequence else peer.sequence


def _next_delta(
    now: float, origin_id: int, state: OriginState, after: int, max_rows: int
) -> ReplicationDelta:
    changes = state.changes_after(after, max_rows + 1)
    is_last = len(changes) <= max_rows
    changes = changes[:max_rows]
    rows = [_replicated_row(now, state, change) for change in changes if change.key in state.rows]
    deletions = [
        (change.key.row_type, change.key.row_id, change.sequence)
        for change in changes
        if change.key in state.deletions
    ]
    return ReplicationDelta(
        origin_id,
        state.incarnation,
        after,
        state.sequence if is_last else changes[-1].sequence,
        state.sequence,
        state.compacted_sequence,
        rows,
        deletions,
    )


def _replicated_row(now: float, state: OriginState, change: Change) -> ReplicatedRow:
    row = state.rows[change.key]
    age_s = round(now - row.observed_at_s, 3)
    return ReplicatedRow(change.key.row_type, change.key.row_id, change.sequence, age_s, row.value)


def _apply_changes(now: float, state: OriginState, delta: ReplicationDelta) -> None:
    state.latest_sequence = max(state.latest_sequence, delta.latest_sequence)
    changes: list[tuple[int, RowKey, Row | None]] = []
    for row in delta.rows:
        held_row = Row(row.sequence, now - row.age_s, row.value)
        changes.append((row.sequence, RowKey(row.row_type, row.row_id), held_row))
    for row_type, row_id, sequence in delta.deletions:
        changes.append((sequence, RowKey(row_type, row_id), None))
    for sequence, key, changed_row in sorted(changes, key=lambda change: change[0]):
        if sequence > state.sequence:  # Changes up to state.sequence are held already.
            state.record_change(key, sequence, changed_row)
    state.sequence = delta.through_sequence
    if state.sequence >= state.latest_sequence:
        state.previous_rows = {}

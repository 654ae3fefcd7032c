"""Replicated state of one origin: its rows, its deletions and the log of changes. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field
from operator import itemgetter
from typing import NamedTuple

from puffintide.protocol.messages import ReplicationDelta, Value

# Maximum number of deletions remembered per origin. A replica that lacks an older deletion is sent all rows.
MAX_DELETIONS = 2000
# Number of log entries, beyond twice the number of current ones, above which the change log is compacted.
LOG_COMPACTION_SLACK = 64


class RowKey(NamedTuple):
    """Key of a row within one origin."""

    row_type: str
    row_id: int


class Change(NamedTuple):
    """Entry of the change log: the row was set or deleted."""

    sequence: int
    key: RowKey


@dataclass(frozen=True, slots=True)
class Row:
    """A row as held by a replica.

    Attributes:
        sequence: Sequence of the change that set the row.
        observed_at_s: Time at which the origin observed the row, on the holder's clock.
        value: Value in the layout of the row type.
    """

    sequence: int
    observed_at_s: float
    value: Value


@dataclass(slots=True)
class OriginState:
    """All rows of one origin, complete up to (incarnation, sequence).

    Attributes:
        incarnation: Incarnation of the origin.
        sequence: Sequence up to which the rows are complete.
        compacted_sequence: Sequence up to which deletions are forgotten; none of the deleted rows is held.
        latest_sequence: Highest sequence of this incarnation that is known to exist.
        rows: Rows by key, in the order of their latest changes.
        rows_by_type: The same rows by type and id.
        deletions: Sequence of each remembered deletion by key, in ascending order.
        change_log: Changes by sequence, including obsolete ones whose row has changed again since.
        previous_rows: Rows held before a restart of the origin, which are read until the new rows are
            complete.
    """

    incarnation: int = 0
    sequence: int = 0
    compacted_sequence: int = 0
    latest_sequence: int = 0
    rows: dict[RowKey, Row] = field(default_factory=dict)
    rows_by_type: dict[str, dict[int, Row]] = field(default_factory=dict)
    deletions: dict[RowKey, int] = field(default_factory=dict)
    change_log: list[Change] = field(default_factory=list)
    previous_rows: dict[RowKey, Row] = field(default_factory=dict)

    def version(self) -> tuple[int, int]:
        """Return the version up to which the rows are complete; a higher one is newer as a whole."""
        return self.incarnation, self.sequence

    def accepts_changes(self, delta: ReplicationDelta) -> bool:
        """Return whether the changes of a delta continue the rows held here.

        A sender whose latest sequence is below the compacted sequence held here may still hold rows that have
        been deleted since, so its delta is not accepted.
        """
        return (
            delta.incarnation == self.incarnation
            and delta.after_sequence <= self.sequence
            and max(self.sequence, self.compacted_sequence) >= delta.compacted_sequence
            and delta.latest_sequence >= self.compacted_sequence
        )

    def clear(self) -> None:
        """Remove all rows and changes."""
        self.sequence = 0
        self.rows = {}
        self.rows_by_type = {}
        self.deletions = {}
        self.change_log = []

    def restart(self, incarnation: int, compacted_sequence: int) -> None:
        """Restart from an empty state; the previous rows are read until the new rows are complete."""
        self.previous_rows = self.previous_rows or self.rows
        self.incarnation = incarnation
        self.compacted_sequence = compacted_sequence
        self.latest_sequence = 0
        self.clear()

    def record_change(self, key: RowKey, sequence: int, row: Row | None) -> None:
        """Record a change with the highest sequence so far: the new row, or None if the row was deleted."""
        self.rows.pop(key, None)
        self.deletions.pop(key, None)
        if row is not None:
            self.rows[key] = row
            self.rows_by_type.setdefault(key.row_type, {})[key.row_id] = row
        else:
            self.deletions[key] = sequence
            self.rows_by_type.get(key.row_type, {}).pop(key.row_id, None)
        while len(self.deletions) > MAX_DELETIONS:
            oldest = next(iter(self.deletions))
            self.compacted_sequence = max(self.compacted_sequence, self.deletions.pop(oldest))
        self.change_log.append(Change(sequence, key))
        if len(self.change_log) > 2 * (len(self.rows) + len(self.deletions)) + LOG_COMPACTION_SLACK:
            self.change_log = [change for change in self.change_log if self.is_current(change)]

    def is_current(self, change: Change) -> bool:
        """Return whether the row has not changed again since this change."""
        row = self.rows.get(change.key)
        if row is not None:
            return row.sequence == change.sequence
        return self.deletions.get(change.key) == change.sequence

    def changes_after(self, sequence: int, max_changes: int) -> list[Change]:
        """Return the first current changes after a sequence, at most max_changes, in ascending order."""
        current_changes: list[Change] = []
        first = bisect_right(self.change_log, sequence, key=itemgetter(0))
        for index in range(first, len(self.change_log)):
            if len(current_changes) >= max_changes:
                break
            if self.is_current(self.change_log[index]):
                current_changes.append(self.change_log[index])
        return current_changes

    def readable_rows(self, row_type: str) -> Mapping[int, Row]:
        """Return the rows of a type by id, including previous rows not yet replaced or deleted."""
        rows = self.rows_by_type.get(row_type, {})
        if not self.previous_rows:
            return rows
        previous = {
            key.row_id: row
            for key, row in self.previous_rows.items()
            if key.row_type == row_type and key not in self.deletions
        }
        return previous | rows

"""What one origin has written, as a replica knows it: rows, deletions and their order. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field
from operator import itemgetter
from typing import NamedTuple

from puffintide.protocol.messages import ReplicationDelta, Value

MAX_DELETIONS = 2000  # remembered of one origin; a replica that is further behind is sent all rows
LOG_COMPACTION_SLACK = 64  # entries of the log beyond twice those that are current


class RowKey(NamedTuple):
    """Identifies a row of one origin."""

    row_type: str
    row_id: int


class Change(NamedTuple):
    """An entry of the log of changes; the row was set or deleted."""

    sequence: int
    key: RowKey


@dataclass(frozen=True, slots=True)
class Row:
    """A row as held here.

    Attributes:
        sequence: Of the change that set it.
        observed_at_s: When its origin observed it, on the holder's clock.
        value: As its type has it.
    """

    sequence: int
    observed_at_s: float
    value: Value


@dataclass(slots=True)
class OriginState:
    """All rows of one origin, complete up to (incarnation, sequence).

    Attributes:
        compacted_sequence: Deletions up to here are forgotten, and none of the deleted rows is held.
        latest_sequence: The highest sequence of this incarnation that is known of.
        rows: By key, the latest change last.
        rows_by_type: The same rows by type and id.
        deletions: Sequence of each remembered deletion, the latest last.
        change_log: All changes by sequence; some rows have changed again since.
        previous_rows: Rows of before a restart from the beginning, read until the new ones are complete.
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
        """Up to where the rows are complete; the higher version is the newer one as a whole."""
        return self.incarnation, self.sequence

    def accepts_changes(self, delta: ReplicationDelta) -> bool:
        """Whether the changes of a delta continue what is held here.

        A sender that knows less than what is compacted here may still hold rows that were deleted since.
        """
        return (
            delta.incarnation == self.incarnation
            and delta.after_sequence <= self.sequence
            and max(self.sequence, self.compacted_sequence) >= delta.compacted_sequence
            and delta.latest_sequence >= self.compacted_sequence
        )

    def clear(self) -> None:
        """Forget all rows and changes."""
        self.sequence = 0
        self.rows = {}
        self.rows_by_type = {}
        self.deletions = {}
        self.change_log = []

    def restart(self, incarnation: int, compacted_sequence: int) -> None:
        """Begin anew; what was held is read until the new rows are complete."""
        self.previous_rows = self.previous_rows or self.rows
        self.incarnation = incarnation
        self.compacted_sequence = compacted_sequence
        self.latest_sequence = 0
        self.clear()

    def record_change(self, key: RowKey, sequence: int, row: Row | None) -> None:
        """Record the latest change so far: the row as it is now, or None where it was deleted."""
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
        """Whether the row has not changed again since."""
        row = self.rows.get(change.key)
        if row is not None:
            return row.sequence == change.sequence
        return self.deletions.get(change.key) == change.sequence

    def changes_after(self, sequence: int, max_changes: int) -> list[Change]:
        """Return the next current changes after a sequence, in order."""
        found: list[Change] = []
        first = bisect_right(self.change_log, sequence, key=itemgetter(0))
        for index in range(first, len(self.change_log)):
            if len(found) >= max_changes:
                break
            if self.is_current(self.change_log[index]):
                found.append(self.change_log[index])
        return found

    def readable_rows(self, row_type: str) -> Mapping[int, Row]:
        """Return the rows of a type by id, with previous ones that were neither replaced nor deleted yet."""
        rows = self.rows_by_type.get(row_type, {})
        if not self.previous_rows:
            return rows
        previous = {
            key.row_id: row
            for key, row in self.previous_rows.items()
            if key.row_type == row_type and key not in self.deletions
        }
        return previous | rows

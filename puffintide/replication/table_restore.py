"""Restoration of the tables of a store that lost its data, from the replicas of the assigners. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from puffintide.protocol.messages import ReplicationDelta, TableEntry, Value
from puffintide.replication.row_types import RowType
from puffintide.replication.row_validation import MAX_LOGGED_TYPE_CHARS, table_problem, unpack_table

# Gap between the highest fencing token found and the first one of a restored store.
FENCING_TOKEN_GAP = 2**32


class TableRestore:
    """Collects the tables that the assigners hold.

    The collection is ready once all configured assigners have answered, or once wait_s has elapsed since the
    first answer and a majority has answered. A minority is never enough, because other assigners may hold
    newer tables. An operator may end the collection earlier.

    Attributes:
        slice_count: Number of slices in the deployment.
        assigner_count: Number of configured assigners.
        wait_s: Seconds to wait for further assigners after the first complete answer.
        complete_assigners: Assigners whose answer is complete.
    """

    def __init__(self, slice_count: int, assigner_count: int, wait_s: float) -> None:
        self.slice_count = slice_count
        self.assigner_count = assigner_count
        self.wait_s = wait_s
        self.complete_assigners: set[int] = set()
        self._latest: dict[int, Value] = {}  # Latest table by slice.
        self._first_complete_at: float | None = None
        self._partial_answers: dict[int, dict[int, Value]] = {}  # Tables by assigner, then by slice.
        self._highest_token = 0  # Highest fencing token found, superseded tables included.

    def on_delta(self, now: float, assigner_id: int, delta: ReplicationDelta) -> list[str]:
        """Add a part of an assigner's answer and return the reason for each row that was dropped."""
        if delta.after_sequence == 0:
            self._partial_answers[assigner_id] = {}
        answer = self._partial_answers.setdefault(assigner_id, {})
        problems = []
        for row in delta.rows:
            if row.row_type == RowType.TABLE:
                problem = table_problem(row.row_id, row.value, self.slice_count)
            else:
                problem = f"row {row.row_type[:MAX_LOGGED_TYPE_CHARS]!r} {row.row_id} is not a table"
            if problem is None:
                answer[row.row_id] = row.value
            else:
                problems.append(problem)
        if delta.through_sequence >= delta.latest_sequence:
            self._complete_answer(now, assigner_id)
        return problems

    def _complete_answer(self, now: float, assigner_id: int) -> None:
        self.complete_assigners.add(assigner_id)
        if self._first_complete_at is None:
            self._first_complete_at = now
        for slice_id, value in self._partial_answers.pop(assigner_id).items():
            self._highest_token = max(self._highest_token, int(float(value[0])))
            self._latest[slice_id] = max(self._latest.get(slice_id, value), value)

    def on_assigner_disconnected(self, assigner_id: int) -> None:
        """Discard the incomplete answer of an assigner that disconnected."""
        self._partial_answers.pop(assigner_id, None)

    def is_ready(self, now: float) -> bool:
        """Return whether enough assigners have answered."""
        has_waited = self._first_complete_at is not None and now - self._first_complete_at >= self.wait_s
        has_majority = 2 * len(self.complete_assigners) > self.assigner_count
        return len(self.complete_assigners) >= self.assigner_count or (has_waited and has_majority)

    def first_fencing_token(self, own_token: int) -> int:
        """Return the first fencing token to issue, far above any token issued so far.

        This includes tokens that only assigners without an answer know.
        """
        return max(own_token, self._highest_token + FENCING_TOKEN_GAP)

    def tables(self) -> dict[int, Sequence[TableEntry]]:
        """Return the latest table of each slice."""
        return {slice_id: unpack_table(value) for slice_id, value in sorted(self._latest.items())}

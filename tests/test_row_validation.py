"""Rows that cannot be true are dropped by themselves."""

from __future__ import annotations

import pytest

from puffintide.protocol.messages import (
    ReplicatedRow,
    ReplicationDelta,
    TableEntry,
)
from puffintide.replication.row_types import RowType
from puffintide.replication.row_validation import validate_delta
from puffintide.replication.table_replicas import pack_table

GOOD = ReplicatedRow("server", 3, 2, 1.0, (1.0, 0.0))


ROWS = [
    (ReplicatedRow("colour", 3, 2, 1.0, (1.0,)), "no such type"),
    (ReplicatedRow("server", 3, 9, 1.0, (1.0, 0.0)), "sequence 9 is not from 0 to 5"),
    (ReplicatedRow("server", 3, 2, -1.0, (1.0, 0.0)), "age -1 s"),
    (ReplicatedRow("server", 3, 2, 1.0, (1.0,)), "1 figures of 2"),
    (ReplicatedRow("fleet", -1, 2, 1.0, (float("inf"),)), "is out of range"),
    (ReplicatedRow("fleet", -1, 2, 1.0, ("5",)), "is out of range"),
    (ReplicatedRow(RowType.TABLE, 4, 2, 1.0, pack_table(1, 1, [])), "table 4 is not among the 4"),
    (ReplicatedRow(RowType.TABLE, 1, 2, 1.0, (1.0, 1.0, 7.0)), "no token, batch and entries of four"),
    (ReplicatedRow(RowType.TABLE, 1, 2, 1.0, (1.0, 1.0, 7.0, 1.0, 2.0, 0.0)), "value 4 is of the wrong type"),
    (ReplicatedRow(RowType.TABLE, 1, 2, 1.0, pack_table(1, 1, [TableEntry(7, -1.0)])), "weight -1"),
    (ReplicatedRow(RowType.TABLE, 1, 2, 1.0, pack_table(-1, 1, [])), "below 0"),
]


@pytest.mark.parametrize(("row", "words"), ROWS, ids=[words for _, words in ROWS])
def test_invalid_row_is_dropped_by_itself(row: ReplicatedRow, words: str) -> None:
    reasons, sound = validate_delta(
        ReplicationDelta(1, 1, 0, 5, 5, 0, [GOOD, row], [("server", 2, 1), ("x", 2, 1)]), 4
    )
    assert len(reasons) == 2
    assert words in reasons[0]
    assert "deletion" in reasons[1]
    assert sound is not None
    assert sound.rows == [GOOD]
    assert sound.deletions == [("server", 2, 1)]


def test_delta_whose_bounds_are_not_in_order_is_dropped() -> None:
    assert validate_delta(ReplicationDelta(1, 1, 6, 5, 5, 0, [GOOD]), 4)[1] is None

"""Validation of replicated rows: each invalid row is dropped individually."""

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

VALID_ROW = ReplicatedRow("server", 3, 2, 1.0, (1.0, 0.0))


INVALID_ROWS = [
    (ReplicatedRow("colour", 3, 2, 1.0, (1.0,)), "unknown row type"),
    (ReplicatedRow("server", 3, 9, 1.0, (1.0, 0.0)), "sequence 9 is outside (0, 5]"),
    (ReplicatedRow("server", 3, 2, -1.0, (1.0, 0.0)), "age -1 s is out of range"),
    (ReplicatedRow("server", 3, 2, 1.0, (1.0,)), "1 values instead of 2"),
    (ReplicatedRow("fleet", -1, 2, 1.0, (float("inf"),)), "value (inf,) is not numeric or is out of range"),
    (ReplicatedRow("fleet", -1, 2, 1.0, ("5",)), "value ('5',) is not numeric or is out of range"),
    (
        ReplicatedRow(RowType.TABLE, 4, 2, 1.0, pack_table(1, 1, [])),
        "table of slice 4: slice id is outside [0, 4)",
    ),
    (
        ReplicatedRow(RowType.TABLE, 1, 2, 1.0, (1.0, 1.0, 7.0)),
        "3 values do not form a token, a batch and entries of 4 values",
    ),
    (
        ReplicatedRow(RowType.TABLE, 1, 2, 1.0, (1.0, 1.0, 7.0, 1.0, 2.0, 0.0)),
        "value 4 has the wrong type: 2.0",
    ),
    (ReplicatedRow(RowType.TABLE, 1, 2, 1.0, pack_table(1, 1, [TableEntry(7, -1.0)])), "weight -1"),
    (ReplicatedRow(RowType.TABLE, 1, 2, 1.0, pack_table(-1, 1, [])), "token -1.0 or batch 1.0 is negative"),
]


@pytest.mark.parametrize(("row", "expected_reason"), INVALID_ROWS, ids=[reason for _, reason in INVALID_ROWS])
def test_invalid_row_is_dropped_individually(row: ReplicatedRow, expected_reason: str) -> None:
    reasons, valid_delta = validate_delta(
        ReplicationDelta(1, 1, 0, 5, 5, 0, [VALID_ROW, row], [("server", 2, 1), ("x", 2, 1)]), 4
    )
    assert len(reasons) == 2
    assert expected_reason in reasons[0]
    assert "deletion" in reasons[1]
    assert valid_delta is not None
    assert valid_delta.rows == [VALID_ROW]
    assert valid_delta.deletions == [("server", 2, 1)]


def test_delta_with_unordered_bounds_is_dropped() -> None:
    assert validate_delta(ReplicationDelta(1, 1, 6, 5, 5, 0, [VALID_ROW]), 4)[1] is None

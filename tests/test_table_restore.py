"""Restoration of the tables of a store that lost its data, from the replicas of the assigners."""

from __future__ import annotations

from puffintide.protocol.messages import (
    ReplicatedRow,
    ReplicationDelta,
    TableEntry,
)
from puffintide.replication.row_types import RowType
from puffintide.replication.table_replicas import pack_table
from puffintide.replication.table_restore import TableRestore


def answer(
    assigner_id: int, tables: dict[int, tuple[int, int]], is_complete: bool = True
) -> ReplicationDelta:
    """Return an assigner's answer; tables holds the fencing token and batch of each slice."""
    entries = [TableEntry(assigner_id, 1.0, "127.0.0.1:1", 0)]
    rows = [
        ReplicatedRow(RowType.TABLE, slice_id, sequence, 0.0, pack_table(*tables[slice_id], entries))
        for sequence, slice_id in enumerate(tables, 1)
    ]
    return ReplicationDelta(assigner_id, 0, 0, len(rows), len(rows) + (not is_complete), 0, rows)


def test_latest_tables_are_restored_once_enough_assigners_answered() -> None:
    restore = TableRestore(4, 3, 5.0)
    assert not restore.is_ready(1e9)
    assert restore.on_delta(10.0, 0, answer(0, {0: (5, 1), 1: (6, 2)})) == []
    assert not restore.is_ready(1e9)  # One of three has answered: the others may hold newer tables.
    restore.on_delta(11.0, 1, answer(1, {0: (4, 9), 1: (6, 3)}, is_complete=False))
    assert not restore.is_ready(1e9)  # An incomplete answer does not count.
    restore.on_assigner_disconnected(1)
    restore.on_delta(12.0, 1, answer(1, {0: (4, 9), 1: (6, 3), 2: (9, 1)}))
    assert not restore.is_ready(14.9)
    assert restore.is_ready(15.0)
    assert {slice_id: entries[0].server_id for slice_id, entries in restore.tables().items()} == {
        0: 0,
        1: 1,
        2: 1,
    }
    assert restore.first_fencing_token(0) == 9 + 2**32
    assert restore.first_fencing_token(2**40) == 2**40
    restore.on_delta(12.5, 2, answer(2, {}))
    assert restore.is_ready(12.5)  # All configured assigners have answered.

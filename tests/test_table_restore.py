"""Tables of a store that lost everything, from the replicas of the assigners."""

from __future__ import annotations

from puffintide.protocol.messages import (
    ReplicatedRow,
    ReplicationDelta,
    TableEntry,
)
from puffintide.replication.row_types import RowType
from puffintide.replication.table_replicas import pack_table
from puffintide.replication.table_restore import TableRestore


def answer(assigner: int, tables: dict[int, tuple[int, int]], whole: bool = True) -> ReplicationDelta:
    held = [TableEntry(assigner, 1.0, "127.0.0.1:1", 0)]
    rows = [
        ReplicatedRow(RowType.TABLE, n, k + 1, 0.0, pack_table(*tables[n], held))
        for k, n in enumerate(tables)
    ]
    return ReplicationDelta(assigner, 0, 0, len(rows), len(rows) + (not whole), 0, rows)


def test_latest_tables_of_enough_assigners_are_restored() -> None:
    refill = TableRestore(4, 3, 5.0)
    assert not refill.is_ready(1e9)
    assert refill.on_delta(10.0, 0, answer(0, {0: (5, 1), 1: (6, 2)})) == []
    assert not refill.is_ready(1e9)  # one of three: others may hold newer
    refill.on_delta(11.0, 1, answer(1, {0: (4, 9), 1: (6, 3)}, whole=False))
    assert not refill.is_ready(1e9)  # half an answer is none
    refill.on_assigner_disconnected(1)
    refill.on_delta(12.0, 1, answer(1, {0: (4, 9), 1: (6, 3), 2: (9, 1)}))
    assert not refill.is_ready(14.9)
    assert refill.is_ready(15.0)
    assert {n: held[0].server_id for n, held in refill.tables().items()} == {0: 0, 1: 1, 2: 1}
    assert refill.first_fencing_token(0) == 9 + 2**32
    assert refill.first_fencing_token(2**40) == 2**40
    refill.on_delta(12.5, 2, answer(2, {}))
    assert refill.is_ready(12.5)  # all there are have answered

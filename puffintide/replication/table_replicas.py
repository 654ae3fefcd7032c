"""Tables of slices as replicated rows.

The owner of a slice publishes its table. Another assigner adopts a table whose origin restarted without it,
and the latest tables are sent to a store that is restored from replicas. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator, Mapping

from puffintide.owned_tables import OwnedTables
from puffintide.protocol.messages import ReplicatedRow, ReplicationDelta, TableEntry, Value
from puffintide.replication import conflict_resolution
from puffintide.replication.replica import MAX_ROWS_PER_DELTA, Reading, Replica
from puffintide.replication.row_types import RowType

# Delay in seconds before an adoption, for each assigner that precedes this one in the order of adoption.
ADOPTION_DELAY_S = 1.0


def pack_table(fencing_token: int, batch: int, entries: Iterable[TableEntry]) -> Value:
    """Return the value of a row of type TABLE with the given entries, ordered by server."""
    value: list[float | str] = [float(fencing_token), float(batch)]
    for entry in sorted(entries, key=lambda entry: entry.server_id):
        value += [float(entry.server_id), entry.weight, entry.address, float(entry.zone)]
    return tuple(value)


def publish_tables(
    now: float, replica: Replica, fencing_tokens: Mapping[int, int], tables: OwnedTables
) -> None:
    """Write the changed tables of the slices that this assigner owns to its replica.

    The row of a revoked slice is kept until a row with a later token is held here, because the store and the
    new owner may be lost together.
    """
    for slice_id in sorted(tables.changed_slices & fencing_tokens.keys()):
        entries = tables.entries.get(slice_id, {}).values()
        value = pack_table(fencing_tokens[slice_id], tables.batches.get(slice_id, 0), entries)
        replica.put(now, RowType.TABLE, slice_id, value)
    tables.changed_slices = set()


def adopt_orphans(now: float, replica: Replica) -> None:
    """Adopt tables that an assigner wrote before it restarted without them.

    The assigner with the next id writes them as its own. Each further assigner does so after an additional
    ADOPTION_DELAY_S, unless a replica that is at least as new exists by then.
    """
    tables = _table_readings(now, replica, [key.row_id for key in replica.orphans])
    for key, orphan in sorted(replica.orphans.items()):
        latest = conflict_resolution.latest_table(tables.get(key.row_id, []))
        predecessors = (replica.local_id - orphan.origin_id) % replica.origin_count - 1
        if latest is not None and latest.value[:2] >= orphan.row.value[:2]:
            del replica.orphans[key]
        elif now - orphan.orphaned_at_s >= predecessors * ADOPTION_DELAY_S:
            replica.put(orphan.row.observed_at_s, key.row_type, key.row_id, orphan.row.value)
            del replica.orphans[key]


def delete_superseded(now: float, replica: Replica, fencing_tokens: Mapping[int, int]) -> None:
    """Delete local rows of revoked slices that another assigner has superseded with a later token."""
    revoked = replica.local_rows(RowType.TABLE).keys() - fencing_tokens.keys()
    tables = _table_readings(now, replica, revoked)
    for slice_id in sorted(revoked):
        latest = conflict_resolution.latest_table(tables[slice_id])
        if latest is not None and latest.origin_id != replica.local_id:
            replica.delete(RowType.TABLE, slice_id)


def _table_readings(now: float, replica: Replica, slice_ids: Collection[int]) -> dict[int, list[Reading]]:
    return replica.readings(now, RowType.TABLE, row_ids=slice_ids) if slice_ids else {}


def latest_tables(
    replica: Replica, clock: Callable[[], float], changed: Iterable[int] | None = None
) -> Iterator[ReplicationDelta]:
    """Yield the current table of each slice, or only of the changed slices, in deltas.

    In the last delta, through_sequence equals latest_sequence. Each delta is built on demand, so that the
    event loop is not blocked.
    """
    replicated = _replicated_slices(replica)
    slice_ids = sorted(replicated if changed is None else replicated.intersection(changed))
    for start in range(0, max(1, len(slice_ids)), MAX_ROWS_PER_DELTA):
        chunk = slice_ids[start : start + MAX_ROWS_PER_DELTA]
        rows = _latest_rows(replica, clock(), chunk, start)
        yield ReplicationDelta(replica.local_id, 0, start, start + len(chunk), len(slice_ids), 0, rows)


def _replicated_slices(replica: Replica) -> set[int]:
    slice_ids: set[int] = set()
    for state in replica.origin_states.values():
        slice_ids.update(state.rows_by_type.get(RowType.TABLE, {}))
        slice_ids.update(key.row_id for key in state.previous_rows if key.row_type == RowType.TABLE)
    return slice_ids


def _latest_rows(replica: Replica, now: float, slice_ids: list[int], start: int) -> list[ReplicatedRow]:
    readings = replica.readings(now, RowType.TABLE, row_ids=slice_ids)
    rows: list[ReplicatedRow] = []
    for slice_id in slice_ids:
        latest = conflict_resolution.latest_table(readings.get(slice_id, []))
        if latest is not None:
            sequence = start + len(rows) + 1
            rows.append(
                ReplicatedRow(RowType.TABLE, slice_id, sequence, round(latest.age_s, 3), latest.value)
            )
    return rows


def table_conflicts(replicas: Mapping[str, Replica]) -> list[str]:
    """Describe each slice whose latest table differs between holders, and the rule by which one wins.

    Args:
        replicas: Replicas by the name of their holder.
    """
    latest_by_slice: dict[int, dict[str, Reading]] = {}
    for holder, replica in sorted(replicas.items()):
        for slice_id, readings in replica.readings(0.0, RowType.TABLE).items():
            latest = conflict_resolution.latest_table(readings)
            if latest is not None:
                latest_by_slice.setdefault(slice_id, {})[holder] = latest
    conflicts = []
    for slice_id, by_holder in sorted(latest_by_slice.items()):
        conflict = _table_conflict(slice_id, by_holder, sorted(replicas))
        if conflict is not None:
            conflicts.append(conflict)
    return conflicts


def _table_conflict(slice_id: int, by_holder: Mapping[str, Reading], holders: list[str]) -> str | None:
    newest = conflict_resolution.latest_table(by_holder.values())
    assert newest is not None
    differing = [
        holder for holder in holders if holder not in by_holder or by_holder[holder].value != newest.value
    ]
    if not differing:
        return None
    token, batch = newest.value[:2]
    same_token = all(reading.value[0] == token for reading in by_holder.values())
    rule = "latest write" if same_token else "highest token"
    return (
        f"slice {slice_id}: table at {', '.join(differing)} is missing or differs from the one that assigner "
        f"{newest.origin_id} wrote with token {token:.0f}, batch {batch:.0f}; the {rule} wins"
    )

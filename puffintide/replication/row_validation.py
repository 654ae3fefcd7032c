"""Validation of replicated rows: rejects rows that cannot be valid, whichever origin wrote them. No I/O."""

from __future__ import annotations

import math

import msgspec

from puffintide.protocol.messages import ReplicatedRow, ReplicationDelta, TableEntry, Value
from puffintide.protocol.validation import weights_problem
from puffintide.replication.row_types import FLEET_ROW_ID, RowType

MAX_AGE_S = 1e8  # Exclusive bound of the age of a row, in seconds.
MAX_NUMBER = 2**53  # Exclusive bound of numbers: integers below it are represented exactly in JSON.
MAX_SERVER_ID = 2**31 - 1
MAX_LOGGED_TYPE_CHARS = 20  # Maximum number of characters of an unknown row type in a log line.
TABLE_HEADER_VALUES = 2  # Number of values before the entries of a table: fencing token and batch.
VALUES_PER_ENTRY = 4  # Number of values of a table entry: server, weight, address and zone.
ADDRESS_OFFSET = 2  # Offset of the address within the values of an entry.
# Number of values of a row of each type other than TABLE.
VALUE_COUNTS = {RowType.FLEET: 1, RowType.SERVER: 2, RowType.LEAVING: 1}


def unpack_table(value: Value) -> list[TableEntry]:
    """Return the table entries in the value of a row of type TABLE, which must be valid."""
    return [
        TableEntry(int(value[start]), float(value[start + 1]), str(value[start + 2]), int(value[start + 3]))
        for start in range(TABLE_HEADER_VALUES, len(value), VALUES_PER_ENTRY)
    ]


def table_problem(slice_id: int, value: Value, slice_count: int) -> str | None:
    """Return the reason why a value is not a valid table of a slice, or None if it is valid."""
    if not 0 <= slice_id < slice_count:
        return f"table of slice {slice_id}: slice id is outside [0, {slice_count})"
    if len(value) < TABLE_HEADER_VALUES or (len(value) - TABLE_HEADER_VALUES) % VALUES_PER_ENTRY:
        return (
            f"table of slice {slice_id}: {len(value)} values do not form a token, a batch "
            f"and entries of {VALUES_PER_ENTRY} values"
        )
    for position, item in enumerate(value):
        problem = _table_value_problem(position, item)
        if problem is not None:
            return f"table of slice {slice_id}: value {position} {problem}"
    token, batch = value[:TABLE_HEADER_VALUES]
    if min(float(token), float(batch)) < 0:
        return f"table of slice {slice_id}: token {token} or batch {batch} is negative"
    entry_problem = weights_problem(unpack_table(value))
    return None if entry_problem is None else f"table of slice {slice_id}: {entry_problem}"


def _table_value_problem(position: int, item: float | str) -> str | None:
    entries_offset = position - TABLE_HEADER_VALUES
    is_address = entries_offset >= 0 and entries_offset % VALUES_PER_ENTRY == ADDRESS_OFFSET
    if isinstance(item, str) != is_address:
        return f"has the wrong type: {item!r:.60}"
    if isinstance(item, float | int) and not (math.isfinite(item) and abs(item) < MAX_NUMBER):
        return f"is out of range: {item!r:.60}"
    return None


def validate_delta(delta: ReplicationDelta, slice_count: int) -> tuple[list[str], ReplicationDelta | None]:
    """Validate a delta and drop each invalid row and deletion individually.

    Args:
        delta: Delta as received from a peer.
        slice_count: Number of slices in the deployment.

    Returns:
        The reason for each dropped row and deletion, and the delta without them. The delta is None if its
        bounds are invalid, so that none of it can be used.
    """
    if not _bounds_are_ordered(delta):
        problem = (
            f"delta bounds are negative or not ascending: after {delta.after_sequence}, "
            f"through {delta.through_sequence}, latest {delta.latest_sequence}, "
            f"compacted {delta.compacted_sequence}, incarnation {delta.incarnation}"
        )
        return [problem], None
    problems: list[str] = []
    valid_rows: list[ReplicatedRow] = []
    for row in delta.rows:
        row_problem = _row_problem(row, delta, slice_count)
        if row_problem is None:
            valid_rows.append(row)
        else:
            problems.append(row_problem)
    valid_deletions: list[tuple[str, int, int]] = []
    for row_type, row_id, sequence in delta.deletions:
        if row_type in tuple(RowType) and delta.after_sequence < sequence <= delta.through_sequence:
            valid_deletions.append((row_type, row_id, sequence))
        else:
            problems.append(
                f"deletion of row {row_type[:MAX_LOGGED_TYPE_CHARS]!r} {row_id}: unknown row type, "
                f"or sequence {sequence} is outside ({delta.after_sequence}, {delta.through_sequence}]"
            )
    return problems, msgspec.structs.replace(delta, rows=valid_rows, deletions=valid_deletions)


def _bounds_are_ordered(delta: ReplicationDelta) -> bool:
    return (
        0 <= delta.after_sequence <= delta.through_sequence <= delta.latest_sequence
        and delta.compacted_sequence >= 0
        and delta.incarnation >= 0
    )


def _row_problem(row: ReplicatedRow, delta: ReplicationDelta, slice_count: int) -> str | None:
    row_name = f"row {row.row_type[:MAX_LOGGED_TYPE_CHARS]!r} {row.row_id}"
    if row.row_type not in tuple(RowType):
        return f"{row_name}: unknown row type"
    if not delta.after_sequence < row.sequence <= delta.through_sequence:
        bounds = f"({delta.after_sequence}, {delta.through_sequence}]"
        return f"{row_name}: sequence {row.sequence} is outside {bounds}"
    if not 0 <= row.age_s < MAX_AGE_S:
        return f"{row_name}: age {row.age_s:g} s is out of range"
    if row.row_type == RowType.TABLE:
        return table_problem(row.row_id, row.value, slice_count)
    value_count = VALUE_COUNTS[RowType(row.row_type)]
    if not FLEET_ROW_ID <= row.row_id <= MAX_SERVER_ID or len(row.value) != value_count:
        return f"{row_name}: row id is out of range, or {len(row.value)} values instead of {value_count}"
    if not all(_is_valid_number(item) for item in row.value):
        return f"{row_name}: value {row.value!r:.60} is not numeric or is out of range"
    return None


def _is_valid_number(item: float | str) -> bool:
    return isinstance(item, float | int) and math.isfinite(item) and 0 <= item < MAX_NUMBER

"""Which replicated rows cannot be true, whatever their origin says. No I/O."""

from __future__ import annotations

import math

import msgspec

from puffintide.protocol.messages import ReplicatedRow, ReplicationDelta, TableEntry, Value
from puffintide.protocol.validation import weights_problem
from puffintide.replication.row_types import FLEET_ROW_ID, RowType

MAX_AGE_S = 1e8
MAX_NUMBER = 2**53  # whole numbers up to here are exact in JSON
MAX_SERVER_ID = 2**31 - 1
MAX_TEXT_SHOWN = 20  # characters of a type that is not known
TABLE_HEADER_VALUES = 2  # fencing token and batch
VALUES_PER_ENTRY = 4  # server, weight, address and zone
ADDRESS_POSITION = 2  # among the values of an entry
FIGURE_COUNTS = {RowType.FLEET: 1, RowType.SERVER: 2, RowType.LEAVING: 1}  # values of each type beside tables


def unpack_table(value: Value) -> list[TableEntry]:
    """Return the entries of a row of type TABLE; the value must be valid."""
    return [
        TableEntry(int(value[at]), float(value[at + 1]), str(value[at + 2]), int(value[at + 3]))
        for at in range(TABLE_HEADER_VALUES, len(value), VALUES_PER_ENTRY)
    ]


def table_problem(slice_id: int, value: Value, slice_count: int) -> str | None:
    """Return why a value can be no table, or None."""
    if not 0 <= slice_id < slice_count:
        return f"table {slice_id} is not among the {slice_count}"
    if len(value) < TABLE_HEADER_VALUES or (len(value) - TABLE_HEADER_VALUES) % VALUES_PER_ENTRY:
        return f"table {slice_id}: {len(value)} values are no token, batch and entries of four"
    for position, item in enumerate(value):
        problem = _table_value_problem(position, item)
        if problem is not None:
            return f"table {slice_id}: value {position} {problem}"
    token, batch = value[:TABLE_HEADER_VALUES]
    if min(float(token), float(batch)) < 0:
        return f"table {slice_id}: token {token} or batch {batch} is below 0"
    return weights_problem(unpack_table(value))


def _table_value_problem(position: int, item: float | str) -> str | None:
    in_entries = position - TABLE_HEADER_VALUES
    is_address = in_entries >= 0 and in_entries % VALUES_PER_ENTRY == ADDRESS_POSITION
    if isinstance(item, str) != is_address:
        return "is of the wrong type"
    if isinstance(item, float | int) and not (math.isfinite(item) and abs(item) < MAX_NUMBER):
        return "is out of range"
    return None


def validate_delta(delta: ReplicationDelta, slice_count: int) -> tuple[list[str], ReplicationDelta | None]:
    """Split a delta into problems and what is valid: each invalid row is dropped by itself.

    Returns:
        Why rows and deletions were dropped, and the delta without them; None if nothing of it can be used.
    """
    if not _bounds_are_ordered(delta):
        problem = (
            f"after {delta.after_sequence}, through {delta.through_sequence}, latest {delta.latest_sequence} "
            "are not in order"
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
            problems.append(f"deletion: {row_type[:MAX_TEXT_SHOWN]!r} {row_id}, {sequence}")
    return problems, msgspec.structs.replace(delta, rows=valid_rows, deletions=valid_deletions)


def _bounds_are_ordered(delta: ReplicationDelta) -> bool:
    return (
        0 <= delta.after_sequence <= delta.through_sequence <= delta.latest_sequence
        and delta.compacted_sequence >= 0
        and delta.incarnation >= 0
    )


def _row_problem(row: ReplicatedRow, delta: ReplicationDelta, slice_count: int) -> str | None:
    row_name = f"{row.row_type[:MAX_TEXT_SHOWN]!r} {row.row_id}"
    if row.row_type not in tuple(RowType):
        return f"{row_name}: no such type"
    if not delta.after_sequence < row.sequence <= delta.through_sequence:
        bounds = f"{delta.after_sequence} to {delta.through_sequence}"
        return f"{row_name}: sequence {row.sequence} is not from {bounds}"
    if not 0 <= row.age_s < MAX_AGE_S:
        return f"{row_name}: age {row.age_s:g} s"
    if row.row_type == RowType.TABLE:
        return table_problem(row.row_id, row.value, slice_count)
    figure_count = FIGURE_COUNTS[RowType(row.row_type)]
    if not FLEET_ROW_ID <= row.row_id <= MAX_SERVER_ID or len(row.value) != figure_count:
        return f"{row_name}: {len(row.value)} figures of {figure_count}"
    if not all(_is_figure(item) for item in row.value):
        return f"{row_name}: {row.value!r:.60} is out of range"
    return None


def _is_figure(item: float | str) -> bool:
    return isinstance(item, float | int) and math.isfinite(item) and 0 <= item < MAX_NUMBER

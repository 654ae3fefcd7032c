"""Reader of a store's initial tables from a file of JSON lines.

Each line has the keys slice, server, weight (1 by default) and address.
"""

from __future__ import annotations

import json
from pathlib import Path

from puffintide.protocol.messages import TableEntry
from puffintide.store.errors import TableFileError


def read_initial_tables(path: str, slice_count: int) -> dict[int, list[TableEntry]]:
    """Read the tables of a file, keyed by slice.

    Raises:
        TableFileError: The file cannot be read, or a line is invalid.
    """
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise TableFileError(f"cannot read initial tables from {path}: {error}") from error
    tables: dict[int, list[TableEntry]] = {}
    for line_number, line in enumerate(text.splitlines(), 1):
        location = f"{path}:{line_number}"
        slice_id, entry = _parse_line(line, location)
        if not 0 <= slice_id < slice_count:
            raise TableFileError(f"{location}: slice {slice_id} is not from 0 to {slice_count - 1}")
        if not entry.weight > 0:
            raise TableFileError(f"{location}: weight {entry.weight} is not above 0")
        table = tables.setdefault(slice_id, [])
        if any(existing.server_id == entry.server_id for existing in table):
            raise TableFileError(f"{location}: server {entry.server_id} is named twice for slice {slice_id}")
        table.append(entry)
    return tables


def _parse_line(line: str, location: str) -> tuple[int, TableEntry]:
    try:
        row = json.loads(line)
        slice_id = int(row["slice"])
        server_id = int(row["server"])
        weight = float(row.get("weight", 1.0))
        return slice_id, TableEntry(server_id, weight, str(row.get("address", "")))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise TableFileError(f"{location}: not a table entry: {error!r}") from error

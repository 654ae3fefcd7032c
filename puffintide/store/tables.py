"""First tables of a store, from a file of JSON lines: slice, server, weight (1 unless given), address."""

from __future__ import annotations

import json
from pathlib import Path

from puffintide.protocol.messages import TableEntry


class TableError(Exception):
    """A file of first tables can't be taken; the text names file and line. Nothing of it is used."""


def read_tables(path: str, slices: int) -> dict[int, list[TableEntry]]:
    tables: dict[int, list[TableEntry]] = {}
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise TableError(f"{path}: {error}") from None
    for at, line in enumerate(text.splitlines(), 1):
        try:
            row = json.loads(line)
            number = int(row["slice"])
            held = TableEntry(int(row["server"]), float(row.get("weight", 1.0)), str(row.get("address", "")))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise TableError(f"{path}:{at}: not a table's line: {error!r}") from None
        if not 0 <= number < slices:
            raise TableError(f"{path}:{at}: slice {number} is not among the {slices}")
        if not held.weight > 0:
            raise TableError(f"{path}:{at}: weight {held.weight} is not above 0")
        if any(h.server_id == held.server_id for h in tables.get(number, [])):
            raise TableError(f"{path}:{at}: server {held.server_id} is named twice for slice {number}")
        tables.setdefault(number, []).append(held)
    return tables

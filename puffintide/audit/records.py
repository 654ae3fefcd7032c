"""Reads the records of a day. A gap in them is told, never passed over."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from puffintide.protocol.codec import decode
from puffintide.protocol.errors import ProtocolError
from puffintide.protocol.messages import AnyMessage, Hello


class RecordError(Exception):
    """A record cannot be read; the text names file and line."""


@dataclass(frozen=True, slots=True)
class Record:
    """One line that passed. came: when the tap had it; went: when it was delivered, None if never."""

    number: int
    came: float
    went: float | None
    link: str
    conn: int
    to_dialler: bool
    message: AnyMessage | None  # None: the connection ended


@dataclass
class Capture:
    records: list[Record] = field(default_factory=list)
    gaps: list[str] = field(default_factory=list)


def read(lines: Iterable[bytes], name: str) -> Capture:
    """The records of one tap file. Numbers must run from 1 to the count in the last line."""
    capture = Capture()
    expected, ended = 1, False
    for at, line in enumerate(lines, 1):
        try:
            row: Any = json.loads(line)
        except (ValueError, RecursionError):
            capture.gaps.append(f"{name}:{at}: not a whole record")
            continue
        if "end" in row:
            ended = True
            if row["end"] != expected - 1:
                capture.gaps.append(
                    f"{name}:{at}: the file counts {row['end']} records, {expected - 1} are here"
                )
            continue
        try:
            number = int(row["i"])
            if number != expected:
                capture.gaps.append(f"{name}:{at}: record {number} follows {expected - 1}")
            expected = number + 1
            message = None if "x" in row else _message(line, row)
            went = None if row["o"] is None else float(row["o"])
            record = Record(
                number, float(row["t"]), went, str(row["l"]), int(row["c"]), row["d"] == 1, message
            )
        except (KeyError, TypeError, ValueError, ProtocolError) as error:
            capture.gaps.append(f"{name}:{at}: record does not fit: {error}")
            continue
        capture.records.append(record)
    if not ended:
        capture.gaps.append(f"{name}: has no closing count; its end may be missing")
    return capture


def _message(line: bytes, row: dict[str, Any]) -> AnyMessage:
    start = line.find(b',"m":')
    return decode(line[start + 5 : line.rstrip().rfind(b"}")])


def rows(path: Path) -> Iterator[dict[str, Any]]:
    """Plain JSON lines, as stand-ins and the runner write them."""
    with path.open(encoding="utf-8") as lines:
        for at, line in enumerate(lines, 1):
            try:
                row = json.loads(line)
            except ValueError:
                raise RecordError(f"{path}:{at}: not a whole record") from None
            if not isinstance(row, dict):
                raise RecordError(f"{path}:{at}: not a record")
            yield row


@dataclass(slots=True)
class Peer:
    """Who dialled a connection, and while it stood."""

    role: str = ""
    id: int = -1
    zone: int = 0
    since: float = 0.0
    until: float = float("inf")


def peers(records: list[Record]) -> dict[int, Peer]:
    """The dialling party of each connection, from its own greeting as it was delivered."""
    found: dict[int, Peer] = {}
    for r in records:
        if isinstance(r.message, Hello) and not r.to_dialler and r.went is not None:
            found[r.conn] = Peer(r.message.role, r.message.id, r.message.zone, r.went)
        elif r.message is None and r.conn in found:
            found[r.conn].until = min(found[r.conn].until, r.came)
    return found

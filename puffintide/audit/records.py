"""Reads the records of a scenario. Gaps in them are reported, never passed over."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from puffintide.audit.errors import RecordError
from puffintide.protocol.codec import decode
from puffintide.protocol.errors import ProtocolError
from puffintide.protocol.messages import AnyMessage, Hello

ORDER_LINK = "order"  # proxies to assigner N: "order:N"
LIST_LINK = "list"  # assigners to the endpoint list
STORE_LINK = "store"  # assigners and proxies to the store
PEER_LINK = "peer"  # assigners to each other
MESSAGE_KEY = b',"m":'


@dataclass(frozen=True, slots=True)
class Record:
    """One message that passed a recording proxy."""

    number: int
    received_at_s: float  # by the recording proxy
    delivered_at_s: float | None  # None: never
    link: str  # its type, and the number of the party that was dialled: "try:3"
    connection_id: int
    to_initiator: bool  # whether it went to the party that dialled
    message: AnyMessage | None  # None: the connection ended

    @property
    def link_type(self) -> str:
        """The type of the link, without its number."""
        return self.link.split(":")[0]

    @property
    def link_number(self) -> int:
        """The number of the party that was dialled."""
        return int(self.link.split(":")[1])


@dataclass
class Capture:
    """The records of one file, and what is missing from it."""

    records: list[Record] = field(default_factory=list)
    gaps: list[str] = field(default_factory=list)


def read_records(lines: Iterable[bytes], name: str) -> Capture:
    """Read the file of a recording proxy.

    Records have to be numbered from 1 to the count in the last line; all else is a gap.

    Args:
        lines: Lines of the file.
        name: Of the file, for the description of gaps.
    """
    capture = Capture()
    previous = 0
    ended = False
    for line_number, line in enumerate(lines, 1):
        where = f"{name}:{line_number}"
        try:
            row: Any = json.loads(line)
        except (ValueError, RecursionError):
            capture.gaps.append(f"{where}: not a whole record")
            continue
        if "end" in row:
            ended = True
            if row["end"] != previous:
                capture.gaps.append(f"{where}: the file counts {row['end']} records, {previous} are here")
            continue
        try:
            number = int(row["i"])
            if number != previous + 1:
                capture.gaps.append(f"{where}: record {number} follows {previous}")
            previous = number
            capture.records.append(_record(line, row))
        except (KeyError, TypeError, ValueError, ProtocolError) as error:
            capture.gaps.append(f"{where}: record does not fit: {error}")
    if not ended:
        capture.gaps.append(f"{name}: has no closing count; its end may be missing")
    return capture


def _record(line: bytes, row: dict[str, Any]) -> Record:
    message = None if "x" in row else _message(line)
    delivered_at_s = None if row["o"] is None else float(row["o"])
    return Record(
        int(row["i"]), float(row["t"]), delivered_at_s, str(row["l"]), int(row["c"]), row["d"] == 1, message
    )


def _message(line: bytes) -> AnyMessage:
    start = line.find(MESSAGE_KEY) + len(MESSAGE_KEY)
    return decode(line[start : line.rstrip().rfind(b"}")])


def read_json_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Read a file of JSON objects, one a line, as emulators and the scenario runner write them.

    Raises:
        RecordError: A line is no JSON object.
    """
    with path.open(encoding="utf-8") as lines:
        for line_number, line in enumerate(lines, 1):
            try:
                row = json.loads(line)
            except ValueError as error:
                raise RecordError(f"{path}:{line_number}: not a whole record") from error
            if not isinstance(row, dict):
                raise RecordError(f"{path}:{line_number}: not a record")
            yield row


@dataclass(slots=True)
class Peer:
    """The party that dialled a connection, and while it was connected."""

    role: str = ""
    id: int = -1
    zone: int = 0
    connected_at_s: float = 0.0
    disconnected_at_s: float = float("inf")


def peers_by_connection(records: list[Record]) -> dict[int, Peer]:
    """The party that dialled each connection, from its own greeting as it was delivered."""
    peers: dict[int, Peer] = {}
    for record in records:
        greeting = record.message
        if isinstance(greeting, Hello) and not record.to_initiator and record.delivered_at_s is not None:
            peers[record.connection_id] = Peer(
                greeting.role, greeting.id, greeting.zone, record.delivered_at_s
            )
        elif greeting is None and record.connection_id in peers:
            peer = peers[record.connection_id]
            peer.disconnected_at_s = min(peer.disconnected_at_s, record.received_at_s)
    return peers

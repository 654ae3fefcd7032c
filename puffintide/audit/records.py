"""Reads the records of a scenario. Missing and unreadable records are reported as gaps, never ignored."""

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

# Types of links, by the process that accepts connections.
ORDER_LINK = "order"  # Proxies connect to assigner N on link "order:N".
LIST_LINK = "list"  # Assigners connect to the endpoint list.
STORE_LINK = "store"  # Assigners and proxies connect to the store.
PEER_LINK = "peer"  # Assigners connect to each other.
MESSAGE_KEY = b',"m":'


@dataclass(frozen=True, slots=True)
class Record:
    """A message, or the end of a connection, that a recording proxy observed."""

    number: int
    received_at_s: float  # Time at which the recording proxy received it, in seconds.
    delivered_at_s: float | None  # Time at which it was forwarded, in seconds; None if it never was.
    # Type of the link and number of the process that was dialled, such as "try:3". Links between assigners have
    # both numbers, that of the initiator first: "peer:0:1".
    link: str
    connection_id: int
    to_initiator: bool  # Whether it was sent to the process that dialled.
    message: AnyMessage | None  # None if the record is the end of the connection.

    @property
    def link_type(self) -> str:
        """Return the type of the link, without its number."""
        return self.link.split(":")[0]

    @property
    def link_number(self) -> int:
        """Return the first number of the link.

        It is that of the process that was dialled, except on links between assigners.
        """
        return int(self.link.split(":")[1])


@dataclass
class Capture:
    """The records of one file, and a description of each gap in it."""

    records: list[Record] = field(default_factory=list)
    gaps: list[str] = field(default_factory=list)


def read_records(lines: Iterable[bytes], name: str) -> Capture:
    """Read the file of a recording proxy.

    Records must be numbered from 1 to the count in the last line. Any deviation is a gap.

    Args:
        lines: The lines of the file.
        name: The name of the file, for the descriptions of gaps.
    """
    capture = Capture()
    previous_number = 0
    ended = False
    for line_number, line in enumerate(lines, 1):
        location = f"{name}:{line_number}"
        try:
            row: Any = json.loads(line)
        except (ValueError, RecursionError):
            capture.gaps.append(f"{location}: record is not valid JSON")
            continue
        if "end" in row:
            ended = True
            if row["end"] != previous_number:
                capture.gaps.append(
                    f"{location}: closing count is {row['end']} records, last record is {previous_number}"
                )
            continue
        try:
            number = int(row["i"])
            if number != previous_number + 1:
                capture.gaps.append(f"{location}: record {number} follows record {previous_number}")
            previous_number = number
            capture.records.append(_parse_record(line, row))
        except (KeyError, TypeError, ValueError, ProtocolError) as error:
            capture.gaps.append(f"{location}: record is invalid: {type(error).__name__}: {error}")
    if not ended:
        capture.gaps.append(f"{name}: closing count is missing, the file may be truncated")
    return capture


def _parse_record(line: bytes, row: dict[str, Any]) -> Record:
    message = None if "x" in row else _decode_message(line)
    delivered_at_s = None if row["o"] is None else float(row["o"])
    return Record(
        int(row["i"]), float(row["t"]), delivered_at_s, str(row["l"]), int(row["c"]), row["d"] == 1, message
    )


def _decode_message(line: bytes) -> AnyMessage:
    start = line.find(MESSAGE_KEY) + len(MESSAGE_KEY)
    return decode(line[start : line.rstrip().rfind(b"}")])


def read_json_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Read a file of one JSON object per line, as emulators and the scenario runner write it.

    Args:
        path: The path of the file.

    Raises:
        RecordError: A line is not a JSON object.
    """
    with path.open(encoding="utf-8") as lines:
        for line_number, line in enumerate(lines, 1):
            try:
                row = json.loads(line)
            except ValueError as error:
                raise RecordError(f"{path}:{line_number}: record is not valid JSON: {error}") from error
            if not isinstance(row, dict):
                raise RecordError(
                    f"{path}:{line_number}: record is a {type(row).__name__}, not a JSON object"
                )
            yield row


@dataclass(slots=True)
class Peer:
    """The process that dialled a connection, and the time for which it was connected."""

    role: str = ""
    id: int = -1
    zone: int = 0
    connected_at_s: float = 0.0
    disconnected_at_s: float = float("inf")


def peers_by_connection(records: list[Record]) -> dict[int, Peer]:
    """Return the process that dialled each connection, as its delivered Hello message describes it."""
    peers: dict[int, Peer] = {}
    for record in records:
        message = record.message
        if isinstance(message, Hello) and not record.to_initiator and record.delivered_at_s is not None:
            peers[record.connection_id] = Peer(message.role, message.id, message.zone, record.delivered_at_s)
        elif message is None and record.connection_id in peers:
            peer = peers[record.connection_id]
            peer.disconnected_at_s = min(peer.disconnected_at_s, record.received_at_s)
    return peers

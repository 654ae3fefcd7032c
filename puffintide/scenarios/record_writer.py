"""Writes the records of messages that passed the recording proxy; puffintide.audit.records reads them.

A record is a JSON object on one line with these keys:
    i: the number of the record, from 1.
    t: the time when the message was received.
    o: the time when the message was forwarded; null if it was lost.
    l: the name of the link.
    c: the number of the connection.
    d: 0 if the initiator of the connection sent the message, 1 if the target sent it.
    m: the message, unchanged.
    x: 1 instead of m if the connection was closed.

Heartbeats are not recorded. The last line of a file contains the number of records, so that the reader
detects missing records.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import BinaryIO

from puffintide.scenarios.relayed_connection import RelayedConnection

TIME_DIGITS = 6  # Decimal places of times in seconds.


class RecordWriter:
    """Numbers the records and writes them to a file.

    Args:
        sink: The file to which records are written.
        seconds: A function that returns the current time in seconds.
    """

    def __init__(self, sink: BinaryIO, seconds: Callable[[], float]) -> None:
        self._sink = sink
        self._seconds = seconds
        self._count = 0

    def write(
        self,
        connection: RelayedConnection,
        direction: int,
        received_at_s: float,
        line: bytes | None,
        lost: bool,
    ) -> None:
        """Write a record of a line that is forwarded now or lost.

        Args:
            connection: The connection that carries the line.
            direction: The direction of the line, TO_TARGET or TO_INITIATOR.
            received_at_s: The time when the line was received.
            line: The line without its line end; None if the connection was closed.
            lost: Whether the line is lost instead of forwarded.
        """
        self._count += 1
        head = {
            "i": self._count,
            "t": round(received_at_s, TIME_DIGITS),
            "o": None if lost else round(self._seconds(), TIME_DIGITS),
            "l": connection.link.name,
            "c": connection.number,
            "d": direction,
        }
        text = json.dumps(head, separators=(",", ":")).encode()[:-1]
        body = b',"x":1}' if line is None else b',"m":' + line + b"}"
        self._sink.write(text + body + b"\n")

    def close(self) -> None:
        """Write the number of records as the last line of the file."""
        self._sink.write(json.dumps({"end": self._count}).encode() + b"\n")
        self._sink.flush()

"""Writes the records of what passed a recording proxy; puffintide.audit.records reads them.

A record is a line of JSON: i its number, t when the line was received, o when it was forwarded (null: never),
l the link, c the connection, d 0 from the party that dialled and 1 towards it, m the message as it was. x records
a connection's end. The last line of a file has the count, so that a gap shows.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import BinaryIO

from puffintide.scenarios.relayed_connection import RelayedConnection

TIME_DIGITS = 6  # decimal places of seconds


class RecordWriter:
    """Numbers and writes records.

    Args:
        sink: The file.
        seconds: The current time.
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
        """Write a record of a line that is forwarded now, or lost; None is the connection's end."""
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
        """Write the count."""
        self._sink.write(json.dumps({"end": self._count}).encode() + b"\n")
        self._sink.flush()

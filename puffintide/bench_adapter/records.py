"""Records of the bench's protocol: codes, and the encoding of fields. All fields are little-endian."""

from __future__ import annotations

import struct
from enum import IntEnum

from puffintide.bench_adapter.errors import BenchProtocolError

MAX_TEXT_BYTES = 65535

_STRUCT_CACHE: dict[str, struct.Struct] = {}


class EventCode(IntEnum):
    """Event code: the first byte of a record from the bench."""

    HELLO = 0
    ENDPOINT_LIST = 1
    TIMER_FIRED = 2
    HEALTH_CHECK_RESULT = 3
    PEER_MESSAGE = 4
    EXIT = 5
    PROXY_CONNECTED = 6
    PROXY_DISCONNECTED = 7
    CHECKPOINT_ACKNOWLEDGED = 8
    SERVER_LOAD_REPORT = 9
    PROXY_LOAD_REPORT = 10
    SLICE_LOAD_REPORT = 11
    OWNERSHIP_CHANGED = 12
    STORED_WEIGHT = 13
    SERVER_LIST = 14  # Has no instance; later ENDPOINT_LIST events refer to it.


class ActionCode(IntEnum):
    """Action code: the first byte of a record to the bench."""

    SET_TIMER = 64
    SEND_HEALTH_CHECK = 65
    LOG_MESSAGE = 67
    FAULT = 68
    WATCH_ENDPOINTS = 69
    SET_WEIGHT = 71
    SET_WITHDRAWN = 73
    SET_ADMISSION = 75
    SEND_CHECKPOINT = 76


def compiled_struct(layout: str) -> struct.Struct:
    """Return the little-endian struct of a layout, compiled once per layout."""
    result = _STRUCT_CACHE.get(layout)
    if result is None:
        result = _STRUCT_CACHE[layout] = struct.Struct("<" + layout)
    return result


class RecordReader:
    """Reads the fields of records one after another."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def read_fields(self, layout: str) -> tuple[int | float | bool, ...]:
        """Read the next fields.

        Args:
            layout: Layout of the fields in the notation of the struct module, without byte order.

        Raises:
            BenchProtocolError: The data ends inside the fields.
        """
        field_struct = compiled_struct(layout)
        end = self.position + field_struct.size
        if end > len(self.data):
            raise BenchProtocolError(
                f"cannot read record fields at byte {self.position}: "
                f"{field_struct.size} bytes expected, {len(self.data) - self.position} left"
            )
        values: tuple[int | float | bool, ...] = field_struct.unpack_from(self.data, self.position)
        self.position = end
        return values

    def read_integers(self, layout: str) -> tuple[int, ...]:
        """Read the next fields, all of which are integers."""
        return tuple(int(value) for value in self.read_fields(layout))

    def read_bytes(self, size: int) -> bytes:
        """Read a byte string of a given size.

        Raises:
            BenchProtocolError: The data ends inside the byte string.
        """
        if self.position + size > len(self.data):
            raise BenchProtocolError(
                f"cannot read byte string at byte {self.position}: "
                f"{size} bytes expected, {len(self.data) - self.position} left"
            )
        start = self.position
        self.position += size
        return self.data[start : self.position]

    def read_floats(self) -> tuple[float, ...]:
        """Read a list of floats that is preceded by its length."""
        (count,) = self.read_fields("B")
        return tuple(float(value) for value in self.read_fields(f"{int(count)}f"))

"""Records of the bench's protocol: codes, and how their fields are read and written. Little-endian throughout."""

from __future__ import annotations

import struct
from enum import IntEnum

from puffintide.bench_adapter.errors import BenchProtocolError

MAX_TEXT_BYTES = 65535

_STRUCTS: dict[str, struct.Struct] = {}


class EventCode(IntEnum):
    """First byte of a record from the bench."""

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
    SERVER_LIST = 14  # without an instance; later ENDPOINT_LIST events refer to it


class ActionCode(IntEnum):
    """First byte of a record to the bench."""

    SET_TIMER = 64
    SEND_HEALTH_CHECK = 65
    LOG_MESSAGE = 67
    FAULT = 68
    WATCH_ENDPOINTS = 69
    SET_WEIGHT = 71
    SET_WITHDRAWN = 73
    SET_ADMISSION = 75
    SEND_CHECKPOINT = 76


def compiled(layout: str) -> struct.Struct:
    """The compiled struct of a layout, little-endian."""
    result = _STRUCTS.get(layout)
    if result is None:
        result = _STRUCTS[layout] = struct.Struct("<" + layout)
    return result


class RecordReader:
    """Reads fields one after another."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def fields(self, layout: str) -> tuple[int | float | bool, ...]:
        """The next fields.

        Raises:
            BenchProtocolError: The data ends before.
        """
        packed = compiled(layout)
        end = self.position + packed.size
        if end > len(self.data):
            raise BenchProtocolError(
                f"batch ends inside a record at byte {self.position} of {len(self.data)}"
            )
        values: tuple[int | float | bool, ...] = packed.unpack_from(self.data, self.position)
        self.position = end
        return values

    def integers(self, layout: str) -> tuple[int, ...]:
        """The next fields, all of them integers."""
        return tuple(int(value) for value in self.fields(layout))

    def bytes_(self, size: int) -> bytes:
        """The next bytes.

        Raises:
            BenchProtocolError: The data ends before.
        """
        if self.position + size > len(self.data):
            raise BenchProtocolError(
                f"a length of {size} at byte {self.position} runs past the batch of {len(self.data)}"
            )
        start = self.position
        self.position += size
        return self.data[start : self.position]

    def float_list(self) -> tuple[float, ...]:
        """A count, and as many floats."""
        (count,) = self.fields("B")
        return tuple(float(value) for value in self.fields(f"{int(count)}f"))

"""Answers the bench's batches: from standard input to standard output."""

from __future__ import annotations

import struct
import sys
from typing import BinaryIO

from puffintide.bench_adapter.errors import BenchProtocolError
from puffintide.bench_adapter.host import Host
from puffintide.decisions.settings import SettingsError

LENGTH = struct.Struct("<I")
CLOCK = struct.Struct("<d")  # opens every batch; the stated length does not count it
EXIT_INVALID_INPUT = 2


def _read(source: BinaryIO, size: int) -> bytes:
    """So many bytes, or fewer if the input ends."""
    data = source.read(size)
    while 0 < len(data) < size:
        more = source.read(size - len(data))
        if not more:
            break
        data += more
    return data


def _read_batch(source: BinaryIO) -> tuple[float, bytes] | None:
    """The next batch: its time and its body; None at the end of the input."""
    head = _read(source, LENGTH.size)
    if not head:
        return None
    if len(head) < LENGTH.size:
        raise BenchProtocolError(f"input ends after {len(head)} of {LENGTH.size} bytes of the length")
    (size,) = LENGTH.unpack(head)
    clock = _read(source, CLOCK.size)
    body = _read(source, size)
    if len(clock) < CLOCK.size or len(body) < size:
        received = len(clock) + len(body)
        raise BenchProtocolError(f"input ends after {received} of {CLOCK.size + size} bytes")
    (now_s,) = CLOCK.unpack(clock)
    return now_s, body


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer batches until the input ends. Returns the exit code."""
    host = Host()
    batch_number = 0
    try:
        while (batch := _read_batch(source)) is not None:
            sink.write(host.answer(*batch))
            sink.flush()
            batch_number += 1
    except (BenchProtocolError, SettingsError) as error:
        print(f"puffintide: batch {batch_number}: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))

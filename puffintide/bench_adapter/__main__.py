"""Reads batches of the bench from standard input and writes the replies to standard output."""

from __future__ import annotations

import struct
import sys
from typing import BinaryIO

from puffintide.bench_adapter.errors import BenchProtocolError
from puffintide.bench_adapter.host import Host
from puffintide.decisions.settings import SettingsError

LENGTH_STRUCT = struct.Struct("<I")
TIME_STRUCT = struct.Struct("<d")  # Time of a batch; follows its length, which does not count it.
EXIT_INVALID_INPUT = 2


def _read_bytes(source: BinaryIO, size: int) -> bytes:
    """Read a number of bytes, or fewer if the input ends."""
    data = source.read(size)
    while 0 < len(data) < size:
        more = source.read(size - len(data))
        if not more:
            break
        data += more
    return data


def _read_batch(source: BinaryIO) -> tuple[float, bytes] | None:
    """Read the next batch.

    Returns:
        The time of the batch in seconds and its body, or None at the end of the input.

    Raises:
        BenchProtocolError: The input ends inside the batch.
    """
    length_bytes = _read_bytes(source, LENGTH_STRUCT.size)
    if not length_bytes:
        return None
    if len(length_bytes) < LENGTH_STRUCT.size:
        raise BenchProtocolError(
            f"cannot read batch length: input ends after {len(length_bytes)} of {LENGTH_STRUCT.size} bytes"
        )
    (size,) = LENGTH_STRUCT.unpack(length_bytes)
    time_bytes = _read_bytes(source, TIME_STRUCT.size)
    body = _read_bytes(source, size)
    if len(time_bytes) < TIME_STRUCT.size or len(body) < size:
        received = len(time_bytes) + len(body)
        expected = TIME_STRUCT.size + size
        raise BenchProtocolError(f"cannot read batch: input ends after {received} of {expected} bytes")
    (now_s,) = TIME_STRUCT.unpack(time_bytes)
    return now_s, body


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Reply to batches until the input ends, and return the exit code.

    The first invalid batch is reported on standard error and ends the service.
    """
    host = Host()
    batch_number = 0
    try:
        while (batch := _read_batch(source)) is not None:
            sink.write(host.handle_batch(*batch))
            sink.flush()
            batch_number += 1
    except (BenchProtocolError, SettingsError) as error:
        print(f"puffintide: batch {batch_number}: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))

"""The adapter's loop: one Director for each instance, fed batch by batch from standard input."""

from __future__ import annotations

import struct
import sys
import traceback
from typing import BinaryIO

from puffintide.bench_adapter.codec import Decoder, Exit, Hello, WireError, encode_action, encode_fault, frame
from puffintide.decisions.director import Director
from puffintide.decisions.events import Event
from puffintide.decisions.settings import SettingsError, parse_settings

CLOCK = 8  # bytes of the clock that opens every batch


def _read(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    while 0 < len(data) < size:
        more = source.read(size - len(data))
        if not more:
            break
        data += more
    return data


class Host:
    """Holds the instances; nothing passes between them."""

    def __init__(self) -> None:
        self.decoder = Decoder()
        self.directors: dict[int, Director] = {}

    def answer(self, now: float, body: bytes) -> bytes:
        """The reply to one batch."""
        waiting: dict[int, list[Event]] = {}
        for who, event in self.decoder.events(body):
            if isinstance(event, Hello):
                try:
                    settings = parse_settings(event.text, event.seed)
                except SettingsError as error:
                    raise SettingsError(f"hello of instance {who}: {error}") from None
                self.directors[who] = Director(settings)
                waiting[who] = []
            elif isinstance(event, Exit):
                self.directors.pop(who, None)
                waiting.pop(who, None)
            elif who in self.directors:
                waiting.setdefault(who, []).append(event)
            else:
                raise WireError(f"{type(event).__name__} for instance {who}, which has had no hello")
        records: list[bytes] = []
        for who, events in sorted(waiting.items()):
            try:
                actions = self.directors[who].handle(now, events)
                records.extend([encode_action(who, action) for action in actions])
            except Exception as error:  # whatever fails inside the module is told, not hidden
                frames = traceback.extract_tb(error.__traceback__)
                place = f"{frames[-1].name}:{frames[-1].lineno}" if frames else "?"
                records.append(encode_fault(who, f"{type(error).__name__} in {place}: {error}"))
        return frame(records)


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers batches until the input ends; the exit code."""
    host = Host()
    batch = 0
    try:
        while head := _read(source, 4):
            if len(head) < 4:
                raise WireError(f"input ends after {len(head)} of 4 bytes of the length")
            (size,) = struct.unpack("<I", head)
            # The stated length counts what comes after the header, and the clock is part of the header.
            clock = _read(source, CLOCK)
            body = _read(source, size)
            if len(clock) < CLOCK or len(body) < size:
                raise WireError(f"input ends after {len(clock) + len(body)} of {CLOCK + size} bytes")
            (now,) = struct.unpack("<d", clock)
            sink.write(host.answer(now, body))
            sink.flush()
            batch += 1
    except (WireError, SettingsError) as error:
        print(f"puffintide: batch {batch}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))

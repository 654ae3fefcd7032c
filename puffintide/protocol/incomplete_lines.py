"""Limits the memory that the incomplete lines of all streams of a listening port take together. No I/O."""

from __future__ import annotations

from collections.abc import Callable

MAX_INCOMPLETE_BYTES = 64 << 20


class IncompleteLines:
    """The sizes of incomplete lines. If their sum exceeds the limit, the streams that wait longest are rejected.

    A healthy peer completes its line soon, so the oldest incomplete lines are the most likely to be stalled.
    """

    def __init__(self, max_bytes: int = MAX_INCOMPLETE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._sizes: dict[Callable[[str], None], int] = {}  # By the rejecting function, oldest line first.
        self._total_bytes = 0

    def update(self, reject: Callable[[str], None], size: int) -> None:
        """Set the size of a stream's incomplete line, 0 if it has none, and reject streams over the limit.

        Args:
            reject: Rejects the stream, with the reason; it also identifies the stream.
            size: The size in bytes.
        """
        self._total_bytes += size - self._sizes.get(reject, 0)
        if size:
            self._sizes[reject] = size
        else:
            self._sizes.pop(reject, None)
        while self._total_bytes > self._max_bytes:
            oldest = next(iter(self._sizes))
            self._total_bytes -= self._sizes.pop(oldest)
            oldest(f"incomplete lines of all streams exceed the limit of {self._max_bytes} bytes")

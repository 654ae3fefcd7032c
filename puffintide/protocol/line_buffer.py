"""Splits a stream of bytes into lines that end in LF. Performs no I/O."""

from __future__ import annotations

from puffintide.protocol.errors import LineTooLongError

MAX_PIECES = 64  # Maximum number of pieces of an incomplete line before they are joined.


class LineBuffer:
    """Collects received bytes into lines; the bytes it retains are bounded by the line limit."""

    def __init__(self, max_line_bytes: int) -> None:
        self.max_line_bytes = max_line_bytes
        self._pieces: list[bytes] = []
        self._buffered_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the incomplete line."""
        return self._buffered_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes, and return the lines that they complete, without the LF.

        Raises:
            LineTooLongError: A line exceeds the limit.
        """
        if b"\n" not in data:
            self._buffer(data)
            return []
        first, *others = data.split(b"\n")
        self._buffer(first)
        lines = [b"".join(self._pieces), *others[:-1]]
        self.clear()
        self._buffer(others[-1])
        if max(map(len, lines)) > self.max_line_bytes:
            raise LineTooLongError(f"received line exceeds the limit of {self.max_line_bytes} bytes")
        return lines

    def _buffer(self, data: bytes) -> None:
        if not data:
            return
        self._buffered_bytes += len(data)
        if self._buffered_bytes > self.max_line_bytes:
            self.clear()
            raise LineTooLongError(f"received line exceeds the limit of {self.max_line_bytes} bytes")
        self._pieces.append(data)
        if len(self._pieces) > MAX_PIECES:  # Bounds the pieces of a line that arrives byte by byte.
            self._pieces = [b"".join(self._pieces)]

    def clear(self) -> None:
        """Discard the incomplete line."""
        self._pieces = []
        self._buffered_bytes = 0

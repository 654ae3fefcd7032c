"""Bytes to lines that end in LF. Sans-I/O."""

from __future__ import annotations


class TooLong(Exception):
    """A line passed the limit."""


class Lines:
    """feed() bytes as they come, in any pieces. What is kept is bounded by the limit."""

    def __init__(self, most: int) -> None:
        self.most = most
        self._pieces: list[bytes] = []
        self._kept = 0

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole now, without LF. Raises TooLong."""
        if b"\n" not in data:
            self._keep(data)
            return []
        first, *rest = data.split(b"\n")
        self._keep(first)
        whole = [b"".join(self._pieces), *rest[:-1]]
        self._pieces, self._kept = [], 0
        self._keep(rest[-1])
        if max(map(len, whole)) > self.most:
            raise TooLong(f"line over {self.most} bytes")
        return whole

    def _keep(self, data: bytes) -> None:
        if not data:
            return
        self._kept += len(data)
        if self._kept > self.most:
            self._pieces, self._kept = [], 0
            raise TooLong(f"line over {self.most} bytes")
        self._pieces.append(data)
        if len(self._pieces) > 64:  # a line that comes byte by byte
            self._pieces = [b"".join(self._pieces)]

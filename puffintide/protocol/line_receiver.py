"""Base of the protocols whose messages are lines: splits received data, and shares time among connections."""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.protocol import Protocol

from puffintide.protocol.clock import Clock, Timer
from puffintide.protocol.errors import LineTooLongError
from puffintide.protocol.incomplete_lines import IncompleteLines
from puffintide.protocol.line_buffer import LineBuffer

MAX_LINES_PER_TURN = 64  # Lines of one connection after which others get their turn.


class LineReceiver(Protocol):
    """Passes complete lines to handle_line(), a limited number in each turn of the reactor.

    The connection is not read while lines wait, so whatever its peer sends in advance stays in the kernel's
    buffers.

    Args:
        clock: Clock that schedules the next turn.
        max_line_bytes: Maximum length of a line in bytes, without its newline.
        incomplete_lines: Limits the incomplete lines of several connections together, if there is one.
    """

    transport: Any

    def __init__(
        self, clock: Clock, max_line_bytes: int, incomplete_lines: IncompleteLines | None = None
    ) -> None:
        self.clock = clock
        self.lines = LineBuffer(max_line_bytes)
        self._incomplete_lines = incomplete_lines or IncompleteLines()
        self._waiting_lines: deque[bytes] = deque()
        self._next_turn: Timer | None = None
        self._discarding = False
        self._reading_paused = False

    def handle_line(self, line: bytes) -> None:
        """Handle a line, without its newline."""
        raise NotImplementedError

    def handle_line_too_long(self, reason: str) -> None:
        """Close the connection, as its line, or all incomplete lines together, exceed a limit."""
        raise NotImplementedError

    def may_handle_line(self) -> bool:
        """Return whether the next line can be handled now; if not, continue_lines() is called later."""
        return True

    def on_turn(self) -> None:
        """Prepare for a turn; this may discard the lines."""

    def dataReceived(self, data: bytes) -> None:
        """Handle the lines that are complete."""
        if self._discarding:
            return
        try:
            self._waiting_lines.extend(self.lines.feed(data))
        except LineTooLongError as error:
            self.handle_line_too_long(str(error))
            return
        if self._next_turn is None:
            self._handle_lines()
        if not self._discarding:
            self._incomplete_lines.update(self.handle_line_too_long, self.lines.buffered_bytes)

    def continue_lines(self) -> None:
        """Handle waiting lines in the next turn, after may_handle_line() has changed."""
        if self._waiting_lines and self._next_turn is None:
            self._next_turn = self.clock.callLater(0, self._begin_turn)

    def discard_lines(self) -> None:
        """Discard all lines from now on, as the connection closes."""
        self._discarding = True
        self._waiting_lines.clear()
        self.lines.clear()  # Not left to the garbage collector, as a closed connection may stay for long.
        self._incomplete_lines.update(self.handle_line_too_long, 0)
        if self._next_turn is not None:
            self._next_turn.cancel()
            self._next_turn = None

    def _begin_turn(self) -> None:
        self._next_turn = None
        self._handle_lines()

    def _handle_lines(self) -> None:
        self.on_turn()
        for _ in range(MAX_LINES_PER_TURN):
            if not self._waiting_lines or not self.may_handle_line():
                break
            self.handle_line(self._waiting_lines.popleft())
        if self.may_handle_line():
            self.continue_lines()
        self._update_reading()

    def _update_reading(self) -> None:
        must_pause = bool(self._waiting_lines)
        if must_pause == self._reading_paused:
            return
        self._reading_paused = must_pause
        if must_pause:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

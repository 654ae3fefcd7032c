"""Counts the messages of a sliding window, as the platform limits how many a proxy receives. Performs no I/O."""

from __future__ import annotations

from collections import deque


class MessageWindow:
    """The messages that were or may have been sent to each proxy in the last `window_s` seconds."""

    def __init__(self, max_messages: int, window_s: float) -> None:
        """Create an empty window.

        Args:
            max_messages: Maximum number of messages in a window. 0 means no limit.
            window_s: Length of the window, in seconds.
        """
        self.max_messages = max_messages
        self.window_s = window_s
        self._sent_at_s: deque[float] = deque()

    def record(self, now_s: float) -> None:
        """Count a message that was or may have been sent at this time in seconds."""
        self._sent_at_s.append(now_s)

    def ready_in_s(self, now_s: float) -> float:
        """Return the seconds until another message may be sent."""
        self._expire(now_s)
        if not self.max_messages or len(self._sent_at_s) < self.max_messages:
            return 0.0
        return max(0.0, self._sent_at_s[0] + self.window_s - now_s)

    def retry_delay_s(self, now_s: float) -> float:
        """Return the minimum delay of a retry of a message that may have been sent already, in seconds.

        Once more than half of the messages are used, retries are spread over the rest of the window, so that
        a series of them does not block urgent messages until the first one leaves the window.
        """
        self._expire(now_s)
        remaining = self.max_messages - len(self._sent_at_s)
        if not self.max_messages or 2 * remaining >= self.max_messages:
            return 0.0
        first_expires_in_s = self._sent_at_s[0] + self.window_s - now_s
        longest_delay_s = 2 * self.window_s / self.max_messages
        return min(first_expires_in_s / max(remaining, 1), longest_delay_s)

    def _expire(self, now_s: float) -> None:
        while self._sent_at_s and self._sent_at_s[0] <= now_s - self.window_s:
            self._sent_at_s.popleft()

"""Tests of the limit of the incomplete lines of several connections together."""

from __future__ import annotations

from puffintide.protocol.incomplete_lines import IncompleteLines


class Connection:
    def __init__(self, lines: IncompleteLines) -> None:
        self.lines = lines
        self.reason = ""

    def reject(self, reason: str) -> None:
        self.reason = reason
        self.lines.update(self.reject, 0)


def test_oldest_incomplete_lines_are_rejected_above_the_limit() -> None:
    lines = IncompleteLines(100)
    first, second, third = (Connection(lines) for _ in range(3))
    lines.update(first.reject, 40)
    lines.update(second.reject, 30)
    lines.update(first.reject, 60)  # It grows, and stays the oldest one.
    assert not first.reason
    lines.update(third.reject, 20)
    assert "exceed the limit of 100 bytes" in first.reason
    assert not second.reason
    assert not third.reason
    lines.update(second.reject, 80)
    assert not second.reason


def test_completed_line_counts_no_longer() -> None:
    lines = IncompleteLines(100)
    first, second = Connection(lines), Connection(lines)
    lines.update(first.reject, 90)
    lines.update(first.reject, 0)
    lines.update(second.reject, 90)
    lines.update(first.reject, 20)
    assert second.reason
    assert not first.reason

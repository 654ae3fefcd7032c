"""How many connections to one server may be under way at once. Pure: no I/O, no clock.

Guards against a storm: when a server comes back, or is met for the first time, each request that finds no idle
connection would open one, and a zone that returns would be met by all of them at once, each with a set-up to pay
for. So a server is given one connection at first and as many more as have stood, which doubles a round; a failure
goes back to one. A try that waits takes whichever connection is ready first. A failure ends all tries that wait, as
each would have met it; nothing of them was written, which is proof.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Openings:
    """Of one server. `most`: connections to it, standing and under way together."""

    most: int
    standing: int = 0
    opening: int = 0
    allowed: int = 1
    waiting: dict[int, None] = field(default_factory=dict)  # tries, oldest first

    def ask(self, key: int) -> bool:
        """A try found no idle connection. False: none is to be had, it is refused."""
        if self.standing + self.opening >= self.most and not self.opening:
            return False
        if len(self.waiting) >= self.most:
            return False
        self.waiting[key] = None
        return True

    def open_now(self) -> int:
        """How many connections to begin now; they count as under way."""
        room = min(self.allowed, self.most - self.standing) - self.opening
        number = max(0, min(room, len(self.waiting) - self.opening))
        self.opening += number
        return number

    def stood(self) -> None:
        """One that was under way stands."""
        self.opening -= 1
        self.standing += 1
        self.allowed = min(self.most, self.allowed + 1)

    def failed(self) -> list[int]:
        """One that was under way did not come to stand: the tries that end with it."""
        self.opening -= 1
        self.allowed = 1
        ended, self.waiting = list(self.waiting), {}
        return ended

    def lost(self) -> None:
        """A standing one is gone."""
        self.standing -= 1
        if not self.standing:
            self.allowed = 1  # it may have been restarted: begin as with a new one

    def next(self) -> int | None:
        """The try that takes a connection which is ready."""
        for key in self.waiting:
            del self.waiting[key]
            return key
        return None

    def drop(self, key: int) -> bool:
        """A try waits no more. False if it did not wait."""
        return self.waiting.pop(key, 0) is None

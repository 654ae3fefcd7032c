"""How much is let in: a share of a class, or so many a second. Pure; time is passed in."""

from __future__ import annotations

BURST_S = 0.25  # of its rate that a class may bring at once


class Gate:
    """admits() says whether the next request is let in. Shares are dealt evenly, not by chance."""

    def __init__(self, how: str) -> None:
        self.how = how  # "fraction", "per_second" or "silent"
        self._credit: dict[tuple[int, int], float] = {}
        self._at: dict[tuple[int, int], float] = {}

    def admits(self, now: float, assigner: int, request_class: int, level: float, limited: bool) -> bool:
        """level: the lower of those that hold. limited: whether any was ordered."""
        if not limited or self.how == "silent":
            return True
        if level <= 0:
            return False
        key = (assigner, request_class)
        if self.how == "fraction":
            if level >= 1:
                return True
            credit = self._credit.get(key, 0.0) + level
        else:
            most = max(1.0, level * BURST_S)
            passed = max(0.0, now - self._at.get(key, now))
            credit = min(most, self._credit.get(key, most) + passed * level)
            self._at[key] = now
        self._credit[key] = credit - (credit >= 1)
        return credit >= 1

"""How much is let in: a share of a class. Pure."""

from __future__ import annotations


class Gate:
    """admits() says whether the next request is let in. Shares are dealt evenly, not by chance."""

    def __init__(self, how: str) -> None:
        self.how = how  # "fraction" or "silent"
        self._credit: dict[tuple[int, int], float] = {}

    def admits(self, assigner: int, request_class: int, level: float, limited: bool) -> bool:
        """level: the lower of those that hold. limited: whether any was ordered."""
        if not limited or self.how == "silent":
            return True
        if level <= 0:
            return False
        key = (assigner, request_class)
        if level >= 1:
            return True
        credit = self._credit.get(key, 0.0) + level
        self._credit[key] = credit - (credit >= 1)
        return credit >= 1

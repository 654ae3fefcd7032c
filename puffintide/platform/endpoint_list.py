"""Which lists of discovery are taken, by their versions. Pure."""

from __future__ import annotations

from puffintide.platform.messages import Members

# Whatever discovery has to tell counts as told so long after at the latest: an agent that is behind for longer is
# not late, its discovery counts anew.
BEHIND_S = 6.0


class Listing:
    def __init__(self) -> None:
        self.version = 0
        self.behind_since: float | None = (
            None  # an older whole list has come, and nothing newer than ours since
        )

    def take(self, now: float, told: Members, known: bool = False) -> str | None:
        """How the module is told a list or changes: "full", "delta" or "cached"; None: not at all. A whole list
        with entries that can't be read is told as changes: such an entry is not one that is missing. One that is
        older than what is held (from an agent that is behind) must not undo it: a server that drains would be sent
        to again.
        """
        if known:
            self.version = told.seq
            return "cached"
        if told.whole and told.seq < self.version:
            if self.behind_since is None:
                self.behind_since = now
            if now - self.behind_since < BEHIND_S:
                return None
        elif not told.whole and told.seq <= self.version:
            return None
        self.version, self.behind_since = told.seq, None
        if told.whole and not told.bad:
            return "full"
        return "delta" if told.entries or told.bad else None

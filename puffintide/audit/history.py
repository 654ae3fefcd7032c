"""Is a history of the store linearizable? One slice is a register with a fence: a token, and a value under it.

A history is what clients saw: when each asked and when it was answered. It is linearizable if each operation can be
given one moment between the two so that, one after the other, all answers are those of a register that
  - takes a token only above the one it has, its value unchanged,
  - takes a value only under its present token,
  - reads as it stands.
A write whose answer never came may have happened at any time after it was asked, or never. A refusal changes
nothing and is always allowed: safety is asked for here, not that much is accepted. Search with memory, after Wing
and Gong, "Testing and Verifying Concurrent Objects" (1993).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

GIVE, WRITE, READ = "give", "write", "read"


@dataclass(frozen=True, slots=True)
class Operation:
    """Times are of one clock. answered is infinite where no answer came (writes alone)."""

    kind: str
    token: int
    value: int  # of a write or a reading; not used by a give
    asked: float
    answered: float

    @property
    def sure(self) -> bool:
        return not math.isinf(self.answered)


def linearizable(history: Iterable[Operation], token: int = 0, value: int = 0) -> bool:
    """Of one slice, from this state on."""
    operations = sorted(history, key=lambda o: (o.asked, o.answered))
    todo = frozenset(range(len(operations)))
    seen: set[tuple[frozenset[int], int, int]] = set()
    stack = [(todo, token, value)]
    while stack:
        state = stack.pop()
        if state in seen:
            continue
        seen.add(state)
        left, token, value = state
        if not any(operations[k].sure for k in left):
            return True
        first = min(operations[k].answered for k in left)
        for k in left:
            o = operations[k]
            if o.asked > first:
                continue  # another was answered before this was asked
            if o.kind == GIVE and o.token > token:
                stack.append((left - {k}, o.token, value))
            elif o.kind == WRITE and o.token == token:
                stack.append((left - {k}, token, o.value))
            elif o.kind == READ and (o.token, o.value) == (token, value):
                stack.append((left - {k}, token, value))
    return False

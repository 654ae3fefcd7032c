"""Is a history of the store linearizable? One slice is a register with a fencing token, and a value under it.

A history is what clients observed: when each operation was invoked and when its response came. It is linearizable
if each operation can be given one moment between the two so that, one after the other, all responses are those of a
register that
  - accepts a token only above the one it has, its value unchanged,
  - accepts a value only under its present token,
  - reads as it is.
A write without a response may have happened at any time after it was invoked, or never. A rejection changes nothing
and is always allowed: this checks safety, not how much is accepted. Search with memory, after Wing and Gong,
"Testing and Verifying Concurrent Objects" (1993).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum


class OperationType(StrEnum):
    """What an operation does to the register."""

    GIVE = "give"  # a new fencing token
    WRITE = "write"
    READ = "read"


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation; times are of one clock."""

    kind: OperationType
    token: int
    value: int  # of a write or a read; not used by GIVE
    invoked_at_s: float
    responded_at_s: float  # infinite without a response (writes alone)

    @property
    def is_complete(self) -> bool:
        """Whether its response came."""
        return not math.isinf(self.responded_at_s)


def is_linearizable(history: Iterable[Operation], token: int = 0, value: int = 0) -> bool:
    """Whether the history of one slice is linearizable, from this state on."""
    operations = sorted(history, key=lambda operation: (operation.invoked_at_s, operation.responded_at_s))
    visited: set[tuple[frozenset[int], int, int]] = set()
    stack = [(frozenset(range(len(operations))), token, value)]
    while stack:
        state = stack.pop()
        if state in visited:
            continue
        visited.add(state)
        remaining, token, value = state
        if not any(operations[k].is_complete for k in remaining):
            return True
        earliest_response_s = min(operations[k].responded_at_s for k in remaining)
        for k in remaining:
            if operations[k].invoked_at_s > earliest_response_s:
                continue  # another was complete before this one was invoked
            following = _apply(operations[k], token, value)
            if following is not None:
                stack.append((remaining - {k}, *following))
    return False


def _apply(operation: Operation, token: int, value: int) -> tuple[int, int] | None:
    """Token and value after an operation; None if its response is not that of a register in this state."""
    match operation.kind:
        case OperationType.GIVE if operation.token > token:
            return operation.token, value
        case OperationType.WRITE if operation.token == token:
            return token, operation.value
        case OperationType.READ if (operation.token, operation.value) == (token, value):
            return token, value
    return None

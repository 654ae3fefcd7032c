"""Checks whether a history of the store is linearizable; a slice is a register with a token and a value.

A history holds what clients observed: when each operation was invoked, and when its response arrived. It is
linearizable if each operation can be assigned one moment between the two, such that in the order of these
moments all responses are those of a register that
  - accepts a token only if it is above the current token, and then keeps its value,
  - accepts a value only with its current token,
  - returns its current token and value to a read.
A write without a response may have taken effect at any time after it was invoked, or never. A rejection
changes nothing and is always allowed: the check covers safety, not how many operations are accepted. The
algorithm is the search with memoized states of Wing and Gong, "Testing and Verifying Concurrent Objects"
(1993).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum


class OperationType(StrEnum):
    """The effect of an operation on the register."""

    GRANT = "give"  # Sets a new fencing token.
    WRITE = "write"
    READ = "read"


@dataclass(frozen=True, slots=True)
class Operation:
    """An operation on the register. All times of a history are from the same clock."""

    kind: OperationType
    token: int
    value: int  # The value that is written or was read; unused for GRANT.
    invoked_at_s: float
    responded_at_s: float  # Infinity if no response arrived; only a write may lack one.

    @property
    def is_complete(self) -> bool:
        """Return whether the response arrived."""
        return not math.isinf(self.responded_at_s)


def is_linearizable(history: Iterable[Operation], token: int = 0, value: int = 0) -> bool:
    """Return whether the history of one slice is linearizable, starting from a token and a value."""
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
                continue  # Another remaining operation completed before this one was invoked.
            next_state = _apply(operations[k], token, value)
            if next_state is not None:
                stack.append((remaining - {k}, *next_state))
    return False


def _apply(operation: Operation, token: int, value: int) -> tuple[int, int] | None:
    """Return token and value after an operation, or None if its response does not match this state."""
    match operation.kind:
        case OperationType.GRANT if operation.token > token:
            return operation.token, value
        case OperationType.WRITE if operation.token == token:
            return token, operation.value
        case OperationType.READ if (operation.token, operation.value) == (token, value):
            return token, value
    return None

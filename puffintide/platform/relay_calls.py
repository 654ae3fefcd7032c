"""Types for calls to the relay and the steps that follow them.

A call carries a list of orders. Its response states how many of them were accepted.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto

from puffintide.platform.relay_orders import Order
from puffintide.platform.relay_state import WEIGHT_TOLERANCE

MAX_CALL_BYTES = 60_000
CALL_PREFIX = b'{"orders":['
CALL_SUFFIX = b"]}"
EMPTY_CALL_BYTES = len(CALL_PREFIX + CALL_SUFFIX)

StoredTables = Mapping[int, Mapping[str, float]]  # Maps slice id to host name to weight.


class CallOutcome(Enum):
    """What the relay's tables show about a call without an answer."""

    APPLIED = auto()
    NOT_APPLIED = auto()
    UNKNOWN = auto()


@dataclass(slots=True)
class Call:
    """A call in flight."""

    orders: list[Order]
    started_at_s: float
    revoked_slices: set[int] = field(default_factory=set)  # Slices revoked since the call was sent.

    @property
    def body(self) -> bytes:
        """The encoded request body."""
        return CALL_PREFIX + b",".join(order.text for order in self.orders) + CALL_SUFFIX

    def may_resend(self, order: Order) -> bool:
        """Return whether an order of this call may be sent again.

        A revoked slice may have been granted again with another table. Weights ordered before the revocation
        must not overwrite that table.
        """
        return order.weight is None or order.weight.slice_id not in self.revoked_slices

    def outcome(self, tables: StoredTables, complete: bool) -> CallOutcome:
        """Determine from the relay's tables whether this call was applied.

        A call is applied either completely or not at all, so a single entry with another weight than the
        ordered one proves that it was not. A missing entry proves something only if the snapshot is complete,
        and a missing table proves nothing.

        Args:
            tables: The tables of the owned slices that a snapshot contains, read after the call has ended.
            complete: Whether the whole snapshot was received.
        """
        listed = [
            (tables[order.weight.slice_id].get(order.weight.host), order.weight.weight)
            for order in self.orders
            if order.weight is not None and self.may_resend(order) and order.weight.slice_id in tables
        ]
        entries = [(stored, ordered) for stored, ordered in listed if stored is not None]
        if any(abs(stored - ordered) >= WEIGHT_TOLERANCE for stored, ordered in entries):
            return CallOutcome.NOT_APPLIED
        added_is_missing = any(stored is None and ordered > 0 for stored, ordered in listed)
        if added_is_missing:
            return CallOutcome.NOT_APPLIED if complete else CallOutcome.UNKNOWN
        has_added = any(ordered > 0 for _, ordered in entries)
        return CallOutcome.APPLIED if has_added or (complete and listed) else CallOutcome.UNKNOWN


@dataclass(frozen=True, slots=True)
class NextStep:
    """The step after a call or a snapshot: wait for the delay, then read a snapshot or make the next call."""

    delay_s: float = 0.0
    snapshot: bool = False
    event: str = ""  # Name of the event to log with `fields`. Empty if nothing is logged.
    fields: dict[str, object] = field(default_factory=dict)


def orders_of_next_call(queued: list[Order]) -> list[Order]:
    """Return the queued orders that the next call carries, selected by priority if they exceed its size."""
    if sum(len(order.text) + 1 for order in queued) + EMPTY_CALL_BYTES > MAX_CALL_BYTES:
        queued = sorted(queued, key=lambda order: order.priority)
    size = EMPTY_CALL_BYTES
    selected = []
    for order in queued:
        size += len(order.text) + 1
        if size > MAX_CALL_BYTES:
            break
        selected.append(order)
    return selected

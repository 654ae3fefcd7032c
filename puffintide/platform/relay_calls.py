"""A call to the relay, and what follows it: types only.

A call carries orders; its answer says how many were accepted.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from puffintide.platform.relay_orders import Order

StoredTables = Mapping[int, Mapping[str, float]]  # weights by host, by slice


@dataclass(slots=True)
class Call:
    """A call in flight."""

    orders: list[Order]
    body: bytes
    revoked_slices: set[int] = field(default_factory=set)  # since it was sent

    def may_repeat(self, order: Order) -> bool:
        """Whether an order may be sent again.

        A revoked slice may have been granted again with another table, which the former weights must not change.
        """
        return order.weight is None or order.weight.slice_id not in self.revoked_slices


@dataclass(frozen=True, slots=True)
class NextStep:
    """What follows a call or a snapshot: after the delay, a snapshot, or else the next call."""

    delay_s: float = 0.0
    snapshot: bool = False
    event: str = ""  # for the log, with these fields
    fields: dict[str, object] = field(default_factory=dict)

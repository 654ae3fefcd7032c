"""Types for calls to the relay and the steps that follow them.

A call carries a list of orders. Its response states how many of them were accepted.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from puffintide.platform.relay_orders import Order

StoredTables = Mapping[int, Mapping[str, float]]  # Maps slice id to host name to weight.


@dataclass(slots=True)
class Call:
    """A call in flight: its orders and encoded request body."""

    orders: list[Order]
    body: bytes
    started_at_s: float
    revoked_slices: set[int] = field(default_factory=set)  # Slices revoked since the call was sent.

    def may_resend(self, order: Order) -> bool:
        """Return whether an order of this call may be sent again.

        A revoked slice may have been granted again with another table. Weights ordered before the revocation
        must not overwrite that table.
        """
        return order.weight is None or order.weight.slice_id not in self.revoked_slices


@dataclass(frozen=True, slots=True)
class NextStep:
    """The step after a call or a snapshot: wait for the delay, then read a snapshot or make the next call."""

    delay_s: float = 0.0
    snapshot: bool = False
    event: str = ""  # Name of the event to log with `fields`. Empty if nothing is logged.
    fields: dict[str, object] = field(default_factory=dict)

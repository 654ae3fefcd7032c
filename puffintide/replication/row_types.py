"""Types of replicated rows, which docs/replication.md describes. The values are those on the wire."""

from __future__ import annotations

from enum import StrEnum

FLEET_ROW_ID = -1  # Id of the single row of type FLEET.


class RowType(StrEnum):
    """Type of a row, which determines the layout of its value."""

    # Table of a slice, by slice: fencing token, batch, then server, weight, address and zone of each entry.
    TABLE = "table"
    # Single row: the learned capacity of a server of listed weight 1, in requests per second.
    FLEET = "fleet"
    # Server that is not at its top recovery level, by server: its incarnation and its recovery level.
    SERVER = "server"
    # Server that is draining or was removed from the endpoint list, by server: its incarnation.
    LEAVING = "leaving"


DURABLE_ROW_TYPES = frozenset({RowType.TABLE})  # Types whose rows outlive the incarnation of their origin.

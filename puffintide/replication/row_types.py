"""The types of replicated rows; the values are those on the wire. docs/replication.md describes each."""

from __future__ import annotations

from enum import StrEnum

FLEET_ROW_ID = -1  # of the single row of type FLEET


class RowType(StrEnum):
    """What a row tells, and what its value holds."""

    TABLE = "table"  # by slice: fencing token, batch, then server, weight, address and zone of each entry
    FLEET = "fleet"  # one row: the learned capacity of a server of listed weight 1, requests a second
    SERVER = "server"  # by server not at its top recovery level: its incarnation and the level
    LEAVING = "leaving"  # by server that drains or was removed from the list: its incarnation


DURABLE_ROW_TYPES = frozenset({RowType.TABLE})  # rows that outlive the incarnation of their origin

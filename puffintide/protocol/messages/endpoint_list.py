"""Messages between an assigner and the endpoint list."""

from __future__ import annotations

import msgspec
from msgspec import field

from puffintide.protocol.messages.base import Message


class EndpointEntry(msgspec.Struct, frozen=True, array_like=True):
    """Entry of one server in the endpoint list."""

    server_id: int
    zone: int
    server_type: int
    cell: int
    status: int  # 0: removed, 1: ready, 2: draining.
    weight: float  # Relative size of the server.
    incarnation: int  # Increases each time the server starts.
    age_s: float  # Time since the server started, as of the event; negative if it started long ago.
    address: str = ""  # HOST:PORT; empty if not given.


class WatchRequest(Message, tag="watch", frozen=True, rename={"enabled": "on", "since_version": "since"}):
    """Request to start or stop the events of the endpoint list on this stream."""

    enabled: bool
    since_version: int = -1  # Version that the requester has; it receives all later changes. -1: none.


class SnapshotRequest(Message, tag="fetch", frozen=True):
    """Request for a single snapshot of all endpoints."""


class WatchEvent(Message, tag="news", frozen=True, rename={"update_type": "kind"}):
    """Change or snapshot of the endpoint list."""

    update_type: str  # "delta", "full", "cached" or "failed".
    version: int  # Version of the endpoint list.
    servers: list[EndpointEntry] = field(default_factory=list)

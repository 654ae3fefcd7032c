"""Messages between an assigner and the endpoint list."""

from __future__ import annotations

import msgspec
from msgspec import field

from puffintide.protocol.messages.base import Message


class EndpointEntry(msgspec.Struct, frozen=True, array_like=True):
    """A server in the endpoint list."""

    server_id: int
    zone: int
    server_type: int
    cell: int
    status: int  # 0 removed, 1 ready, 2 draining
    weight: float  # relative size of the server
    incarnation: int  # of the server; rises at each of its starts
    age_s: float  # since the server's start, when the event was written; below 0: long ago
    address: str = ""  # HOST:PORT; empty if not given


class WatchRequest(Message, tag="watch", frozen=True, rename={"enabled": "on", "since_version": "since"}):
    """Starts or ends the events of the list on this stream."""

    enabled: bool
    since_version: int = -1  # the version that the requester has; it is sent what it missed. -1: none


class SnapshotRequest(Message, tag="fetch", frozen=True):
    """Asks for all endpoints, once."""


class WatchEvent(Message, tag="news", frozen=True, rename={"update_type": "kind"}):
    """A change or a snapshot of the list."""

    update_type: str  # "delta", "full", "cached" or "failed"
    version: int  # of the list
    servers: list[EndpointEntry] = field(default_factory=list)

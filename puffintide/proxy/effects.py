"""Effects: what the engine asks its caller to do, in order. Types only."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

RequestHandle = Hashable  # the caller's name of a request


@dataclass(frozen=True, slots=True)
class ConnectServer:
    """Connect to a server, and report on_server_connected or on_server_disconnected."""

    server_id: int
    address: str  # HOST:PORT


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send an attempt of a request to a connected server."""

    server_id: int
    attempt_id: int
    handle: RequestHandle
    request_id: int
    slice_id: int
    class_index: int
    attempt_number: int  # 0: the first
    remaining_s: float  # until the request's deadline


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """The response to an attempt is no longer awaited."""

    server_id: int
    attempt_id: int


@dataclass(frozen=True, slots=True)
class CompleteRequest:
    """Send the final response to the client."""

    handle: RequestHandle
    status: int
    retry_after_s: float  # with a rejection: when to come back; else 0
    may_have_executed: bool  # False: proven that no server executed the request


@dataclass(frozen=True, slots=True)
class DisconnectServer:
    """Close the connection to a server, or stop connecting."""

    server_id: int


Effect = ConnectServer | SendAttempt | CancelAttempt | CompleteRequest | DisconnectServer

"""Effects that the engine returns for its caller to carry out in order."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

RequestHandle = Hashable  # The caller's identifier of a request.


@dataclass(frozen=True, slots=True)
class ConnectServer:
    """Connect to a server, then call on_server_connected or on_server_disconnected."""

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
    attempt_number: int  # 0 is the first attempt.
    remaining_s: float  # Time left until the request's deadline, in seconds.


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt whose response is no longer needed."""

    server_id: int
    attempt_id: int


@dataclass(frozen=True, slots=True)
class CompleteRequest:
    """Send the final response to the client."""

    handle: RequestHandle
    status: int
    retry_after_s: float  # Delay after which a rejected client may retry, in seconds; else 0.
    may_have_executed: bool  # False proves that no server executed the request.


@dataclass(frozen=True, slots=True)
class DisconnectServer:
    """Close the connection to a server, or abort connecting to it."""

    server_id: int


Effect = ConnectServer | SendAttempt | CancelAttempt | CompleteRequest | DisconnectServer

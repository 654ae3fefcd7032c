"""Messages of the request path from client to proxy to server, and health checks of servers by assigners."""

from __future__ import annotations

from enum import IntEnum

from msgspec import field

from puffintide.protocol.messages.base import Message


class AttemptStatus(IntEnum):
    """Outcome of an attempt, a request or a health check, with its number on the wire.

    Message fields hold plain integers, so that an unknown number is not an error.
    """

    OK = 0
    ERROR = 1
    SATURATED = 2  # The server rejected the request without executing it, for lack of capacity.
    TIMEOUT = 3
    UNREACHABLE = 4
    RESET = 5  # The connection was lost before the response arrived.


class ClientRequest(
    Message,
    tag="ask",
    frozen=True,
    rename={"request_id": "id", "class_index": "request_class", "remaining_s": "left_s"},
):
    """Request from a client to its proxy."""

    request_id: int  # Chosen by the client; unique on its stream.
    class_index: int
    key: int  # Determines the slice.
    remaining_s: float  # Time until the client gives up.
    work_s: float = 0.0  # Used by emulated servers only: simulated CPU time on a core of speed 1.


class ClientResponse(
    Message,
    tag="reply",
    frozen=True,
    rename={"request_id": "id", "retry_after_s": "again_s", "may_have_executed": "ran"},
):
    """Final response to a client's request."""

    request_id: int
    status: int  # One of AttemptStatus.
    retry_after_s: float = 0.0  # Time to wait before a retry, if the request was rejected.
    may_have_executed: bool = True  # False only if it is certain that no server executed the request.


class AttemptRequest(
    Message,
    tag="try",
    frozen=True,
    rename={
        "attempt_id": "id",
        "request_id": "request",
        "proxy_id": "proxy",
        "slice_id": "slice",
        "class_index": "request_class",
        "attempt_number": "number",
        "remaining_s": "left_s",
    },
):
    """Attempt of a request at one server."""

    attempt_id: int  # Unique on this stream.
    request_id: int  # Identifies the client's request together with proxy_id; the same for all attempts.
    proxy_id: int
    slice_id: int
    class_index: int
    key: int
    attempt_number: int  # 0 for the first attempt of the request.
    remaining_s: float  # Time until the client gives up.
    work_s: float = 0.0  # Used by emulated servers only: simulated CPU time on a core of speed 1.


class AttemptResponse(
    Message, tag="answer", frozen=True, rename={"attempt_id": "id", "load_values": "values"}
):
    """Response of a server to an attempt."""

    attempt_id: int
    status: int  # One of AttemptStatus.
    # Load report, in the order of `names` in [reports].
    load_values: list[float] = field(default_factory=list)


class CancelAttempt(Message, tag="cancel", frozen=True, rename={"attempt_id": "id"}):
    """Notice that the response to an attempt is no longer awaited; the server may still complete it."""

    attempt_id: int


class HealthCheckRequest(Message, tag="probe", frozen=True, rename={"check_id": "id"}):
    """Health check of a server by an assigner."""

    check_id: int  # Unique on this stream.


class HealthCheckResponse(
    Message, tag="probed", frozen=True, rename={"check_id": "id", "load_values": "values"}
):
    """Response of a server to a health check."""

    check_id: int
    status: int  # One of AttemptStatus.
    # Load report, in the order of `names` in [reports].
    load_values: list[float] = field(default_factory=list)

"""Messages of the request path: client to proxy, proxy to server, and an assigner's health checks of servers."""

from __future__ import annotations

from enum import IntEnum

from msgspec import field

from puffintide.protocol.messages.base import Message


class AttemptStatus(IntEnum):
    """Outcome of an attempt, a request or a health check, numbered as on the wire.

    The fields of messages stay plain integers, so that a number which is not known here is no error.
    """

    OK = 0
    ERROR = 1
    SATURATED = 2  # rejected without being executed, for lack of capacity
    TIMEOUT = 3
    UNREACHABLE = 4
    RESET = 5  # the connection was lost before the response


class ClientRequest(
    Message,
    tag="ask",
    frozen=True,
    rename={"request_id": "id", "class_index": "request_class", "remaining_s": "left_s"},
):
    """A client's request to its proxy."""

    request_id: int  # chosen by the client, unique on its stream
    class_index: int
    key: int  # determines the slice
    remaining_s: float  # until the client gives up
    work_s: float = 0.0  # for emulated servers only: virtual work at a core of speed 1


class ClientResponse(
    Message,
    tag="reply",
    frozen=True,
    rename={"request_id": "id", "retry_after_s": "again_s", "may_have_executed": "ran"},
):
    """The final response to a client's request."""

    request_id: int
    status: int  # an AttemptStatus
    retry_after_s: float = 0.0  # with a rejection: how long to wait before a retry
    may_have_executed: bool = True  # False: certain that no server executed the request


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
    """One attempt of a request at a server."""

    attempt_id: int  # unique on this stream
    request_id: int  # with proxy_id it names the client's request, the same for all its attempts
    proxy_id: int
    slice_id: int
    class_index: int
    key: int
    attempt_number: int  # 0 for the first attempt of the request
    remaining_s: float  # until the client gives up
    work_s: float = 0.0  # for emulated servers only: virtual work at a core of speed 1


class AttemptResponse(
    Message, tag="answer", frozen=True, rename={"attempt_id": "id", "load_values": "values"}
):
    """A server's response to an attempt."""

    attempt_id: int
    status: int  # an AttemptStatus
    load_values: list[float] = field(default_factory=list)  # load report, in the order of [reports] names


class CancelAttempt(Message, tag="cancel", frozen=True, rename={"attempt_id": "id"}):
    """The response to an attempt is no longer awaited; the server may go on with it."""

    attempt_id: int


class HealthCheckRequest(Message, tag="probe", frozen=True, rename={"check_id": "id"}):
    """An assigner's health check of a server."""

    check_id: int  # unique on this stream


class HealthCheckResponse(
    Message, tag="probed", frozen=True, rename={"check_id": "id", "load_values": "values"}
):
    """A server's response to a health check."""

    check_id: int
    status: int  # an AttemptStatus
    load_values: list[float] = field(default_factory=list)  # load report, in the order of [reports] names

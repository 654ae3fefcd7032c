"""HTTP/1.1 as the proxy speaks it: headers of its own, what it requires of requests, and its own responses.

Request headers: `x-puffintide-class` (a class's name; the first class if absent), `x-puffintide-key` (else the path
is the key), `x-puffintide-deadline-ms` (how long the client waits; else the class's deadline), `idempotency-key`
(forwarded). Responses of the proxy itself carry `x-puffintide-ran: yes|no`, rejections also `retry-after` and
`x-puffintide-again-ms`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

import h11

from puffintide.config.schema import ClassSection
from puffintide.protocol.messages import AttemptStatus
from puffintide.proxy.errors import ProxyError

Headers = list[tuple[bytes, bytes]]

CLASS_HEADER = b"x-puffintide-class"
KEY_HEADER = b"x-puffintide-key"
DEADLINE_HEADER = b"x-puffintide-deadline-ms"
EXECUTED_HEADER = b"x-puffintide-ran"
RETRY_AFTER_MS_HEADER = b"x-puffintide-again-ms"
CLOSE_HEADER = (b"connection", b"close")
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
STATUS_CODES: dict[int, HTTPStatus] = {
    AttemptStatus.SATURATED: HTTPStatus.SERVICE_UNAVAILABLE,
    AttemptStatus.UNREACHABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    AttemptStatus.TIMEOUT: HTTPStatus.GATEWAY_TIMEOUT,
}
MAX_DEADLINE_MS = 10**7
HEADER_LINE_OVERHEAD_BYTES = 4  # colon, space and line end
MS_PER_S = 1000


class HttpRequestError(ProxyError):
    """A request that the proxy rejects without forwarding it; `status_code` says how."""

    def __init__(self, status_code: int, reason: str) -> None:
        super().__init__(reason)
        self.status_code = status_code


@dataclass(frozen=True, slots=True)
class RoutingHeaders:
    """What a request says about its routing."""

    class_index: int
    key: bytes
    timeout_s: float  # how long the client waits


def parse_routing_headers(
    target: bytes, headers: Mapping[bytes, bytes], classes: Mapping[str, ClassSection]
) -> RoutingHeaders:
    """Class, key and timeout of a request.

    Raises:
        HttpRequestError: An unknown class or an invalid deadline.
    """
    class_names = list(classes)
    class_name = headers.get(CLASS_HEADER, class_names[0].encode()).decode("ascii", "replace")
    if class_name not in class_names:
        raise HttpRequestError(
            HTTPStatus.BAD_REQUEST, f"class {class_name!r} is unknown; there are {', '.join(class_names)}"
        )
    key = headers.get(KEY_HEADER, target.split(b"?")[0])
    timeout_s = _deadline_s(headers.get(DEADLINE_HEADER, b""), classes[class_name].deadline_s)
    return RoutingHeaders(class_names.index(class_name), key, timeout_s)


def _deadline_s(value: bytes, default_s: float) -> float:
    if not value:
        return default_s
    if not (value.isdigit() and 0 < int(value) < MAX_DEADLINE_MS):
        shown = value.decode("ascii", "replace")
        raise HttpRequestError(
            HTTPStatus.BAD_REQUEST, f"{DEADLINE_HEADER.decode()} {shown!r} is no number of ms"
        )
    return int(value) / MS_PER_S


def check_request(
    request: h11.Request, headers: Mapping[bytes, bytes], max_head_bytes: int, max_body_bytes: int
) -> None:
    """Check a request's size and framing.

    Raises:
        HttpRequestError: It is too large, or its body's length is given in two ways.
    """
    header_bytes = sum(len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES for name, value in request.headers)
    if header_bytes + len(request.target) > max_head_bytes:
        raise HttpRequestError(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, f"the head is over {max_head_bytes} bytes"
        )
    if headers.keys() >= FRAMING_HEADERS:
        raise HttpRequestError(HTTPStatus.BAD_REQUEST, "a body's length is given in two ways")
    if int(headers.get(b"content-length", b"0")) > max_body_bytes:
        raise body_too_large(max_body_bytes)


def body_too_large(max_body_bytes: int) -> HttpRequestError:
    """The error for a body over the limit."""
    return HttpRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"the body is over {max_body_bytes} bytes")


def has_body(headers: Mapping[bytes, bytes]) -> bool:
    """Whether a request announces a body."""
    return b"transfer-encoding" in headers or headers.get(b"content-length", b"0") != b"0"


def expects_continue(headers: Mapping[bytes, bytes]) -> bool:
    """Whether the client waits for a 100 response before it sends the body."""
    return headers.get(b"expect", b"").lower() == b"100-continue"


def is_rejection(response: h11.Response) -> bool:
    """Whether a server's response proves that it did not execute the request."""
    if response.status_code != HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    return dict(response.headers).get(EXECUTED_HEADER) == b"no"


def forwarded_response_headers(response: h11.Response) -> Headers:
    """A server's response headers as the client gets them."""
    return [
        (name, value)
        for name, value in response.headers
        if name not in HOP_BY_HOP_HEADERS or name in FRAMING_HEADERS
    ]


def error_headers(body: bytes) -> Headers:
    """Headers of the response to a request that the proxy rejects; the connection closes after it."""
    return [(b"content-length", b"%d" % len(body)), CLOSE_HEADER, (EXECUTED_HEADER, b"no")]


def final_response(status: int, retry_after_s: float, may_have_executed: bool, close: bool) -> h11.Response:
    """The proxy's own final response to a request that no server answered."""
    executed = b"yes" if may_have_executed else b"no"
    headers = [(b"content-length", b"0"), (EXECUTED_HEADER, executed)]
    if retry_after_s:
        headers.append((b"retry-after", b"%d" % math.ceil(retry_after_s)))
        headers.append((RETRY_AFTER_MS_HEADER, b"%d" % round(retry_after_s * MS_PER_S)))
    if close:
        headers.append(CLOSE_HEADER)
    return h11.Response(status_code=STATUS_CODES.get(status, HTTPStatus.BAD_GATEWAY), headers=headers)

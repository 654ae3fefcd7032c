"""The proxy's own HTTP headers, its checks of requests, and the responses that it creates itself.

Request headers:

- `x-puffintide-class`: name of the request class; the first class if absent.
- `x-puffintide-key`: key of the request; the path if absent.
- `x-puffintide-deadline-ms`: how long the client waits, in milliseconds; the class's deadline if absent.
- `idempotency-key`: forwarded to the server.

Responses created by the proxy carry `x-puffintide-ran: yes|no`, which says whether the request may have been
executed. A 503 response because no server could take the request also carries the delay after which the client
may retry: `retry-after` in seconds and `x-puffintide-again-ms` in milliseconds.
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
DEADLINE_LIMIT_MS = 10**7  # A deadline must be below this value.
HEADER_LINE_OVERHEAD_BYTES = 4  # Colon, space, carriage return and line feed.
MS_PER_S = 1000


class HttpRequestError(ProxyError):
    """A request that the proxy rejects with `status_code`, without forwarding it."""

    def __init__(self, status_code: int, reason: str) -> None:
        super().__init__(reason)
        self.status_code = status_code


@dataclass(frozen=True, slots=True)
class RoutingHeaders:
    """The routing parameters of a request."""

    class_index: int
    key: bytes
    timeout_s: float  # How long the client waits, in seconds.


def parse_routing_headers(
    target: bytes, headers: Mapping[bytes, bytes], classes: Mapping[str, ClassSection]
) -> RoutingHeaders:
    """Return the class, key and timeout of a request.

    Args:
        target: The request's target, whose path is the default key.
        headers: The request's headers by name.
        classes: The configured request classes by name, in order.

    Raises:
        HttpRequestError: The class is unknown or the deadline is invalid.
    """
    class_names = list(classes)
    class_name = headers.get(CLASS_HEADER, class_names[0].encode()).decode("ascii", "replace")
    if class_name not in class_names:
        raise HttpRequestError(
            HTTPStatus.BAD_REQUEST,
            f"unknown request class {class_name!r}; configured classes: {', '.join(class_names)}",
        )
    key = headers.get(KEY_HEADER, target.split(b"?")[0])
    timeout_s = _parse_deadline_s(headers.get(DEADLINE_HEADER, b""), classes[class_name].deadline_s)
    return RoutingHeaders(class_names.index(class_name), key, timeout_s)


def _parse_deadline_s(value: bytes, default_s: float) -> float:
    if not value:
        return default_s
    if not (value.isdigit() and 0 < int(value) < DEADLINE_LIMIT_MS):
        shown = value.decode("ascii", "replace")
        raise HttpRequestError(
            HTTPStatus.BAD_REQUEST,
            f"invalid {DEADLINE_HEADER.decode()} {shown!r}: not an integer from 1 to {DEADLINE_LIMIT_MS - 1}",
        )
    return int(value) / MS_PER_S


def check_request(
    request: h11.Request, headers: Mapping[bytes, bytes], max_head_bytes: int, max_body_bytes: int
) -> None:
    """Check a request's size and framing.

    Args:
        request: The request's head.
        headers: The request's headers by name.
        max_head_bytes: Maximum size of target and headers, in bytes.
        max_body_bytes: Maximum size of the body, in bytes.

    Raises:
        HttpRequestError: The head or body is too large, or the request has both framing headers.
    """
    header_bytes = sum(len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES for name, value in request.headers)
    if header_bytes + len(request.target) > max_head_bytes:
        raise head_too_large(header_bytes + len(request.target), max_head_bytes)
    if headers.keys() >= FRAMING_HEADERS:
        raise HttpRequestError(
            HTTPStatus.BAD_REQUEST, "request has both a content-length and a transfer-encoding header"
        )
    if int(headers.get(b"content-length", b"0")) > max_body_bytes:
        raise body_too_large(max_body_bytes)


def head_too_large(head_bytes: int, max_head_bytes: int) -> HttpRequestError:
    """Return the error for a request head above the limit."""
    return HttpRequestError(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        f"request head of {head_bytes} bytes exceeds {max_head_bytes} bytes",
    )


def body_too_large(max_body_bytes: int) -> HttpRequestError:
    """Return the error for a request body above the limit."""
    return HttpRequestError(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"request body exceeds {max_body_bytes} bytes"
    )


def has_body(headers: Mapping[bytes, bytes]) -> bool:
    """Return whether a request's headers announce a body."""
    return b"transfer-encoding" in headers or headers.get(b"content-length", b"0") != b"0"


def expects_continue(headers: Mapping[bytes, bytes]) -> bool:
    """Return whether the client waits for a 100 response before it sends the body."""
    return headers.get(b"expect", b"").lower() == b"100-continue"


def is_rejection(response: h11.Response) -> bool:
    """Return whether a server's response proves that it did not execute the request."""
    if response.status_code != HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    return dict(response.headers).get(EXECUTED_HEADER) == b"no"


def forwarded_response_headers(response: h11.Response) -> Headers:
    """Return the headers of a server's response that are forwarded to the client."""
    return [
        (name, value)
        for name, value in response.headers
        if name not in HOP_BY_HOP_HEADERS or name in FRAMING_HEADERS
    ]


def error_headers(body: bytes) -> Headers:
    """Return the headers of the response to a rejected request, after which the connection closes."""
    return [(b"content-length", b"%d" % len(body)), CLOSE_HEADER, (EXECUTED_HEADER, b"no")]


def final_response(status: int, retry_after_s: float, may_have_executed: bool, close: bool) -> h11.Response:
    """Return the proxy's own response to a request that no server answered.

    Args:
        status: Final status of the request, an AttemptStatus.
        retry_after_s: Delay after which the client may retry, in seconds; 0 omits the headers for it.
        may_have_executed: Whether a server may have executed the request.
        close: Whether the connection closes after the response.
    """
    executed = b"yes" if may_have_executed else b"no"
    headers = [(b"content-length", b"0"), (EXECUTED_HEADER, executed)]
    if retry_after_s:
        headers.append((b"retry-after", b"%d" % math.ceil(retry_after_s)))
        headers.append((RETRY_AFTER_MS_HEADER, b"%d" % round(retry_after_s * MS_PER_S)))
    if close:
        headers.append(CLOSE_HEADER)
    return h11.Response(status_code=STATUS_CODES.get(status, HTTPStatus.BAD_GATEWAY), headers=headers)

"""HTTP/1.1 requests and responses on one connection, one request at a time. Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import h11

from puffintide.platform.errors import MalformedResponseError

MAX_HEAD_BYTES = 16 * 1024
STATUS_OK = 200
STATUS_UNAVAILABLE = 503


class RequestResult(StrEnum):
    """Outcomes of a request; the values appear in the log."""

    ANSWERED = "answered"
    UNREACHABLE = "unreachable"
    DISCONNECTED = "disconnected"
    TIMED_OUT = "timed_out"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Response:
    """Outcome of a request, with the status and body that were received."""

    result: RequestResult
    status: int = 0
    body: bytes = b""


class HttpExchange:
    """Client side of a connection: request() returns the bytes to write, receive() parses the response."""

    def __init__(self, host: str, max_body_bytes: int = 0) -> None:
        """Start with a new connection.

        Args:
            host: The value of the Host header.
            max_body_bytes: The maximum size of a response body in bytes; 0 means no limit, as for a watch.
        """
        self.host = host
        self.max_body_bytes = max_body_bytes
        self.status: int | None = None
        self.complete = False  # Whether the whole response was received.
        self.reusable = False  # Whether the connection can be used for another request.
        self._body_bytes = 0
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    def request(self, method: str, target: str, body: bytes | None = None) -> bytes:
        """Return the bytes of a request; the previous response must be complete."""
        if self.complete:
            self._http.start_next_cycle()
            self.complete = False
            self.status = None
            self._body_bytes = 0
        headers = [("Host", self.host)]
        if body is not None:
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        request = h11.Request(method=method, target=target, headers=headers)
        encoded = self._http.send(request) or b""
        if body:
            encoded += self._http.send(h11.Data(data=body)) or b""
        return encoded + (self._http.send(h11.EndOfMessage()) or b"")

    def receive(self, data: bytes) -> list[bytes]:
        """Parse received bytes, and return the pieces of the body in them.

        Args:
            data: The bytes as received; empty if the connection has ended.

        Raises:
            MalformedResponseError: The bytes are not a valid HTTP response, or its body exceeds the limit.
        """
        try:
            self._http.receive_data(data)
            return self._body_pieces()
        except h11.RemoteProtocolError as error:
            raise MalformedResponseError(f"malformed HTTP response of {self.host}: {error}") from error

    def _body_pieces(self) -> list[bytes]:
        pieces: list[bytes] = []
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
            elif isinstance(event, h11.Data):
                self._count_body(len(event.data))
                pieces.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
                # Bytes after the end of the response would be read as the response to the next request.
                self.reusable = self._http.our_state is h11.DONE and not self._http.trailing_data[0]
            elif not isinstance(event, h11.InformationalResponse):
                return pieces

    def _count_body(self, size: int) -> None:
        self._body_bytes += size
        if self.max_body_bytes and self._body_bytes > self.max_body_bytes:
            raise MalformedResponseError(
                f"response body of {self.host} exceeds the limit of {self.max_body_bytes} bytes"
            )

"""One HTTP request that is forwarded from a client to a server, and its response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from puffintide.proxy.http_messages import HOP_BY_HOP_HEADERS, Headers

if TYPE_CHECKING:
    from puffintide.proxy.downstream import DownstreamConnection
    from puffintide.proxy.upstream import UpstreamConnection


class HttpExchange:
    """A request's head, the buffered part of its body, and its connections to client and server."""

    def __init__(self, downstream: DownstreamConnection, request: h11.Request, handle: int) -> None:
        self.downstream = downstream
        self.handle = handle  # Identifies the request in the engine.
        self.method = request.method
        self.target = request.target
        self.headers = [(name, value) for name, value in request.headers if name not in HOP_BY_HOP_HEADERS]
        if all(name != b"host" for name, _ in self.headers):
            self.headers.append((b"host", b""))  # HTTP/1.0 may omit it, HTTP/1.1 requires it.
        self.content_length = next((v for name, v in request.headers if name == b"content-length"), None)
        self.chunked = any(name == b"transfer-encoding" for name, _ in request.headers)
        self.replay_buffer = bytearray()  # The body received so far, which a retry sends again.
        self.body_size = 0  # Size of the body received so far, in bytes.
        self.request_complete = False
        self.replayable = True
        self.upstream: UpstreamConnection | None = None
        self.response_started = False
        self.finished = False

    def head(self) -> h11.Request:
        """Return the request's head as it is sent to the server."""
        framing: Headers = []
        if self.content_length is not None:
            framing = [(b"content-length", self.content_length)]
        elif self.chunked:
            framing = [(b"transfer-encoding", b"chunked")]
        return h11.Request(method=self.method, target=self.target, headers=self.headers + framing)

    def has_no_body(self) -> bool:
        """Return whether the request ends with its head."""
        return self.content_length in (None, b"0") and not self.chunked

    def receive_body(self, data: bytes, max_replay_bytes: int) -> None:
        """Forward a part of the request's body, and buffer it while the request may be retried."""
        self.body_size += len(data)
        if self.replayable:
            self.replay_buffer += data
        if self.upstream is not None:
            self.upstream.send_body(data)
            if self.replayable and self.body_size > max_replay_bytes:
                self.replayable = False
                self.replay_buffer = bytearray()
                self.downstream.proxy.engine.disable_retries(self.handle)
        elif self.body_size > max_replay_bytes:
            self.downstream.set_paused(True)  # No server is connected yet: stop reading from the client.

    def receive_end(self) -> None:
        """Mark the request as complete and tell the server."""
        self.request_complete = True
        if self.upstream is not None:
            self.upstream.send_end()

    def detach_upstream(self) -> UpstreamConnection | None:
        """Separate the exchange from its connection to a server, and return this connection."""
        upstream = self.upstream
        self.upstream = None
        return upstream

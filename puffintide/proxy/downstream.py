"""The server side of the HTTP proxy: connections from clients."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import h11
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from puffintide.protocol.stream import close_gracefully
from puffintide.protocol.tcp_state import is_closed_by_peer
from puffintide.proxy.http_counters import HttpCounter
from puffintide.proxy.http_exchange import HttpExchange
from puffintide.proxy.http_messages import (
    CLOSE_HEADER,
    Headers,
    HttpRequestError,
    body_too_large,
    check_request,
    error_headers,
    expects_continue,
    final_response,
    has_body,
    parse_routing_headers,
)
from puffintide.proxy.http_request_parser import RequestParser
from puffintide.proxy.reactor import Transport
from puffintide.proxy.read_pause import ReadPause
from puffintide.proxy.timeout import Timeout

if TYPE_CHECKING:
    from puffintide.proxy.http_proxy import HttpProxy

MAX_EVENTS_PER_TURN = 3  # Events of one connection after which others get their turn.


class DownstreamConnection(Protocol):
    """A client's connection. It handles one request at a time and pipelined requests in order.

    It reads no further while the next request waits for the current one or for the client to read responses, so
    that what a client sends in advance stays in the kernel's buffers.
    """

    transport: Transport  # type: ignore[assignment]

    def __init__(self, proxy: HttpProxy) -> None:
        self.proxy = proxy
        self.limits = proxy.process
        self.parser = RequestParser(self.limits.head_most, self.limits.fields_most)
        self.exchange: HttpExchange | None = None
        self.closing = False
        self._timeout = Timeout(proxy.reactor, self._on_timeout)
        self._next_turn = Timeout(proxy.reactor, self._process_events)  # Set while others have their turn.
        self._read_pause = ReadPause(proxy.reactor, self.abort)
        self._body_paused = False  # Whether the body cannot be forwarded now.
        self._writable = True  # Whether the client reads what is sent to it.
        self._receiving_head = False
        self._processing = False
        self._is_head_request = False  # The response to a HEAD request has no body.

    def connectionMade(self) -> None:
        """Accept the connection, or abort it if the limit of clients is reached."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        if len(self.proxy.downstreams) >= self.limits.clients_most:
            self.transport.abortConnection()
            return
        self.proxy.downstreams.add(self)
        self._set_timeout(self.limits.idle_s)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002
        """Release the connection's state and abandon its request."""
        self.closing = True
        self._timeout.set(None)
        self._stop_processing()
        self.proxy.downstreams.discard(self)
        self._abandon_exchange()
        self.parser.clear()

    def close_if_idle(self) -> None:
        """Close the connection if no request is open; used when the proxy shuts down."""
        if self.exchange is None and not self.closing:
            self._close()

    def abort(self) -> None:
        """Close the connection immediately, without a response to an open request."""
        self.closing = True
        self.transport.abortConnection()

    def _abandon_exchange(self) -> None:
        if self.exchange is not None:
            self.exchange.finished = True
            self.proxy.on_client_disconnected(self.exchange)
            self.exchange = None

    def _close(self) -> None:
        """Close once all data is written; abort if the client does not read it within `head_s`."""
        self.closing = True
        self._stop_processing()
        close_gracefully(self.transport)
        self._set_timeout(self.limits.head_s)

    def _stop_processing(self) -> None:
        self._next_turn.set(None)
        self._read_pause.stop()

    # Timeouts ------------------------------------------------------------------------------------

    def _set_timeout(self, timeout_s: float | None) -> None:
        """Replace the timeout; while the client does not read, there is always one of at most `head_s`."""
        self._timeout.set(timeout_s if self._writable else self.limits.head_s)

    def _on_timeout(self) -> None:
        """Close a connection that is idle, or whose request or response makes no progress."""
        self.proxy.count(HttpCounter.DOWNSTREAM_TIMEOUTS)
        if not self.closing and self._receiving_head and self._writable:
            self._reject(
                HTTPStatus.REQUEST_TIMEOUT, f"request head not received within {self.limits.head_s:g} s"
            )
        else:
            self.transport.abortConnection()

    # Requests ------------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        """Parse data from the client and process the events in it."""
        if self.closing:
            return
        self.parser.receive(data)
        if not self._next_turn.is_pending:
            self._process_events()

    def _process_events(self) -> None:
        """Process the events that are due, and decide whether to read on."""
        if self._processing or self.closing:
            # An immediate response, sent from the loop below; the loop continues with the next request.
            return
        self._processing = True
        try:
            self._process_some_events()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))
        except HttpRequestError as error:
            self._reject(error.status_code, str(error))
        finally:
            self._processing = False
        self._update_reading()

    def _process_some_events(self) -> None:
        for _ in range(MAX_EVENTS_PER_TURN):
            if self.closing or not self._may_process() or not self._process_event(self.parser.next_event()):
                return
        self._next_turn.set(0)

    def _may_process(self) -> bool:
        """Return whether the next event can be handled: a part of a body, or the head of a request."""
        return self._writable if self.exchange is None else not self._body_paused

    def _process_event(self, event: Any) -> bool:
        """Handle one event. Return whether to look for more events."""
        if event is h11.NEED_DATA or event is h11.PAUSED:
            self._limit_head_duration()
            return False
        if isinstance(event, h11.ConnectionClosed):
            self._close()
            return False
        if isinstance(event, h11.Request):
            self._begin_request(event)
        elif isinstance(event, h11.Data) and self.exchange is not None:
            self._receive_body(self.exchange, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and self.exchange is not None:
            self._set_timeout(None)
            self.exchange.receive_end()
        return True

    def _limit_head_duration(self) -> None:
        """Start the timeout of a head with its first byte; later bytes do not extend it."""
        begins = self.exchange is None and self.parser.awaits_head and self.parser.buffered_bytes > 0
        if begins and not self._receiving_head:
            self._receiving_head = True
            self._set_timeout(self.limits.head_s)

    def _begin_request(self, request: h11.Request) -> None:
        self._receiving_head = False
        self._is_head_request = request.method == b"HEAD"
        if is_closed_by_peer(self.transport):
            self.abort()
            return
        if self.proxy.stopping:
            raise HttpRequestError(HTTPStatus.SERVICE_UNAVAILABLE, "the proxy is shutting down")
        headers = dict(request.headers)
        check_request(request, headers, self.limits.head_most, self.limits.body_most)
        routing = parse_routing_headers(request.target, headers, self.proxy.classes)
        if expects_continue(headers):
            self._send(h11.InformationalResponse(status_code=HTTPStatus.CONTINUE, headers=[]))
        self._set_timeout(self.limits.head_s if has_body(headers) else None)
        self.proxy.begin_request(self, request, routing)

    def _receive_body(self, exchange: HttpExchange, data: bytes) -> None:
        if exchange.body_size + len(data) > self.limits.body_most:
            raise body_too_large(self.limits.body_most)
        self._set_timeout(self.limits.head_s)
        exchange.receive_body(data, self.limits.replay_most)

    def _reject(self, status_code: int, reason: str) -> None:
        """End the open request, send an error response and close the connection."""
        self.proxy.count(HttpCounter.REQUESTS_REJECTED)
        self._abandon_exchange()
        if self.parser.can_respond:
            body = reason.encode() + b"\n"
            self._send(h11.Response(status_code=status_code, headers=error_headers(body)))
            self._send(h11.Data(data=b"" if self._is_head_request else body))
            self._send(h11.EndOfMessage())
        self._close()

    # Responses -----------------------------------------------------------------------------------

    def _send(self, event: h11.Event) -> None:
        data = self.parser.send(event)
        if data:
            self.transport.write(data)

    def send_response_head(self, status_code: int, headers: Headers) -> None:
        """Forward the head of a server's response."""
        if self.proxy.stopping:
            headers = [*headers, CLOSE_HEADER]
        self._send(h11.Response(status_code=status_code, headers=headers))

    def send_response_body(self, data: bytes) -> None:
        """Forward a part of a response's body."""
        self._send(h11.Data(data=data))

    def send_response_end(self) -> None:
        """End the response and continue with the next request."""
        self._send(h11.EndOfMessage())
        self._next_request()

    def send_final_response(self, status: int, retry_after_s: float, may_have_executed: bool) -> None:
        """Send the proxy's own response to a request that no server answered."""
        body_unread = self.exchange is not None and not self.exchange.request_complete
        close = self.proxy.stopping or body_unread
        self._send(final_response(status, retry_after_s, may_have_executed, close))
        self._send(h11.EndOfMessage())
        self._next_request()

    def truncate_response(self) -> None:
        """Close the connection within a response, so that the client detects that it is incomplete."""
        self._close()

    def _next_request(self) -> None:
        self.exchange = None
        self._body_paused = False
        if self.proxy.stopping or self.parser.must_close or not self.parser.is_request_complete:
            self._close()
            return
        self.parser.start_next_request()
        self._set_timeout(self.limits.idle_s)
        if not self._next_turn.is_pending:
            self._process_events()

    # Flow control --------------------------------------------------------------------------------

    def set_paused(self, paused: bool) -> None:
        """Pause reading from the client while its request body cannot be forwarded, or resume it."""
        if paused == self._body_paused or self.closing:
            return
        self._body_paused = paused
        if paused or self._next_turn.is_pending:
            self._update_reading()
        else:
            self._process_events()

    def _update_reading(self) -> None:
        """Read no further while received data has to wait."""
        if self.closing:
            return
        must_wait = self._next_turn.is_pending or not self._may_process()
        has_next_request = self.exchange is not None and self.parser.buffered_bytes > 0
        self._read_pause.set_paused(self.transport, must_wait or has_next_request)

    def pauseProducing(self) -> None:
        """Pause reading from the server, and abort if the client does not read on within `head_s`."""
        self._writable = False
        self._set_timeout(self.limits.head_s)
        if self.exchange is not None and self.exchange.upstream is not None:
            self.exchange.upstream.set_paused(True)

    def resumeProducing(self) -> None:
        """Resume reading from the server after the client has read on."""
        self._writable = True
        self._set_timeout(self.limits.idle_s if self.exchange is None else None)
        if self.exchange is not None and self.exchange.upstream is not None:
            self.exchange.upstream.set_paused(False)
        if not self._next_turn.is_pending:
            self._process_events()

    def stopProducing(self) -> None:
        """Do nothing: the transport is closed and connectionLost follows."""

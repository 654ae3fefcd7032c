"""The HTTP client side: connections to servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import h11
from twisted.internet.interfaces import IAddress, IConnector, IHandshakeListener
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from puffintide.protocol.stream import close_gracefully
from puffintide.proxy.http_counters import HttpCounter
from puffintide.proxy.http_exchange import HttpExchange
from puffintide.proxy.http_messages import forwarded_response_headers, is_rejection
from puffintide.proxy.reactor import DelayedCall, Transport, cancel_if_active
from puffintide.tls.context import peer_dns_names
from puffintide.tls.keys import certificate_name

if TYPE_CHECKING:
    from puffintide.proxy.http_proxy import HttpProxy

NO_ATTEMPT = 0


@implementer(IHandshakeListener)
class UpstreamConnection(Protocol):
    """A connection to a server, one exchange at a time; kept open after a complete one.

    With TLS it is established once the server has shown the certificate of its id. Nothing of a request is written
    before.
    """

    transport: Transport  # type: ignore[assignment]

    def __init__(self, proxy: HttpProxy, server_id: int) -> None:
        self.proxy = proxy
        self.server_id = server_id
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=proxy.process.head_most)
        self.exchange: HttpExchange | None = None
        self.attempt_id = NO_ATTEMPT
        self.idle_timeout: DelayedCall | None = None
        self.established = False
        self.closed = False

    def connectionMade(self) -> None:
        """TCP is connected; with TLS the handshake follows."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        if self.proxy.tls is None:
            self._on_established()
        else:
            timeout_s = self.proxy.process.connect_s
            self.idle_timeout = self.proxy.reactor.callLater(timeout_s, self.transport.abortConnection)

    def handshakeCompleted(self) -> None:
        """The server has shown its certificate."""
        expected_name = certificate_name("server", self.server_id, self.proxy.deployment)
        if expected_name in (peer_dns_names(self.transport) or set()):
            self._on_established()
        else:
            self.proxy.count(HttpCounter.UPSTREAM_CERTIFICATE_MISMATCHES)
            self.transport.abortConnection()

    def _on_established(self) -> None:
        self.established = True
        self.proxy.pools.on_established(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002
        """The connection is closed, or its handshake failed."""
        self.closed = True
        cancel_if_active(self.idle_timeout)
        if self.established:
            self.proxy.pools.on_connection_lost(self)
        else:
            self.proxy.pools.on_connect_failed(self.server_id)

    def abort(self) -> None:
        """The response is no longer awaited: nobody could receive it."""
        self.exchange = None
        self.closed = True
        self.transport.abortConnection()

    # Request -------------------------------------------------------------------------------------

    def begin_exchange(self, exchange: HttpExchange, attempt_id: int) -> None:
        """Send a request: its head, and what of its body was received."""
        cancel_if_active(self.idle_timeout)
        self.exchange = exchange
        self.attempt_id = attempt_id
        exchange.upstream = self
        self._send(exchange.head())
        for data in exchange.body_chunks:
            self.send_body(data)
        if exchange.request_complete:
            self.send_end()
        exchange.downstream.set_paused(False)

    def _send(self, event: h11.Event) -> None:
        data = self.http.send(event)
        if data:
            self.transport.write(data)

    def send_body(self, data: bytes) -> None:
        """Forward a part of the request's body."""
        if self.http.our_state is h11.SEND_BODY:
            self._send(h11.Data(data=data))

    def send_end(self) -> None:
        """The request is complete."""
        if self.http.our_state is h11.SEND_BODY:
            self._send(h11.EndOfMessage())

    # Response ------------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        """Data from the server."""
        try:
            self.http.receive_data(data)
            while not self.closed:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                if isinstance(event, h11.ConnectionClosed):
                    close_gracefully(self.transport)
                    break
                self._process_event(event)
        except (h11.RemoteProtocolError, h11.LocalProtocolError):
            self.proxy.count(HttpCounter.UPSTREAM_PROTOCOL_ERRORS)
            self.transport.abortConnection()

    def _process_event(self, event: Any) -> None:
        exchange = self.exchange
        if exchange is None:
            self.proxy.count(HttpCounter.UNSOLICITED_RESPONSES)
            self.transport.abortConnection()
            self.closed = True
        elif isinstance(event, h11.Response):
            self._receive_head(exchange, event)
        elif isinstance(event, h11.Data):
            exchange.downstream.send_response_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._complete(exchange)

    def _receive_head(self, exchange: HttpExchange, response: h11.Response) -> None:
        if is_rejection(response):
            self._detach(exchange)
            close_gracefully(self.transport)
            self.proxy.on_rejected_by_server(self.server_id, self.attempt_id)
            return
        exchange.response_started = True
        self.proxy.engine.disable_retries(exchange.handle)
        exchange.downstream.send_response_head(response.status_code, forwarded_response_headers(response))

    def _complete(self, exchange: HttpExchange) -> None:
        self._detach(exchange)
        attempt_id = self.attempt_id
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self.proxy.pools.on_connection_ready(self)  # first, so that the client's next request finds it
        else:
            self.closed = True
            close_gracefully(self.transport)
        self.proxy.on_response_complete(exchange, self.server_id, attempt_id)

    def _detach(self, exchange: HttpExchange) -> None:
        self.exchange = None
        exchange.upstream = None

    # Flow control --------------------------------------------------------------------------------

    def set_paused(self, paused: bool) -> None:
        """Stop reading from the server while the client reads slowly, or read on."""
        if self.closed:
            return
        if paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def pauseProducing(self) -> None:
        """The server reads slowly: the client has to wait."""
        if self.exchange is not None:
            self.exchange.downstream.set_paused(True)

    def resumeProducing(self) -> None:
        """The server has read on."""
        if self.exchange is not None:
            self.exchange.downstream.set_paused(False)

    def stopProducing(self) -> None:
        """The transport is closed; connectionLost follows."""


class UpstreamFactory(ClientFactory):
    """Opens one connection to a server."""

    noisy = False

    def __init__(self, proxy: HttpProxy, server_id: int) -> None:
        self.proxy = proxy
        self.server_id = server_id

    def buildProtocol(self, addr: IAddress | None) -> UpstreamConnection:  # noqa: ARG002
        """A protocol for the connection."""
        return UpstreamConnection(self.proxy, self.server_id)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002
        """The connection could not be established."""
        self.proxy.pools.on_connect_failed(self.server_id)

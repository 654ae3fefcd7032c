"""The client side of the HTTP proxy: connections to servers."""

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

NO_ATTEMPT = 0  # Attempt id of a connection that has not served an attempt yet; real ids start at 1.


@implementer(IHandshakeListener)
class UpstreamConnection(Protocol):
    """A connection to a server. It carries one exchange at a time and stays open after a complete one.

    With TLS it is established once the server has presented a certificate for its id. No part of a request is
    written before that.
    """

    transport: Transport  # type: ignore[assignment]

    def __init__(self, proxy: HttpProxy, server_id: int) -> None:
        self.proxy = proxy
        self.server_id = server_id
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=proxy.process.head_most)
        self.exchange: HttpExchange | None = None
        self.attempt_id = NO_ATTEMPT
        # Timeout of the TLS handshake, later of an idle connection.
        self.pending_timeout: DelayedCall | None = None
        self.established = False
        self.closed = False

    def connectionMade(self) -> None:
        """Set up the TCP connection; with TLS, limit the duration of the handshake that follows."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        if self.proxy.tls is None:
            self._on_established()
        else:
            timeout_s = self.proxy.process.connect_s
            self.pending_timeout = self.proxy.reactor.callLater(timeout_s, self.transport.abortConnection)

    def handshakeCompleted(self) -> None:
        """Check that the server's certificate is for its id; abort the connection otherwise."""
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
        """Report a lost connection or a failed handshake to the connection pools."""
        self.closed = True
        cancel_if_active(self.pending_timeout)
        if self.established:
            self.proxy.pools.on_connection_lost(self)
        else:
            self.proxy.pools.on_connect_failed(self.server_id)

    def abort(self) -> None:
        """Close the connection immediately, because the response to its attempt is no longer needed."""
        self.exchange = None
        self.closed = True
        self.transport.abortConnection()

    # Request -------------------------------------------------------------------------------------

    def begin_exchange(self, exchange: HttpExchange, attempt_id: int) -> None:
        """Send a request's head and the part of its body that was received so far."""
        cancel_if_active(self.pending_timeout)
        self.exchange = exchange
        self.attempt_id = attempt_id
        exchange.upstream = self
        self._send(exchange.head())
        if exchange.replay_buffer:
            self.send_body(bytes(exchange.replay_buffer))
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
        """Send the end of the request."""
        if self.http.our_state is h11.SEND_BODY:
            self._send(h11.EndOfMessage())

    # Response ------------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        """Parse data from the server and process the events in it."""
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
            # Release the connection before the response ends, so that the client's next request can use it.
            self.proxy.pools.on_connection_ready(self)
        else:
            self.closed = True
            close_gracefully(self.transport)
        self.proxy.on_response_complete(exchange, self.server_id, attempt_id)

    def _detach(self, exchange: HttpExchange) -> None:
        self.exchange = None
        exchange.upstream = None

    # Flow control --------------------------------------------------------------------------------

    def set_paused(self, paused: bool) -> None:
        """Pause reading from the server while the client reads slowly, or resume it."""
        if self.closed:
            return
        if paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def pauseProducing(self) -> None:
        """Pause reading from the client while the server reads slowly."""
        if self.exchange is not None:
            self.exchange.downstream.set_paused(True)

    def resumeProducing(self) -> None:
        """Resume reading from the client after the server has read on."""
        if self.exchange is not None:
            self.exchange.downstream.set_paused(False)

    def stopProducing(self) -> None:
        """Do nothing: the transport is closed and connectionLost follows."""


class UpstreamFactory(ClientFactory):
    """Creates the protocol of one connection to a server."""

    noisy = False

    def __init__(self, proxy: HttpProxy, server_id: int) -> None:
        self.proxy = proxy
        self.server_id = server_id

    def buildProtocol(self, addr: IAddress | None) -> UpstreamConnection:  # noqa: ARG002
        """Return the protocol of the connection."""
        return UpstreamConnection(self.proxy, self.server_id)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002
        """Report a failed connection to the connection pools."""
        self.proxy.pools.on_connect_failed(self.server_id)

"""The proxy for HTTP/1.1: h11 parses both sides, and the engine between them routes requests.

A server proves by a 503 response with `x-puffintide-ran: no` that it did not execute a request. The headers
are described in `http_messages`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import h11
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from puffintide.config.schema import ClassSection, ProxyProcess
from puffintide.protocol.messages import AttemptStatus
from puffintide.proxy.connection_pools import ConnectionPools
from puffintide.proxy.downstream import DownstreamConnection
from puffintide.proxy.effects import (
    CancelAttempt,
    CompleteRequest,
    ConnectServer,
    DisconnectServer,
    Effect,
    SendAttempt,
)
from puffintide.proxy.engine import Engine
from puffintide.proxy.engine_driver import EngineDriver
from puffintide.proxy.http_counters import HttpCounter
from puffintide.proxy.http_exchange import HttpExchange
from puffintide.proxy.http_messages import RoutingHeaders
from puffintide.proxy.load_balancing import slice_for_key
from puffintide.proxy.reactor import Reactor
from puffintide.proxy.upstream import UpstreamConnection
from puffintide.tls.context import TlsContextFactory


class HttpProxy(EngineDriver):
    """The HTTP side of one proxy. Its engine shares tables and counters with the engine of the line protocol.

    Args:
        reactor: Clock, timers and outgoing connections.
        process: Limits and timeouts of this proxy.
        classes: Request classes by name, in order.
        engine: State machine that routes the requests.
        count: Function called with the name of each counted event, an HttpCounter.
        deployment: The deployment's name, which the names in the servers' certificates contain.
        tls: Context factory of outgoing connections; None disables TLS.
    """

    def __init__(
        self,
        reactor: Reactor,
        process: ProxyProcess,
        classes: Mapping[str, ClassSection],
        engine: Engine,
        count: Callable[[str], None],
        deployment: str,
        tls: TlsContextFactory | None = None,
    ) -> None:
        super().__init__(reactor, engine)
        self.process = process
        self.classes = classes
        self.count = count
        self.deployment = deployment
        self.tls = tls
        self.downstreams: set[DownstreamConnection] = set()
        self.exchanges: dict[int, HttpExchange] = {}  # Keyed by handle.
        self.pools = ConnectionPools(self)
        self.stopping = False
        self._last_handle = 0

    def factory(self) -> DownstreamFactory:
        """Return the factory that accepts clients' connections."""
        return DownstreamFactory(self)

    def stop(self) -> None:
        """Shut down gracefully: close idle connections now, and others once their response is sent."""
        self.stopping = True
        for downstream in list(self.downstreams):
            downstream.close_if_idle()

    def abort_clients(self) -> None:
        """Abort all clients' connections at the end of the process; their open requests get no response."""
        for downstream in list(self.downstreams):
            downstream.abort()

    # Clients -------------------------------------------------------------------------------------

    def begin_request(
        self, downstream: DownstreamConnection, request: h11.Request, routing: RoutingHeaders
    ) -> None:
        """Create the exchange of a received request head and pass the request to the engine."""
        self._last_handle += 1
        handle = self._last_handle
        exchange = HttpExchange(downstream, request, handle)
        self.exchanges[handle] = exchange
        downstream.exchange = exchange
        if exchange.has_no_body():
            downstream.parser.next_event()  # EndOfMessage, which directly follows a head without a body.
            exchange.request_complete = True
        slice_id = slice_for_key(routing.key, self.engine.settings.slice_count)
        self.run_effects(
            self.engine.on_request(
                self.now_s(), handle, handle, slice_id, routing.class_index, routing.timeout_s
            )
        )

    def on_client_disconnected(self, exchange: HttpExchange) -> None:
        """Cancel the request of a disconnected client, and abort its connection to a server."""
        self.run_effects(self.engine.on_client_disconnected(self.now_s(), exchange.handle))
        self.exchanges.pop(exchange.handle, None)
        upstream = exchange.detach_upstream()
        if upstream is not None:
            upstream.abort()

    # Servers -------------------------------------------------------------------------------------

    def on_attempt_not_sent(self, server_id: int, attempt_id: int) -> None:
        """Report to the engine that there was no connection for an attempt."""
        self.run_effects(self.engine.on_attempt_not_sent(self.now_s(), server_id, attempt_id))

    def on_upstream_lost(self, upstream: UpstreamConnection) -> None:
        """Report the current attempt of a lost connection to the engine, if there is one."""
        exchange = upstream.exchange
        upstream.exchange = None
        if exchange is None:
            return
        exchange.upstream = None
        self.run_effects(
            self.engine.on_attempt_connection_lost(self.now_s(), upstream.server_id, upstream.attempt_id)
        )

    def on_rejected_by_server(self, server_id: int, attempt_id: int) -> None:
        """Report an attempt to the engine that its server provably did not execute."""
        status = AttemptStatus.SATURATED
        self.run_effects(self.engine.on_response(self.now_s(), server_id, attempt_id, status, []))

    def on_response_complete(self, exchange: HttpExchange, server_id: int, attempt_id: int) -> None:
        """End an exchange whose response was forwarded completely, and report success to the engine."""
        self.exchanges.pop(exchange.handle, None)
        if not exchange.finished:
            exchange.finished = True
            exchange.downstream.send_response_end()
        status = AttemptStatus.OK
        self.run_effects(self.engine.on_response(self.now_s(), server_id, attempt_id, status, []))

    # Effects -------------------------------------------------------------------------------------

    def run_effect(self, effect: Effect) -> None:
        """Carry out one effect of the engine."""
        match effect:
            case SendAttempt():
                self._send_attempt(effect)
            case CompleteRequest():
                self._complete(effect)
            case CancelAttempt():
                self._cancel(effect.attempt_id)
            case ConnectServer():
                # Each attempt gets a separate connection from the pool: there is nothing to wait for.
                self.run_effects(self.engine.on_server_connected(self.now_s(), effect.server_id))
            case DisconnectServer():
                pass

    def _send_attempt(self, effect: SendAttempt) -> None:
        assert isinstance(effect.handle, int)
        self.pools.begin_attempt(effect.server_id, effect.attempt_id, self.exchanges[effect.handle])

    def _cancel(self, attempt_id: int) -> None:
        if self.pools.cancel_waiting(attempt_id):
            return
        for exchange in self.exchanges.values():
            if exchange.upstream is not None and exchange.upstream.attempt_id == attempt_id:
                upstream = exchange.upstream
                exchange.upstream = None
                self.count(HttpCounter.ATTEMPTS_CANCELLED)
                upstream.abort()
                return

    def _complete(self, effect: CompleteRequest) -> None:
        assert isinstance(effect.handle, int)
        exchange = self.exchanges.pop(effect.handle, None)
        if exchange is None or exchange.finished:
            return
        exchange.finished = True
        upstream = exchange.detach_upstream()
        if upstream is not None:
            upstream.abort()
        if exchange.response_started:
            self.count(HttpCounter.RESPONSES_TRUNCATED)
            exchange.downstream.truncate_response()
        else:
            exchange.downstream.send_final_response(
                effect.status, effect.retry_after_s, effect.may_have_executed
            )


class DownstreamFactory(Factory):
    """Creates the protocols of clients' connections."""

    noisy = False

    def __init__(self, proxy: HttpProxy) -> None:
        self.proxy = proxy

    def buildProtocol(self, addr: IAddress | None) -> DownstreamConnection:  # noqa: ARG002
        """Return the protocol of one connection."""
        return DownstreamConnection(self.proxy)

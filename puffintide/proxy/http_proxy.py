"""The proxy for HTTP/1.1: h11 on both sides, the engine between them decides about routing.

A server proves that it did not execute a request by 503 with `x-puffintide-ran: no`. The headers are described in
`http_messages`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import h11

from puffintide.config.schema import ClassSection, ProxyProcess
from puffintide.protocol.messages import AttemptStatus
from puffintide.proxy.connection_pools import ConnectionPools
from puffintide.proxy.downstream import DownstreamConnection, DownstreamFactory
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
    """The HTTP side of one proxy. Its engine shares tables and counters with that of the line protocol.

    Args:
        reactor: Clock and connections.
        process: Limits of this proxy.
        classes: Request classes by name, in order.
        engine: Decides about routing.
        count: Called for each event that the log's statistics count.
        deployment: The deployment's name, for the servers' certificates.
        tls: Context factory of outgoing connections; None: without TLS.
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
        self.exchanges: dict[int, HttpExchange] = {}  # by handle
        self.pools = ConnectionPools(self)
        self.stopping = False
        self._last_handle = 0

    def factory(self) -> DownstreamFactory:
        """Accepts clients' connections."""
        return DownstreamFactory(self)

    def stop(self) -> None:
        """Shut down gracefully: connections close once their response is sent, those without a request now."""
        self.stopping = True
        for downstream in list(self.downstreams):
            downstream.close_if_idle()

    # Clients -------------------------------------------------------------------------------------

    def begin_request(
        self, downstream: DownstreamConnection, request: h11.Request, routing: RoutingHeaders
    ) -> None:
        """A client has sent a request's head."""
        self._last_handle += 1
        handle = self._last_handle
        exchange = HttpExchange(downstream, request, handle)
        self.exchanges[handle] = exchange
        downstream.exchange = exchange
        if exchange.has_no_body():
            downstream.http.next_event()  # the end of a message without a body follows its head at once
            exchange.request_complete = True
        slice_id = slice_for_key(routing.key, self.engine.settings.slice_count)
        self.run_effects(
            self.engine.on_request(
                self.now_s(), handle, handle, slice_id, routing.class_index, routing.timeout_s
            )
        )

    def on_client_disconnected(self, exchange: HttpExchange) -> None:
        """The client of an open request is gone."""
        self.run_effects(self.engine.on_client_disconnected(self.now_s(), exchange.handle))
        self.exchanges.pop(exchange.handle, None)
        upstream = exchange.detach_upstream()
        if upstream is not None:
            upstream.abort()

    # Servers -------------------------------------------------------------------------------------

    def on_attempt_not_sent(self, server_id: int, attempt_id: int) -> None:
        """There was no connection for an attempt."""
        self.run_effects(self.engine.on_attempt_not_sent(self.now_s(), server_id, attempt_id))

    def on_upstream_lost(self, upstream: UpstreamConnection) -> None:
        """A connection was closed, maybe within an exchange."""
        exchange = upstream.exchange
        upstream.exchange = None
        if exchange is None:
            return
        exchange.upstream = None
        self.run_effects(
            self.engine.on_attempt_connection_lost(self.now_s(), upstream.server_id, upstream.attempt_id)
        )

    def on_rejected_by_server(self, server_id: int, attempt_id: int) -> None:
        """A server proves that it did not execute an attempt."""
        status = AttemptStatus.SATURATED
        self.run_effects(self.engine.on_response(self.now_s(), server_id, attempt_id, status, []))

    def on_response_complete(self, exchange: HttpExchange, server_id: int, attempt_id: int) -> None:
        """A server's response is forwarded to its end."""
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
            case ConnectServer():  # each exchange has a connection of its own: there is nothing to wait for
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

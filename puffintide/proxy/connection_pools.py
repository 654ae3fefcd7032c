"""Pools of HTTP connections, one for each server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from puffintide.protocol.stream import close_gracefully
from puffintide.proxy.connection_attempts import ConnectionAttempts
from puffintide.proxy.http_counters import HttpCounter
from puffintide.proxy.http_exchange import HttpExchange
from puffintide.proxy.upstream import UpstreamConnection, UpstreamFactory

if TYPE_CHECKING:
    from puffintide.proxy.http_proxy import HttpProxy


class ConnectionPools:
    """Assigns a separate connection to each attempt: an idle one, or a newly opened one."""

    def __init__(self, proxy: HttpProxy) -> None:
        self.proxy = proxy
        self._attempts: dict[int, ConnectionAttempts] = {}  # Keyed by server id.
        self._idle: dict[int, list[UpstreamConnection]] = {}  # Keyed by server id.
        # Server id and exchange of each attempt that waits for a connection, keyed by attempt id.
        self._waiting: dict[int, tuple[int, HttpExchange]] = {}

    def begin_attempt(self, server_id: int, attempt_id: int, exchange: HttpExchange) -> None:
        """Send an attempt on an idle connection, queue it for one, or fail it if it cannot be queued."""
        attempts = self._attempts.get(server_id)
        if attempts is None:
            attempts = self._attempts[server_id] = ConnectionAttempts(self.proxy.process.pool_most)
        idle = self._idle.get(server_id, [])
        while idle:
            upstream = idle.pop()
            if not upstream.closed:
                upstream.begin_exchange(exchange, attempt_id)
                return
        if not attempts.enqueue(attempt_id):
            self.proxy.count(HttpCounter.CONNECTION_POOL_FULL)
            self.proxy.reactor.callLater(0, self._fail_attempts, server_id, [attempt_id])
            return
        self._waiting[attempt_id] = (server_id, exchange)
        timeout_s = self.proxy.process.connect_s
        self.proxy.reactor.callLater(timeout_s, self._on_wait_timeout, server_id, attempt_id)
        self._open_connections(server_id)

    def cancel_waiting(self, attempt_id: int) -> bool:
        """Remove an attempt from the queue for a connection. Return False if it was not waiting."""
        waiting = self._waiting.pop(attempt_id, None)
        if waiting is None:
            return False
        self._attempts[waiting[0]].discard(attempt_id)
        return True

    def _open_connections(self, server_id: int) -> None:
        """Open as many connections as the waiting attempts need, within the limit of ConnectionAttempts."""
        host, _, port = self.proxy.engine.tables.addresses.get(server_id, "").rpartition(":")
        attempts = self._attempts.get(server_id)
        if attempts is None or not port:  # A server without an address is in no table any more.
            return
        for _ in range(attempts.begin_connecting()):
            factory = UpstreamFactory(self.proxy, server_id)
            timeout_s = self.proxy.process.connect_s
            if self.proxy.tls is None:
                self.proxy.reactor.connectTCP(host, int(port), factory, timeout_s)
            else:
                self.proxy.reactor.connectSSL(host, int(port), factory, self.proxy.tls, timeout_s)

    def on_established(self, upstream: UpstreamConnection) -> None:
        """Count an established connection and make it available to attempts."""
        self._attempts[upstream.server_id].on_established()
        self.on_connection_ready(upstream)

    def on_connection_ready(self, upstream: UpstreamConnection) -> None:
        """Give a new or released connection to the next waiting attempt, or keep it idle."""
        server_id = upstream.server_id
        attempts = self._attempts[server_id]
        while (attempt_id := attempts.pop_waiting()) is not None:
            exchange = self._open_exchange(attempt_id)
            if exchange is not None:
                upstream.begin_exchange(exchange, attempt_id)
                break
        else:
            self._idle.setdefault(server_id, []).append(upstream)
            idle_s = self.proxy.process.idle_s
            upstream.pending_timeout = self.proxy.reactor.callLater(
                idle_s, close_gracefully, upstream.transport
            )
        self._open_connections(server_id)

    def _open_exchange(self, attempt_id: int) -> HttpExchange | None:
        """Return the exchange of an attempt that waited for a connection; None if the request has ended."""
        waiting = self._waiting.pop(attempt_id, None)
        if waiting is None or attempt_id not in self.proxy.engine.requests:
            return None
        _, exchange = waiting
        return None if exchange.finished else exchange

    def on_connect_failed(self, server_id: int) -> None:
        """Fail the attempts that wait for a connection to a server that could not be reached."""
        self._fail_attempts(server_id, self._attempts[server_id].on_connect_failed())
        self._open_connections(server_id)
        self._forget_if_unused(server_id)

    def on_connection_lost(self, upstream: UpstreamConnection) -> None:
        """Remove a lost connection from the pool and report it to the proxy."""
        server_id = upstream.server_id
        self._attempts[server_id].on_connection_lost()
        idle = self._idle.get(server_id, [])
        if upstream in idle:
            idle.remove(upstream)
        self.proxy.on_upstream_lost(upstream)
        self._open_connections(server_id)
        self._forget_if_unused(server_id)

    def _on_wait_timeout(self, server_id: int, attempt_id: int) -> None:
        """Fail an attempt that got no connection within the connect timeout."""
        attempts = self._attempts.get(server_id)
        if attempts is not None and attempts.discard(attempt_id):
            self.proxy.count(HttpCounter.CONNECTION_WAIT_TIMEOUTS)
            self._fail_attempts(server_id, [attempt_id])

    def _fail_attempts(self, server_id: int, attempt_ids: list[int]) -> None:
        for attempt_id in attempt_ids:
            self._waiting.pop(attempt_id, None)
            self.proxy.on_attempt_not_sent(server_id, attempt_id)

    def _forget_if_unused(self, server_id: int) -> None:
        """Delete the state of a server without connections or waiting attempts.

        A server that returns starts like a new one, and a removed server occupies no memory.
        """
        attempts = self._attempts.get(server_id)
        if attempts is not None and attempts.is_unused():
            del self._attempts[server_id]
            self._idle.pop(server_id, None)

"""Sends the health checks requested by the director, spread over time; the runtime receives the results."""

from __future__ import annotations

from functools import partial

from puffintide.decisions.events import HealthCheckResult, HealthCheckStatus
from puffintide.platform.config import Address, parse_address
from puffintide.platform.context import Context
from puffintide.platform.errors import ConfigError
from puffintide.platform.health_check_client import HealthCheckClient

# Time in seconds over which the checks of a round are sent one after another, so that the response to each is
# read and timed before the next is sent. All are answered before the next round.
SPREAD_S = 0.15
LOAD_TARGET = "/_load"
PING_TARGET = "/ping"


class HealthChecks:
    """Sends the health checks of all servers."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.clients: dict[int, HealthCheckClient] = {}
        self._queue: list[int] = []
        self._send_interval_s = 0.0
        self._stopped = False

    def send(self, server_ids: list[int]) -> None:
        """Queue health checks of servers."""
        idle = not self._queue
        self._queue += server_ids
        self._send_interval_s = SPREAD_S / len(self._queue)
        if idle:
            self.context.reactor.callLater(0, self._send_next)

    def stop(self) -> None:
        """Abort all checks, and send no more."""
        self._stopped = True
        for client in self.clients.values():
            client.stop()

    def remove_unlisted(self) -> None:
        """Close the connections to servers that are no longer in the endpoint list."""
        for server_id in sorted(self.clients.keys() - self.context.runtime.endpoints.keys()):
            self.clients.pop(server_id).stop()

    def _send_next(self) -> None:
        if not self._queue or self._stopped:
            return
        server_id = self._queue.pop(0)
        if self._queue:
            self.context.reactor.callLater(self._send_interval_s, self._send_next)
        address = self._server_address(server_id)
        if address is not None and self.context.settings.health_checks_enabled:
            self._client_for(server_id, address).check()

    def _server_address(self, server_id: int) -> Address | None:
        text = self.context.runtime.server_addresses.get(server_id, "")
        try:
            return parse_address(text, "dial") if text else None
        except ConfigError:
            return None

    def _client_for(self, server_id: int, address: Address) -> HealthCheckClient:
        client = self.clients.get(server_id)
        if client is not None and client.address == address:
            return client
        if client is not None:
            client.stop()
        target = LOAD_TARGET if self.context.settings.load_value_names else PING_TARGET
        client = HealthCheckClient(self.context.reactor, address, target, partial(self._on_result, server_id))
        self.clients[server_id] = client
        return client

    def _on_result(
        self, server_id: int, status: HealthCheckStatus, elapsed_s: float, report: dict[str, float]
    ) -> None:
        load_values = self.context.names.parse_load_values(report)
        result = HealthCheckResult(server_id, status, elapsed_s, load_values)
        self.context.runtime.add_events(self.context.rounds.now_s(), result)
        self.context.rounds.schedule()

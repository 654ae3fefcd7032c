"""Sends the outbox's calls to the relay sequentially, each on a new connection.

The relay may close an idle connection at any time, and a call lost with that connection may or may not have
been applied. There are only a few calls per second, so a new connection per call costs less than resolving
such uncertain calls.
"""

from __future__ import annotations

from collections.abc import Callable

from puffintide.platform.config import Address
from puffintide.platform.http_exchange import RequestResult, Response
from puffintide.platform.http_request import HttpRequest, RequestLimits
from puffintide.platform.log import Log
from puffintide.platform.reactor import Reactor, Timer
from puffintide.platform.relay_calls import NextStep
from puffintide.platform.relay_outbox import Outbox
from puffintide.platform.relay_snapshot import RelaySnapshot
from puffintide.platform.relay_state import Tables

CALL_TARGET = "/api/txn"
CONNECT_TIMEOUT_S = 0.5
# A response arrives within 50 ms or not at all. The remainder allows for scheduling delays on a busy core.
RESPONSE_TIMEOUT_S = 0.12
MAX_BODY_BYTES = 64 * 1024


class RelayClient:
    """Sends the orders queued in an outbox to the relay."""

    def __init__(self, reactor: Reactor, address: Address, outbox: Outbox, log: Log) -> None:
        self.reactor = reactor
        self.address = address  # Used from the next call on.
        self.outbox = outbox
        self.log = log
        self.in_flight = False
        self.calls = 0
        self.max_duration_s = 0.0  # Longest answered call since the last statistics, in seconds.
        self._next_call = Timer(reactor)
        self._not_before_s = 0.0
        self._started_at_s = 0.0
        self._on_stopped: Callable[[], None] | None = None

    def send_next(self) -> None:
        """Make the next call as soon as the outbox and the retry delay allow it."""
        if self._on_stopped is not None:
            return
        now_s = self.reactor.seconds()
        delay_s = self.outbox.ready_in_s(now_s)
        if delay_s is None:
            return
        delay_s = max(delay_s, self._not_before_s - now_s)
        if delay_s <= 0:
            self._call()
        elif not self._next_call.pending:
            self._next_call.start(delay_s, self.send_next)

    def _call(self) -> None:
        self._started_at_s = self.reactor.seconds()
        call = self.outbox.next_call(self._started_at_s)
        self.calls += 1
        self.in_flight = True
        limits = RequestLimits(CONNECT_TIMEOUT_S, RESPONSE_TIMEOUT_S, MAX_BODY_BYTES)
        HttpRequest(self.reactor, self.address, ("POST", CALL_TARGET, call.body), self._on_response, limits)

    def stop(self, on_stopped: Callable[[], None]) -> None:
        """Stop making calls.

        Args:
            on_stopped: Called once no call is in flight, immediately if none is in flight now.
        """
        self._on_stopped = on_stopped
        self._next_call.cancel()
        if not self.in_flight:
            on_stopped()

    def _on_response(self, response: Response) -> None:
        now_s = self.reactor.seconds()
        self.in_flight = False
        if self._on_stopped is not None:
            self._on_stopped()
            return
        if response.result is RequestResult.ANSWERED:
            self.max_duration_s = max(self.max_duration_s, now_s - self._started_at_s)
        self._perform_step(now_s, self.outbox.on_response(now_s, response))

    def _on_snapshot(self, tables: Tables | None, complete: bool) -> None:
        now_s = self.reactor.seconds()
        self._perform_step(now_s, self.outbox.on_snapshot(now_s, tables, complete))

    def _perform_step(self, now_s: float, step: NextStep) -> None:
        if step.event:
            self.log(step.event, **step.fields)
        if step.snapshot:
            self.reactor.callLater(step.delay_s, self._read_snapshot)
            return
        if step.delay_s:
            self._not_before_s = now_s + step.delay_s
        self.send_next()

    def _read_snapshot(self) -> None:
        if self._on_stopped is None:
            RelaySnapshot(self.reactor, self.address, self._on_snapshot)

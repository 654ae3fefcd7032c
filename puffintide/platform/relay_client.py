"""Makes the calls of the outbox at the relay, one after another, each on a connection of its own.

An idle connection may be closed by the relay at any time, and a call that is lost with it may or may not have been
carried out: calls are a few a second, and a connection costs less than such a doubt.
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
RESPONSE_TIMEOUT_S = 0.12  # a response comes within 50 ms or never; the rest is for a busy core
MAX_BODY_BYTES = 64 * 1024


class RelayClient:
    """Sends what is queued in an outbox."""

    def __init__(self, reactor: Reactor, address: Address, outbox: Outbox, log: Log) -> None:
        self.reactor = reactor
        self.address = address  # of the next call
        self.outbox = outbox
        self.log = log
        self.in_flight = False
        self.calls = 0
        self.max_duration_s = 0.0  # of a call, since the last statistics
        self._next_call = Timer(reactor)
        self._not_before_s = 0.0
        self._started_at_s = 0.0
        self._on_stopped: Callable[[], None] | None = None

    def send_next(self) -> None:
        """Make the next call as soon as the outbox allows."""
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
        call = self.outbox.next_call()
        self.calls += 1
        self.in_flight = True
        self._started_at_s = self.reactor.seconds()
        limits = RequestLimits(CONNECT_TIMEOUT_S, RESPONSE_TIMEOUT_S, MAX_BODY_BYTES)
        HttpRequest(self.reactor, self.address, ("POST", CALL_TARGET, call.body), self._on_response, limits)

    def stop(self, on_stopped: Callable[[], None]) -> None:
        """Make no call from now on.

        Args:
            on_stopped: Called once no call is in flight, at once if none is now.
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
        self._continue(now_s, self.outbox.on_response(now_s, response))

    def _on_snapshot(self, tables: Tables | None, complete: bool) -> None:
        now_s = self.reactor.seconds()
        self._continue(now_s, self.outbox.on_snapshot(now_s, tables, complete))

    def _continue(self, now_s: float, step: NextStep) -> None:
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

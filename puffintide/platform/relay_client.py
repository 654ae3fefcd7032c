"""Makes the outbox's calls at the relay, one after another, each on a connection of its own. What an answer means
and what is done next is the outbox's.

A kept connection may be closed on us at any time when idle, and a call that broke on it would be one that may
have been carried out: calls are a few a second, and a connection costs less than such a doubt.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from puffintide.platform.config import Address
from puffintide.platform.http_request import Outcome, Request
from puffintide.platform.relay_outbox import Outbox, Tables, Verdict
from puffintide.platform.relay_snapshot import SnapshotRead

TARGET = "/api/txn"
CONNECT_S = 0.5
ANSWER_S = 0.12  # an answer comes within 50 ms or never; the rest is for a busy core
BODY_MOST = 64 * 1024


class Caller:
    def __init__(self, reactor: Any, address: Address, outbox: Outbox, log: Callable[..., None]) -> None:
        self.reactor, self.address, self.outbox, self.log = reactor, address, outbox, log
        self._due: Any = None
        self._not_before = 0.0
        self._began = 0.0
        self._stopped: Callable[[], None] | None = None
        self.calling = False  # a call is on its way, and no answer has come
        self.calls = 0
        self.took_most_s = 0.0

    def send_next(self) -> None:
        """Sends what waits, when it may go."""
        if self._stopped is not None:
            return
        wait = self.outbox.ready_in(self.reactor.seconds())
        if wait is None:
            return
        wait = max(wait, self._not_before - self.reactor.seconds())
        if wait > 0:
            if self._due is None or not self._due.active():
                self._due = self.reactor.callLater(wait, self.send_next)
            return
        call = self.outbox.next()
        self.calls += 1
        self.calling = True
        self._began = self.reactor.seconds()
        request = ("POST", TARGET, call.body)
        Request(self.reactor, self.address, request, self._answered, CONNECT_S, ANSWER_S, BODY_MOST)

    def stop(self, done: Callable[[], None]) -> None:
        """No call begins from here on. done() once the one on its way has ended, now if there is none."""
        self._stopped = done
        if self._due is not None and self._due.active():
            self._due.cancel()
        if not self.calling:
            done()

    def _answered(self, outcome: Outcome) -> None:
        now = self.reactor.seconds()
        self.calling = False
        if self._stopped is not None:
            self._stopped()
            return
        if outcome.how == "answer":
            self.took_most_s = max(self.took_most_s, now - self._began)
        self._go_on(now, self.outbox.answered(now, outcome.how, outcome.status, outcome.body))

    def _snapshot_read(self, tables: Tables | None, whole: bool) -> None:
        now = self.reactor.seconds()
        self._go_on(now, self.outbox.snapshot_read(now, tables, whole))

    def _go_on(self, now: float, verdict: Verdict) -> None:
        if verdict.event:
            self.log(verdict.event, **verdict.fields)
        if verdict.snapshot:
            self.reactor.callLater(verdict.pause_s, self._read_snapshot)
            return
        if verdict.pause_s:
            self._not_before = now + verdict.pause_s
        self.send_next()

    def _read_snapshot(self) -> None:
        if self._stopped is None:
            SnapshotRead(self.reactor, self.address, self._snapshot_read)

"""Makes the outbox's calls at the relay, one after another, each on a connection of its own.

A kept connection may be closed on us at any time when idle, and a call that broke on it would be one that may
have been carried out: calls are a few a second, and a connection costs less than such a doubt.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from puffintide.node.config import Address
from puffintide.node.look import Look, Tables
from puffintide.node.once import Once, Outcome
from puffintide.node.relay import Outbox, read_answer

TARGET = "/api/txn"
CONNECT_S = 0.5
ANSWER_S = 0.12  # an answer comes within 50 ms or never; the rest is for a busy core
BODY_MOST = 64 * 1024
AGAIN_S, AGAIN_MOST_S = 0.02, 0.5
LOOKS_MOST = 5  # looks at what stands that fail, until a call is sent again without
THROTTLED_S = 0.25  # pace of tries until the run begins


class Caller:
    def __init__(self, reactor: Any, address: Address, outbox: Outbox, log: Callable[..., None]) -> None:
        self.reactor, self.address, self.outbox, self.log = reactor, address, outbox, log
        self._again_s = AGAIN_S
        self._due: Any = None
        self._not_before = 0.0
        self._began = 0.0
        self._looks = 0
        self.calls = 0
        self.took_most_s = 0.0

    def kick(self) -> None:
        """Sends what waits, when it may go."""
        wait = self.outbox.ready_in(self.reactor.seconds())
        if wait is None:
            return
        wait = max(wait, self._not_before - self.reactor.seconds())
        if wait > 0:
            if self._due is None or not self._due.active():
                self._due = self.reactor.callLater(wait, self.kick)
            return
        call = self.outbox.next()
        self.calls += 1
        self._began = self.reactor.seconds()
        request = ("POST", TARGET, call.body)
        size = len(call.orders)
        Once(
            self.reactor, self.address, request, lambda outcome: self._done(outcome, size),
            CONNECT_S, ANSWER_S, BODY_MOST,
        )  # fmt: skip

    def _done(self, outcome: Outcome, size: int) -> None:
        now = self.reactor.seconds()
        pause = self._judge(now, outcome, size)
        if pause is not None:
            self._go_on(now, pause)

    def _go_on(self, now: float, pause: float) -> None:
        if pause:
            self._not_before = now + pause
        else:
            self._again_s = AGAIN_S
            self.took_most_s = max(self.took_most_s, now - self._began)
        self.kick()

    def _judge(self, now: float, outcome: Outcome, size: int) -> float | None:
        """Tells the outbox; the pause before the next call, None while it is not known what became of this one."""
        answer = read_answer(outcome.status, outcome.body, size) if outcome.how == "answer" else None
        if answer is not None and answer.accepted is not None:
            bad = self.outbox.taken(now, answer.accepted)
            if bad is not None:
                self.log("order_passed_over", order=bad.text.decode(), accepted=answer.accepted, of=size)
            return 0.0
        if answer is not None and answer.error == "throttled":
            self.outbox.restore()
            return THROTTLED_S
        pause, self._again_s = self._again_s, min(2 * self._again_s, AGAIN_MOST_S)
        if answer is not None and answer.error == "invalid":
            if self.outbox.invalid():
                self.log("call_given_up", orders=size, body=outcome.body[:200].decode("utf-8", "replace"))
            return pause
        # Broken, silent, unreadable, or an error that is not known: it may have been carried out or not.
        self.outbox.unsure_calls += 1
        body = outcome.body[:120].decode("utf-8", "replace")
        self.log("call_unsure", how=outcome.how, status=outcome.status, orders=size, body=body)
        if outcome.how != "unreachable" and self.outbox.tells:
            self._looks = 0
            self.reactor.callLater(pause, self._look)
            return None
        self.outbox.unsure(now, carried=outcome.how != "unreachable")
        return pause

    def _look(self) -> None:
        Look(self.reactor, self.address, self._looked)

    def _looked(self, tables: Tables | None) -> None:
        now = self.reactor.seconds()
        if tables is not None:
            self.log("call_settled", carried=self.outbox.seen(now, tables))
            self._go_on(now, 0.0)
            return
        pause, self._again_s = self._again_s, min(2 * self._again_s, AGAIN_MOST_S)
        self._looks += 1
        if self._looks < LOOKS_MOST:
            self.reactor.callLater(pause, self._look)
        else:
            self.outbox.unsure(now, carried=True)
            self._go_on(now, pause)

"""Probes: one kept connection to each task. When to probe is the module's; no probe is made again here."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from puffintide.platform.config import Address
from puffintide.platform.http_exchange import Exchange, Unreadable
from puffintide.platform.identifiers import (
    ANSWERED,
    BROKEN_OFF,
    ERROR,
    TIMED_OUT,
    UNREACHABLE,
    parse_text_report,
    probe_end,
)

# A task that is well answers in tens of milliseconds; the module asks again after twice this.
TIMEOUT_S = 0.4
BODY_MOST = 16 * 1024
Done = Callable[[int, float, dict[str, float]], None]  # status, how long it took, load report


class _Link(Protocol):
    transport: Any

    def __init__(self, owner: Prober) -> None:
        self.owner = owner
        self.exchange = Exchange(f"{owner.address[0]}:{owner.address[1]}", BODY_MOST)
        self.body: list[bytes] = []
        self.open = self.ended = False
        self.asked = 0  # requests made, and whether anything of the answer to the last has come
        self.heard = False
        factory = ClientFactory.forProtocol(lambda: self)
        factory.noisy = False
        factory.clientConnectionFailed = lambda *_: self._lost(UNREACHABLE)  # type: ignore[attr-defined]
        owner.reactor.connectTCP(*owner.address, factory, timeout=TIMEOUT_S + 1)

    def ask(self) -> None:
        self.body, self.heard = [], False
        self.asked += 1
        self.transport.write(self.exchange.ask("GET", self.owner.target))

    def connectionMade(self) -> None:
        if self.ended:
            self.transport.abortConnection()
            return
        self.open = True
        self.transport.setTcpNoDelay(True)
        self.ask()

    def dataReceived(self, data: bytes) -> None:
        if self.ended:
            return
        if self.exchange.done:  # nothing was asked: what comes next could not be told from this
            self.drop()
            return
        self.heard = True
        try:
            self.body += self.exchange.receive(data)
        except Unreadable:
            self.drop()
            self.owner.end(ERROR)
            return
        if self.exchange.done:
            status, body, reusable = self.exchange.status, b"".join(self.body), self.exchange.reusable
            if not reusable:
                self.drop()
            self.owner.answered(status or 0, body)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._lost(BROKEN_OFF)

    def drop(self) -> None:
        self.ended = True
        if self.transport is not None:
            self.transport.abortConnection()
        if self.owner.link is self:
            self.owner.link = None

    def _lost(self, status: int) -> None:
        if not self.ended:
            self.ended = True
            if self.owner.link is self:
                self.owner.link = None
            if status == BROKEN_OFF and self.asked > 1 and not self.heard:
                self.owner.dial()
            else:
                self.owner.end(status)


class Prober:
    """At most one probe under way for a task."""

    def __init__(self, reactor: Any, address: Address, target: str, done: Done) -> None:
        self.reactor, self.address, self.target, self.done = reactor, address, target, done
        self.link: _Link | None = None
        self.since: float | None = None
        self._timer: Any = None

    def probe(self) -> None:
        if self.since is not None:
            return
        self.since = self.reactor.seconds()
        self._timer = self.reactor.callLater(TIMEOUT_S, self._late)
        if self.link is None:
            self.link = _Link(self)
        else:
            self.link.ask()

    def dial(self) -> None:
        """A kept connection was closed on us before it was used: tells nothing of the task. The same probe, within
        the same time, goes by a new one.
        """
        if self.since is not None:
            self.link = _Link(self)

    def answered(self, status: int, body: bytes) -> None:
        end = probe_end(status, self.took(), TIMEOUT_S)
        self.end(end, parse_text_report(body.decode("ascii", "replace")) if end == ANSWERED else None)

    def took(self) -> float:
        return 0.0 if self.since is None else float(self.reactor.seconds() - self.since)

    def _late(self) -> None:
        link = self.link
        status = TIMED_OUT if link is not None and link.open else UNREACHABLE
        if link is not None:
            link.drop()
        self.end(status)

    def end(self, status: int, report: dict[str, float] | None = None) -> None:
        if self.since is None:
            return  # a kept connection ended, or an answer nobody waits for
        took, self.since = self.took(), None
        if self._timer.active():
            self._timer.cancel()
        self.done(status, took, report or {})

    def stop(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.since = None
        if self.link is not None:
            self.link.drop()

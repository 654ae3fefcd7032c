"""One request on a connection of its own, with an end to every wait."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from puffintide.platform.config import Address
from puffintide.platform.http_exchange import Exchange, Unreadable

GRACE_S = (
    0.01  # before a wait ends, what has come in meanwhile is read: this process may have been late itself
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """how: answer, unreachable, broken, silent or unreadable."""

    how: str
    status: int = 0
    body: bytes = b""


class Request(Protocol):
    """Calls done(Outcome) once, whatever happens."""

    transport: Any

    def __init__(
        self,
        reactor: Any,
        address: Address,
        request: tuple[str, str, bytes | None],
        done: Callable[[Outcome], None],
        connect_s: float,
        answer_s: float,
        body_most: int,
    ) -> None:
        self.reactor, self.request, self.done = reactor, request, done
        self.answer_s = answer_s
        self.exchange = Exchange(f"{address[0]}:{address[1]}", body_most)
        self.body: list[bytes] = []
        self.ended = False
        self.timer: Any = None
        factory = ClientFactory.forProtocol(lambda: self)
        factory.noisy = False
        factory.clientConnectionFailed = lambda *_: self._end("unreachable")  # type: ignore[attr-defined]
        self.connector = reactor.connectTCP(*address, factory, timeout=connect_s)

    def connectionMade(self) -> None:
        if self.ended:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.exchange.ask(*self.request))
        self.timer = self.reactor.callLater(self.answer_s, self._late)

    def _late(self) -> None:
        self.timer = self.reactor.callLater(GRACE_S, self._end, "silent")

    def dataReceived(self, data: bytes) -> None:
        if self.ended:
            return
        try:
            self.body += self.exchange.receive(data)
        except Unreadable:
            self._end("unreadable")
            return
        if self.exchange.done:
            self._end("answer")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.ended:
            return
        with suppress(Unreadable):  # an answer without a length ends with its connection
            self.body += self.exchange.receive(b"")
        self._end("answer" if self.exchange.done else "broken")

    def cancel(self) -> None:
        self.ended = True
        self._hang_up()

    def _hang_up(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.transport is not None:
            self.transport.abortConnection()

    def _end(self, how: str) -> None:
        if self.ended:
            return
        self.ended = True
        self._hang_up()
        self.done(Outcome(how, self.exchange.status or 0, b"".join(self.body)))

"""A snapshot of what stands at the relay: a watch that is read to the end of what it starts with, and closed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from puffintide.platform import messages as m
from puffintide.platform.config import Address
from puffintide.platform.http_exchange import Exchange, Unreadable
from puffintide.platform.line_buffer import Lines, TooLong
from puffintide.platform.relay_state import Standing, Tables
from puffintide.platform.watch_stream import LINE_MOST

CONNECT_S = 0.5
QUIET_S = 0.06  # after so long without a line what stands has most likely been told
MOST_S = 0.6


class SnapshotRead(Protocol):
    """Calls done(tables in charge, whether a sign of life ended them); done(None, False) if none could be had."""

    transport: Any

    def __init__(self, reactor: Any, address: Address, done: Callable[[Tables | None, bool], None]) -> None:
        self.reactor, self.done = reactor, done
        self.exchange = Exchange(f"{address[0]}:{address[1]}", 0)
        self.lines, self.standing = Lines(LINE_MOST), Standing()
        self.standing.opened()
        self.ended = False
        self.quiet: Any = None
        self.most = reactor.callLater(MOST_S, self._end, None)
        factory = ClientFactory.forProtocol(lambda: self)
        factory.noisy = False
        factory.clientConnectionFailed = lambda *_: self._end(None)  # type: ignore[attr-defined]
        reactor.connectTCP(*address, factory, timeout=CONNECT_S)

    def connectionMade(self) -> None:
        if self.ended:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.exchange.ask("GET", "/api/watch"))

    def dataReceived(self, data: bytes) -> None:
        if self.ended:
            return
        try:
            lines = [line for piece in self.exchange.receive(data) for line in self.lines.feed(piece)]
            told = [m.read_news(line) for line in lines]
        except (Unreadable, TooLong, m.Invalid, m.Unreadable):
            self._end(None)
            return
        for news in told:
            if isinstance(news, m.Sign):
                self._end(self.standing.tables, whole=True)
                return
            self.standing.hear(news)
        if told:  # before the first line nothing has been told, however long the pause
            if self.quiet is not None and self.quiet.active():
                self.quiet.cancel()
            self.quiet = self.reactor.callLater(QUIET_S, self._end, self.standing.tables)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._end(None)

    def _end(self, tables: Tables | None, whole: bool = False) -> None:
        if self.ended:
            return
        self.ended = True
        for timer in (self.quiet, self.most):
            if timer is not None and timer.active():
                timer.cancel()
        if self.transport is not None:
            self.transport.abortConnection()
        self.done(tables, whole)

"""A watch: one answer without end, a JSON object a line; dialled again whenever it breaks or falls silent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from puffintide.platform.config import Address
from puffintide.platform.http_exchange import Exchange, Unreadable
from puffintide.platform.line_buffer import Lines, TooLong

CONNECT_S = 1.0  # a connection that can be had at all stands well within
CHECK_S = 0.5
REDIAL_S, REDIAL_MOST_S = 0.05, 1.0
LINE_MOST = 8 << 20  # a whole list of a large site


class _Stream(Protocol):
    transport: Any

    def __init__(self, owner: Watch, address: Address) -> None:
        self.owner = owner
        self.exchange = Exchange(f"{address[0]}:{address[1]}", 0)
        self.lines = Lines(LINE_MOST)
        self.ended = False
        self.quiet = 0  # checks since anything came
        self.why = ""
        factory = ClientFactory.forProtocol(lambda: self)
        factory.noisy = False
        factory.clientConnectionFailed = lambda *_: self.lost("unreachable")  # type: ignore[attr-defined]
        owner.reactor.connectTCP(*address, factory, timeout=CONNECT_S)

    def connectionMade(self) -> None:
        if self.ended:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.exchange.ask("GET", self.owner.target()))

    def dataReceived(self, data: bytes) -> None:
        if self.ended:
            return
        self.quiet = 0
        try:
            pieces = self.exchange.receive(data)
            if self.exchange.status not in (None, 200):
                raise Unreadable(f"status {self.exchange.status}")
            for piece in pieces:
                for line in self.lines.feed(piece):
                    if not self.ended:
                        self.owner.heard(self, line)
        except (Unreadable, TooLong) as error:
            self.drop(str(error))
            return
        if self.exchange.done:
            self.drop("ended")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost("broken")

    def drop(self, why: str) -> None:
        """Ends it from this side."""
        if self.transport is not None:
            self.transport.abortConnection()
        self.lost(why)

    def lost(self, why: str) -> None:
        if not self.ended:
            self.ended, self.why = True, why
            self.owner.ended(self)


class Watch:
    """Keeps one stream standing. It stands once its first line has come: on a move the old one is read until then.

    line(bytes) raises Unreadable where the stream is of no further use: what it told is lost, and dialled for anew.
    silent_s: after so long without a byte a stream is dead. Counted in checks, so that a pause of this process
    itself does not make it look so.
    """

    def __init__(
        self,
        reactor: Any,
        address: Address,
        target: Callable[[], str],
        opened: Callable[[], None],
        line: Callable[[bytes], None],
        lost: Callable[[str], None],
        silent_s: float,
    ) -> None:
        self.reactor, self.address, self.target = reactor, address, target
        self._opened, self._line, self._lost = opened, line, lost
        self._checks = max(2, round(silent_s / CHECK_S))
        self.up: _Stream | None = None
        self._next: _Stream | None = None
        self._redial_s = REDIAL_S
        self._redial: Any = None
        self._stopped = False
        self.reason = ""

    def start(self) -> None:
        self._dial()
        self._check()

    def move(self, address: Address) -> None:
        if address == self.address:
            return
        self.address = address
        self._redial_s = REDIAL_S
        old, self._next = self._next, None
        if old is not None:
            old.drop("moved")
        self._dial()

    def stop(self) -> None:
        self._stopped = True
        for stream in (self._next, self.up):
            if stream is not None:
                stream.drop("stopped")

    def _dial(self) -> None:
        if self._redial is not None and self._redial.active():
            self._redial.cancel()
        if not self._stopped and self._next is None:
            self._next = _Stream(self, self.address)

    def _check(self) -> None:
        if self._stopped:
            return
        for stream in (self.up, self._next):
            if stream is not None:
                stream.quiet += 1
                if stream.quiet > self._checks:
                    stream.drop("silent")
        self.reactor.callLater(CHECK_S, self._check)

    def heard(self, stream: _Stream, line: bytes) -> None:
        if stream is self._next:
            old, self.up, self._next = self.up, stream, None
            if old is not None:
                old.drop("moved")
            self._opened()
        if stream is self.up:
            self._line(line)
            self._redial_s = REDIAL_S

    def ended(self, stream: _Stream) -> None:
        if stream is self.up:
            self.up = None
            if not self._stopped:
                self._lost(stream.why)
        elif stream is self._next:
            self._next = None
            self.reason = stream.why
        else:
            return
        if self._next is None and not self._stopped and (self._redial is None or not self._redial.active()):
            self._redial = self.reactor.callLater(self._redial_s, self._dial)
            self._redial_s = min(2 * self._redial_s, REDIAL_MOST_S)

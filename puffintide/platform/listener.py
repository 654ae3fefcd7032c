"""Who connects to the assigner's address: collectors, those who ask for a sign of life, and strangers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from puffintide.platform import messages as m
from puffintide.platform.line_buffer import Lines, TooLong

LINE_MOST = 1 << 20
STRANGER_LINE_MOST = 4096  # nothing that is due before joining is longer
JOIN_S = 1.5  # who has not joined by then is closed; the platform grants 1 s and asks for 3 s at most
SWEEP_S = 0.25
LINGER_S = 0.5  # a refused connection that has not closed by then is cut
COLLECTORS_MOST = 32  # of which the longest silent is cut, as dead ones give no sign
DEAD_S = 3.0  # unless all were heard so lately: then the newest is, so that none that reports is displaced
# Connections taken in one turn of the reactor, which by itself takes ever more of them in a flood: those that are
# cut to make room close a turn later. It adds 20 to what is set here before that is set again.
ACCEPTS = 20
REFUSED = b'{"msg":"refused"}\n'


class Peer(Protocol):
    transport: Any

    def __init__(self, owner: Listener) -> None:
        self.owner = owner
        self.lines = Lines(STRANGER_LINE_MOST)
        self.since = self.heard = owner.reactor.seconds()
        self.zone: str | None = None  # once joined
        self.closing: float | None = None
        self.asked = 0  # signs of life that wait until this assigner can serve

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.owner.came(self)

    # A producer only to be told that output waits unread.
    def pauseProducing(self) -> None:
        self.transport.abortConnection()

    def resumeProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass

    def dataReceived(self, data: bytes) -> None:
        if self.closing is not None:
            return
        self.heard = self.owner.reactor.seconds()
        try:
            lines = self.lines.feed(data)
        except TooLong as error:
            self.refuse(str(error))
            return
        for line in lines:
            if self.closing is None:
                self._line(line)

    def _line(self, line: bytes) -> None:
        if not line.strip():
            return
        try:
            message = m.read_line(line)
        except m.Invalid as error:
            if self.zone is None:
                self.refuse(str(error))
            else:
                self.owner.spoilt(str(error))
            return
        except m.Unreadable as error:
            self.refuse(str(error))
            return
        match message:
            case m.Ping():
                self.asked += 1
                if self.owner.ready:
                    self.pong()
            case m.Collector(az) if az not in self.owner.zones:
                self.refuse(f"zone {az[:40]!r} is not in the settings")
            case m.Collector(az):
                if self.zone is None:
                    self.zone = az
                    self.lines.most = LINE_MOST
                    self.owner.joined(self)
            case _ if self.zone is None:
                self.refuse(f"a {type(message).__name__} before joining")
            case _:
                self.owner.report(message)

    def pong(self) -> None:
        self.transport.write(m.PONG * self.asked)
        self.asked = 0

    def refuse(self, why: str) -> None:
        if self.closing is None:
            self.owner.refused(why)
            self.close(REFUSED if self.zone is None else b"")

    def close(self, last: bytes = b"") -> None:
        self.closing = self.owner.reactor.seconds()
        if last:
            self.transport.write(last)
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.owner.went(self)


class Listener(Factory):
    """strangers_most: connections that have not joined; beyond it the oldest is cut."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        zones: Any,
        report: Callable[[m.Line], None],
        log: Callable[..., None],
        strangers_most: int,
    ) -> None:
        self.reactor, self.zones, self._report, self.log = reactor, zones, report, log
        self.strangers_most = strangers_most
        self.ready = False
        self.port: Any = None
        self.strangers: dict[Peer, None] = {}  # oldest first
        self.collectors: dict[Peer, None] = {}
        self.counts = {"came": 0, "refused": 0, "spoilt": 0, "reports": 0, "closed": 0}

    def buildProtocol(self, addr: Any) -> Peer:
        return Peer(self)

    def start(self, port: Any) -> None:
        self.port = port
        self._sweep()

    def serve(self) -> None:
        """From now on signs of life are given."""
        self.ready = True
        for peer in [*self.strangers, *self.collectors]:
            if peer.asked:
                peer.pong()

    def stop(self) -> None:
        """No further sign of life, and no report is taken."""
        self.ready = False
        for peer in [*self.strangers, *self.collectors]:
            peer.transport.abortConnection()

    def came(self, peer: Peer) -> None:
        self.counts["came"] += 1
        self.port.numberAccepts = ACCEPTS
        self.strangers[peer] = None
        if len(self.strangers) > self.strangers_most:
            self.counts["closed"] += 1
            oldest = next(iter(self.strangers))
            del self.strangers[oldest]  # at once: it ends a turn later, and the next to come cuts another
            oldest.transport.abortConnection()

    def joined(self, peer: Peer) -> None:
        self.strangers.pop(peer, None)
        self.collectors[peer] = None
        self.log("collector_joined", zone=peer.zone)
        if len(self.collectors) > COLLECTORS_MOST:
            oldest = min(self.collectors, key=lambda p: p.heard)
            dead = self.reactor.seconds() - oldest.heard > DEAD_S
            (oldest if dead else peer).transport.abortConnection()

    def went(self, peer: Peer) -> None:
        self.strangers.pop(peer, None)
        self.collectors.pop(peer, None)
        if peer.zone is not None:
            self.log("collector_left", zone=peer.zone)

    def report(self, message: m.Line) -> None:
        self.counts["reports"] += 1
        self._report(message)

    def spoilt(self, why: str) -> None:
        self.counts["spoilt"] += 1
        self.log("spoilt", reason=why[:200])

    def refused(self, why: str) -> None:
        self.counts["refused"] += 1
        self.log("refused", reason=why[:200])

    def _sweep(self) -> None:
        now = self.reactor.seconds()
        self.reactor.callLater(SWEEP_S, self._sweep)
        for peer in [*self.strangers, *self.collectors]:
            if peer.closing is not None:
                if now - peer.closing > LINGER_S:
                    peer.transport.abortConnection()
            elif peer.zone is None and now - peer.since > JOIN_S:
                self.counts["closed"] += 1
                peer.close()

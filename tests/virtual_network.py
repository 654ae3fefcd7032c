"""Processes of one machine on a virtual clock, and connections between them in memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

START = 1000.0
WINDOW_BYTES = 64 << 10  # in flight to a reader before its writer is asked to pause
CONNECT_DELAY_S = 0.0002


def _failure(kind: Any) -> Any:
    made: Any = Failure  # both untyped in Twisted
    return made(kind())


class Reactor(Clock):
    """The clock and the listening ports of the machine."""

    def __init__(self) -> None:
        super().__init__()
        self.rightNow = START
        self.ports: dict[int, tuple[Any, Party]] = {}

    def until(self, when: float) -> None:
        while self.calls and self.calls[0].getTime() <= when:
            self.advance(max(0.0, self.calls[0].getTime() - self.rightNow))
        self.rightNow = max(self.rightNow, when)


class ProcessTimer:
    """A timer of a process; one that is due while the process is suspended may still be cancelled."""

    def __init__(self, party: Party, delay: float, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.party, self.call, self.args, self.open = party, call, args, True
        self.due: Any = party.net.callLater(delay, party.run, self._go)

    def _go(self) -> None:
        if self.open:
            self.open = False
            self.call(*self.args)

    def active(self) -> bool:
        return self.open

    def getTime(self) -> float:  # noqa: N802
        return float(self.due.getTime())

    def cancel(self) -> None:
        assert self.open
        self.open = False
        if self.due.active():
            self.due.cancel()


class Party:
    """The reactor of one process: it ends with the process, and is suspended with it."""

    def __init__(self, net: Reactor) -> None:
        self.net, self.alive, self.stopped = net, True, False
        self.backlog: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()
        self.pipes: list[MemoryTransport] = []
        self.running = True

    def seconds(self) -> float:
        return float(self.net.seconds())

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Any:
        return ProcessTimer(self, delay, call, args)

    def run(self, call: Callable[..., Any], *args: Any) -> None:
        if self.alive and self.stopped:
            self.backlog.append((call, args))
        elif self.alive:
            call(*args)

    def listenTCP(
        self,
        port: int,
        factory: Any,
        backlog: int = 50,  # noqa: ARG002
        interface: str = "",  # noqa: ARG002
    ) -> Listener:
        self.net.ports[port] = (factory, self)
        return Listener(self.net, port)

    def connectTCP(
        self,
        host: str,  # noqa: ARG002
        port: int,
        factory: Any,
        timeout: float = 30.0,  # noqa: ARG002
    ) -> Connector:
        return Connector(self, port, factory)

    def connectSSL(self, *_: Any, **_options: Any) -> Any:
        raise NotImplementedError("connections in memory have no TLS")

    def stop(self) -> None:
        self.running = False

    def kill(self) -> None:
        self.alive = False
        self.net.ports = {p: row for p, row in self.net.ports.items() if row[1] is not self}
        for pipe in self.pipes:
            pipe.abortConnection()

    def wake(self) -> None:
        self.stopped = False
        while self.backlog and self.alive and not self.stopped:
            call, args = self.backlog.popleft()
            call(*args)


class Listener:
    def __init__(self, net: Reactor, port: int) -> None:
        self.net, self.port = net, port

    def stopListening(self) -> None:
        self.net.ports.pop(self.port, None)


class Connector:
    def __init__(self, party: Party, port: int, factory: Any) -> None:
        self.party, self.port, self.factory = party, port, factory
        self.pipe: MemoryTransport | None = None
        self.call: Any = party.callLater(CONNECT_DELAY_S, self._connect)

    def _connect(self) -> None:
        factory, other = self.party.net.ports.get(self.port, (None, None))
        if factory is None or other is None:
            self.factory.clientConnectionFailed(self, _failure(ConnectionRefusedError))
            return
        near, far = MemoryTransport(self.party), MemoryTransport(other)
        near.peer, far.peer, self.pipe = far, near, near
        far.accept(factory)
        near.made(self.factory.buildProtocol(None))

    def disconnect(self) -> None:
        if self.pipe is not None:
            self.pipe.loseConnection()
        elif self.call.active():
            self.call.cancel()


class MemoryTransport:
    """One end of a connection in memory, as a transport."""

    def __init__(self, party: Party) -> None:
        self.party = party
        party.pipes.append(self)
        self.peer: Any = None
        self.protocol: Any = None
        self.inbox: deque[bytes | None] = deque()
        self.size = 0
        self.reading, self.gone, self.held_back = True, False, False
        self.disconnecting = False
        self.producer: Any = None

    def accept(self, factory: Any) -> None:
        self.party.run(lambda: self.made(factory.buildProtocol(None)))

    def made(self, protocol: Any) -> None:
        self.protocol = protocol
        protocol.makeConnection(self)
        self._pump()

    def write(self, data: bytes) -> None:
        if self.gone or self.peer.gone:
            return
        self.peer.inbox.append(data)
        self.peer.size += len(data)
        if self.peer.size > WINDOW_BYTES and self.producer is not None and not self.held_back:
            self.held_back = True
            self.producer.pauseProducing()
        self.peer.party.callLater(0.0, self.peer._pump)

    def _pump(self) -> None:
        while self.inbox and self.reading and self.protocol is not None and not self.gone:
            data = self.inbox.popleft()
            if data is None:
                self._lost()
                return
            self.size -= len(data)
            self.protocol.dataReceived(data)
        if self.peer.held_back and self.size <= WINDOW_BYTES:
            self.peer.held_back = False
            self.peer.party.callLater(0.0, self.peer._drained)

    def _drained(self) -> None:
        if self.producer is not None and not self.gone:
            self.producer.resumeProducing()

    def _lost(self) -> None:
        if not self.gone:
            self.gone = True
            self.party.pipes.remove(self)
            if self.protocol is not None:
                self.protocol.connectionLost(_failure(ConnectionDone))

    def loseConnection(self) -> None:
        self.disconnecting = True
        if not self.gone and not self.peer.gone:
            self.peer.inbox.append(None)
            self.peer.party.callLater(0.0, self.peer._pump)
        self.party.callLater(0.0, self._lost)

    def abortConnection(self) -> None:
        self.peer.inbox.clear()
        self.peer.party.callLater(0.0, self.peer._lost)
        self.party.callLater(0.0, self._lost)

    def registerProducer(self, producer: Any, _streaming: bool) -> None:
        self.producer = producer

    def unregisterProducer(self) -> None:
        self.producer = None

    def pauseProducing(self) -> None:
        self.reading = False

    def resumeProducing(self) -> None:
        self.reading = True
        self.party.callLater(0.0, self._pump)

    def setTcpNoDelay(self, _on: bool) -> None:
        pass

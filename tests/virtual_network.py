"""Processes of one machine on a virtual clock, and connections between them in memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

START = 1000.0
WINDOW_BYTES = 64 << 10  # Bytes in flight to a reader above which its writer is paused.
CONNECT_DELAY_S = 0.0002


def _failure(error_type: Any) -> Any:
    failure_type: Any = Failure  # Failure and the errors are untyped in Twisted.
    return failure_type(error_type())


class VirtualNetwork(Clock):
    """The clock and the listening ports of the machine."""

    def __init__(self) -> None:
        super().__init__()
        self.rightNow = START
        self.ports: dict[int, tuple[Any, ProcessReactor]] = {}

    def run_until(self, end: float) -> None:
        while self.calls and self.calls[0].getTime() <= end:
            self.advance(max(0.0, self.calls[0].getTime() - self.rightNow))
        self.rightNow = max(self.rightNow, end)


class ProcessTimer:
    """A timer of a process, which can still be cancelled after it is due while the process is suspended."""

    def __init__(
        self, reactor: ProcessReactor, delay: float, call: Callable[..., Any], args: tuple[Any, ...]
    ) -> None:
        self.reactor, self.call, self.args, self.pending = reactor, call, args, True
        self.timer: Any = reactor.network.callLater(delay, reactor.run, self._fire)

    def _fire(self) -> None:
        if self.pending:
            self.pending = False
            self.call(*self.args)

    def active(self) -> bool:
        return self.pending

    def getTime(self) -> float:  # noqa: N802
        return float(self.timer.getTime())

    def cancel(self) -> None:
        assert self.pending
        self.pending = False
        if self.timer.active():
            self.timer.cancel()


class ProcessReactor:
    """The reactor of one process, which can be killed and suspended as the process can."""

    def __init__(self, network: VirtualNetwork) -> None:
        self.network, self.alive, self.suspended = network, True, False
        self.backlog: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()
        self.transports: list[MemoryTransport] = []
        self.running = True

    def seconds(self) -> float:
        return float(self.network.seconds())

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Any:
        return ProcessTimer(self, delay, call, args)

    def run(self, call: Callable[..., Any], *args: Any) -> None:
        if self.alive and self.suspended:
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
        self.network.ports[port] = (factory, self)
        return Listener(self.network, port)

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
        self.network.ports = {port: row for port, row in self.network.ports.items() if row[1] is not self}
        for transport in self.transports:
            transport.abortConnection()

    def resume(self) -> None:
        self.suspended = False
        while self.backlog and self.alive and not self.suspended:
            call, args = self.backlog.popleft()
            call(*args)


class Listener:
    def __init__(self, network: VirtualNetwork, port: int) -> None:
        self.network, self.port = network, port

    def stopListening(self) -> None:
        self.network.ports.pop(self.port, None)


class Connector:
    def __init__(self, reactor: ProcessReactor, port: int, factory: Any) -> None:
        self.reactor, self.port, self.factory = reactor, port, factory
        self.transport: MemoryTransport | None = None
        self.connect_call: Any = reactor.callLater(CONNECT_DELAY_S, self._connect)

    def _connect(self) -> None:
        factory, peer_reactor = self.reactor.network.ports.get(self.port, (None, None))
        if factory is None or peer_reactor is None:
            self.factory.clientConnectionFailed(self, _failure(ConnectionRefusedError))
            return
        local, remote = MemoryTransport(self.reactor), MemoryTransport(peer_reactor)
        local.peer, remote.peer, self.transport = remote, local, local
        remote.accept(factory)
        local.connected(self.factory.buildProtocol(None))

    def disconnect(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()
        elif self.connect_call.active():
            self.connect_call.cancel()


class MemoryTransport:
    """The transport at one end of a connection in memory."""

    def __init__(self, reactor: ProcessReactor) -> None:
        self.reactor = reactor
        reactor.transports.append(self)
        self.peer: MemoryTransport = self  # Replaced when it is connected.
        self.protocol: Any = None
        self.received: deque[bytes | None] = deque()
        self.received_bytes = 0
        self.reading, self.closed, self.producer_paused = True, False, False
        self.disconnecting = False
        self.producer: Any = None

    def accept(self, factory: Any) -> None:
        self.reactor.run(lambda: self.connected(factory.buildProtocol(None)))

    def connected(self, protocol: Any) -> None:
        self.protocol = protocol
        protocol.makeConnection(self)
        self._deliver()

    def write(self, data: bytes) -> None:
        if self.closed or self.peer.closed:
            return
        self.peer.received.append(data)
        self.peer.received_bytes += len(data)
        if self.peer.received_bytes > WINDOW_BYTES and self.producer is not None and not self.producer_paused:
            self.producer_paused = True
            self.producer.pauseProducing()
        self.peer.reactor.callLater(0.0, self.peer._deliver)

    def _deliver(self) -> None:
        while self.received and self.reading and self.protocol is not None and not self.closed:
            data = self.received.popleft()
            if data is None:
                self._close()
                return
            self.received_bytes -= len(data)
            self.protocol.dataReceived(data)
        if self.peer.producer_paused and self.received_bytes <= WINDOW_BYTES:
            self.peer.producer_paused = False
            self.peer.reactor.callLater(0.0, self.peer._resume_producer)

    def _resume_producer(self) -> None:
        if self.producer is not None and not self.closed:
            self.producer.resumeProducing()

    def _close(self) -> None:
        if not self.closed:
            self.closed = True
            self.reactor.transports.remove(self)
            if self.protocol is not None:
                self.protocol.connectionLost(_failure(ConnectionDone))

    def loseConnection(self) -> None:
        self.disconnecting = True
        if not self.closed and not self.peer.closed:
            self.peer.received.append(None)
            self.peer.reactor.callLater(0.0, self.peer._deliver)
        self.reactor.callLater(0.0, self._close)

    def abortConnection(self) -> None:
        self.peer.received.clear()
        self.peer.reactor.callLater(0.0, self.peer._close)
        self.reactor.callLater(0.0, self._close)

    def registerProducer(self, producer: Any, _streaming: bool) -> None:
        self.producer = producer

    def unregisterProducer(self) -> None:
        self.producer = None

    def pauseProducing(self) -> None:
        self.reading = False

    def resumeProducing(self) -> None:
        self.reading = True
        self.reactor.callLater(0.0, self._deliver)

    def setTcpNoDelay(self, _on: bool) -> None:
        pass

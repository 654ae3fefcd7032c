"""The recording proxy: forwards lines between the parties, records each one and applies link faults."""

from __future__ import annotations

import json
import random
from collections.abc import Mapping
from typing import Any, BinaryIO

from puffintide.scenarios.link_faults import (
    TO_INITIATOR,
    TO_TARGET,
    Cut,
    Initiator,
    Link,
    LinkFault,
    crosses_zones,
)
from puffintide.scenarios.record_writer import RecordWriter
from puffintide.scenarios.relayed_connection import (
    DIRECTIONS,
    InitiatorSideFactory,
    RelayedConnection,
    Side,
    TargetSideFactory,
)

MAX_QUEUED_BYTES = 8 << 20  # Maximum size of the queue in one direction of a connection.
CONNECT_TIMEOUT_S = 2.0
LISTEN_BACKLOG = 2000
HEARTBEATS = (b'{"t":"ping"', b'{"t":"pong"')
USAGE_REPORT = b'{"t":"sums"'


class RecordingProxy:
    """Forwards and records the lines on all links of a scenario.

    Args:
        reactor: The reactor that provides the clock, timers and connections.
        links: The links on which the proxy listens.
        latencies_s: The latencies in section [net] of the configuration, in seconds by key.
        seed: The random seed of latencies and losses.
        sink: The file to which records are written.
    """

    def __init__(
        self, reactor: Any, links: list[Link], latencies_s: Mapping[str, float], seed: int, sink: BinaryIO
    ) -> None:
        self.reactor = reactor
        self.links = links
        self.latencies_s = latencies_s
        self.faults: dict[str, LinkFault] = {}  # Active faults by name.
        self.connections: dict[int, RelayedConnection] = {}  # Open connections by number.
        self._random = random.Random(f"tap:{seed}")
        self._records = RecordWriter(sink, reactor.seconds)
        self._last_connection = 0

    def listen(self) -> None:
        """Accept connections on all links."""
        for link in self.links:
            factory = InitiatorSideFactory(self, link)
            self.reactor.listenTCP(link.port, factory, LISTEN_BACKLOG, "127.0.0.1")

    def close(self) -> None:
        """Close all connections and complete the records."""
        for connection in list(self.connections.values()):
            self.close_connection(connection, connection.sides[0])
        self._records.close()

    # Lines ---------------------------------------------------------------------------------------

    def receive(self, connection: RelayedConnection, direction: int, line: bytes) -> None:
        """Forward a line of one side, immediately or after a delay, unless a fault loses it."""
        if line.startswith(HEARTBEATS):
            self._enqueue(connection, direction, line, 0.0)
            return
        if not connection.initiator.role and direction == TO_TARGET:
            connection.initiator = _parse_hello(line)
        delay_s = self._latency_s(connection, direction, line)
        lost = False
        reordered = False
        copies = 1
        for _, fault in sorted(self.faults.items()):
            if fault.affects(connection.link, connection.initiator, direction, line):
                delay_s += fault.delay_s * (self._random.random() if fault.reorders else 1.0)
                reordered |= fault.reorders
                copies += self._random.random() < fault.duplicate_fraction
                lost |= self._is_lost(fault)
        if lost:
            self._records.write(connection, direction, self.reactor.seconds(), line, lost=True)
            return
        # Usage reports are delayed separately so that they delay no heartbeat or response on the same stream.
        separately = delay_s > 0 and (reordered or line.startswith(USAGE_REPORT))
        for _ in range(copies):
            if separately:
                self._forward_separately(connection, direction, line, delay_s)
            else:
                self._enqueue(connection, direction, line, delay_s)

    def _is_lost(self, fault: LinkFault) -> bool:
        if fault.cut:
            return True
        return fault.loss_fraction > 0 and self._random.random() < fault.loss_fraction

    def _latency_s(self, connection: RelayedConnection, direction: int, line: bytes) -> float:
        link_type = connection.link.kind
        if link_type == "order":
            if line.startswith(USAGE_REPORT):
                return self._jittered(self.latencies_s["report_late_s"])
            return self._jittered(self.latencies_s["order_late_s"] if direction == TO_INITIATOR else 0.0)
        if link_type in ("store", "list"):
            return self._jittered(self.latencies_s["list_late_s"]) if direction == TO_INITIATOR else 0.0
        crossing = crosses_zones(connection.link, connection.initiator)
        return self.latencies_s["cross_s"] if crossing else self.latencies_s["same_s"]

    def _jittered(self, mean_s: float) -> float:
        return mean_s * (0.5 + self._random.random())

    def _enqueue(self, connection: RelayedConnection, direction: int, line: bytes, delay_s: float) -> None:
        """Forward a line after its delay and after all lines queued before it."""
        now_s = self.reactor.seconds()
        queue = connection.queues[direction]
        forward_at_s = max(now_s + delay_s, queue[-1][0] if queue else 0.0)
        if forward_at_s <= now_s and not queue and connection.sides[1 - direction] is not None:
            self._forward(connection, direction, now_s, line)
            return
        connection.queued_bytes[direction] += len(line)
        if connection.queued_bytes[direction] > MAX_QUEUED_BYTES:
            self.close_connection(connection, None)
            return
        queue.append((forward_at_s, now_s, line))
        self.schedule(connection, direction)

    def schedule(self, connection: RelayedConnection, direction: int) -> None:
        """Schedule the next line of a queue if its receiver is connected and no timer is set."""
        queue = connection.queues[direction]
        has_timer = connection.timers[direction] is not None
        if queue and not has_timer and connection.sides[1 - direction] is not None:
            wait_s = max(0.0, queue[0][0] - self.reactor.seconds())
            connection.timers[direction] = self.reactor.callLater(
                wait_s, self._forward_due, connection, direction
            )

    def _forward_due(self, connection: RelayedConnection, direction: int) -> None:
        connection.timers[direction] = None
        queue = connection.queues[direction]
        now_s = self.reactor.seconds()
        while queue and queue[0][0] <= now_s:
            _, received_at_s, line = queue.popleft()
            connection.queued_bytes[direction] -= len(line)
            self._forward(connection, direction, received_at_s, line)
        self.schedule(connection, direction)

    def _forward_separately(
        self, connection: RelayedConnection, direction: int, line: bytes, delay_s: float
    ) -> None:
        """Forward a line after a delay, independently of the queue."""
        connection.queued_bytes[direction] += len(line)
        received_at_s = self.reactor.seconds()
        self.reactor.callLater(delay_s, self._forward_delayed, connection, direction, received_at_s, line)

    def _forward_delayed(
        self, connection: RelayedConnection, direction: int, received_at_s: float, line: bytes
    ) -> None:
        connection.queued_bytes[direction] -= len(line)
        if connection.closed:
            self._records.write(connection, direction, received_at_s, line, lost=True)
        else:
            self._forward(connection, direction, received_at_s, line)

    def _forward(
        self, connection: RelayedConnection, direction: int, received_at_s: float, line: bytes
    ) -> None:
        receiver = connection.sides[1 - direction]
        if receiver is not None:
            receiver.transport.write(line + b"\n")
        if not line.startswith(HEARTBEATS):
            self._records.write(connection, direction, received_at_s, line, lost=False)

    # Connections ---------------------------------------------------------------------------------

    def open_connection(self, link: Link, initiator_side: Side) -> RelayedConnection:
        """Connect to the target of a link for a party that has connected to the proxy."""
        self._last_connection += 1
        connection = RelayedConnection(self._last_connection, link)
        self.connections[connection.number] = connection
        connection.sides[0] = initiator_side
        host, _, port = link.target.rpartition(":")
        factory = TargetSideFactory(self, connection)
        self.reactor.connectTCP(host, int(port), factory, CONNECT_TIMEOUT_S)
        return connection

    def close_connection(self, connection: RelayedConnection, closed_side: Any) -> None:
        """Close a connection, and record its queued lines as lost.

        Args:
            connection: The connection to close.
            closed_side: The side that is closed already; None if both are to be closed.
        """
        if connection.closed:
            return
        connection.closed = True
        for direction in DIRECTIONS:
            if connection.timers[direction] is not None:
                connection.timers[direction].cancel()
            for _, received_at_s, line in connection.queues[direction]:
                if not line.startswith(HEARTBEATS):
                    self._records.write(connection, direction, received_at_s, line, lost=True)
        direction = TO_TARGET if closed_side is connection.sides[0] else TO_INITIATOR
        self._records.write(connection, direction, self.reactor.seconds(), None, lost=False)
        for side in connection.sides:
            if side is not None and side is not closed_side:
                side.transport.loseConnection()
        self.connections.pop(connection.number, None)

    # Faults --------------------------------------------------------------------------------------

    def set_fault(self, name: str, fault: LinkFault) -> None:
        """Start a fault; a fault that refuses connections also closes the open connections it affects."""
        self.faults[name] = fault
        for connection in list(self.connections.values()):
            if self._is_refused_by(fault, connection):
                self.close_connection(connection, None)
            elif fault.pauses_initiator:
                self._set_reading(connection, fault, reading=False)

    def clear_fault(self, name: str) -> None:
        """End the fault with a name, if it is active."""
        fault = self.faults.pop(name, None)
        if fault is not None and fault.pauses_initiator:
            for connection in list(self.connections.values()):
                self._set_reading(connection, fault, reading=True)

    def _set_reading(self, connection: RelayedConnection, fault: LinkFault, reading: bool) -> None:
        """Pause or resume reading from the target of an affected connection.

        The target then sees an initiator that does not read.
        """
        target_side = connection.sides[1]
        affected = fault.affects(connection.link, connection.initiator, TO_INITIATOR, b"")
        if target_side is None or not affected:
            return
        if reading:
            target_side.transport.resumeProducing()
        else:
            target_side.transport.pauseProducing()

    def _is_refused_by(self, fault: LinkFault, connection: RelayedConnection) -> bool:
        if fault.cut != Cut.REFUSE:
            return False
        direction = max(TO_TARGET, fault.direction)
        return fault.affects(connection.link, connection.initiator, direction, b"")

    def is_refused(self, connection: RelayedConnection) -> bool:
        """Return whether any active fault refuses the connection."""
        return any(self._is_refused_by(fault, connection) for fault in self.faults.values())


def _parse_hello(line: bytes) -> Initiator:
    """Return the initiator that a hello message names.

    An invalid hello message gives an unknown initiator; the target rejects it.
    """
    initiator = Initiator(role="?")
    try:
        hello = json.loads(line)
        initiator.role = str(hello.get("role", "?"))
        initiator.id = int(hello.get("id", -1))
        initiator.zone = int(hello.get("zone", 0))
    except (ValueError, AttributeError, TypeError, RecursionError):
        pass
    return initiator

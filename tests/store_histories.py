"""Simulation of concurrent writers and readers of the real store service on an in-memory clock.

The simulation injects kills, pauses, and slow or full disks. `run_workload` runs a random sequence of events
from a seed, and returns the operations that the clients observed, so that their linearizability can be
checked.
"""

# mypy: disallow-untyped-calls=False
# StringTransport and related classes are untyped in Twisted.
from __future__ import annotations

import contextlib
import math
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import structlog
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from puffintide.audit.linearizability import Operation, OperationType, is_linearizable
from puffintide.protocol import messages as m
from puffintide.protocol.codec import decode, encode
from puffintide.store.engine import Commit, StoreSnapshot
from puffintide.store.errors import StoreError, StoreFullError
from puffintide.store.memory import MemoryEngine
from puffintide.store.ownership import OwnershipLedger
from puffintide.store.service import StoreService

NEVER = math.inf
TICK_S = 0.02
MIN_LATENCY_S = 0.001
MAX_LATENCY_S = 0.3
SLOW_COMMIT_PROBABILITY = 0.05
SLOW_COMMIT_S = 1.5
COMMIT_S = 0.05
REACHED_DISK_PROBABILITY = 0.5  # Chance that a commit in progress survives a kill of the store.
SETTLING_S = 2.0


class DurableEngine(MemoryEngine):
    """Keeps commits when the store is killed, and fails every commit while `full` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.full = False

    def commit(self, commit: Commit) -> None:
        if self.full:
            raise StoreFullError("no space left on the disk")
        snapshot = self.snapshot
        snapshot.revision = commit.revision
        snapshot.highest_token = commit.highest_token
        for stored in commit.slices:
            snapshot.slices[stored.slice_id] = stored
            snapshot.slice_revisions[stored.slice_id] = commit.revision

    def load(self) -> StoreSnapshot:
        return StoreSnapshot(
            self.snapshot.store_id,
            self.snapshot.revision,
            self.snapshot.highest_token,
            dict(self.snapshot.slices),
            dict(self.snapshot.slice_revisions),
            dict(self.snapshot.zone_commands),
        )


class MemoryTransport(StringTransport):
    def setTcpNoDelay(self, enabled: bool) -> None:
        pass


class Connection:
    """A client's stream to the store, which delivers messages in order after a random latency."""

    def __init__(
        self, simulation: Simulation, hello: m.Hello, on_message: Callable[[m.AnyMessage], None]
    ) -> None:
        self.simulation = simulation
        self.on_message = on_message
        self.open = True
        self.last_request_s = 0.0  # Arrival time of the last request at the store.
        self.last_reply_s = 0.0  # Arrival time of the last reply at the client.
        self.stream = simulation.factory.buildProtocol(None)
        self.transport = MemoryTransport()
        self.stream.makeConnection(self.transport)
        simulation.connections.append(self)
        self.send(hello)

    def send(self, message: m.Message) -> None:
        self.last_request_s = max(self.last_request_s, self.simulation.arrival_time_s())
        delay_s = self.last_request_s - self.simulation.clock.seconds()
        self.simulation.clock.callLater(delay_s, self._deliver_to_store, encode(message) + b"\n")

    def _deliver_to_store(self, data: bytes) -> None:
        if self.open:
            self.stream.dataReceived(data)

    def schedule_replies(self) -> None:
        """Schedule the delivery of the messages that the store has written."""
        written = self.transport.value()
        for line in written.splitlines():
            message = decode(line)
            self.last_reply_s = max(self.last_reply_s, self.simulation.arrival_time_s())
            delay_s = self.last_reply_s - self.simulation.clock.seconds()
            self.simulation.clock.callLater(delay_s, self._deliver_to_client, message)
        self.transport.clear()

    def _deliver_to_client(self, message: m.AnyMessage) -> None:
        if not self.open:
            return
        if isinstance(message, m.Ping):
            self.send(m.Pong())
        else:
            self.on_message(message)

    def close(self) -> None:
        if self.open:
            self.open = False
            reason = Failure(ConnectionError())
            self.stream.connectionLost(reason)


@dataclass(eq=False, slots=True)
class EngineCall:
    """Engine call in progress."""

    call: Callable[..., Any]
    arguments: tuple[Any, ...]


class Simulation:
    """A store and its clients. The seed determines the order of events."""

    def __init__(self, seed: int, slice_count: int = 3, assigner_count: int = 3) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.clock.advance(100.0)
        self.slice_count = slice_count
        self.assigner_count = assigner_count
        self.engine = DurableEngine()
        self.pending_calls: list[EngineCall] = []
        self.connections: list[Connection] = []
        self.history: defaultdict[int, list[Operation]] = defaultdict(list)  # Keyed by slice.
        self.granted_at_s: dict[tuple[int, int], float] = {}  # First observation of each (slice, token).
        self.last_value = 0  # Last value written.
        self.start()

    def start(self) -> None:
        snapshot = self.engine.load()
        ledger = OwnershipLedger(
            self.slice_count,
            self.assigner_count,
            1.0,
            False,
            opened_at_s=self.clock.seconds(),
            max_transfers_per_s=5,
        )
        ledger.restore(snapshot)
        log = structlog.wrap_logger(structlog.testing.CapturingLogger())
        self.service = StoreService(self.clock, ledger, "t", log, self.engine, snapshot, run=self.run)
        self.factory = self.service.factory()
        self.service.start()

    def arrival_time_s(self) -> float:
        return self.clock.seconds() + self.rng.uniform(MIN_LATENCY_S, MAX_LATENCY_S)

    def run(self, call: Callable[..., Any], *arguments: Any) -> Deferred[Any]:
        done: Deferred[Any] = Deferred()
        engine_call = EngineCall(call, arguments)
        self.pending_calls.append(engine_call)

        def finish() -> None:
            if engine_call not in self.pending_calls:  # The store was killed in the meantime.
                return
            self.pending_calls.remove(engine_call)
            try:
                done.callback(call(*arguments))
            except StoreError:
                done.errback()

        max_delay_s = SLOW_COMMIT_S if self.rng.random() < SLOW_COMMIT_PROBABILITY else COMMIT_S
        self.clock.callLater(self.rng.uniform(0.0, max_delay_s), finish)
        return done

    def kill(self) -> None:
        for engine_call in self.pending_calls:
            if self.rng.random() < REACHED_DISK_PROBABILITY:
                with contextlib.suppress(StoreError):
                    engine_call.call(*engine_call.arguments)
        self.pending_calls = []
        for connection in self.connections:
            connection.open = False
        self.connections = []
        self.service.stop()

    def observe_grant(self, ownership: m.SliceOwnership) -> None:
        grant = (ownership.slice_id, ownership.fencing_token)
        self.granted_at_s.setdefault(grant, self.clock.seconds())

    def advance_clock(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            for connection in list(self.connections):
                connection.schedule_replies()

    def finish(self) -> dict[int, list[Operation]]:
        for (slice_id, token), observed_s in self.granted_at_s.items():
            self.history[slice_id].append(Operation(OperationType.GRANT, token, 0, 0.0, observed_s))
        return dict(self.history)


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """Unacknowledged write of one slice."""

    slice_id: int
    token: int
    value: int
    sent_s: float


class Assigner:
    """Writes with the fencing tokens that it has received.

    It may be paused, and continues with its old tokens when it is resumed.
    """

    def __init__(self, simulation: Simulation, assigner_id: int) -> None:
        self.simulation = simulation
        self.assigner_id = assigner_id
        self.tokens: dict[int, int] = {}
        self.pending: dict[int, list[PendingWrite]] = {}  # Keyed by batch.
        self.batch = 0
        self.connection: Connection | None = None
        self.paused = False
        self.unread: list[m.AnyMessage] = []  # Messages received during a pause.

    def connect(self) -> None:
        hello = m.Hello(
            m.PROTOCOL_VERSION, "assigner", self.assigner_id, 0, "t", incarnation=self.assigner_id + 1
        )
        self.connection = Connection(self.simulation, hello, self.on_message)

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False
        unread, self.unread = self.unread, []
        for message in unread:
            self.on_message(message)

    def on_message(self, message: m.AnyMessage) -> None:
        if self.paused:
            self.unread.append(message)
            return
        match message:
            case m.SliceOwnerships():
                for ownership in message.ownerships:
                    if ownership.owner_id == self.assigner_id:
                        self.simulation.observe_grant(ownership)
                        self.tokens[ownership.slice_id] = ownership.fencing_token
            case m.WriteRejected(batch, slice_id, _):
                self.pending[batch] = [w for w in self.pending.get(batch, []) if w.slice_id != slice_id]
            case m.WriteAcknowledged(batch):
                for acknowledged in sorted(b for b in self.pending if b <= batch):
                    self._record(self.pending.pop(acknowledged), self.simulation.clock.seconds())

    def _record(self, writes: list[PendingWrite], answered_s: float) -> None:
        for w in writes:
            operation = Operation(OperationType.WRITE, w.token, w.value, w.sent_s, answered_s)
            self.simulation.history[w.slice_id].append(operation)

    def write(self) -> None:
        if not self.tokens or self.connection is None or not self.connection.open:
            return
        rng = self.simulation.rng
        self.batch += 1
        writes = []
        for slice_id in rng.sample(sorted(self.tokens), rng.randint(1, len(self.tokens))):
            self.simulation.last_value += 1
            writes.append(
                PendingWrite(
                    slice_id,
                    self.tokens[slice_id],
                    self.simulation.last_value,
                    self.simulation.clock.seconds(),
                )
            )
        self.pending[self.batch] = writes
        weights = [m.WeightEntry(w.slice_id, 1, float(w.value), w.token) for w in writes]
        self.connection.send(m.WriteRequest(self.batch, weights))

    def disconnect(self) -> None:
        """Close the stream. The pending writes never receive a response."""
        if self.connection is not None:
            self.connection.close()
        for writes in self.pending.values():
            self._record(writes, NEVER)
        self.pending = {}
        self.unread = []

    def reconnect(self) -> None:
        if self.connection is None or not self.connection.open:
            self.disconnect()
            self.connect()


class Reader:
    """Reads all slices, with one read in progress at a time."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.sent_s = 0.0  # Time at which the read in progress was sent, or 0.
        self.received: list[m.SliceOwnership] = []
        self.connection: Connection | None = None

    def read(self) -> None:
        if self.connection is None or not self.connection.open:
            hello = m.Hello(m.PROTOCOL_VERSION, "proxy", 0, 0, "t")
            self.connection = Connection(self.simulation, hello, self.on_message)
            self.sent_s = 0.0
        if not self.sent_s:
            self.sent_s = self.simulation.clock.seconds()
            self.received = []
            self.connection.send(m.ReadRequest())

    def on_message(self, message: m.AnyMessage) -> None:
        match message:
            case m.SliceOwnerships():
                self.received += message.ownerships
            case m.ReadComplete():
                latest = {o.slice_id: o for o in self.received if o.fencing_token}
                for ownership in latest.values():
                    self._record(ownership)
                self.sent_s = 0.0

    def _record(self, ownership: m.SliceOwnership) -> None:
        self.simulation.observe_grant(ownership)
        value = round(ownership.entries[0].weight) if ownership.entries else 0
        answered_s = self.simulation.clock.seconds()
        operation = Operation(OperationType.READ, ownership.fencing_token, value, self.sent_s, answered_s)
        self.simulation.history[ownership.slice_id].append(operation)

    def forget_connection(self) -> None:
        self.connection = None


class RandomWorkload:
    """A random sequence of client operations and faults."""

    def __init__(self, seed: int) -> None:
        self.simulation = Simulation(seed)
        self.assigners = [Assigner(self.simulation, k) for k in range(self.simulation.assigner_count)]
        self.reader = Reader(self.simulation)
        self.events: list[
            tuple[Callable[[Assigner], None], float]
        ] = [  # Events and their relative frequencies.
            (Assigner.write, 12),
            (lambda _: self.reader.read(), 6),
            (Assigner.disconnect, 2),
            (Assigner.reconnect, 4),
            (Assigner.pause, 1),
            (Assigner.resume, 2),
            (lambda _: self.restart_store(), 0.7),
            (lambda _: self.set_disk_full(True), 0.4),
            (lambda _: self.set_disk_full(False), 1),
        ]

    def connect_assigners(self) -> None:
        for assigner in self.assigners:
            assigner.connect()

    def disconnect_assigners(self) -> None:
        for assigner in self.assigners:
            assigner.disconnect()

    def restart_store(self) -> None:
        self.disconnect_assigners()
        self.reader.forget_connection()
        self.simulation.kill()
        self.simulation.start()
        self.connect_assigners()

    def set_disk_full(self, full: bool) -> None:
        self.simulation.engine.full = full

    def step(self) -> None:
        rng = self.simulation.rng
        assigner = rng.choice(self.assigners)
        calls = [call for call, _ in self.events]
        frequencies = [frequency for _, frequency in self.events]
        rng.choices(calls, frequencies)[0](assigner)
        self.simulation.advance_clock(rng.choice([0.02, 0.1, 0.4, 1.5]))

    def final_read(self) -> None:
        self.set_disk_full(False)
        self.disconnect_assigners()
        self.simulation.advance_clock(SETTLING_S)
        self.reader.forget_connection()
        self.reader.read()
        self.simulation.advance_clock(SETTLING_S)


def run_workload(
    seed: int, steps: int = 40, fault: Callable[[Simulation], None] | None = None
) -> dict[int, list[Operation]]:
    """Return the operations that clients observed, keyed by slice.

    Args:
        seed: Seed that determines the sequence of events.
        steps: Number of events.
        fault: Called before each event. It may break the store to show that the check detects a fault.
    """
    workload = RandomWorkload(seed)
    workload.connect_assigners()
    for _ in range(steps):
        if fault is not None:
            fault(workload.simulation)
        workload.step()
    workload.final_read()
    return workload.simulation.finish()


def failing_seeds(
    first: int, end: int, fault: Callable[[Simulation], None] | None = None
) -> tuple[list[int], int]:
    """Return the seeds whose histories are not linearizable, and the number of operations checked."""
    failing = []
    operation_count = 0
    for seed in range(first, end):
        history = run_workload(seed, fault=fault)
        operation_count += sum(map(len, history.values()))
        if not all(is_linearizable(operations) for operations in history.values()):
            failing.append(seed)
    return failing, operation_count

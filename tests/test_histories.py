"""Concurrent writers and readers of the real store service, on a clock in memory, with kills, pauses and slow
disks: every history must be linearizable."""

from __future__ import annotations

import contextlib
import math
import random
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import pytest
import structlog
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from puffintide.audit.history import GIVE, READ, WRITE, Operation, linearizable
from puffintide.protocol import messages as m
from puffintide.protocol.codec import decode, encode
from puffintide.store.engine import Commit, StoreSnapshot
from puffintide.store.errors import StoreError
from puffintide.store.memory import MemoryEngine
from puffintide.store.ownership import OwnershipLedger
from puffintide.store.service import StoreService

NOBODY = math.inf


def op(kind: str, token: int, value: int, asked: float, answered: float) -> Operation:
    return Operation(kind, token, value, asked, answered)


@pytest.mark.parametrize(
    ("history", "fine"),
    [
        ([op(GIVE, 1, 0, 0, 1), op(WRITE, 1, 5, 2, 3), op(READ, 1, 5, 4, 5)], True),
        ([op(GIVE, 1, 0, 0, 1), op(WRITE, 1, 5, 2, 3), op(READ, 1, 0, 4, 5)], False),  # lost
        (
            [op(GIVE, 1, 0, 0, 1), op(WRITE, 1, 5, 2, NOBODY), op(READ, 1, 0, 4, 5), op(READ, 1, 5, 6, 7)],
            True,
        ),
        (
            [op(GIVE, 1, 0, 0, 1), op(WRITE, 1, 5, 2, NOBODY), op(READ, 1, 5, 4, 5), op(READ, 1, 0, 6, 7)],
            False,
        ),
        # A former owner's write after the next one has been told of its charge.
        ([op(GIVE, 1, 0, 0, 1), op(GIVE, 2, 0, 2, 3), op(WRITE, 1, 5, 4, 5)], False),
        ([op(GIVE, 1, 0, 0, 1), op(GIVE, 2, 0, 2, 6), op(WRITE, 1, 5, 4, 5)], True),
        ([op(GIVE, 2, 0, 0, 1), op(GIVE, 1, 0, 2, 3)], False),  # a token that comes again
        ([op(GIVE, 1, 0, 0, 1), op(WRITE, 1, 5, 2, 9), op(WRITE, 1, 6, 2, 9), op(READ, 1, 5, 10, 11)], True),
        ([op(GIVE, 1, 0, 0, 1), op(WRITE, 1, 5, 2, 3), op(WRITE, 1, 6, 4, 5), op(READ, 1, 5, 6, 7)], False),
    ],
)
def test_the_checker_on_histories_known_good_and_bad(history: list[Operation], fine: bool) -> None:
    assert linearizable(history) is fine


class Disk(MemoryEngine):
    """Keeps commits; a kill loses those under way, or not."""

    def __init__(self) -> None:
        super().__init__()
        self.full = False

    def commit(self, change: Commit) -> None:
        if self.full:
            raise StoreError("no room left on the disk")
        image = self.snapshot
        image.revision, image.highest_token = change.revision, change.highest_token
        for state in change.slices:
            image.slices[state.slice_id], image.slice_revisions[state.slice_id] = state, change.revision

    def load(self) -> StoreSnapshot:
        i = self.snapshot
        return StoreSnapshot(
            i.store_id,
            i.revision,
            i.highest_token,
            dict(i.slices),
            dict(i.slice_revisions),
            dict(i.zone_commands),
        )


class Wire(StringTransport):
    def setTcpNoDelay(self, on: bool) -> None:
        pass


class Connection:
    """A client's stream to the store: messages take their time, in order, until it is cut."""

    def __init__(self, world: World, hello: m.Hello, heard: Callable[[m.AnyMessage], None]) -> None:
        self.world, self.heard, self.open = world, heard, True
        self.out = self.back = 0.0
        self.stream, self.wire = world.factory.buildProtocol(None), Wire()
        self.stream.makeConnection(self.wire)
        world.connections.append(self)
        self.send(hello)

    def send(self, message: m.Message) -> None:
        clock = self.world.clock
        self.out = max(self.out, clock.seconds() + self.world.rng.uniform(0.001, 0.3))
        clock.callLater(self.out - clock.seconds(), self._arrive, encode(message) + b"\n")

    def _arrive(self, data: bytes) -> None:
        if self.open:
            self.stream.dataReceived(data)

    def pump(self) -> None:
        clock = self.world.clock
        for line in self.wire.value().splitlines():
            message = decode(line)
            self.back = max(self.back, clock.seconds() + self.world.rng.uniform(0.001, 0.3))
            clock.callLater(self.back - clock.seconds(), self._told, message)
        self.wire.clear()

    def _told(self, message: m.AnyMessage) -> None:
        if not self.open:
            return
        if isinstance(message, m.Ping):
            self.send(m.Pong())
        else:
            self.heard(message)

    def cut(self) -> None:
        if self.open:
            self.open = False
            self.stream.connectionLost(Failure(ConnectionError()))


class World:
    """A store and its clients; one seed, one course of events."""

    def __init__(self, seed: int, slices: int = 3, assigners: int = 3) -> None:
        self.rng, self.clock = random.Random(seed), Clock()
        self.clock.advance(100.0)
        self.slices, self.assigners = slices, assigners
        self.disk = Disk()
        self.under_way: list[tuple[Any, ...]] = []
        self.connections: list[Connection] = []
        self.history: defaultdict[int, list[Operation]] = defaultdict(list)
        self.gives: dict[tuple[int, int], float] = {}  # (slice, token): when first heard of
        self.values = 0
        self.life = 0
        self.start()

    def start(self) -> None:
        image = self.disk.load()
        book = OwnershipLedger(
            self.slices, self.assigners, 1.0, False, opened_at_s=self.clock.seconds(), max_transfers_per_s=5
        )
        book.restore(image)
        log = structlog.wrap_logger(structlog.testing.CapturingLogger())
        self.service = StoreService(self.clock, book, "t", log, self.disk, image, run=self.run)
        self.factory = self.service.factory()
        self.service.start()

    def run(self, call: Callable[..., Any], *args: Any) -> Deferred[Any]:
        done: Deferred[Any] = Deferred()
        mine = (call, args, object())  # no other is the same
        self.under_way.append(mine)

        def finish() -> None:
            if mine in self.under_way:  # not killed meanwhile
                self.under_way.remove(mine)
                try:
                    done.callback(call(*args))
                except StoreError:
                    done.errback()

        slow = 1.5 if self.rng.random() < 0.05 else 0.05
        self.clock.callLater(self.rng.uniform(0.0, slow), finish)
        return done

    def kill(self) -> None:
        for call, args, _ in self.under_way:
            if self.rng.random() < 0.5:  # it had reached the disk, and nobody was told
                with contextlib.suppress(StoreError):
                    call(*args)
        self.under_way = []
        for connection in self.connections:
            connection.open = False
        self.connections = []
        self.service.stop()

    def saw(self, charge: m.SliceOwnership) -> None:
        now = self.clock.seconds()
        self.gives.setdefault((charge.slice_id, charge.fencing_token), now)

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.02)):
            self.clock.advance(0.02)
            for connection in list(self.connections):
                connection.pump()

    def finish(self) -> dict[int, list[Operation]]:
        for (number, token), at in self.gives.items():
            self.history[number].append(Operation(GIVE, token, 0, 0.0, at))
        return dict(self.history)


class Assigner:
    """Writes under whatever tokens it has heard of; it may be deaf for a while, and goes on all the same."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number
        self.tokens: dict[int, int] = {}
        self.waiting: dict[int, list[tuple[int, int, int, float]]] = {}  # batch: slice, token, value, asked
        self.batch = 0
        self.connection: Connection | None = None
        self.deaf = False
        self.unread: list[m.AnyMessage] = []  # came while it was paused

    def dial(self) -> None:
        self.world.life += 1
        hello = m.Hello(m.PROTOCOL_VERSION, "assigner", self.number, 0, "t", incarnation=self.number + 1)
        self.connection = Connection(self.world, hello, self.heard)

    def hear(self) -> None:
        """It wakes, and what came meanwhile is read."""
        self.deaf = False
        unread, self.unread = self.unread, []
        for message in unread:
            self.heard(message)

    def heard(self, message: m.AnyMessage) -> None:
        if self.deaf:
            self.unread.append(message)
            return
        now = self.world.clock.seconds()
        match message:
            case m.SliceOwnerships():
                for charge in message.ownerships:
                    if charge.owner_id == self.number:
                        self.world.saw(charge)
                        self.tokens[charge.slice_id] = charge.fencing_token
            case m.WriteRejected(batch, number, _):
                self.waiting[batch] = [w for w in self.waiting.get(batch, []) if w[0] != number]
            case m.WriteAcknowledged(batch):
                for done in sorted(b for b in self.waiting if b <= batch):
                    for number, token, value, asked in self.waiting.pop(done):
                        self.world.history[number].append(Operation(WRITE, token, value, asked, now))

    def write(self) -> None:
        if not self.tokens or self.connection is None or not self.connection.open:
            return
        rng, now = self.world.rng, self.world.clock.seconds()
        self.batch += 1
        rows = []
        for number in rng.sample(sorted(self.tokens), rng.randint(1, len(self.tokens))):
            self.world.values += 1
            rows.append((number, self.tokens[number], self.world.values, now))
        self.waiting[self.batch] = rows
        lines = [m.WeightEntry(number, 1, float(value), token) for number, token, value, _ in rows]
        self.connection.send(m.WriteRequest(self.batch, lines))

    def lose(self) -> None:
        """Its stream is gone: of what it waits for nothing will be heard."""
        if self.connection is not None:
            self.connection.cut()
        for rows in self.waiting.values():
            for number, token, value, asked in rows:
                self.world.history[number].append(Operation(WRITE, token, value, asked, NOBODY))
        self.waiting = {}
        self.unread = []


class Reader:
    def __init__(self, world: World) -> None:
        self.world = world
        self.asked = 0.0
        self.got: list[m.SliceOwnership] = []
        self.connection: Connection | None = None

    def read(self) -> None:
        if self.connection is None or not self.connection.open:
            self.connection = Connection(
                self.world, m.Hello(m.PROTOCOL_VERSION, "proxy", 0, 0, "t"), self.heard
            )
            self.asked = 0.0
        if not self.asked:
            self.asked, self.got = self.world.clock.seconds(), []
            self.connection.send(m.ReadRequest())

    def heard(self, message: m.AnyMessage) -> None:
        match message:
            case m.SliceOwnerships():
                self.got += message.ownerships
            case m.ReadComplete():
                now = self.world.clock.seconds()
                for charge in {c.slice_id: c for c in self.got if c.fencing_token}.values():
                    self.world.saw(charge)
                    value = round(charge.entries[0].weight) if charge.entries else 0
                    self.world.history[charge.slice_id].append(
                        Operation(READ, charge.fencing_token, value, self.asked, now)
                    )
                self.asked = 0.0


def play(
    seed: int, steps: int = 40, broken: Callable[[World], None] | None = None
) -> dict[int, list[Operation]]:
    world = World(seed)
    assigners = [Assigner(world, k) for k in range(world.assigners)]
    reader = Reader(world)
    for assigner in assigners:
        assigner.dial()
    for _ in range(steps):
        if broken is not None:
            broken(world)
        chosen = world.rng.choice(assigners)
        match world.rng.choices(
            ["write", "read", "lose", "dial", "deaf", "hear", "kill", "full", "room"],
            [12, 6, 2, 4, 1, 2, 0.7, 0.4, 1],
        )[0]:
            case "write":
                chosen.write()
            case "read":
                reader.read()
            case "lose":
                chosen.lose()
            case "dial":
                if chosen.connection is None or not chosen.connection.open:
                    chosen.lose()
                    chosen.dial()
            case "deaf":
                chosen.deaf = True
            case "hear":
                chosen.hear()
            case "full":
                world.disk.full = True
            case "room":
                world.disk.full = False
            case "kill":
                for assigner in assigners:
                    assigner.lose()
                reader.connection = None
                world.kill()
                world.start()
                for assigner in assigners:
                    assigner.dial()
        world.pass_time(world.rng.choice([0.02, 0.1, 0.4, 1.5]))
    world.disk.full = False
    for assigner in assigners:
        assigner.lose()
    world.pass_time(2.0)
    reader.connection, reader.asked = None, 0.0
    reader.read()
    world.pass_time(2.0)
    return world.finish()


def unfit(first: int, last: int, broken: Callable[[World], None] | None = None) -> tuple[list[int], int]:
    """Seeds whose histories are not linearizable, and how many operations were looked at."""
    found, count = [], 0
    for seed in range(first, last):
        history = play(seed, broken=broken)
        count += sum(map(len, history.values()))
        if not all(linearizable(operations) for operations in history.values()):
            found.append(seed)
    return found, count


def test_histories_of_the_store_are_linearizable() -> None:
    found, count = unfit(0, 60)
    assert found == [] and count > 2000


def forgets_tokens(world: World) -> None:
    """As if a start gave tokens from the beginning."""
    if world.service.ledger.highest_token > 12:
        world.service.ledger.highest_token = 0


def tells_before_it_keeps(world: World) -> None:
    """As if writers were told at once."""
    service = world.service
    for stream, batch in list(service.commits.pending.waiting.writers.items()):
        stream.send(m.WriteAcknowledged(batch, 0))


def takes_any_token(world: World) -> None:
    """As if there were no fence."""
    book, write = world.service.ledger, OwnershipLedger.write

    def unfenced(writer_id: int, weights: Any, batch: int = 0) -> dict[int, str]:
        now = [
            m.WeightEntry(x.slice_id, x.server_id, x.weight, book.slices[x.slice_id].fencing_token)
            for x in weights
        ]
        found: dict[int, str] = {}
        for line in now:
            found |= write(book, book.slices[line.slice_id].owner_id, [line], batch)
        return found

    book.write = unfenced  # type: ignore[method-assign]


@pytest.mark.parametrize("broken", [forgets_tokens, takes_any_token, tells_before_it_keeps])
def test_a_store_that_is_broken_is_found_out(broken: Callable[[World], None]) -> None:
    found, _ = unfit(0, 25, broken)
    assert found

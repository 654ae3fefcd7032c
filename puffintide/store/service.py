"""The store on sockets: assigners write, proxies read and are told of changes of charge.

Nobody is told of a change before it is kept. Changes that come while one commit is under way go into the next
together; readings are of what is kept, so that they never wait for the disk.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

from puffintide.protocol import messages as m
from puffintide.protocol.codec import encode
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.session import Greeting
from puffintide.protocol.stream import PeerIdentity, Stream, StreamServerFactory
from puffintide.replication.table_restore import TableRestore
from puffintide.store.book import Book, Change, charge_of
from puffintide.store.engine import Change as Kept
from puffintide.store.engine import Engine, Image, Overtaken, StoreError

DUE_S = 0.1  # how often charge is looked over
AGAIN_S = 0.5  # after a commit that failed
BEAT_S = 1.0
VIEWS_MOST = 20  # encoded readings that are kept
STATS_S = 10.0
REASONS_MOST = 5  # logged of one message

Run = Callable[..., Deferred[Any]]


class StoreService:
    """engine: where it is kept. run: carries out an engine's call, in a thread of its own where that may take
    long. image: what the engine has kept, already in the book."""

    def __init__(
        self,
        reactor: Any,
        book: Book,
        deployment: str,
        log: Any,
        engine: Engine,
        image: Image,
        zones: int = 1,
        run: Run = maybeDeferred,
        streams_most: int = 5000,
        backups: Callable[[str], str] | None = None,
        refill: TableRestore | None = None,
    ) -> None:
        self.reactor, self.book, self.deployment, self.log = reactor, book, deployment, log
        self.engine, self.run, self.zones = engine, run, zones
        self.identity, self.revision = image.identity, image.revision
        self.kept = dict(image.slices)  # as on the disk
        self.revisions = dict(image.revisions)
        self.hands = dict(image.hands)  # by zone, as on the disk
        self.hand_number = max((h.sequence for h in self.hands.values()), default=0)
        self.streams_most, self.backups = streams_most, backups
        self.refill = refill if self._empty() else None  # until it is done no charge is given
        self.streams = 0
        self.assigners: dict[int, Stream] = {}
        self.lives: dict[int, int] = {}
        self.members: list[int] = []  # as told last
        self.proxies: set[Stream] = set()
        self._given: dict[int, Change] = {}  # changes of charge that wait to be kept, by slice
        self._written: dict[Stream, int] = {}  # the last batch of each writer that waits
        self._hands: dict[int, m.ZoneCommand] = {}
        self._asked: list[Stream] = []  # operators that wait for their order to be kept
        self._views: dict[int, list[bytes]] = {}  # encoded readings of this revision, by where they start
        self._views_of = -1
        self._busy = self._failing = False
        self.overtaken = False  # another store serves in our place
        self.commits = self.failed = self.rows = 0

    def factory(self) -> StreamServerFactory:
        def me() -> m.Welcome:
            return m.Welcome(m.PROTOCOL_VERSION, "store", 0)

        return StreamServerFactory(self.reactor, me, self._message, self._lost, self._judge)

    def start(self) -> None:
        self._due()
        self.reactor.callLater(STATS_S, self._stats)
        self.reactor.callLater(BEAT_S, self._beat)

    def _beat(self) -> None:
        done = self.run(self.engine.beat)
        done.addErrback(lambda failure: self._failed(failure, "not_kept_up"))
        done.addBoth(lambda _: self.reactor.callLater(BEAT_S, self._beat))

    def _failed(self, failure: Failure, what: str) -> None:
        if isinstance(failure.value, Overtaken):
            self.log.critical("overtaken", reason=str(failure.value))
            self.overtaken = True
            self.reactor.stop()
        elif isinstance(failure.value, StoreError):
            self.log.error(what, reason=str(failure.value))
        else:  # a fault of ours: no more is kept, and it must not look as if
            self.log.critical("engine_failed", reason=failure.getTraceback())

    def _empty(self) -> bool:
        return self.revision == 0 and not self.kept and not self.book.dirty

    def _refilled(self, now: float, by: str) -> None:
        """All that was given out before counts no more: tokens go on far above any that was seen. Proxies keep what
        they hold until they are told."""
        assert self.refill is not None
        done, self.refill = self.refill, None
        tables = done.tables()
        self.book.load(tables)
        self.book.token = done.first_fencing_token(self.book.token)
        told = sorted(done.complete_assigners)
        self.log.warning("refilled", tables=len(tables), assigners=told, token=self.book.token, by=by)
        for assigner in sorted(self.assigners):
            self._changed(self.book.joined(now, assigner, self.lives.get(assigner, 0)))

    def _due(self) -> None:
        now = self.reactor.seconds()
        if self.refill is not None and self.refill.is_ready(now):
            self._refilled(now, "itself")
        self._changed(self.book.due(now))  # nobody is there before the refill
        members = self.book.members(now)
        if members != self.members:
            self.members = members
            self.log.info("members", assigners=members)
            for assigner in sorted(self.assigners):
                self.assigners[assigner].send(m.AssignerMembership(members))
        self.reactor.callLater(DUE_S, self._due)

    def _stats(self) -> None:
        self.log.info(
            "stats",
            revision=self.revision,
            commits=self.commits,
            rows=self.rows,
            failed=self.failed,
            streams=self.streams,
            waiting=len(self.book.dirty),
        )
        self.reactor.callLater(STATS_S, self._stats)

    # Streams --------------------------------------------------------------------------------------

    def _judge(self, hello: Greeting) -> str | None:
        if hello.role not in ("assigner", "proxy", "operator"):
            return f"role {hello.role!r} is not served by the store"
        if isinstance(hello, m.Hello) and hello.deployment != self.deployment:
            return f"deployment {hello.deployment!r} is not {self.deployment!r}, which this store holds"
        if hello.role == "assigner" and not 0 <= hello.id < self.book.assigners:
            return f"assigner {hello.id} is not among the {self.book.assigners} of this deployment"
        if self.streams >= self.streams_most and hello.role == "proxy":
            return f"{self.streams_most} streams are here already"
        return None

    def _message(self, stream: Stream, message: AnyMessage) -> None:
        role = stream.peer.role
        match message:
            case m.Hello():
                self._greeted(stream, message)
            case m.ReadRequest():
                self._read(stream, message)
            case m.WriteRequest() if role == "assigner":
                refused = self.book.write(stream.peer.id, message.weights, message.batch)
                for number, reason in sorted(refused.items()):
                    stream.send(m.WriteRejected(message.batch, number, reason))
                    self.log.warning("write_refused", assigner=stream.peer.id, slice=number, reason=reason)
                self._written[stream] = message.batch
                self._keep()
            case m.ZoneCommand() if role == "operator":
                self._hand(stream, message)
            case m.MigrateSlices() if role == "operator":
                wrong = self.book.move(message.slice_ids, message.assigner_id)
                if wrong is not None:
                    stream.reject(wrong)
                    return
                self.log.warning(
                    "move", slices=message.slice_ids, to=message.assigner_id, by=message.operator[:100]
                )
                self._asked.append(stream)
                self._changed(self.book.due(self.reactor.seconds()))
            case m.BackupRequest() if role == "operator":
                self._backup(stream, message.name)
            case m.ReplicationDelta() if role == "assigner":
                if self.refill is not None:
                    for reason in self.refill.on_delta(self.reactor.seconds(), stream.peer.id, message)[
                        :REASONS_MOST
                    ]:
                        self.log.warning("copy_refused", assigner=stream.peer.id, reason=reason)
            case m.RestoreFromReplicas() if role == "operator":
                if self.refill is None or not self.refill.complete_assigners:
                    waits = self.refill is not None
                    why = (
                        "no assigner has answered yet" if waits else "it is not empty, or may not be refilled"
                    )
                    stream.reject(why)
                    return
                self._asked.append(stream)
                self._refilled(self.reactor.seconds(), message.operator[:100])
            case _:
                stream.reject(f"a {type(message).__name__} is not for the store")

    def _greeted(self, stream: Stream, hello: m.Hello) -> None:
        self.streams += 1
        stream.peer = PeerIdentity(hello.role, hello.id)
        if hello.highest_token > self.book.token and self.refill is None:
            self.log.error(
                "older_than_its_parties",
                token=self.book.token,
                seen=hello.highest_token,
                role=hello.role,
                id=hello.id,
            )
            self._changed(self.book.seen(hello.highest_token))
        if hello.role == "proxy":
            self.proxies.add(stream)
        elif hello.role == "assigner":
            old = self.assigners.get(hello.id)
            if old is not None:
                old.abort("its assigner dialled anew")
            self.assigners[hello.id] = stream
            self.lives[hello.id] = hello.incarnation
            self.log.info("assigner_joined", assigner=hello.id, life=hello.incarnation)
            if self.hands:
                stream.send(self._standing())
            if self.members:
                stream.send(m.AssignerMembership(self.members))
            if self.refill is not None:
                stream.send(m.ReplicaRequest())
            else:
                self._changed(self.book.joined(self.reactor.seconds(), hello.id, hello.incarnation))

    def _lost(self, stream: Stream, why: AnyMessage) -> None:
        if not stream.peer.role:
            return
        self.streams -= 1
        self.proxies.discard(stream)
        self._written.pop(stream, None)
        if stream.peer.role == "assigner" and self.assigners.get(stream.peer.id) is stream:
            del self.assigners[stream.peer.id]
            self.book.left(self.reactor.seconds(), stream.peer.id)
            if self.refill is not None:
                self.refill.on_assigner_disconnected(stream.peer.id)
            self.log.warning("assigner_left", assigner=stream.peer.id, reason=stream.close_reason)

    def _read(self, stream: Stream, read: m.ReadRequest) -> None:
        """What is kept, at one revision: all of it, or what changed since the one the reader has, if it has one
        of this very store."""
        known = (
            read.since_revision
            if read.store_id == self.identity and 0 <= read.since_revision <= self.revision
            else -1
        )
        lines = iter(self._view(known))

        def on() -> None:
            """A line at a time, as the reader takes them: a crowd of readers is no heap of buffers."""
            while stream.writable and not stream.closed:
                line = next(lines, None)
                if line is None:
                    stream.on_writable = None
                    return
                stream.send_line(line)

        stream.on_writable = on  # a second reading takes the place of one under way
        on()

    def _view(self, known: int) -> list[bytes]:
        """A reading, encoded: once for each revision and starting point that is asked for."""
        if self._views_of != self.revision:
            self._views_of, self._views = self.revision, {}
        if known not in self._views:
            if len(self._views) >= VIEWS_MOST:
                self._views.pop(next(iter(self._views)))
            numbers = [
                n for n in sorted(self.kept) if n in self.book.slices and self.revisions.get(n, 0) > known
            ]
            lines = self._lines([charge_of(self.kept[n]) for n in numbers])
            self._views[known] = [*lines, encode(m.ReadComplete(len(numbers), self.revision, self.identity))]
        return self._views[known]

    # Orders by hand -------------------------------------------------------------------------------

    def _standing(self) -> m.ZoneCommands:
        return m.ZoneCommands([self.hands[z] for z in sorted(self.hands)])

    def _hand(self, stream: Stream, hand: m.ZoneCommand) -> None:
        if not 0 <= hand.zone < self.zones or hand.operation not in ("drain", "hold", "return"):
            stream.reject(
                f"{hand.operation!r} of zone {hand.zone}: there are {self.zones} zones; drain, hold or return"
            )
            return
        if not 0.1 <= hand.pace <= 10:
            stream.reject(f"pace {hand.pace:g} is not from 0.1 to 10")
            return
        self.hand_number += 1
        kept = m.ZoneCommand(hand.zone, hand.operation, hand.pace, hand.operator[:100], self.hand_number)
        self._hands[hand.zone] = kept
        self._asked.append(stream)
        self.log.warning(
            "hand",
            zone=kept.zone,
            what=kept.operation,
            pace=kept.pace,
            by=kept.operator,
            number=kept.sequence,
        )
        self._keep()

    def _backup(self, stream: Stream, name: str) -> None:
        if self.backups is None:
            stream.reject("this store keeps nothing that could be backed up")
            return
        try:
            path = self.backups(name)
        except ValueError as error:
            stream.reject(str(error))
            return
        done = self.run(self.engine.backup, path)

        def good(revision: int) -> None:
            self.log.info("backup", path=path, revision=revision)
            stream.send(m.CommandCompleted(f"{path}: revision {revision}"))

        done.addCallbacks(good, lambda failure: stream.reject(failure.getErrorMessage()))

    # Keeping --------------------------------------------------------------------------------------

    def _changed(self, changes: list[Change]) -> None:
        for change in changes:
            before = self._given.get(change.slice)
            old = before.old if before is not None else change.old
            self._given[change.slice] = Change(change.slice, old, change.new)
        self._keep()

    def _keep(self) -> None:
        """One commit at a time; what comes meanwhile is the next."""
        if self._busy or self._failing:
            return
        if not (self.book.dirty or self._hands):
            if self._written or self._asked:  # nothing changed: what they wrote was there, or was refused
                self._tell((), {}, self._take_waiting())
            return
        self._busy = True
        given, self._given = self._given, {}
        waiting = self._take_waiting()
        hands, self._hands = self._hands, {}
        states = self.book.take_dirty()
        change = Kept(self.revision + 1, self.book.token, states, tuple(hands[z] for z in sorted(hands)))
        done = self.run(self.engine.commit, change)
        done.addCallback(lambda _: self._done(change, given, waiting))
        done.addErrback(self._undone, change, given, waiting)

    def _take_waiting(self) -> tuple[dict[Stream, int], list[Stream]]:
        found = self._written, self._asked
        self._written, self._asked = {}, []
        return found

    def _done(
        self, kept: Kept, given: dict[int, Change], waiting: tuple[dict[Stream, int], list[Stream]]
    ) -> None:
        self._busy = False
        self.commits += 1
        self.rows += len(kept.slices)
        self.revision = kept.revision
        for state in kept.slices:
            self.kept[state.slice] = state
            self.revisions[state.slice] = kept.revision
        for hand in kept.hands:
            self.hands[hand.zone] = hand
        self._tell(kept.hands, given, waiting)
        self._keep()

    def _undone(
        self,
        failure: Failure,
        kept: Kept,
        given: dict[int, Change],
        waiting: tuple[dict[Stream, int], list[Stream]],
    ) -> None:
        """Disk full, or worse: nobody is told of it, and it is tried again with what comes meanwhile."""
        self._failed(failure, "not_kept")
        self._busy, self._failing = False, True
        self.failed += 1
        self.book.dirty |= {state.slice for state in kept.slices}
        for number, change in given.items():
            later = self._given.get(number)
            self._given[number] = Change(number, change.old, later.new if later is not None else change.new)
        self._written = waiting[0] | self._written
        self._asked = waiting[1] + self._asked
        self._hands = {h.zone: h for h in kept.hands} | self._hands
        self.reactor.callLater(AGAIN_S, self._again)

    def _again(self) -> None:
        self._failing = False
        self._keep()

    def _tell(
        self,
        hands: tuple[m.ZoneCommand, ...],
        given: dict[int, Change],
        waiting: tuple[dict[Stream, int], list[Stream]],
    ) -> None:
        """What has been kept goes out; changes of charge as one message to each party, encoded once."""
        by_assigner: dict[int, list[m.SliceOwnership]] = {}
        for number, change in sorted(given.items()):
            charge = charge_of(self.kept[number])
            if change.old != change.new and change.old in self.assigners:
                self.assigners[change.old].send(m.OwnershipRevoked(number, charge.fencing_token))
            by_assigner.setdefault(charge.owner_id, []).append(charge)
        for assigner, charges in sorted(by_assigner.items()):
            self.log.info("charge", assigner=assigner, slices=[c.slice_id for c in charges])
            for line in self._lines(charges):
                if assigner in self.assigners:
                    self.assigners[assigner].send_line(line)
                for proxy in sorted(self.proxies, key=lambda s: str(s.peer)):
                    if proxy.writable:
                        proxy.send_line(line)
                    else:  # it reads again from the revision it has
                        proxy.abort("does not read what it is told")
        written, asked = waiting
        for stream, batch in written.items():
            stream.send(m.WriteAcknowledged(batch, self.revision))
        if hands:
            for assigner in sorted(self.assigners):
                self.assigners[assigner].send(self._standing())
        for stream in asked:
            stream.send(self._standing())

    @staticmethod
    def _lines(charges: list[m.SliceOwnership]) -> list[bytes]:
        return [
            encode(m.SliceOwnerships(charges[first : first + m.MAX_OWNERSHIPS_PER_MESSAGE]))
            for first in range(0, len(charges), m.MAX_OWNERSHIPS_PER_MESSAGE)
        ]

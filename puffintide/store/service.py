"""Network service of the store: assigners write, proxies read and are notified of ownership changes.

No peer is notified of a change before it is durable. Reads are answered from the durable state in memory, and
never wait for the disk.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import maybeDeferred
from twisted.python.failure import Failure

from puffintide.protocol import messages as m
from puffintide.protocol.clock import Timer
from puffintide.protocol.stream import PeerIdentity, Stream, StreamServerFactory
from puffintide.replication.table_restore import TableRestore
from puffintide.store.commits import CommitQueue, EngineRunner
from puffintide.store.durable_state import DurableState
from puffintide.store.engine import StorageEngine, StoreSnapshot
from puffintide.store.errors import StoreError, StoreSupersededError
from puffintide.store.notifications import Notifier
from puffintide.store.operator_commands import BackupHandler, MigrationHandler, ZoneCommandHandler
from puffintide.store.ownership import OwnershipLedger
from puffintide.store.reads import ReadHandler
from puffintide.store.restoration import Restoration
from puffintide.store.sessions import Sessions

REASSIGN_INTERVAL_S = 0.1
LEASE_RENEWAL_INTERVAL_S = 1.0
STATS_INTERVAL_S = 10.0
MAX_STREAMS = 5000  # Proxies are rejected while this many streams or more are open.


class StoreService:
    """Connects the components of the store to its streams and timers.

    Args:
        reactor: Reactor that provides the clock. It is stopped when another store process supersedes this
            one.
        ledger: Ownership ledger into which the snapshot has been restored.
        deployment: Deployment name that peers must send.
        log: Logger of the store.
        engine: Storage engine.
        snapshot: State that the engine has stored.
        zone_count: Number of zones. Zone numbers start at 0.
        run: Runs an engine method, in a separate thread if the method may block.
        max_streams: Number of open streams at which further proxies are rejected.
        backup_path: Returns the path for a backup's name, or raises ValueError. None if backups are not
            configured.
        table_restore: Collects replicas if the store is empty. None if restoring from replicas is not
            configured.
    """

    def __init__(
        self,
        reactor: Any,
        ledger: OwnershipLedger,
        deployment: str,
        log: Any,
        engine: StorageEngine,
        snapshot: StoreSnapshot,
        zone_count: int = 1,
        run: EngineRunner = maybeDeferred,
        max_streams: int = MAX_STREAMS,
        backup_path: Callable[[str], str] | None = None,
        table_restore: TableRestore | None = None,
    ) -> None:
        self.reactor = reactor
        self.ledger = ledger
        self.log = log
        self.engine = engine
        self.run = run
        self.superseded = False  # Whether another store process has replaced this one.
        self.membership: list[int] = []  # Assigner ids as last sent.
        self._timers: dict[str, Timer] = {}
        self._stopped = False
        is_empty = snapshot.revision == 0 and not snapshot.slices and not ledger.changed
        self.durable = DurableState(snapshot)
        self.sessions = Sessions(deployment, ledger.assigner_count, max_streams)
        self.notifier = Notifier(self.sessions, self.durable, log)
        self.commits = CommitQueue(
            reactor, ledger, self.durable, engine, run, self.notifier.publish, self._commit_failed
        )
        self.reads = ReadHandler(self.durable, ledger.slices)
        self.zone_commands = ZoneCommandHandler(zone_count, self.durable, self.commits, log)
        self.migrations = MigrationHandler(reactor, ledger, self.commits, log)
        self.backups = BackupHandler(engine, run, backup_path, log)
        self.restoration = Restoration(
            reactor, ledger, self.sessions, self.commits, table_restore if is_empty else None, log
        )

    def factory(self) -> StreamServerFactory:
        """Return the protocol factory for the listening port."""
        return StreamServerFactory(
            self.reactor,
            lambda: m.Welcome(m.PROTOCOL_VERSION, m.PeerRole.STORE, 0),
            self._handle_message,
            self._handle_connection_lost,
            self.sessions.rejection_reason,
        )

    def start(self) -> None:
        """Start the timers."""
        self._reassign()
        self._schedule("stats", STATS_INTERVAL_S, self._log_stats)
        self._schedule("lease_renewal", LEASE_RENEWAL_INTERVAL_S, self._renew_lease)

    def stop(self) -> None:
        """Cancel all timers. The caller closes the engine."""
        self._stopped = True
        self.commits.stop()
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    def _schedule(self, name: str, delay_s: float, call: Callable[[], None]) -> None:
        def fire() -> None:
            del self._timers[name]
            call()

        if not self._stopped:
            self._timers[name] = self.reactor.callLater(delay_s, fire)

    def _renew_lease(self) -> None:
        done = self.run(self.engine.renew_lease)
        done.addErrback(self._handle_engine_failure, "lease_renewal_failed")
        done.addBoth(lambda _: self._schedule("lease_renewal", LEASE_RENEWAL_INTERVAL_S, self._renew_lease))

    def _commit_failed(self, failure: Failure) -> None:
        self._handle_engine_failure(failure, "commit_failed")

    def _handle_engine_failure(self, failure: Failure, event: str) -> None:
        if isinstance(failure.value, StoreSupersededError):
            self.log.critical("overtaken", reason=str(failure.value))
            self.superseded = True
            self.reactor.stop()
        elif isinstance(failure.value, StoreError):
            self.log.error(event, reason=str(failure.value))
        else:  # A bug. Commits may keep failing, so it must be visible at critical level.
            self.log.critical("engine_failed", reason=failure.getTraceback())

    def _reassign(self) -> None:
        now_s = self.reactor.seconds()
        self.restoration.complete_if_ready()
        # The ledger has no connected assigners while a restoration is pending, so nothing is granted then.
        self.commits.add_transfers(self.ledger.reassign(now_s))
        membership = self.ledger.lease_holders(now_s)
        if membership != self.membership:
            self.membership = membership
            self.log.info("membership_changed", assigner_ids=membership)
            self.sessions.send_to_assigners(m.AssignerMembership(membership))
        self._schedule("reassign", REASSIGN_INTERVAL_S, self._reassign)

    def _log_stats(self) -> None:
        self.log.info(
            "stats",
            revision=self.durable.revision,
            commits=self.commits.commit_count,
            rows=self.commits.row_count,
            failed_commits=self.commits.failure_count,
            streams=self.sessions.stream_count,
            uncommitted_slices=len(self.ledger.changed),
        )
        self._schedule("stats", STATS_INTERVAL_S, self._log_stats)

    def _handle_message(self, stream: Stream, message: m.AnyMessage) -> None:
        match message:
            case m.Hello():
                self._handle_hello(stream, message)
            case m.ReadRequest():
                self.reads.send(stream, message)
            case _ if stream.peer.role == m.PeerRole.ASSIGNER:
                self._handle_assigner_message(stream, message)
            case _ if stream.peer.role == m.PeerRole.OPERATOR:
                self._handle_operator_message(stream, message)
            case _:
                self._reject(stream, message, "a proxy")

    def _handle_assigner_message(self, stream: Stream, message: m.AnyMessage) -> None:
        match message:
            case m.WriteRequest():
                self._handle_write(stream, message)
            case m.ReplicationDelta():
                self.restoration.handle_delta(stream, message)
            case _:
                self._reject(stream, message, "an assigner")

    def _handle_operator_message(self, stream: Stream, message: m.AnyMessage) -> None:
        match message:
            case m.ZoneCommand():
                self.zone_commands.handle(stream, message)
            case m.MigrateSlices():
                self.migrations.handle(stream, message)
            case m.BackupRequest():
                self.backups.handle(stream, message)
            case m.RestoreFromReplicas():
                self.restoration.handle_command(stream, message)
            case _:
                self._reject(stream, message, "an operator")

    @staticmethod
    def _reject(stream: Stream, message: m.AnyMessage, sender: str) -> None:
        stream.reject(f"unexpected {type(message).__name__} message from {sender}")

    def _handle_hello(self, stream: Stream, hello: m.Hello) -> None:
        if not self.restoration.pending:
            self._check_highest_token(hello)
        self.sessions.add(stream, PeerIdentity(hello.role, hello.id))
        if hello.role == m.PeerRole.ASSIGNER:
            self._handle_assigner_hello(stream, hello)

    def _check_highest_token(self, hello: m.Hello) -> None:
        """Detect that this store runs on an older copy of its data, and grant all owned slices again.

        In that case a peer has seen a later token than any issued here.
        """
        if hello.highest_token <= self.ledger.highest_token:
            return
        self.log.error(
            "stale_store_detected",
            highest_token=self.ledger.highest_token,
            seen_token=hello.highest_token,
            role=hello.role,
            id=hello.id,
        )
        self.commits.add_transfers(self.ledger.observe_token(hello.highest_token))

    def _handle_assigner_hello(self, stream: Stream, hello: m.Hello) -> None:
        self.sessions.add_assigner(stream, hello.id, hello.incarnation)
        self.log.info("assigner_connected", assigner_id=hello.id, incarnation=hello.incarnation)
        if self.durable.zone_commands:
            stream.send(self.durable.commands_in_force())
        if self.membership:
            stream.send(m.AssignerMembership(self.membership))
        if self.restoration.pending:
            stream.send(m.ReplicaRequest())
            return
        now_s = self.reactor.seconds()
        self.commits.add_transfers(self.ledger.assigner_connected(now_s, hello.id, hello.incarnation))

    def _handle_connection_lost(self, stream: Stream, _reason: m.AnyMessage) -> None:
        if not stream.peer.role:
            return
        self.commits.remove_writer(stream)
        if self.sessions.remove(stream):
            assigner_id = stream.peer.id
            self.ledger.assigner_disconnected(self.reactor.seconds(), assigner_id)
            self.restoration.assigner_disconnected(assigner_id)
            self.log.warning("assigner_disconnected", assigner_id=assigner_id, reason=stream.close_reason)

    def _handle_write(self, stream: Stream, write: m.WriteRequest) -> None:
        assigner_id = stream.peer.id
        rejections = self.ledger.write(assigner_id, write.weights, write.batch)
        for slice_id, reason in sorted(rejections.items()):
            stream.send(m.WriteRejected(write.batch, slice_id, reason))
            self.log.warning("write_rejected", assigner_id=assigner_id, slice_id=slice_id, reason=reason)
        self.commits.add_write(stream, write.batch)

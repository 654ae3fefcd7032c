"""Restoration of an empty store from the replicas of the tables that assigners hold."""

from __future__ import annotations

from typing import Any

from puffintide.protocol import messages as m
from puffintide.protocol.clock import Clock
from puffintide.protocol.stream import Stream
from puffintide.replication.table_restore import TableRestore
from puffintide.store.commits import CommitQueue
from puffintide.store.operator_commands import MAX_OPERATOR_CHARS
from puffintide.store.ownership import OwnershipLedger
from puffintide.store.sessions import Sessions

MAX_LOGGED_REASONS = 5  # Maximum number of rejected rows that are logged for one message.


class Restoration:
    """Restores the tables of an empty store from replicas.

    The store grants no ownership while the restoration is pending.

    Args:
        clock: Clock that returns the current time.
        ledger: Ledger into which the tables are loaded.
        sessions: Sessions of the connected peers.
        commits: Commit queue that makes the tables durable.
        table_restore: Collects the replicas. None if nothing is to be restored.
        log: Logger of the store.
    """

    def __init__(
        self,
        clock: Clock,
        ledger: OwnershipLedger,
        sessions: Sessions,
        commits: CommitQueue,
        table_restore: TableRestore | None,
        log: Any,
    ) -> None:
        self.clock = clock
        self.ledger = ledger
        self.sessions = sessions
        self.commits = commits
        self.table_restore = table_restore
        self.log = log

    @property
    def pending(self) -> bool:
        """Return whether the store still waits for replicas."""
        return self.table_restore is not None

    def handle_delta(self, stream: Stream, delta: m.ReplicationDelta) -> None:
        """Add a part of an assigner's replica."""
        if self.table_restore is None:
            return
        reasons = self.table_restore.on_delta(self.clock.seconds(), stream.peer.id, delta)
        for reason in reasons[:MAX_LOGGED_REASONS]:
            self.log.warning("replica_row_rejected", assigner_id=stream.peer.id, reason=reason)

    def handle_command(self, stream: Stream, command: m.RestoreFromReplicas) -> None:
        """Complete the restoration with the replicas received so far, or reject the operator's stream."""
        if self.table_restore is None:
            stream.reject("restore from replicas: the store is not empty, or restoring is not configured")
            return
        if not self.table_restore.complete_assigners:
            stream.reject("restore from replicas: no assigner has sent a complete replica yet")
            return
        self.commits.add_operator(stream)
        self._complete(self.table_restore, command.operator[:MAX_OPERATOR_CHARS])

    def complete_if_ready(self) -> None:
        """Complete the restoration if enough replicas are complete."""
        if self.table_restore is not None and self.table_restore.is_ready(self.clock.seconds()):
            self._complete(self.table_restore, "automatic")

    def assigner_disconnected(self, assigner_id: int) -> None:
        """Discard the incomplete replica of an assigner whose stream was lost."""
        if self.table_restore is not None:
            self.table_restore.on_assigner_disconnected(assigner_id)

    def _complete(self, table_restore: TableRestore, operator: str) -> None:
        """Load the restored tables, and grant slices to the connected assigners.

        New fencing tokens are issued far above any token seen, which invalidates all earlier grants. Proxies
        keep their current weights until they are notified.
        """
        now_s = self.clock.seconds()
        self.table_restore = None
        tables = table_restore.tables()
        self.ledger.load_tables(tables)
        self.ledger.highest_token = table_restore.first_fencing_token(self.ledger.highest_token)
        self.log.warning(
            "restored_from_replicas",
            tables=len(tables),
            assigner_ids=sorted(table_restore.complete_assigners),
            highest_token=self.ledger.highest_token,
            operator=operator,
        )
        for assigner_id in sorted(self.sessions.assigners):
            incarnation = self.sessions.incarnations.get(assigner_id, 0)
            self.commits.add_transfers(self.ledger.assigner_connected(now_s, assigner_id, incarnation))

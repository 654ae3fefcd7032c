"""Restores an empty store from the replicas that assigners hold of the tables."""

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

MAX_LOGGED_REASONS = 5  # of one message


class Restoration:
    """While it is pending, the store grants no ownership.

    Args:
        clock: The present time.
        ledger: Takes the tables.
        sessions: The peers.
        commits: Makes the tables durable.
        table_restore: Gathers the replicas; None if nothing is to be restored.
        log: Of the store.
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
        """Whether the store still waits for replicas."""
        return self.table_restore is not None

    def handle_delta(self, stream: Stream, delta: m.ReplicationDelta) -> None:
        """Takes a part of an assigner's replica."""
        if self.table_restore is None:
            return
        reasons = self.table_restore.on_delta(self.clock.seconds(), stream.peer.id, delta)
        for reason in reasons[:MAX_LOGGED_REASONS]:
            self.log.warning("replica_row_rejected", assigner_id=stream.peer.id, reason=reason)

    def handle_command(self, stream: Stream, command: m.RestoreFromReplicas) -> None:
        """Goes on with the replicas received so far, on an operator's command, or rejects the operator."""
        if self.table_restore is None:
            stream.reject("it is not empty, or may not be refilled")
            return
        if not self.table_restore.complete_assigners:
            stream.reject("no assigner has answered yet")
            return
        self.commits.add_operator(stream)
        self._complete(self.table_restore, command.operator[:MAX_OPERATOR_CHARS])

    def check(self) -> None:
        """Goes on once enough replicas are complete."""
        if self.table_restore is not None and self.table_restore.is_ready(self.clock.seconds()):
            self._complete(self.table_restore, "itself")

    def assigner_disconnected(self, assigner_id: int) -> None:
        """An assigner's stream is lost, with what it had not sent in full."""
        if self.table_restore is not None:
            self.table_restore.on_assigner_disconnected(assigner_id)

    def _complete(self, table_restore: TableRestore, operator: str) -> None:
        """Takes the tables over, and grants slices to the connected assigners.

        Fencing tokens go on far above any that was seen, so that nothing granted before counts any more. Proxies
        keep the weights that they have until they are notified.
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

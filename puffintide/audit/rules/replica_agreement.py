"""Rule: all assigners have the same tables at the end, derived from the deltas that passed between them."""

from __future__ import annotations

from puffintide.audit.context import AuditContext
from puffintide.audit.records import PEER_LINK, Record
from puffintide.audit.report import Rule
from puffintide.protocol import messages as m
from puffintide.replication import conflict_resolution
from puffintide.replication.replica import Replica
from puffintide.replication.row_types import RowType

# Time in seconds; tables first sent within this time before the end may not have reached all replicas.
PROPAGATION_S = 5.0
NO_ORIGIN = -1  # Origin id of replayed replicas, which write no rows of their own.
BEFORE_ALL_RECORDS_S = -1.0  # Kill time of an assigner that was never killed.


class _ReplicaReplay:
    """A replay of the rows that each assigner has. Rows from before its last kill do not count."""

    def __init__(self, context: AuditContext) -> None:
        self.context = context
        self.assigner_count = context.config.deployment.assigners
        self.replicas = {k: Replica(NO_ORIGIN, 0, self.assigner_count) for k in range(self.assigner_count)}
        # Time and record at which a value was first sent, by row id and value.
        self.first_sent: dict[tuple[int, object], tuple[float, int]] = {}
        self._killed_at_s = {k: max(times) for k, times in context.truth.kills.items() if times}

    def run(self) -> None:
        """Replay all deltas that passed between assigners."""
        for record in self.context.records:
            if record.link_type == PEER_LINK and isinstance(record.message, m.ReplicationDelta):
                self._add(record, record.message)

    def _add(self, record: Record, delta: m.ReplicationDelta) -> None:
        if record.connection_id not in self.context.peers:
            return
        dialled_id = int(record.link.rsplit(":", 1)[1])
        initiator_id = self.context.peers[record.connection_id].id
        sender, receiver = (dialled_id, initiator_id) if record.to_initiator else (initiator_id, dialled_id)
        if not 0 <= sender < self.assigner_count:
            return
        self._apply(sender, record.received_at_s, delta)  # The sender has the rows even if the delta is lost.
        self._apply(receiver, record.delivered_at_s, delta)
        for row in delta.rows:
            self.first_sent.setdefault((row.row_id, row.value), (record.received_at_s, record.number))

    def _apply(self, assigner_id: int, at_s: float | None, delta: m.ReplicationDelta) -> None:
        if at_s is not None and at_s > self._killed_at_s.get(assigner_id, BEFORE_ALL_RECORDS_S):
            self.replicas[assigner_id].apply(at_s, delta)

    def tables(self) -> dict[int, dict[int, m.Value]]:
        """Return the table that each assigner has at the end, by slice and assigner."""
        tables: dict[int, dict[int, m.Value]] = {}
        for assigner_id, replica in self.replicas.items():
            for slice_id, rows in replica.readings(self.context.end_s, RowType.TABLE).items():
                table = conflict_resolution.latest_table(rows)
                if table is not None:
                    tables.setdefault(slice_id, {})[assigner_id] = table.value
        return tables


def check(context: AuditContext) -> None:
    """Check that each assigner has the newest table of each slice."""
    replay = _ReplicaReplay(context)
    replay.run()
    for slice_id, tables in sorted(replay.tables().items()):
        newest = max(tables.values())
        sent_at_s, record_number = replay.first_sent.get((slice_id, newest), (context.end_s, 0))
        if sent_at_s > context.end_s - PROPAGATION_S:
            continue
        for assigner_id in replay.replicas:
            context.report.case_counts[Rule.REPLICA_AGREEMENT] += 1
            if tables.get(assigner_id) != newest:
                subject = f"assigner {assigner_id} lacks the newest table of slice {slice_id}"
                context.report.add_violation(Rule.REPLICA_AGREEMENT, sent_at_s, subject, record_number)

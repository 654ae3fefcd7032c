"""Rule: the entries that an assigner has ordered and not yet sent stay within the capacity of the channel.

An update counts from the time that the assigner states, but no later than its own write of the same batch to
the store and no later than its sending. If the deployment limits the number of messages to one proxy within a
window, that limit is checked too.
"""

from __future__ import annotations

from collections import defaultdict, deque

from puffintide.audit.context import AuditContext
from puffintide.audit.intervals import FOREVER
from puffintide.audit.report import Rule
from puffintide.protocol import messages as m

Connection = tuple[int, int, float]  # Assigner, proxy, start of the connection.


class _ChannelHistory:
    """The queue changes of each assigner, and the messages on each connection."""

    def __init__(self, context: AuditContext) -> None:
        self.context = context
        # Time, change of the queued entries, and record, by assigner.
        self.queue_changes: dict[int, list[tuple[float, float, int]]] = defaultdict(list)
        self.messages: dict[Connection, list[tuple[float, int]]] = defaultdict(list)  # Time and record.
        self._written_at_s: dict[tuple[int, int], float] = {}  # Times of writes, by assigner and batch.

    def run(self) -> None:
        """Collect all updates and writes in the order in which they were sent."""
        for record in self.context.records_in_order_received():
            peer = self.context.peers.get(record.connection_id)
            message = record.message
            if peer is None:
                continue
            if isinstance(message, m.WriteRequest):
                self._written_at_s[peer.id, message.batch] = record.received_at_s
            elif isinstance(message, m.ProxyUpdate):
                assigner_id = record.link_number
                self._add_update(assigner_id, message, record.received_at_s, record.number)
                connection = (assigner_id, peer.id, peer.connected_at_s)
                self.messages[connection].append((record.received_at_s, record.number))

    def _add_update(
        self, assigner_id: int, update: m.ProxyUpdate, sent_at_s: float, record_number: int
    ) -> None:
        written_at_s = self._written_at_s.get((assigner_id, update.batch), FOREVER)
        ordered_at_s = min(update.ordered_at_s, sent_at_s, written_at_s)
        header_entries = self.context.config.channel.head_lines
        size = max(update.channel_cost, _entry_count(update) + header_entries)
        self.queue_changes[assigner_id].append((ordered_at_s, size, record_number))
        self.queue_changes[assigner_id].append((sent_at_s, -size, record_number))


def _entry_count(update: m.ProxyUpdate) -> int:
    """Return the number of entries of an update, as the channel counts them."""
    lists = (
        update.weights,
        update.cleared_slices,
        update.withdrawn_servers,
        update.readmitted_servers,
        update.admission_levels,
    )
    return sum(len(entries) for entries in lists) + (update.checkpoint_id is not None)


def check(context: AuditContext) -> None:
    """Check the queue of each assigner, and the message rate of each connection if it is limited."""
    history = _ChannelHistory(context)
    history.run()
    limit = context.config.channel.limit
    for assigner_id, changes in sorted(history.queue_changes.items()):
        queued = 0.0
        for at_s, size, record_number in sorted(changes):
            queued += size
            if size > 0:
                subject = f"assigner {assigner_id}"
                context.report.add_case(Rule.CHANNEL_CAPACITY, at_s, subject, queued, limit, record_number)
    if context.config.channel.messages_most:
        for connection, messages in sorted(history.messages.items()):
            _check_message_rate(context, connection, messages)


def _check_message_rate(
    context: AuditContext, connection: Connection, messages: list[tuple[float, int]]
) -> None:
    channel = context.config.channel
    assigner_id, proxy_id, _ = connection
    subject = f"assigner {assigner_id} to proxy {proxy_id}, messages"
    window: deque[tuple[float, int]] = deque()
    for at_s, record_number in messages:
        window.append((at_s, record_number))
        while window[0][0] < at_s - channel.messages_span_s:
            window.popleft()
        context.report.add_case(
            Rule.CHANNEL_CAPACITY,
            at_s,
            subject,
            len(window),
            channel.messages_most,
            window[0][1],
            record_number,
        )

"""Rule: no slice is without a server at a proxy for too long while its owner could assign one.

The tables of each proxy are replayed. Time without a server counts while the slice is owned, the proxy is
connected to the owner, and the owner knows of a server that is ready and has warmed up.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from puffintide.audit.context import AuditContext
from puffintide.audit.intervals import Interval, intersect
from puffintide.audit.records import ORDER_LINK, Record
from puffintide.audit.report import Rule
from puffintide.protocol import messages as m
from puffintide.proxy.weight_tables import WeightTables

RANDOM_VALUE = 0.5  # Has no effect, as the replay picks no server.


class _TableReplay:
    """A replay of the tables of all proxies, which records the intervals in which a slice has no server."""

    def __init__(self, context: AuditContext) -> None:
        self.context = context
        self.tables: dict[int, WeightTables] = {}  # Tables by proxy.
        # Start, end and first record of each interval without a server, by proxy and slice.
        self.empty_intervals: dict[tuple[int, int], list[tuple[float, float, int]]] = defaultdict(list)
        # Start and first record of the intervals that have not ended, by proxy and slice.
        self._empty_since: dict[tuple[int, int], tuple[float, int]] = {}

    def run(self) -> None:
        """Replay all messages that were delivered to proxies."""
        for record in self.context.records:
            peer = self.context.peers.get(record.connection_id)
            if peer is None or peer.role != "proxy" or not record.to_initiator:
                continue
            if record.delivered_at_s is not None:
                changed = self._apply(self._tables_of(peer.id), record)
                self._update_empty_intervals(peer.id, changed, record.delivered_at_s, record.number)
        for key, (since_s, record_number) in self._empty_since.items():
            self.empty_intervals[key].append((since_s, self.context.end_s, record_number))

    def _tables_of(self, proxy_id: int) -> WeightTables:
        if proxy_id not in self.tables:
            deployment = self.context.config.deployment
            self.tables[proxy_id] = WeightTables(
                deployment.slices,
                deployment.retry_default,
                deployment.pick,
                lambda: RANDOM_VALUE,
                single_writer=deployment.single_writer,
            )
        return self.tables[proxy_id]

    def _apply(self, tables: WeightTables, record: Record) -> Iterable[int]:
        """Apply a message to the tables of a proxy, and return the slices that may have changed."""
        message = record.message
        if isinstance(message, m.SliceOwnerships):
            for ownership in message.ownerships:
                tables.apply_ownership(ownership)
            return [ownership.slice_id for ownership in message.ownerships]
        if isinstance(message, m.Welcome) and record.link_type == ORDER_LINK:
            tables.on_assigner_connected(record.link_number)
            return _owned_slices(tables, record.link_number)
        if isinstance(message, m.ProxyUpdate):
            tables.apply_update(record.link_number, message)
            changed = {entry.slice_id for entry in message.weights} | set(message.cleared_slices)
            if message.withdrawn_servers or message.readmitted_servers:
                changed |= set(_owned_slices(tables, record.link_number))
            return sorted(changed & tables.slices.keys())
        return []

    def _update_empty_intervals(
        self, proxy_id: int, slice_ids: Iterable[int], at_s: float, record_number: int
    ) -> None:
        for slice_id in slice_ids:
            key = (proxy_id, slice_id)
            if not self.tables[proxy_id].available_weights(slice_id):
                self._empty_since.setdefault(key, (at_s, record_number))
            elif key in self._empty_since:
                since_s, first_record = self._empty_since.pop(key)
                self.empty_intervals[key].append((since_s, at_s, first_record))


def _owned_slices(tables: WeightTables, assigner_id: int) -> list[int]:
    return sorted(slice_id for slice_id, table in tables.slices.items() if table.owner_id == assigner_id)


def check(context: AuditContext) -> None:
    """Check the rule for each assigner and proxy."""
    if not context.config.deployment.slices:
        return
    replay = _TableReplay(context)
    replay.run()
    for assigner_id in sorted(context.timeline.ownerships):
        warm = context.timeline.warm_server_intervals(assigner_id)
        for proxy_id in sorted(replay.tables):
            _check_proxy(context, replay, assigner_id, proxy_id, warm)


def _check_proxy(
    context: AuditContext, replay: _TableReplay, assigner_id: int, proxy_id: int, warm: list[Interval]
) -> None:
    timeline = context.timeline
    connected = timeline.streams.get((proxy_id, assigner_id), [])
    for slice_id, owned in sorted(timeline.ownerships[assigner_id].items()):
        context.report.case_counts[Rule.AVAILABLE_SERVERS] += 1
        subject = f"proxy {proxy_id}, slice {slice_id}, assigner {assigner_id}"
        for begin_s, end_s, record_number in replay.empty_intervals.get((proxy_id, slice_id), []):
            counted = intersect(intersect(intersect([(begin_s, end_s)], connected), owned), warm)
            for since_s, until_s in counted:
                context.report.add_case(
                    Rule.AVAILABLE_SERVERS,
                    until_s,
                    subject,
                    until_s - since_s,
                    context.config.rules.bare_s,
                    record_number,
                )

"""Rule: a server that warms up is not sent more work than a multiple of its current capacity.

The work in a sliding window is checked if at least two thirds of it is informed, which means that its proxy
could take the server's start into account: the proxy had an update from after its assigner learned of the
start, or the assigner has known of the start for the grace period.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict, deque
from dataclasses import dataclass

from puffintide.audit.context import AuditContext
from puffintide.audit.ground_truth import ServerRun
from puffintide.audit.report import Rule
from puffintide.protocol import messages as m

LIMIT_TOLERANCE = 1.1  # Factor on the limit, as requests may need more work by chance.
# A window is checked if at least this fraction of its work is informed.
MIN_INFORMED_NUMERATOR = 2
MIN_INFORMED_DENOMINATOR = 3
MAX_SHOWN_RECORDS = 5  # Number of records that a finding shows.

Updates = dict[tuple[int, int], list[tuple[float, float]]]  # Delivery and order times, by proxy and assigner.


@dataclass(frozen=True, slots=True)
class _Work:
    at_s: float
    work_s: float
    is_informed: bool  # Whether the proxy could take the server's start into account.
    record_number: int


def check(context: AuditContext) -> None:
    """Check each run of a server that does not start warm."""
    work = _work_by_server(context)
    for run in context.truth.server_runs:
        if not run.is_warm:
            _check_run(context, run, work.get(run.server_id, []))


def _work_by_server(context: AuditContext) -> dict[int, list[_Work]]:
    updates = _updates(context)
    work: dict[int, list[_Work]] = defaultdict(list)
    for record in context.records_in_order_received():
        message = record.message
        if not isinstance(message, m.AttemptRequest) or record.delivered_at_s is None:
            continue
        server_id = record.link_number
        is_informed = _is_informed(context, message, server_id, record.received_at_s, updates)
        work[server_id].append(_Work(record.delivered_at_s, message.work_s, is_informed, record.number))
    return work


def _updates(context: AuditContext) -> Updates:
    updates: Updates = defaultdict(list)
    for record in context.records:
        peer = context.peers.get(record.connection_id)
        message = record.message
        if isinstance(message, m.ProxyUpdate) and peer is not None and record.delivered_at_s is not None:
            times = (record.delivered_at_s, message.ordered_at_s)
            updates[peer.id, record.link_number].append(times)
    return updates


def _is_informed(
    context: AuditContext, attempt: m.AttemptRequest, server_id: int, at_s: float, updates: Updates
) -> bool:
    """Return whether a proxy could take the server's last start into account for an attempt.

    It could if it had an update from after its assigner learned of the start, or if the assigner has known of
    the start for the grace period.
    """
    owner = context.timeline.owner_at(attempt.slice_id, at_s)
    if owner is None:
        return False
    assigner_id, _ = owner
    starts = context.timeline.known_starts.get((assigner_id, server_id), [])
    known_starts = [start_s for start_s in starts if start_s <= at_s]
    if not known_starts:
        return False
    if at_s - known_starts[-1] >= context.config.rules.drain_grace_s:
        return True
    delivered = updates.get((attempt.proxy_id, assigner_id), [])
    index = bisect_right(delivered, at_s, key=lambda times: times[0]) - 1
    return index >= 0 and delivered[index][1] >= known_starts[-1]


def _check_run(context: AuditContext, run: ServerRun, work: list[_Work]) -> None:
    """Check each window within the time in which a server warms up."""
    rules = context.config.rules
    warm_at_s = min(run.ended_at_s, run.started_at_s + run.slow_start_duration_s)
    window: deque[_Work] = deque()
    for item in work:
        if not run.started_at_s <= item.at_s < warm_at_s:
            continue
        window.append(item)
        while window[0].at_s < item.at_s - rules.fall_s:
            window.popleft()
        total_s = sum(other.work_s for other in window)
        informed_s = sum(other.work_s for other in window if other.is_informed)
        limit_s = rules.fall_multiple * run.capacity_at(item.at_s) * rules.fall_s * LIMIT_TOLERANCE
        context.report.case_counts[Rule.SLOW_START] += 1
        if informed_s >= total_s * MIN_INFORMED_NUMERATOR / MIN_INFORMED_DENOMINATOR:
            shown = (other.record_number for other in list(window)[-MAX_SHOWN_RECORDS:])
            subject = f"server {run.server_id}"
            context.report.add_case(Rule.SLOW_START, item.at_s, subject, total_s, limit_s, *shown)

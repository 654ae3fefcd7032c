"""Rule: proxies send no attempt to a draining or removed server after its grace period.

The grace period begins when the owner of the slice is notified that the server is lost, when the proxy
connects to the owner, or when the owner receives the slice, whichever is latest.
"""

from __future__ import annotations

from puffintide.audit.context import AuditContext
from puffintide.audit.intervals import start_of_interval_at
from puffintide.audit.records import Record
from puffintide.audit.report import Rule
from puffintide.protocol import messages as m

LossKey = tuple[int, int, float]  # Assigner, server, time of the notification.


def check(context: AuditContext) -> None:
    """Check the rule, and measure for how long servers receive attempts after their loss."""
    last_attempts_s: dict[LossKey, float] = {}
    for record in context.records_in_order_received():
        if isinstance(record.message, m.AttemptRequest):
            _check_attempt(context, record, record.message, last_attempts_s)
    context.report.drain_durations_s = sorted(
        last_s - lost_at_s for (_, _, lost_at_s), last_s in last_attempts_s.items()
    )


def _check_attempt(
    context: AuditContext, record: Record, attempt: m.AttemptRequest, last_attempts_s: dict[LossKey, float]
) -> None:
    at_s = record.received_at_s
    server_id = record.link_number
    owner = context.timeline.owner_at(attempt.slice_id, at_s)
    if owner is None:
        return
    assigner_id, owned_since_s = owner
    stream = context.timeline.streams.get((attempt.proxy_id, assigner_id), [])
    connected_since_s = start_of_interval_at(stream, at_s)
    lost_at_s = context.timeline.endpoints[assigner_id][server_id].unavailable_since(at_s)
    if connected_since_s is None or lost_at_s is None:
        return
    key = (assigner_id, server_id, lost_at_s)
    last_attempts_s[key] = max(last_attempts_s.get(key, lost_at_s), at_s)
    context.report.add_case(
        Rule.GRACEFUL_DRAINING,
        at_s,
        f"proxy {attempt.proxy_id} to server {server_id}, slice {attempt.slice_id}, assigner {assigner_id}",
        at_s - max(lost_at_s, connected_since_s, owned_since_s),
        context.config.rules.drain_grace_s,
        record.number,
    )

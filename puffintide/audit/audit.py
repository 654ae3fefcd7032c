"""Checks all rules on the records of a scenario, without I/O: records and ground truth in, a report out.

Every result is derived from the recorded messages: which processes were connected and when, what each
assigner was notified of and when, which tables each proxy had, and what was sent where. The only statement of
an assigner about itself that is used is the time of an update. For the capacity of the channel, that time
counts no later than the assigner's own write of the update to the store.
"""

from __future__ import annotations

from puffintide.audit.context import AuditContext
from puffintide.audit.ground_truth import GroundTruth
from puffintide.audit.records import Record, peers_by_connection
from puffintide.audit.report import AuditReport
from puffintide.audit.rules import CHECKS
from puffintide.audit.timeline import Timeline
from puffintide.config.model import Config


def _delivery_order(record: Record) -> tuple[float, int]:
    at_s = record.delivered_at_s if record.delivered_at_s is not None else record.received_at_s
    return at_s, record.number


def audit(config: Config, records: list[Record], truth: GroundTruth) -> AuditReport:
    """Check all rules and return the report.

    Args:
        config: The configuration of the scenario.
        records: The records of all recording proxies, in any order.
        truth: The runs of servers, and the kills and pauses of assigners.
    """
    ordered = sorted(records, key=_delivery_order)
    peers = peers_by_connection(ordered)
    timeline = Timeline(config, ordered, peers, truth)
    end_s = max((record.received_at_s for record in ordered), default=0.0)
    context = AuditContext(config, ordered, peers, truth, timeline, end_s, AuditReport())
    for check in CHECKS:
        check(context)
    return context.report

"""Checks all rules on the records of a scenario. No I/O: records and ground truth in, a report out.

All is worked out from what passed between the parties: who was connected to whom and when, what each assigner was
notified of and when, what tables each proxy had, what was sent where. What an assigner says of itself counts in one
place only, the time of an update, and there it must agree with its own write to the store.
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
    """Check all rules.

    Args:
        config: Of the scenario.
        records: Of all recording proxies, in any order.
        truth: Servers' runs, kills and pauses.
    """
    ordered = sorted(records, key=_delivery_order)
    peers = peers_by_connection(ordered)
    timeline = Timeline(config, ordered, peers, truth)
    end_s = max((record.received_at_s for record in ordered), default=0.0)
    context = AuditContext(config, ordered, peers, truth, timeline, end_s, AuditReport())
    for check in CHECKS:
        check(context)
    return context.report

"""What each rule's check works on."""

from __future__ import annotations

from dataclasses import dataclass

from puffintide.audit.ground_truth import GroundTruth
from puffintide.audit.records import Peer, Record
from puffintide.audit.report import AuditReport
from puffintide.audit.timeline import Timeline
from puffintide.config.model import Config


@dataclass(frozen=True, slots=True)
class AuditContext:
    """The records and what follows from them, and the report to add to."""

    config: Config
    records: list[Record]  # in order of delivery
    peers: dict[int, Peer]  # by connection
    truth: GroundTruth
    timeline: Timeline
    end_s: float  # time of the last record
    report: AuditReport

    def records_in_order_received(self) -> list[Record]:
        """The records as the recording proxies received them."""
        return sorted(self.records, key=lambda record: (record.received_at_s, record.number))

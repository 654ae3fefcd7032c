"""The input and the output that the checks of all rules share."""

from __future__ import annotations

from dataclasses import dataclass

from puffintide.audit.ground_truth import GroundTruth
from puffintide.audit.records import Peer, Record
from puffintide.audit.report import AuditReport
from puffintide.audit.timeline import Timeline
from puffintide.config.model import Config


@dataclass(frozen=True, slots=True)
class AuditContext:
    """The records, the data derived from them, and the report that checks add to."""

    config: Config
    records: list[Record]  # All records, in order of delivery.
    peers: dict[int, Peer]  # The initiator of each connection, by connection id.
    truth: GroundTruth
    timeline: Timeline
    end_s: float  # Time at which the last record was received, in seconds.
    report: AuditReport

    def records_in_order_received(self) -> list[Record]:
        """Return the records in the order in which the recording proxies received them."""
        return sorted(self.records, key=lambda record: (record.received_at_s, record.number))

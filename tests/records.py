"""Builds records of a recorded scenario in which all rules are kept, unless a test adds a violation."""

from __future__ import annotations

from puffintide.audit.audit import audit
from puffintide.audit.ground_truth import GroundTruth, ServerRun
from puffintide.audit.records import Record
from puffintide.audit.report import AuditReport, Rule
from puffintide.config.loader import parse_config
from puffintide.config.model import Config
from puffintide.protocol import messages as m

SECTIONS: dict[str, dict[str, str]] = {
    "deployment": {"name": "t", "zones": "a, b", "assigners": "2", "proxies": "3", "slices": "4"},
    "channel": {"limit": "100", "head_lines": "10", "messages_most": "5", "messages_span_s": "10"},
    "rules": {
        "drain_grace_s": "2",
        "warm_within_s": "10",
        "bare_s": "3",
        "fall_multiple": "3",
        "fall_s": "1.5",
    },
    "class read": {"effect": "repeatable", "aim_s": "1", "deadline_s": "4"},
    "class keyed": {"effect": "by_key", "group": "zone", "window_s": "2", "aim_s": "1", "deadline_s": "4"},
    "class once": {"effect": "once", "aim_s": "1", "deadline_s": "4"},
}
READ, KEYED, ONCE = 0, 1, 2  # Indexes of the request classes.
DEFAULT_LATENCY = -1.0  # Delivery time that stands for 1 ms after the record was received.


def make_config(**changes: dict[str, str]) -> Config:
    return parse_config("test", {k: v | changes.get(k, {}) for k, v in SECTIONS.items()})


class RecordedScenario:
    """Two assigners, three proxies and four servers; assigner 0 owns the even slices, 1 the odd ones."""

    def __init__(self, started_at_s: float = 100.0, **changes: dict[str, str]) -> None:
        self.config = make_config(**changes)
        self.records: list[Record] = []
        self.truth = GroundTruth(server_runs=[ServerRun(s, 0.0, 1e9, True, 2.0, 0.3, 8.0) for s in range(4)])
        self.connections: dict[tuple[str, str, int], int] = {}
        self.last_request_id = 0
        self.last_batch = 0
        for assigner_id in (0, 1):
            self.connect(started_at_s, "list", "assigner", assigner_id)
            self.connect(started_at_s, "store", "assigner", assigner_id)
            self.send_endpoints(started_at_s, assigner_id, *[self.endpoint(s) for s in range(4)])
        for proxy_id in range(3):
            self.connect(started_at_s, "store", "proxy", proxy_id)
            for assigner_id in (0, 1):
                self.connect(started_at_s, f"order:{assigner_id}", "proxy", proxy_id)
            for server_id in range(4):
                self.connect(started_at_s, f"try:{server_id}", "proxy", proxy_id)
        for slice_id in range(4):
            self.send_ownership(started_at_s, slice_id, slice_id % 2, slice_id, token=slice_id + 1)
        for proxy_id in range(3):
            self.add(started_at_s, "store", "proxy", proxy_id, m.ReadComplete(4), to_initiator=True)

    def add(
        self,
        at_s: float,
        link: str,
        role: str,
        peer_id: int,
        message: m.AnyMessage | None,
        to_initiator: bool = False,
        delivered_at_s: float | None = DEFAULT_LATENCY,
    ) -> int:
        """Add a record and return its number."""
        connection_id = self.connections[link, role, peer_id]
        delivered_at_s = at_s + 0.001 if delivered_at_s == DEFAULT_LATENCY else delivered_at_s
        number = len(self.records) + 1
        self.records.append(Record(number, at_s, delivered_at_s, link, connection_id, to_initiator, message))
        return len(self.records)

    def connect(self, at_s: float, link: str, role: str, peer_id: int) -> None:
        self.connections[link, role, peer_id] = len(self.records) + 1000
        self.add(at_s, link, role, peer_id, m.Hello(m.PROTOCOL_VERSION, role, peer_id, peer_id % 2))

    def disconnect(self, at_s: float, link: str, role: str, peer_id: int) -> None:
        self.add(at_s, link, role, peer_id, None)

    def endpoint(
        self, server_id: int, status: int = 1, incarnation: int = 1, age_s: float = -1.0
    ) -> m.EndpointEntry:
        return m.EndpointEntry(server_id, server_id % 2, 0, 0, status, 2.0, incarnation, age_s)

    def send_endpoints(
        self, at_s: float, assigner_id: int, *entries: m.EndpointEntry, update_type: str = "delta"
    ) -> None:
        event = m.WatchEvent(update_type, 1, list(entries))
        self.add(at_s, "list", "assigner", assigner_id, event, to_initiator=True)

    def send_ownership(
        self, at_s: float, slice_id: int, assigner_id: int, server_id: int, token: int
    ) -> None:
        ownership = m.SliceOwnership(slice_id, token, assigner_id, [m.TableEntry(server_id, 1.0)])
        message = m.SliceOwnerships([ownership])
        self.add(at_s, "store", "assigner", assigner_id, message, to_initiator=True)
        for proxy_id in range(3):
            self.add(at_s, "store", "proxy", proxy_id, message, to_initiator=True)

    def send_update(
        self,
        at_s: float,
        assigner_id: int,
        proxy_id: int,
        *weights: tuple[int, int, float],
        ordered_at_s: float | None = None,
        withdrawn: tuple[int, ...] = (),
        readmitted: tuple[int, ...] = (),
        cleared_slices: tuple[int, ...] = (),
        cost: float = 0.0,
        batch: int | None = None,
        token: int | None = None,
    ) -> None:
        """Add an update of weights, given as slice, server and weight."""
        self.last_batch += 1
        entries = [
            m.WeightEntry(slice_id, server_id, weight, slice_id + 1 if token is None else token)
            for slice_id, server_id, weight in weights
        ]
        size = len(weights) + len(withdrawn) + len(readmitted) + len(cleared_slices) + 10
        update = m.ProxyUpdate(
            self.last_batch if batch is None else batch,
            at_s if ordered_at_s is None else ordered_at_s,
            cost or size,
            entries,
            list(cleared_slices),
            list(withdrawn),
            list(readmitted),
        )
        self.add(at_s, f"order:{assigner_id}", "proxy", proxy_id, update, to_initiator=True)

    def send_attempt(
        self,
        at_s: float,
        server_id: int,
        proxy_id: int = 0,
        slice_id: int = 0,
        class_index: int = READ,
        request_id: int | None = None,
        attempt_number: int = 0,
        status: int | None = m.AttemptStatus.OK,
        response_delay_s: float = 0.1,
        work_s: float = 0.05,
        delivered_at_s: float | None = DEFAULT_LATENCY,
    ) -> int:
        """Add an attempt and its response, and return the request id. No status means no response."""
        if request_id is None:
            self.last_request_id += 1
            request_id = self.last_request_id
        link = f"try:{server_id}"
        attempt_id = len(self.records) + 1
        attempt = m.AttemptRequest(
            attempt_id, request_id, proxy_id, slice_id, class_index, 5, attempt_number, 2.0, work_s
        )
        self.add(at_s, link, "proxy", proxy_id, attempt, delivered_at_s=delivered_at_s)
        if status is not None and delivered_at_s is not None:
            response = m.AttemptResponse(attempt_id, status)
            self.add(at_s + response_delay_s, link, "proxy", proxy_id, response, to_initiator=True)
        return request_id

    def evaluate(self) -> AuditReport:
        return audit(self.config, self.records, self.truth)


def violated_rules(report: AuditReport) -> set[Rule]:
    return {finding.rule for finding in report.findings}

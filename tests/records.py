"""Builds records of a made-up day: whole and kept unless a test bends it."""

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
READ, KEYED, ONCE = 0, 1, 2


def config(**changes: dict[str, str]) -> Config:
    return parse_config("test", {k: v | changes.get(k, {}) for k, v in SECTIONS.items()})


class Tape:
    """A deployment of two assigners (slices by their number modulo two), three proxies, servers 0 to 3."""

    def __init__(self, begin: float = 100.0, **changes: dict[str, str]) -> None:
        self.config = config(**changes)
        self.rows: list[Record] = []
        self.truth = GroundTruth(server_runs=[ServerRun(s, 0.0, 1e9, True, 2.0, 0.3, 8.0) for s in range(4)])
        self.conns: dict[tuple[str, str, int], int] = {}
        self.requests = 0
        self.batch = 0
        for a in (0, 1):
            self.dial(begin, "list", "assigner", a)
            self.dial(begin, "store", "assigner", a)
            self.news(begin, a, *[self.entry(s) for s in range(4)])
        for p in range(3):
            self.dial(begin, "store", "proxy", p)
            for a in (0, 1):
                self.dial(begin, f"order:{a}", "proxy", p)
            for s in range(4):
                self.dial(begin, f"try:{s}", "proxy", p)
        for number in range(4):
            self.charge(begin, number, number % 2, number, token=number + 1)
        for p in range(3):
            self.add(begin, "store", "proxy", p, m.ReadComplete(4), back=True)

    def add(
        self,
        at: float,
        link: str,
        role: str,
        who: int,
        message: m.AnyMessage | None,
        back: bool = False,
        went: float | None = -1.0,
    ) -> int:
        conn = self.conns[link, role, who]
        went = at + 0.001 if went == -1.0 else went
        self.rows.append(Record(len(self.rows) + 1, at, went, link, conn, back, message))
        return len(self.rows)

    def dial(self, at: float, link: str, role: str, who: int) -> None:
        self.conns[link, role, who] = len(self.rows) + 1000
        self.add(at, link, role, who, m.Hello(m.PROTOCOL_VERSION, role, who, who % 2))

    def hang_up(self, at: float, link: str, role: str, who: int) -> None:
        self.add(at, link, role, who, None)

    def entry(self, server: int, state: int = 1, life: int = 1, age: float = -1.0) -> m.EndpointEntry:
        return m.EndpointEntry(server, server % 2, 0, 0, state, 2.0, life, age)

    def news(self, at: float, assigner: int, *entries: m.EndpointEntry, kind: str = "delta") -> None:
        self.add(at, "list", "assigner", assigner, m.WatchEvent(kind, 1, list(entries)), back=True)

    def charge(self, at: float, number: int, assigner: int, server: int, token: int) -> None:
        charge = m.SliceOwnership(number, token, assigner, [m.TableEntry(server, 1.0)])
        self.add(at, "store", "assigner", assigner, m.SliceOwnerships([charge]), back=True)
        for p in range(3):
            self.add(at, "store", "proxy", p, m.SliceOwnerships([charge]), back=True)

    def order(
        self,
        at: float,
        assigner: int,
        proxy: int,
        *lines: tuple[int, int, float],
        ordered: float | None = None,
        out: tuple[int, ...] = (),
        back: tuple[int, ...] = (),
        clear: tuple[int, ...] = (),
        cost: float = 0.0,
        batch: int | None = None,
        token: int | None = None,
    ) -> None:
        self.batch += 1
        made = [m.WeightEntry(t, s, w, t + 1 if token is None else token) for t, s, w in lines]
        size = len(lines) + len(out) + len(back) + len(clear) + 10
        when = at if ordered is None else ordered
        number = self.batch if batch is None else batch
        order = m.ProxyUpdate(number, when, cost or size, made, list(clear), list(out), list(back))
        self.add(at, f"order:{assigner}", "proxy", proxy, order, back=True)

    def request(
        self,
        at: float,
        server: int,
        proxy: int = 0,
        number: int = 0,
        kind: int = READ,
        request: int | None = None,
        attempt: int = 0,
        status: int | None = m.AttemptStatus.OK,
        answered: float = 0.1,
        work: float = 0.05,
        went: float | None = -1.0,
    ) -> int:
        """A try of a slice at a server, and its answer; the request's number."""
        if request is None:
            self.requests += 1
            request = self.requests
        key = len(self.rows) + 1
        t = m.AttemptRequest(key, request, proxy, number, kind, 5, attempt, 2.0, work)
        self.add(at, f"try:{server}", "proxy", proxy, t, went=went)
        if status is not None and went is not None:
            self.add(
                at + answered, f"try:{server}", "proxy", proxy, m.AttemptResponse(key, status), back=True
            )
        return request

    def evaluate(self) -> AuditReport:
        return audit(self.config, self.rows, self.truth)


def broken(report: AuditReport) -> set[Rule]:
    return {f.rule for f in report.findings}

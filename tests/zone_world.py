"""Helper for tests of the zone plan: a plan in rounds of a quarter second, and its servers."""

from __future__ import annotations

from puffintide.decisions.events import (
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ListUpdateType,
    ServerLoadReport,
    ZoneCommandReceived,
    ZoneOperation,
)
from puffintide.zones.plan import ZonePlan
from puffintide.zones.state import ServerHealth, ZoneLimits
from tests.world import START, settings

SERVERS = tuple(range(1, 9))  # odd ones in zone 1, even ones in zone 0
ZONE = {s: s % 2 for s in SERVERS}


def entry(
    sid: int, state: EndpointStatus = EndpointStatus.READY, started: float = 0.0, zone: int | None = None
) -> Endpoint:
    return Endpoint(sid, ZONE[sid] if zone is None else zone, 0, 0, state, 2.0, started)


class ZoneWorld:
    """A plan, what its servers are like, and a clock."""

    def __init__(self, spillover: float = 0.5, zones: int = 2) -> None:
        self.plan = ZonePlan(settings(zone_count=zones), ZoneLimits(spillover))
        self.now = START
        self.health = {s: ServerHealth(True, 0.5) for s in SERVERS}
        self.send(EndpointListUpdate(ListUpdateType.SNAPSHOT, 1, tuple(entry(s) for s in SERVERS)))

    def send(self, *events: Event) -> None:
        for event in events:
            self.plan.observe(self.now, event)

    def run(self, seconds: float) -> dict[int, float]:
        limits: dict[int, float] = {}
        for _ in range(max(1, round(seconds * 4))):
            self.now += 0.25
            limits = self.plan.update(self.now, self.health)
        return limits

    def list_zone(self, zone: int, state: EndpointStatus, is_restarted: bool = False) -> None:
        """List all servers of a zone with a state."""
        started = self.now if is_restarted else 0.0
        rows = tuple(entry(s, state, started) for s in SERVERS if ZONE[s] == zone)
        self.send(EndpointListUpdate(ListUpdateType.DELTA, 2, rows))

    def phase(self, zone: int) -> str:
        return self.plan.states()[zone].phase

    def report_paths(self, failure_fractions: dict[tuple[int, int], float]) -> None:
        """Report attempts of one zone's proxies at another zone's servers, by (proxy zone, server zone)."""
        for (proxy_zone, server_zone), fraction in failure_fractions.items():
            for s in (s for s in SERVERS if ZONE[s] == server_zone):
                self.send(ServerLoadReport(proxy_zone, s, 20, round(20 * fraction), 0.05, 0.5, ()))

    def apply(self, what: str, zone: int) -> None:
        """Apply one step of a random sequence to a zone."""
        ids = [s for s in SERVERS if ZONE[s] == zone]
        match what:
            case "gone":
                self.list_zone(zone, EndpointStatus.REMOVED)
            case "ready":
                self.list_zone(zone, EndpointStatus.READY)
            case "drain":
                self.list_zone(zone, EndpointStatus.DRAINING)
            case "silent" | "answer":
                self.health |= {s: ServerHealth(what == "answer", 0.5) for s in ids}
            case "hot" | "cool":
                self.health |= {s: ServerHealth(True, 0.99 if what == "hot" else 0.3) for s in ids}
            case "hold" | "return":
                self.send(ZoneCommandReceived(zone, ZoneOperation(what), 1.0))

"""Test helper that updates a zone plan in rounds of 0.25 s and simulates its servers."""

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

SERVERS = tuple(range(1, 9))  # Odd ids are in zone 1, even ids in zone 0.
ZONE_BY_SERVER = {s: s % 2 for s in SERVERS}


def endpoint(
    server_id: int,
    status: EndpointStatus = EndpointStatus.READY,
    started_at_s: float = 0.0,
    zone: int | None = None,
) -> Endpoint:
    return Endpoint(
        server_id, ZONE_BY_SERVER[server_id] if zone is None else zone, 0, 0, status, 2.0, started_at_s
    )


class ZoneWorld:
    """Holds a zone plan, the health of its servers, and a clock."""

    def __init__(self, spillover_fraction: float = 0.5, zones: int = 2) -> None:
        self.plan = ZonePlan(settings(zone_count=zones), ZoneLimits(spillover_fraction))
        self.now = START
        self.health = {s: ServerHealth(True, 0.5) for s in SERVERS}
        self.send(EndpointListUpdate(ListUpdateType.SNAPSHOT, 1, tuple(endpoint(s) for s in SERVERS)))

    def send(self, *events: Event) -> None:
        """Pass events to the plan."""
        for event in events:
            self.plan.observe(self.now, event)

    def run(self, seconds: float) -> dict[int, float]:
        """Update the plan every 0.25 s for a duration, and return the last capacity limits."""
        limits: dict[int, float] = {}
        for _ in range(max(1, round(seconds * 4))):
            self.now += 0.25
            limits = self.plan.update(self.now, self.health)
        return limits

    def list_zone(self, zone: int, status: EndpointStatus, is_restarted: bool = False) -> None:
        """Send a list update that sets the status of all servers of a zone."""
        started_at_s = self.now if is_restarted else 0.0
        endpoints = tuple(endpoint(s, status, started_at_s) for s in SERVERS if ZONE_BY_SERVER[s] == zone)
        self.send(EndpointListUpdate(ListUpdateType.DELTA, 2, endpoints))

    def phase(self, zone: int) -> str:
        return self.plan.states()[zone].phase

    def report_paths(self, failure_fractions: dict[tuple[int, int], float]) -> None:
        """Send load reports with the given fraction of failed attempts, by (proxy zone, server zone)."""
        for (proxy_zone, server_zone), fraction in failure_fractions.items():
            for s in (s for s in SERVERS if ZONE_BY_SERVER[s] == server_zone):
                self.send(ServerLoadReport(proxy_zone, s, 20, round(20 * fraction), 0.05, 0.5, ()))

    def apply_step(self, step: str, zone: int) -> None:
        """Apply a named step of a random sequence to a zone."""
        server_ids = [s for s in SERVERS if ZONE_BY_SERVER[s] == zone]
        match step:
            case "remove":
                self.list_zone(zone, EndpointStatus.REMOVED)
            case "list":
                self.list_zone(zone, EndpointStatus.READY)
            case "drain":
                self.list_zone(zone, EndpointStatus.DRAINING)
            case "stop_responding" | "respond":
                self.health |= {s: ServerHealth(step == "respond", 0.5) for s in server_ids}
            case "overload" | "unload":
                self.health |= {
                    s: ServerHealth(True, 0.99 if step == "overload" else 0.3) for s in server_ids
                }
            case "hold" | "return":
                self.send(ZoneCommandReceived(zone, ZoneOperation(step), 1.0))

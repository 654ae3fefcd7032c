"""Network paths between zones: tells a faulty path, or load reports that do not arrive, from a lost zone."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from puffintide.decisions.events import ServerLoadReport
from puffintide.zones import parameters
from puffintide.zones.state import PathFault, ServerHealth


@dataclass(slots=True)
class _PathStatistics:
    """Attempts of one zone's proxies at another zone's servers."""

    failure_fraction: float = 0.0
    updated_at_s: float = -math.inf

    def add(self, now_s: float, attempts: int, failed: int, interval_s: float) -> None:
        """Add the attempts of an interval."""
        sample = failed / attempts
        is_recent = now_s - self.updated_at_s < parameters.OBSERVATION_EXPIRY_S
        previous = self.failure_fraction if is_recent else sample
        interval_s = max(interval_s, parameters.MIN_REPORT_INTERVAL_S)
        weight = min(attempts, parameters.PATH_AVERAGE_MAX_ATTEMPTS)
        gain = 1 - math.exp(-interval_s * weight / parameters.PATH_AVERAGE_MEMORY)
        self.failure_fraction = previous + (sample - previous) * gain
        self.updated_at_s = now_s


class PathMonitor:
    """Follows the attempts between zones, and the load reports of each zone's proxies."""

    def __init__(self, zones: Sequence[int]) -> None:
        self._zones = sorted(zones)
        self._paths: dict[tuple[int, int], _PathStatistics] = {}  # by zone of proxies, zone of servers
        self._reported_at_s: dict[int, float] = {}  # by zone of proxies
        self._proxy_zones: dict[int, int] = {}

    def on_proxy_connected(self, proxy_id: int, zone: int) -> None:
        """Take in that a proxy connected."""
        self._proxy_zones[proxy_id] = zone

    def on_proxy_disconnected(self, proxy_id: int) -> None:
        """Take in that a proxy is no longer connected."""
        self._proxy_zones.pop(proxy_id, None)

    def on_load_report(self, now_s: float, report: ServerLoadReport, server_zone: int | None) -> None:
        """Take in a report of attempts; server_zone is None if the server is not known."""
        if report.attempts == 0 or not 0 <= report.failed_attempts <= report.attempts:
            return
        self._reported_at_s[report.proxy_zone] = now_s
        if server_zone is not None and report.interval_s > 0:
            path = self._paths.setdefault((report.proxy_zone, server_zone), _PathStatistics())
            path.add(now_s, report.attempts, report.failed_attempts, report.interval_s)

    def find_fault(self, now_s: float, zone: int, health: Sequence[ServerHealth]) -> PathFault:
        """Return the fault of a zone whose servers are not to blame.

        Args:
            now_s: Seconds on the assigner's clock.
            zone: The zone.
            health: Health of its ready servers.
        """
        others = [other for other in self._zones if other != zone]
        inbound = [self._is_faulty(now_s, other, zone) for other in others]
        outbound = [self._is_faulty(now_s, zone, other) for other in others]
        observed = [is_faulty for is_faulty in inbound + outbound if is_faulty is not None]
        if self._is_faulty(now_s, zone, zone) is False:
            if observed and all(observed):
                return PathFault.LINK
            if any(inbound):
                return PathFault.ONE_SIDED
        if self._are_reports_delayed(now_s, zone, others) and _do_most_servers_pass(health):
            return PathFault.REPORTS
        return PathFault.NONE

    def _is_faulty(self, now_s: float, proxy_zone: int, server_zone: int) -> bool | None:
        """Whether attempts on a path fail; None if there were none recently."""
        path = self._paths.get((proxy_zone, server_zone))
        if path is None or now_s - path.updated_at_s > parameters.OBSERVATION_EXPIRY_S:
            return None
        return path.failure_fraction > parameters.PATH_FAULT_FRACTION

    def _are_reports_delayed(self, now_s: float, zone: int, others: list[int]) -> bool:
        """Whether a zone has proxies, and only other zones' proxies report."""
        has_proxies = zone in self._proxy_zones.values()
        others_report = any(self._has_reported(now_s, other) for other in others)
        return has_proxies and others_report and not self._has_reported(now_s, zone)

    def _has_reported(self, now_s: float, zone: int) -> bool:
        reported_at_s = self._reported_at_s.get(zone, -math.inf)
        return now_s - reported_at_s <= parameters.OBSERVATION_EXPIRY_S


def _do_most_servers_pass(health: Sequence[ServerHealth]) -> bool:
    outcomes = [
        server.health_check_succeeded for server in health if server.health_check_succeeded is not None
    ]
    return sum(outcomes) > len(outcomes) / 2

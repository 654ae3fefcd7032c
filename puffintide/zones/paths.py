"""Detection of faulty network paths and missing load reports, as distinct from the loss of a zone."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from puffintide.decisions.events import ServerLoadReport
from puffintide.zones import parameters
from puffintide.zones.state import PathFault, ServerHealth


@dataclass(slots=True)
class _PathStatistics:
    """Moving average of the failed fraction of attempts by one zone's proxies at one zone's servers."""

    failure_fraction: float = 0.0
    updated_at_s: float = -math.inf

    def add(self, now_s: float, attempts: int, failed: int, interval_s: float) -> None:
        """Add the attempts of an interval to the average.

        Args:
            now_s: Seconds on the assigner's clock.
            attempts: Number of attempts in the interval, at least 1.
            failed: Number of attempts that failed.
            interval_s: Length of the interval in seconds.
        """
        sample = failed / attempts
        is_recent = now_s - self.updated_at_s < parameters.OBSERVATION_EXPIRY_S
        previous = self.failure_fraction if is_recent else sample
        interval_s = max(interval_s, parameters.MIN_REPORT_INTERVAL_S)
        weight = min(attempts, parameters.PATH_AVERAGE_MAX_ATTEMPTS)
        smoothing_factor = 1 - math.exp(-interval_s * weight / parameters.PATH_AVERAGE_TIME_CONSTANT)
        self.failure_fraction = previous + (sample - previous) * smoothing_factor
        self.updated_at_s = now_s


class PathMonitor:
    """Tracks failed attempts between zones and the times of load reports from each zone's proxies."""

    def __init__(self, zones: Sequence[int]) -> None:
        self._zones = sorted(zones)
        self._paths: dict[tuple[int, int], _PathStatistics] = {}  # Keyed by (proxy zone, server zone).
        self._reported_at_s: dict[int, float] = {}  # Time of the last load report, by proxy zone.
        self._proxy_zones: dict[int, int] = {}  # Zone of each connected proxy, by proxy id.

    def on_proxy_connected(self, proxy_id: int, zone: int) -> None:
        """Record the zone of a proxy that connected."""
        self._proxy_zones[proxy_id] = zone

    def on_proxy_disconnected(self, proxy_id: int) -> None:
        """Remove a proxy that disconnected."""
        self._proxy_zones.pop(proxy_id, None)

    def on_load_report(self, now_s: float, report: ServerLoadReport, server_zone: int | None) -> None:
        """Add the attempts of a load report to the average of their path.

        Reports without attempts or with an impossible number of failed attempts are ignored.

        Args:
            now_s: Seconds on the assigner's clock.
            report: The load report.
            server_zone: Zone of the reported server, or None if the server is not known.
        """
        if report.attempts == 0 or not 0 <= report.failed_attempts <= report.attempts:
            return
        self._reported_at_s[report.proxy_zone] = now_s
        if server_zone is not None and report.interval_s > 0:
            path = self._paths.setdefault((report.proxy_zone, server_zone), _PathStatistics())
            path.add(now_s, report.attempts, report.failed_attempts, report.interval_s)

    def find_fault(self, now_s: float, zone: int, health: Sequence[ServerHealth]) -> PathFault:
        """Return the path or reporting fault of a zone, or PathFault.NONE.

        A fault of a zone's own servers is not a path fault.

        Args:
            now_s: Seconds on the assigner's clock.
            zone: The zone to check.
            health: Health of the zone's ready servers.
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
        if self._are_reports_missing(now_s, zone, others) and _do_most_health_checks_succeed(health):
            return PathFault.REPORTS
        return PathFault.NONE

    def _is_faulty(self, now_s: float, proxy_zone: int, server_zone: int) -> bool | None:
        """Return whether a path is faulty, or None without recent attempts on it."""
        path = self._paths.get((proxy_zone, server_zone))
        if path is None or now_s - path.updated_at_s > parameters.OBSERVATION_EXPIRY_S:
            return None
        return path.failure_fraction > parameters.PATH_FAULT_FRACTION

    def _are_reports_missing(self, now_s: float, zone: int, others: list[int]) -> bool:
        """Return whether a zone has connected proxies, and load reports arrive only from other zones."""
        has_proxies = zone in self._proxy_zones.values()
        others_report = any(self._has_reported(now_s, other) for other in others)
        return has_proxies and others_report and not self._has_reported(now_s, zone)

    def _has_reported(self, now_s: float, zone: int) -> bool:
        """Return whether a load report of a zone's proxies arrived recently."""
        reported_at_s = self._reported_at_s.get(zone, -math.inf)
        return now_s - reported_at_s <= parameters.OBSERVATION_EXPIRY_S


def _do_most_health_checks_succeed(health: Sequence[ServerHealth]) -> bool:
    """Return whether the last health check succeeded for most of the servers that had one."""
    outcomes = [
        server.health_check_succeeded for server in health if server.health_check_succeeded is not None
    ]
    return sum(outcomes) > len(outcomes) / 2

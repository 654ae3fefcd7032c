"""Outlier detection: ejects servers that do not respond, and reinstates them along a recovery ramp.

A server is suspected when its requests or health checks fail and it has not responded for a while. Not responding
alone ejects no server, as there may be no requests. Time without a response is measured up to the latest report, so
that reports that are late for all servers eject none either. If most of the fleet is suspected the cause is common,
and none is ejected.
"""

from __future__ import annotations

import math
import zlib

from puffintide.decisions import parameters
from puffintide.decisions.actions import SendHealthCheck
from puffintide.decisions.events import HealthCheckResult, HealthCheckStatus
from puffintide.decisions.observations import apply_load_values
from puffintide.decisions.state import FleetState, ServerState

CONCLUSIVE_STATUSES = frozenset(
    {
        HealthCheckStatus.OK,
        HealthCheckStatus.TIMEOUT,
        HealthCheckStatus.UNREACHABLE,
        HealthCheckStatus.RESET,
    }
)
MIN_LISTED_WEIGHT = 1e-9


def apply_health_check(fleet: FleetState, event: HealthCheckResult) -> None:
    """Take in the outcome of a health check; an error or a rejection says nothing about the server."""
    server = fleet.servers.get(event.server_id)
    if server is None or event.status not in CONCLUSIVE_STATUSES:
        return
    succeeded = event.status == HealthCheckStatus.OK
    if succeeded:
        server.consecutive_checks = max(server.consecutive_checks, 0) + 1
        server.shortest_health_check_s = min(server.shortest_health_check_s, event.elapsed_s)
        apply_load_values(fleet, server, event.load_values)
    else:
        server.consecutive_checks = min(server.consecutive_checks, 0) - 1
    longest_s = parameters.DELAYED_HEALTH_CHECK_RATIO * server.shortest_health_check_s
    server.is_delayed = not succeeded or event.elapsed_s > longest_s
    if succeeded or event.status == HealthCheckStatus.TIMEOUT:
        _record_health_check(fleet, server)


def _record_health_check(fleet: FleetState, server: ServerState) -> None:
    """Record it for the estimate of how many requests a full server has in flight."""
    if server.in_flight is not None and server.endpoint.zone not in fleet.unreliable_zones:
        listed_weight = max(server.endpoint.weight, MIN_LISTED_WEIGHT)
        fleet.recorded_checks.append((server.last_in_flight / listed_weight, server.is_delayed))


def update_recovery_levels(fleet: FleetState) -> None:
    """Eject servers that are suspected, and move the others up their recovery ramps."""
    ready = fleet.ready_servers()
    fleet.unreliable_zones = _find_unreliable_zones(ready)
    suspected_ids = {server.server_id for server in ready if _is_suspected(fleet, server)}
    if len(suspected_ids) > parameters.MAX_EJECTION_FRACTION * len(ready):
        return
    for server in ready:
        if server.server_id in suspected_ids:
            if server.recovery_level > 0:
                _eject(fleet, server)
        elif _has_completed_recovery_step(fleet, server):
            _recover_one_level(fleet, server)


def _find_unreliable_zones(ready: list[ServerState]) -> set[int]:
    """Zones whose health checks say more about the network path than about servers, unlike those of another."""
    delayed_by_zone: dict[int, list[bool]] = {}
    for server in ready:
        delayed_by_zone.setdefault(server.endpoint.zone, []).append(server.is_delayed)
    fractions = {zone: sum(delayed) / len(delayed) for zone, delayed in delayed_by_zone.items()}
    if not fractions or min(fractions.values()) >= parameters.RELIABLE_ZONE_FRACTION:
        return set()
    return {zone for zone, fraction in fractions.items() if fraction > parameters.UNRELIABLE_ZONE_FRACTION}


def _eject(fleet: FleetState, server: ServerState) -> None:
    server.recovery_level = 0
    server.recovery_level_since_s = fleet.now_s
    server.ejections += 1
    fleet.urgent_change_pending = True


def _recover_one_level(fleet: FleetState, server: ServerState) -> None:
    server.recovery_level += 1
    server.recovery_level_since_s = fleet.now_s
    server.failure_fraction = None
    server.consecutive_checks = max(server.consecutive_checks, 0)
    server.load = None


def _is_suspected(fleet: FleetState, server: ServerState) -> bool:
    is_checked = server.endpoint.zone not in fleet.unreliable_zones
    if server.recovery_level == 0:
        return is_checked and server.consecutive_checks < 0
    is_failing = (server.failure_fraction or 0.0) > parameters.SUSPECT_FAILURE_FRACTION
    failed_checks = is_checked and server.consecutive_checks <= -parameters.UNHEALTHY_THRESHOLD
    if not is_failing and not failed_checks:
        return False
    responded_at_s = max(server.last_success_s, server.recovery_level_since_s, server.known_since_s)
    allowed_s = max(
        parameters.UNRESPONSIVE_REPORT_PERIODS * fleet.settings.report_period_s,
        parameters.UNRESPONSIVE_AFTER_S,
    )
    return fleet.last_report_s - responded_at_s > allowed_s


def _has_completed_recovery_step(fleet: FleetState, server: ServerState) -> bool:
    if server.is_fully_recovered:
        return False
    steps = _recovery_steps(fleet, server)
    return fleet.now_s - server.recovery_level_since_s > parameters.RECOVERY_STEP_S * steps


def _recovery_steps(fleet: FleetState, server: ServerState) -> float:
    """The time that a server stays at its recovery level, in multiples of RECOVERY_STEP_S."""
    if server.recovery_level > 0:
        return 1 if server.last_success_s > server.recovery_level_since_s else 2
    if fleet.settings.health_checks_enabled and server.endpoint.zone not in fleet.unreliable_zones:
        return 1 if server.consecutive_checks >= parameters.HEALTHY_THRESHOLD else math.inf
    return 2.0 ** min(server.ejections, parameters.MAX_RECOVERY_DOUBLINGS)


def shows_no_queueing(fleet: FleetState, server: ServerState) -> bool:
    """Whether health checks are answered without delay, so that an estimated overload is not acted upon.

    Estimates of load swing, and each move that they cause costs a slice its cached keys.
    """
    return (
        fleet.settings.health_checks_enabled
        and server.consecutive_checks > 0
        and not server.is_delayed
        and (server.failure_fraction or 0.0) < parameters.NO_QUEUE_FAILURE_FRACTION
    )


def schedule_health_checks(fleet: FleetState) -> list[SendHealthCheck]:
    """Return the health checks to send now; a server's second one is spread over the period."""
    if not fleet.settings.health_checks_enabled:
        return []
    health_checks = []
    for server in fleet.ready_servers():
        if fleet.now_s < server.next_health_check_s:
            continue
        health_checks.append(SendHealthCheck(server.server_id))
        is_first = server.next_health_check_s == 0
        period_fraction = _spread(server.server_id) if is_first else 1.0
        server.next_health_check_s = fleet.now_s + parameters.HEALTH_CHECK_PERIOD_S * period_fraction
    return health_checks


def _spread(server_id: int) -> float:
    """A fixed fraction for a server, so that not all health checks are sent together."""
    return zlib.crc32(f"{server_id}".encode()) % 1000 / 1000

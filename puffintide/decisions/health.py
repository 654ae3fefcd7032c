"""Outlier detection: ejects servers that do not respond, and reinstates them along a recovery ramp.

A server is suspected when its requests or health checks fail and it has not responded for a while. A missing
response alone does not eject a server, as there may be no requests. The time without a response ends at the
latest report, so late reports for all servers do not eject any. If most of the fleet is suspected, the cause
is taken to be a common one and no server is ejected.
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
MIN_LISTED_WEIGHT = 1e-9  # Smallest divisor; avoids a division by zero.


def apply_health_check(fleet: FleetState, event: HealthCheckResult) -> None:
    """Apply the outcome of a health check.

    An error or a rejection is ignored, as it says nothing about the health of the server.
    """
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
    max_elapsed_s = parameters.DELAYED_HEALTH_CHECK_RATIO * server.shortest_health_check_s
    server.is_delayed = not succeeded or event.elapsed_s > max_elapsed_s
    if succeeded or event.status == HealthCheckStatus.TIMEOUT:
        _record_health_check(fleet, server)


def _record_health_check(fleet: FleetState, server: ServerState) -> None:
    """Record a health check for the estimate of how many requests a saturated server has in flight."""
    if server.in_flight is not None and server.endpoint.zone not in fleet.unreliable_zones:
        listed_weight = max(server.endpoint.weight, MIN_LISTED_WEIGHT)
        fleet.recorded_checks.append((server.last_in_flight / listed_weight, server.is_delayed))


def update_recovery_levels(fleet: FleetState) -> None:
    """Eject suspected servers, and move the others up their recovery ramps.

    No server changes its level while more than MAX_EJECTION_FRACTION of the fleet is suspected.
    """
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
    """Return the zones whose health checks reflect a slow network path rather than slow servers.

    Nearly all health checks of such a zone are delayed, and those of at least one other zone are not. If all
    zones are delayed, none is returned.
    """
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
    unresponsive_after_s = max(
        parameters.UNRESPONSIVE_REPORT_PERIODS * fleet.settings.report_period_s,
        parameters.UNRESPONSIVE_AFTER_S,
    )
    return fleet.last_report_s - responded_at_s > unresponsive_after_s


def _has_completed_recovery_step(fleet: FleetState, server: ServerState) -> bool:
    if server.is_fully_recovered:
        return False
    steps = _recovery_steps(fleet, server)
    return fleet.now_s - server.recovery_level_since_s > parameters.RECOVERY_STEP_S * steps


def _recovery_steps(fleet: FleetState, server: ServerState) -> float:
    """Return how long a server stays at its recovery level, as a multiple of RECOVERY_STEP_S."""
    if server.recovery_level > 0:
        return 1 if server.last_success_s > server.recovery_level_since_s else 2
    if fleet.settings.health_checks_enabled and server.endpoint.zone not in fleet.unreliable_zones:
        return 1 if server.consecutive_checks >= parameters.HEALTHY_THRESHOLD else math.inf
    return 2.0 ** min(server.ejections, parameters.MAX_RECOVERY_DOUBLINGS)


def shows_no_queueing(fleet: FleetState, server: ServerState) -> bool:
    """Return whether health checks show that requests do not queue at a server.

    An estimated overload of such a server is ignored. Load estimates fluctuate, and every move that they
    cause costs a slice its cached keys.
    """
    return (
        fleet.settings.health_checks_enabled
        and server.consecutive_checks > 0
        and not server.is_delayed
        and (server.failure_fraction or 0.0) < parameters.NO_QUEUE_FAILURE_FRACTION
    )


def schedule_health_checks(fleet: FleetState) -> list[SendHealthCheck]:
    """Return the health checks to send now.

    The second check of a server follows after a part of the period that depends on its id, so that checks of
    all servers are not sent together.
    """
    if not fleet.settings.health_checks_enabled:
        return []
    health_checks = []
    for server in fleet.ready_servers():
        if fleet.now_s < server.next_health_check_s:
            continue
        health_checks.append(SendHealthCheck(server.server_id))
        is_first = server.next_health_check_s == 0
        period_fraction = _hash_fraction(server.server_id) if is_first else 1.0
        server.next_health_check_s = fleet.now_s + parameters.HEALTH_CHECK_PERIOD_S * period_fraction
    return health_checks


def _hash_fraction(server_id: int) -> float:
    """Return a fraction derived from a hash of the server id; it spreads checks over the period."""
    return zlib.crc32(f"{server_id}".encode()) % 1000 / 1000

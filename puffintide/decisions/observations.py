"""Application of events to the fleet state: endpoint lists, ownership, tables, proxies, load reports."""

from __future__ import annotations

import math
from dataclasses import replace

from puffintide.decisions import parameters
from puffintide.decisions.averages import exponential_average
from puffintide.decisions.events import (
    AssignerCountChanged,
    CapacityLimitChanged,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    OwnershipChanged,
    PeerObservation,
    ProxyConnected,
    ProxyDisconnected,
    ServerLoadReport,
    SliceLoadReport,
    StoredWeight,
)
from puffintide.decisions.state import FleetState, ServerState, SliceState

MAX_REPORTED_LOAD = 1.5  # Largest valid busy fraction.
MAX_REPORTED_IN_FLIGHT = 1e5  # Number of requests in flight from which a reported count is invalid.


def apply_event(fleet: FleetState, event: Event) -> None:
    """Apply an event about ownership, tables, proxies, load or limits; ignore all others."""
    match event:
        case ServerLoadReport():
            apply_server_load(fleet, event)
        case SliceLoadReport():
            apply_slice_load(fleet, event)
        case OwnershipChanged():
            apply_ownership(fleet, event)
        case StoredWeight():
            apply_stored_weight(fleet, event)
        case ProxyConnected():
            fleet.proxies.add(event.proxy_id)
            fleet.admission_update_pending = True
            fleet.withdrawals_resend_pending = True
            fleet.withdrawal_holders.on_connected(event.proxy_id, event.first_connection)
        case ProxyDisconnected():
            fleet.proxies.discard(event.proxy_id)
        case AssignerCountChanged():
            apply_assigner_count(fleet, event)
        case CapacityLimitChanged():
            apply_capacity_limit(fleet, event)


def apply_endpoint_list(fleet: FleetState, event: EndpointListUpdate) -> None:
    """Apply a snapshot or a delta of the endpoint list, and forget servers that were removed long ago."""
    for endpoint in event.endpoints:
        _apply_endpoint(fleet, endpoint)
    if event.is_snapshot:
        _mark_unlisted_servers_removed(fleet, {endpoint.server_id for endpoint in event.endpoints})
    for server in fleet.servers.values():
        _update_availability(fleet, server)
    _forget_removed_servers(fleet)


def _apply_endpoint(fleet: FleetState, endpoint: Endpoint) -> None:
    server = fleet.servers.get(endpoint.server_id)
    if server is None or replace(server.endpoint, weight=endpoint.weight) != endpoint:
        fleet.urgent_change_pending = True
    if server is None or _is_restarted(server, endpoint):
        server = ServerState(endpoint, fleet.now_s)
        fleet.servers[endpoint.server_id] = server
    server.endpoint = endpoint
    server.is_leaving = False


def _is_restarted(server: ServerState, endpoint: Endpoint) -> bool:
    is_ready = endpoint.status == EndpointStatus.READY
    return is_ready and endpoint.started_at_s > server.endpoint.started_at_s


def _mark_unlisted_servers_removed(fleet: FleetState, listed_ids: set[int]) -> None:
    for server_id, server in sorted(fleet.servers.items()):
        if server_id not in listed_ids and server.endpoint.status != EndpointStatus.REMOVED:
            server.endpoint = replace(server.endpoint, status=EndpointStatus.REMOVED)
            fleet.urgent_change_pending = True


def _update_availability(fleet: FleetState, server: ServerState) -> None:
    server.unavailable_since_s = None if server.is_ready else server.unavailable_since_s or fleet.now_s


def _forget_removed_servers(fleet: FleetState) -> None:
    """Forget servers that were removed long ago and are in no table.

    A replaced machine gets a new id, so its old id would otherwise never be removed.
    """
    expired_ids = {
        server_id
        for server_id, server in fleet.servers.items()
        if server.endpoint.status == EndpointStatus.REMOVED
        and fleet.now_s - (server.unavailable_since_s or fleet.now_s) > parameters.REMOVED_SERVER_RETENTION_S
    }
    for server_id in expired_ids.difference(*(slice_state.weights for slice_state in fleet.slices.values())):
        del fleet.servers[server_id]
        fleet.withdrawal_holders.on_server_forgotten(server_id)


def apply_ownership(fleet: FleetState, event: OwnershipChanged) -> None:
    """Apply the grant of a slice, with an empty table, or the revocation of its ownership."""
    fleet.ownership_changed_s = fleet.now_s
    was_owned = fleet.slices.pop(event.slice_id, None) is not None
    if was_owned and not event.granted:
        fleet.slice_revoked_s = fleet.now_s
    if event.granted:
        fleet.slices[event.slice_id] = SliceState()
        fleet.urgent_change_pending = True
        fleet.admission_update_pending = True


def apply_stored_weight(fleet: FleetState, event: StoredWeight) -> None:
    """Apply a stored weight entry to a granted slice.

    The server with the lowest id among those with primary weights becomes the default server of the slice.
    """
    slice_state = fleet.slices.get(event.slice_id)
    if slice_state is None or event.weight <= 0:
        return
    weights = slice_state.weights
    weights[event.server_id] = event.weight
    min_primary_weight = max(weights.values()) / 2  # Standby entries have far smaller weights.
    slice_state.assigned_servers = [
        server_id for server_id, weight in sorted(weights.items()) if weight >= min_primary_weight
    ]
    slice_state.default_server = slice_state.assigned_servers[0]


def apply_assigner_count(fleet: FleetState, event: AssignerCountChanged) -> None:
    """Apply the number of assigners that share the fleet.

    A single assigner causes all of the load, so estimates of other assigners' load are dropped.
    """
    fleet.settings = replace(fleet.settings, assigner_count=max(1, event.count))
    if event.count <= 1:
        for server in fleet.servers.values():
            server.other_assigners_load = None


def apply_capacity_limit(fleet: FleetState, event: CapacityLimitChanged) -> None:
    """Apply the fraction of a server's capacity that plans may use."""
    fleet.capacity_limits.pop(event.server_id, None)
    if event.fraction < 1:
        fleet.capacity_limits[event.server_id] = event.fraction


def apply_peer_observation(fleet: FleetState, event: PeerObservation) -> None:
    """Apply another assigner's observation of a server.

    A recovery level is applied only if it is lower than the known one, and only until the server has first
    responded to this assigner's requests.
    """
    server = fleet.servers.get(event.server_id)
    if server is None:
        return
    if event.is_leaving is not None:
        server.is_leaving = event.is_leaving
        fleet.urgent_change_pending = True
        _update_availability(fleet, server)
    if 0 <= event.recovery_level < server.recovery_level and server.last_success_s == 0:
        server.recovery_level = event.recovery_level
        server.recovery_level_since_s = fleet.now_s
        fleet.urgent_change_pending = True


def apply_slice_load(fleet: FleetState, event: SliceLoadReport) -> None:
    """Apply a report of the requests of one class for a slice."""
    slice_state = fleet.slices.get(event.slice_id)
    if slice_state is not None and _is_positive_and_finite(event.interval_s):
        fleet.last_report_s = fleet.now_s
        rate = slice_state.request_rates[event.class_index]
        rate.add(fleet.now_s, event.requests, event.interval_s)


def apply_server_load(fleet: FleetState, event: ServerLoadReport) -> None:
    """Apply what proxies observed at a server, and the load values that it reported."""
    server = fleet.servers.get(event.server_id)
    if server is None or event.failed_attempts > event.attempts:
        return
    if not (_is_positive_and_finite(event.interval_s) and math.isfinite(event.mean_latency_s)):
        return
    fleet.last_report_s = fleet.now_s
    successes = event.attempts - event.failed_attempts
    server.successes[event.proxy_zone].add(fleet.now_s, successes, event.interval_s)
    # Little's law: this sum of latencies divided by the interval is the mean number in flight.
    in_flight_s = successes * event.mean_latency_s
    server.own_in_flight[event.proxy_zone].add(fleet.now_s, in_flight_s, event.interval_s)
    if event.attempts:
        server.failure_fraction = exponential_average(
            server.failure_fraction,
            event.failed_attempts / event.attempts,
            event.interval_s * event.attempts / parameters.FAILURE_AVERAGE_ATTEMPTS,
        )
    if successes:
        server.last_success_s = fleet.now_s
    apply_load_values(fleet, server, event.load_values)


def _is_positive_and_finite(value: float) -> bool:
    return 0 < value < math.inf


def apply_load_values(fleet: FleetState, server: ServerState, load_values: tuple[float, ...]) -> None:
    """Apply the load values of a server, in the order of the settings; ignore invalid ones."""
    interval_s = fleet.settings.report_period_s
    for name, value in zip(fleet.settings.load_value_names, load_values, strict=False):
        if name == "busy" and 0 <= value <= MAX_REPORTED_LOAD:
            server.load = exponential_average(server.load, min(value, 1.0), interval_s)
        elif name == "rif" and 0 <= value < MAX_REPORTED_IN_FLIGHT:
            server.last_in_flight = value
            server.in_flight = exponential_average(server.in_flight, value, interval_s)
        elif name == "lat_ms" and _is_positive_and_finite(value):
            server.service_time_s = exponential_average(server.service_time_s, value / 1000, interval_s)

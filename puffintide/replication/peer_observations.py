"""Exchange of observations between the decision modules of assigners through replicated rows.

No I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from puffintide.decisions.events import PeerObservation
from puffintide.replication import conflict_resolution
from puffintide.replication.replica import Replica
from puffintide.replication.row_types import FLEET_ROW_ID, RowType

# Seconds after which an unchanged row is published again, so that it stays fresh.
RENEWAL_INTERVAL_S = conflict_resolution.OWN_OBSERVATION_FRESH_S / 2
MAX_OBSERVATION_AGE_S = 60.0  # Seconds after which an observation of another assigner is ignored.
MIN_CAPACITY_CHANGE = 0.1  # Minimum relative change of a capacity that is published.


@dataclass(frozen=True, slots=True)
class LocalFindings:
    """Observations of the local decision module.

    Attributes:
        capacity_per_s: Capacity of a server of listed weight 1, in requests per second; None if not learned
            yet.
        recovery_levels: Recovery levels of the servers that are not at their top level, by server.
    """

    capacity_per_s: float | None = None
    recovery_levels: Mapping[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EndpointListState:
    """State of the local endpoint list.

    Attributes:
        incarnations: Incarnation of each listed server, by server.
        received_at_s: Time of the last update of each server; absent if the server was loaded from a file.
        draining: Servers that are draining.
    """

    incarnations: Mapping[int, int] = field(default_factory=dict)
    received_at_s: Mapping[int, float] = field(default_factory=dict)
    draining: Collection[int] = ()


@dataclass(frozen=True, slots=True)
class _Departure:
    """A server that is draining or was removed from the endpoint list."""

    incarnation: int
    received_at_s: float


class ObservationExchange:
    """Publishes local observations to the replica, and finds new observations of other assigners."""

    def __init__(self) -> None:
        # Observations that the decision module has been notified of and that are still valid.
        self._notified: set[PeerObservation] = set()
        self._last_incarnations: Mapping[int, int] = {}
        self._departures: dict[int, _Departure] = {}

    def publish(
        self, now: float, replica: Replica, findings: LocalFindings, endpoint_list: EndpointListState
    ) -> None:
        """Write observations that changed, or whose rows are due for renewal, to the replica."""
        _publish_capacity(now, replica, findings.capacity_per_s)
        _publish_recovery_levels(now, replica, findings.recovery_levels, endpoint_list.incarnations)
        self._update_departures(now, endpoint_list)
        self._publish_departures(replica)

    def new_observations(
        self, now: float, replica: Replica, endpoint_list: EndpointListState
    ) -> list[PeerObservation]:
        """Return the observations of other assigners that the decision module has not been notified of.

        They include an observation with is_leaving=False for each listed server that is no longer reported as
        leaving.
        """
        observations = {
            *_capacity_observations(now, replica),
            *_recovery_level_observations(now, replica, endpoint_list.incarnations),
            *_leaving_observations(now, replica, endpoint_list),
        }
        no_longer_leaving = [
            PeerObservation(previous.server_id, is_leaving=False)
            for previous in self._notified - observations
            if previous.is_leaving and previous.server_id in endpoint_list.incarnations
        ]
        new = observations - self._notified
        self._notified = observations
        return sorted([*new, *no_longer_leaving], key=lambda observation: observation.server_id)

    def _update_departures(self, now: float, endpoint_list: EndpointListState) -> None:
        """Update the servers that are draining or were removed from the list.

        A removed server stays published for MAX_OBSERVATION_AGE_S. Otherwise an assigner that does not
        receive the list would conclude that the server has returned.
        """
        known_incarnations = {**self._last_incarnations, **endpoint_list.incarnations}
        removed = self._last_incarnations.keys() - endpoint_list.incarnations.keys()
        for server_id in sorted({*endpoint_list.draining, *removed} - self._departures.keys()):
            received_at_s = endpoint_list.received_at_s.get(server_id, now)
            self._departures[server_id] = _Departure(known_incarnations.get(server_id, 0), received_at_s)
        for server_id, departure in list(self._departures.items()):
            has_returned = server_id in endpoint_list.incarnations and server_id not in endpoint_list.draining
            if has_returned or now - departure.received_at_s > MAX_OBSERVATION_AGE_S:
                del self._departures[server_id]
        self._last_incarnations = dict(endpoint_list.incarnations)

    def _publish_departures(self, replica: Replica) -> None:
        """Publish departures with the time at which the list reported them, which is not renewed."""
        published = replica.local_rows(RowType.LEAVING)
        for server_id, departure in sorted(self._departures.items()):
            if server_id not in published:
                replica.put(
                    departure.received_at_s, RowType.LEAVING, server_id, (float(departure.incarnation),)
                )
        for server_id in sorted(published.keys() - self._departures.keys()):
            replica.delete(RowType.LEAVING, server_id)


def _publish_capacity(now: float, replica: Replica, capacity_per_s: float | None) -> None:
    if capacity_per_s is None:
        return
    row = replica.local_rows(RowType.FLEET).get(FLEET_ROW_ID)
    published = float(row.value[0]) if row is not None else 0.0
    has_changed = abs(capacity_per_s - published) > MIN_CAPACITY_CHANGE * published
    if has_changed or row is None or now - row.observed_at_s > RENEWAL_INTERVAL_S:
        replica.put(now, RowType.FLEET, FLEET_ROW_ID, (capacity_per_s,))


def _publish_recovery_levels(
    now: float, replica: Replica, levels: Mapping[int, int], incarnations: Mapping[int, int]
) -> None:
    published = replica.local_rows(RowType.SERVER)
    for server_id, level in sorted(levels.items()):
        value = (float(incarnations.get(server_id, 0)), float(level))
        row = published.get(server_id)
        if row is None or row.value != value or now - row.observed_at_s > RENEWAL_INTERVAL_S:
            replica.put(now, RowType.SERVER, server_id, value)
    for server_id in sorted(published.keys() - levels.keys()):
        replica.delete(RowType.SERVER, server_id)


def _capacity_observations(now: float, replica: Replica) -> list[PeerObservation]:
    readings = replica.readings(now, RowType.FLEET, MAX_OBSERVATION_AGE_S).get(FLEET_ROW_ID, [])
    best = conflict_resolution.preferred_reading(readings, replica.local_id)
    if best is None or best.origin_id == replica.local_id:
        return []
    return [PeerObservation(FLEET_ROW_ID, capacity_per_s=float(best.value[0]))]


def _recovery_level_observations(
    now: float, replica: Replica, incarnations: Mapping[int, int]
) -> list[PeerObservation]:
    """Return the recovery levels of servers in the listed incarnation, as earlier ones do not apply to it."""
    observations: list[PeerObservation] = []
    readings = replica.readings(now, RowType.SERVER, MAX_OBSERVATION_AGE_S)
    trusted = conflict_resolution.trusted_origins(readings, len(incarnations))
    for server_id, server_readings in sorted(readings.items()):
        peer_readings = [reading for reading in server_readings if reading.origin_id != replica.local_id]
        best = conflict_resolution.server_level(peer_readings, trusted)
        if best is not None and incarnations.get(server_id) == best.incarnation:
            observations.append(PeerObservation(server_id, recovery_level=best.recovery_level))
    return observations


def _leaving_observations(
    now: float, replica: Replica, endpoint_list: EndpointListState
) -> list[PeerObservation]:
    leaving = conflict_resolution.leaving_servers(
        replica.readings(now, RowType.LEAVING, MAX_OBSERVATION_AGE_S),
        replica.local_id,
        endpoint_list.incarnations,
        {server_id: now - received_at_s for server_id, received_at_s in endpoint_list.received_at_s.items()},
    )
    return [PeerObservation(server_id, is_leaving=True) for server_id in leaving]

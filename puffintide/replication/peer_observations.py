"""What the decision module has observed, as replicated rows, and which of the others' it is notified of. No I/O."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from puffintide.decisions.events import PeerObservation
from puffintide.replication import conflict_resolution
from puffintide.replication.replica import Replica
from puffintide.replication.row_types import FLEET_ROW_ID, RowType

RENEWAL_S = (
    conflict_resolution.OWN_OBSERVATION_FRESH_S / 2
)  # current rows are put again so that they stay fresh
MAX_OBSERVATION_AGE_S = 60.0  # older ones of other assigners don't count
MIN_CAPACITY_CHANGE = 0.1  # fraction by which a capacity has to change to be published


@dataclass(frozen=True, slots=True)
class LocalFindings:
    """What the decision module has learned.

    Attributes:
        capacity_per_s: Of a server of listed weight 1; None if not learned yet.
        recovery_levels: Of servers that are not at their top level.
    """

    capacity_per_s: float | None = None
    recovery_levels: Mapping[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EndpointListState:
    """Our own endpoint list.

    Attributes:
        incarnations: By listed server.
        received_at_s: When the list last told of each server; absent if it was loaded from a file.
        draining: Servers that drain.
    """

    incarnations: Mapping[int, int] = field(default_factory=dict)
    received_at_s: Mapping[int, float] = field(default_factory=dict)
    draining: Collection[int] = ()


@dataclass(frozen=True, slots=True)
class _Departure:
    incarnation: int
    received_at_s: float


class ObservationExchange:
    """Publishes local observations to the replica, and finds those of other assigners that are new."""

    def __init__(self) -> None:
        self._current: set[PeerObservation] = set()  # the module was notified of these
        self._last_incarnations: Mapping[int, int] = {}
        self._departures: dict[int, _Departure] = {}

    def publish(
        self, now: float, replica: Replica, findings: LocalFindings, endpoint_list: EndpointListState
    ) -> None:
        """Put what changed, or has grown old, into the replica."""
        _publish_capacity(now, replica, findings.capacity_per_s)
        _publish_levels(now, replica, findings.recovery_levels, endpoint_list.incarnations)
        self._update_departures(now, endpoint_list)
        self._publish_departures(replica)

    def new_observations(
        self, now: float, replica: Replica, endpoint_list: EndpointListState
    ) -> list[PeerObservation]:
        """Return the observations of other assigners that the decision module was not notified of yet."""
        observations = {
            *_fleet_observations(now, replica),
            *_level_observations(now, replica, endpoint_list.incarnations),
            *_leaving_observations(now, replica, endpoint_list),
        }
        no_longer_leaving = [
            PeerObservation(previous.server_id, is_leaving=False)
            for previous in self._current - observations
            if previous.is_leaving and previous.server_id in endpoint_list.incarnations
        ]
        new = observations - self._current
        self._current = observations
        return sorted([*new, *no_longer_leaving], key=lambda observation: observation.server_id)

    def _update_departures(self, now: float, endpoint_list: EndpointListState) -> None:
        """Note which servers drain or were removed from the list.

        A removed server is told of for a while, as it would else seem to have returned to an assigner that the list
        does not reach.
        """
        known = {**self._last_incarnations, **endpoint_list.incarnations}
        removed = self._last_incarnations.keys() - endpoint_list.incarnations.keys()
        for server_id in sorted({*endpoint_list.draining, *removed} - self._departures.keys()):
            received_at_s = endpoint_list.received_at_s.get(server_id, now)
            self._departures[server_id] = _Departure(known.get(server_id, 0), received_at_s)
        for server_id, departure in list(self._departures.items()):
            has_returned = server_id in endpoint_list.incarnations and server_id not in endpoint_list.draining
            if has_returned or now - departure.received_at_s > MAX_OBSERVATION_AGE_S:
                del self._departures[server_id]
        self._last_incarnations = dict(endpoint_list.incarnations)

    def _publish_departures(self, replica: Replica) -> None:
        """Publish departures with the time at which the list told of them, which is not renewed."""
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
    if has_changed or row is None or now - row.observed_at_s > RENEWAL_S:
        replica.put(now, RowType.FLEET, FLEET_ROW_ID, (capacity_per_s,))


def _publish_levels(
    now: float, replica: Replica, levels: Mapping[int, int], incarnations: Mapping[int, int]
) -> None:
    published = replica.local_rows(RowType.SERVER)
    for server_id, level in sorted(levels.items()):
        value = (float(incarnations.get(server_id, 0)), float(level))
        row = published.get(server_id)
        if row is None or row.value != value or now - row.observed_at_s > RENEWAL_S:
            replica.put(now, RowType.SERVER, server_id, value)
    for server_id in sorted(published.keys() - levels.keys()):
        replica.delete(RowType.SERVER, server_id)


def _fleet_observations(now: float, replica: Replica) -> list[PeerObservation]:
    readings = replica.readings(now, RowType.FLEET, MAX_OBSERVATION_AGE_S).get(FLEET_ROW_ID, [])
    best = conflict_resolution.best_figure(readings, replica.local_id)
    if best is None or best.origin_id == replica.local_id:
        return []
    return [PeerObservation(FLEET_ROW_ID, capacity_per_s=float(best.value[0]))]


def _level_observations(
    now: float, replica: Replica, incarnations: Mapping[int, int]
) -> list[PeerObservation]:
    """Levels of servers in the incarnation that is listed here; an earlier one says nothing of it."""
    observations: list[PeerObservation] = []
    readings = replica.readings(now, RowType.SERVER, MAX_OBSERVATION_AGE_S)
    trusted = conflict_resolution.trusted_origins(readings, len(incarnations))
    for server_id, of_server in sorted(readings.items()):
        of_others = [reading for reading in of_server if reading.origin_id != replica.local_id]
        best = conflict_resolution.server_level(of_others, trusted)
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
        {server_id: now - at for server_id, at in endpoint_list.received_at_s.items()},
    )
    return [PeerObservation(server_id, is_leaving=True) for server_id in leaving]

"""The listed servers of each zone, and its missing servers: those removed without draining first."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from puffintide.decisions.events import Endpoint, EndpointListUpdate, EndpointStatus, ListUpdateType
from puffintide.zones import parameters
from puffintide.zones.state import ServerHealth


@dataclass(frozen=True, slots=True)
class MissingServer:
    """A server that was listed as ready when it was removed."""

    removed_at_s: float
    weight: float


class ZoneServers:
    """Tracks the endpoint list.

    Attributes:
        endpoints: Endpoints by server id. A removed server is kept while it counts as missing.
    """

    def __init__(self, slow_start_duration_s: float) -> None:
        self._slow_start_duration_s = slow_start_duration_s
        self.endpoints: dict[int, Endpoint] = {}
        self._missing: dict[int, MissingServer] = {}  # Keyed by server id.

    def apply(self, now_s: float, event: EndpointListUpdate) -> list[int]:
        """Apply an update of the endpoint list, and return the ids of servers that it removed without draining."""
        if event.update_type == ListUpdateType.FAILED:
            return []
        updated_endpoints = {endpoint.server_id: endpoint for endpoint in event.endpoints}
        if event.is_snapshot:
            self._add_unlisted_as_removed(updated_endpoints)
        newly_missing = []
        for server_id, endpoint in sorted(updated_endpoints.items()):
            previous = self.endpoints.get(server_id)
            is_removed = endpoint.status == EndpointStatus.REMOVED
            if not is_removed:
                self._missing.pop(server_id, None)
            elif previous is not None and previous.status == EndpointStatus.READY:
                self._missing[server_id] = MissingServer(now_s, previous.weight)
                newly_missing.append(server_id)
            self.endpoints[server_id] = endpoint
        return newly_missing

    def _add_unlisted_as_removed(self, updated_endpoints: dict[int, Endpoint]) -> None:
        """Add the known servers that a snapshot does not list, with status REMOVED."""
        for server_id, endpoint in sorted(self.endpoints.items()):
            if server_id not in updated_endpoints and endpoint.status != EndpointStatus.REMOVED:
                updated_endpoints[server_id] = replace(endpoint, status=EndpointStatus.REMOVED)

    def purge_removed(self, now_s: float) -> list[int]:
        """Delete and return servers that were removed after draining or have been missing for too long.

        Each machine has its own id, so these servers do not come back.
        """
        for server_id, missing in sorted(self._missing.items()):
            if now_s - missing.removed_at_s > parameters.MISSING_SERVER_RETENTION_S:
                del self._missing[server_id]
        purged_ids = [
            server_id
            for server_id, endpoint in self.endpoints.items()
            if endpoint.status == EndpointStatus.REMOVED and server_id not in self._missing
        ]
        for server_id in purged_ids:
            del self.endpoints[server_id]
        return purged_ids

    def ready_in(self, zone: int) -> list[int]:
        """Return the ids of a zone's servers that are listed as ready, in ascending order."""
        return [
            server_id
            for server_id, endpoint in sorted(self.endpoints.items())
            if endpoint.zone == zone and endpoint.status == EndpointStatus.READY
        ]

    def zone_of(self, server_id: int) -> int | None:
        """Return the zone of a server, or None if it is not known."""
        endpoint = self.endpoints.get(server_id)
        return None if endpoint is None else endpoint.zone

    def is_removed(self, server_id: int) -> bool:
        """Return whether a known server was removed from the list."""
        return self.endpoints[server_id].status == EndpointStatus.REMOVED

    def is_warming_up(self, now_s: float, server_id: int) -> bool:
        """Return whether a server is within its slow start, by its start time in the list.

        The list alone decides, because the director may not know the server yet.
        """
        started_at_s = self.endpoints[server_id].started_at_s
        return started_at_s > 0 and now_s - started_at_s < self._slow_start_duration_s

    def ready_weight(self, zone: int) -> float:
        """Return the total weight of a zone's servers that are listed as ready."""
        return sum(self.endpoints[server_id].weight for server_id in self.ready_in(zone))

    def missing_weight(self, zone: int) -> float:
        """Return the total weight of a zone's missing servers."""
        return sum(self._missing_weights(zone).values())

    def _missing_weights(self, zone: int) -> dict[int, float]:
        """Return the weights of a zone's missing servers, by server id."""
        return {
            server_id: missing.weight
            for server_id, missing in self._missing.items()
            if self.zone_of(server_id) == zone
        }

    def available_fraction(self, zone: int, health: Mapping[int, ServerHealth]) -> float:
        """Return the fraction of a zone's usual weight that is ready and responding.

        Servers that were removed after draining do not count as usual. A server without health counts as
        responding.
        """
        missing_weight = sum(weight for _, weight in sorted(self._missing_weights(zone).items()))
        usual_weight = self.ready_weight(zone) + missing_weight
        available_weight = sum(
            self.endpoints[server_id].weight
            for server_id in self.ready_in(zone)
            if server_id not in health or health[server_id].is_responding
        )
        return available_weight / usual_weight if usual_weight > 0 else 1.0

"""The servers of each zone as listed, and those that are missing: removed without draining first."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from puffintide.decisions.events import Endpoint, EndpointListUpdate, EndpointStatus, ListUpdateType
from puffintide.zones import parameters
from puffintide.zones.state import ServerHealth


@dataclass(frozen=True, slots=True)
class MissingServer:
    """A server that was ready when it was removed."""

    removed_at_s: float
    weight: float


class ZoneServers:
    """Follows the endpoint list.

    Attributes:
        endpoints: Servers by id; those that were removed stay while they count as missing.
    """

    def __init__(self, slow_start_duration_s: float) -> None:
        self._slow_start_duration_s = slow_start_duration_s
        self.endpoints: dict[int, Endpoint] = {}
        self._missing: dict[int, MissingServer] = {}

    def apply(self, now_s: float, event: EndpointListUpdate) -> list[int]:
        """Take in an update of the list, and return the servers that were ready and now are missing."""
        if event.update_type == ListUpdateType.FAILED:
            return []
        updated = {endpoint.server_id: endpoint for endpoint in event.endpoints}
        if event.is_snapshot:
            self._add_unlisted(updated)
        newly_missing = []
        for server_id, endpoint in sorted(updated.items()):
            previous = self.endpoints.get(server_id)
            is_removed = endpoint.status == EndpointStatus.REMOVED
            if not is_removed:
                self._missing.pop(server_id, None)
            elif previous is not None and previous.status == EndpointStatus.READY:
                self._missing[server_id] = MissingServer(now_s, previous.weight)
                newly_missing.append(server_id)
            self.endpoints[server_id] = endpoint
        return newly_missing

    def _add_unlisted(self, updated: dict[int, Endpoint]) -> None:
        """Add servers that a snapshot does not list as removed ones."""
        for server_id, endpoint in sorted(self.endpoints.items()):
            if server_id not in updated and endpoint.status != EndpointStatus.REMOVED:
                updated[server_id] = replace(endpoint, status=EndpointStatus.REMOVED)

    def forget_removed(self, now_s: float) -> list[int]:
        """Forget, and return, servers that drained and were removed, or have been missing for long.

        Each machine has an id of its own, so that they do not come back.
        """
        for server_id, missing in sorted(self._missing.items()):
            if now_s - missing.removed_at_s > parameters.MISSING_SERVER_RETENTION_S:
                del self._missing[server_id]
        forgotten = [
            server_id
            for server_id, endpoint in self.endpoints.items()
            if endpoint.status == EndpointStatus.REMOVED and server_id not in self._missing
        ]
        for server_id in forgotten:
            del self.endpoints[server_id]
        return forgotten

    def ready_in(self, zone: int) -> list[int]:
        """Return the servers of a zone that are listed as ready."""
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
        """Whether a known server was removed from the list."""
        return self.endpoints[server_id].status == EndpointStatus.REMOVED

    def is_warming_up(self, now_s: float, server_id: int) -> bool:
        """Whether a server has started recently, by the list alone: a director may not know it yet."""
        started_at_s = self.endpoints[server_id].started_at_s
        return started_at_s > 0 and now_s - started_at_s < self._slow_start_duration_s

    def ready_weight(self, zone: int) -> float:
        """Return the weight of a zone's servers that are listed as ready."""
        return sum(self.endpoints[server_id].weight for server_id in self.ready_in(zone))

    def missing_weight(self, zone: int) -> float:
        """Return the weight of a zone's servers that are missing."""
        return sum(self._missing_weights(zone).values())

    def _missing_weights(self, zone: int) -> dict[int, float]:
        return {
            server_id: missing.weight
            for server_id, missing in self._missing.items()
            if self.zone_of(server_id) == zone
        }

    def available_fraction(self, zone: int, health: Mapping[int, ServerHealth]) -> float:
        """Return the fraction of a zone's usual weight that is ready and responding.

        Servers that drained and were removed are no longer usual. A server without health is taken to respond.
        """
        missing_weight = sum(weight for _, weight in sorted(self._missing_weights(zone).items()))
        usual_weight = self.ready_weight(zone) + missing_weight
        available_weight = sum(
            self.endpoints[server_id].weight
            for server_id in self.ready_in(zone)
            if server_id not in health or health[server_id].is_responding
        )
        return available_weight / usual_weight if usual_weight > 0 else 1.0

"""Order of the alternates of a slice, and exclusive use of servers by one assigner."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from puffintide.decisions.state import FleetState

MAX_ZONES = 256  # Zone numbers are below this.


class AlternateRanking:
    """Fixed order of servers for each slice: warm ones first, then nearer zones, then a hash of both ids.

    Orders are cached as long as the same servers are ready and warm.
    """

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self._candidates: list[tuple[bool, int]] = []  # Whether it is warming up, and server id.
        self._orders: dict[tuple[int, int | None], list[int]] = {}  # Keyed by slice and default server.

    def set_candidates(self, server_ids: Iterable[int]) -> None:
        """Set the ready servers, and drop cached orders if they changed; called once per round."""
        candidates = [(not self._fleet.is_warm(server_id), server_id) for server_id in server_ids]
        if candidates != self._candidates:
            self._candidates = candidates
            self._orders = {}

    def alternates(self, slice_id: int) -> list[int]:
        """Return the ready servers in the order of preference for a slice that this assigner owns."""
        key = slice_id, self._fleet.slices[slice_id].default_server
        if key not in self._orders:
            self._orders[key] = self._rank(slice_id)
        return self._orders[key]

    def _rank(self, slice_id: int) -> list[int]:
        distances = self._zone_distances(slice_id)
        ranked = sorted(
            (
                is_warming,
                distances[self._fleet.servers[server_id].endpoint.zone],
                zlib.crc32(b"%d:%d" % (slice_id, server_id)),
                server_id,
            )
            for is_warming, server_id in self._candidates
        )
        return [server_id for *_, server_id in ranked]

    def _zone_distances(self, slice_id: int) -> tuple[int, ...]:
        """Return the distance of each zone from the zone of the slice's default server.

        All distances are 0 if there are none in the settings, or if the default server is unknown.
        """
        default = self._fleet.servers.get(self._fleet.slices[slice_id].default_server or 0)
        zone_distances = self._fleet.settings.zone_distances
        if not zone_distances or default is None:
            return (0,) * MAX_ZONES
        return zone_distances[default.endpoint.zone]


def is_exclusive(fleet: FleetState, server_id: int) -> bool:
    """Return whether this assigner alone may use a server's spare capacity, if that is not divided evenly.

    Servers are placed on a ring by a hash, and each assigner has an arc as long as its fraction of the
    slices. An assigner that takes over the slices of a failed one thus takes over as many servers.
    """
    settings = fleet.settings
    position = zlib.crc32(f"{server_id}".encode()) / 2**32
    offset = position - settings.assigner_index / settings.assigner_count
    return offset % 1 < fleet.owned_fraction()

"""The order in which servers are considered as alternates of a slice, and which ones an assigner has alone."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from puffintide.decisions.state import FleetState

MAX_ZONES = 256


class AlternateRanking:
    """A fixed order of servers for each slice: warm ones first, nearer zones first, else by a hash of both.

    Orders are cached for as long as the same servers are ready and warm.
    """

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self._candidates: list[tuple[bool, int]] = []  # whether warming up, server id
        self._orders: dict[tuple[int, int | None], list[int]] = {}  # by slice and its default server

    def set_candidates(self, server_ids: Iterable[int]) -> None:
        """State which servers are ready; to be called each round."""
        candidates = [(not self._fleet.is_warm(server_id), server_id) for server_id in server_ids]
        if candidates != self._candidates:
            self._candidates = candidates
            self._orders = {}

    def alternates(self, slice_id: int) -> list[int]:
        """Return the ready servers in the order for a slice that this assigner owns."""
        key = slice_id, self._fleet.slices[slice_id].default_server
        if key not in self._orders:
            self._orders[key] = self._rank(slice_id)
        return self._orders[key]

    def _rank(self, slice_id: int) -> list[int]:
        distances = self._distances(slice_id)
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

    def _distances(self, slice_id: int) -> tuple[int, ...]:
        """The distance of each zone from that of the slice's default server; all alike if none is stated."""
        default = self._fleet.servers.get(self._fleet.slices[slice_id].default_server or 0)
        zone_distances = self._fleet.settings.zone_distances
        if not zone_distances or default is None:
            return (0,) * MAX_ZONES
        return zone_distances[default.endpoint.zone]


def is_exclusive(fleet: FleetState, server_id: int) -> bool:
    """Whether this assigner has a server's spare capacity for itself, where that is not divided evenly.

    Each assigner has as many servers as its fraction of the slices, so that those of dead assigners are included.
    """
    settings = fleet.settings
    position = zlib.crc32(f"{server_id}".encode()) / 2**32
    offset = position - settings.assigner_index / settings.assigner_count
    return offset % 1 < fleet.owned_fraction()

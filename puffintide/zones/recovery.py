"""The recovery ramp of a zone's servers: the capacity fraction that the director may use grows in steps.

Servers that are warming up are left to the director's slow start. Servers that did not restart, because
their zone was only cut off or removed from the list, have no slow start. Without the ramp they would get all
their slices back at once, with outdated caches.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from puffintide.zones import parameters
from puffintide.zones.servers import ZoneServers
from puffintide.zones.state import ServerHealth

UNRESTRICTED = 1.0


class RecoveryRamp:
    """Holds the capacity fractions of the servers of recovering zones.

    Attributes:
        fractions: Capacity fractions by server id. A server that is not in it has its full capacity.
        interrupted: Servers that went missing while on the ramp. They resume when the other servers of their
            zone have completed it.
    """

    def __init__(self, servers: ZoneServers) -> None:
        self._servers = servers
        self.fractions: dict[int, float] = {}
        self.interrupted: set[int] = set()

    def begin(self, now_s: float, zone: int) -> None:
        """Start the ramp for all ready servers of a zone."""
        self.interrupted -= {s for s in self.interrupted if self._servers.zone_of(s) == zone}
        for server_id in self._servers.ready_in(zone):
            is_warming_up = self._servers.is_warming_up(now_s, server_id)
            self.fractions[server_id] = UNRESTRICTED if is_warming_up else parameters.RAMP_START_FRACTION

    def interrupt(self, server_ids: Collection[int]) -> None:
        """Mark those of the missing servers that are on the ramp as interrupted."""
        self.interrupted.update(server_id for server_id in server_ids if server_id in self.fractions)

    def remove_servers(self, server_ids: Collection[int]) -> None:
        """Delete all state of the given servers."""
        for server_id in server_ids:
            self.fractions.pop(server_id, None)
            self.interrupted.discard(server_id)

    def end(self, zone: int) -> None:
        """End the ramp for all servers of a zone."""
        for server_id in [s for s in self.fractions if self._servers.zone_of(s) == zone]:
            del self.fractions[server_id]

    def is_active(self, zone: int) -> bool:
        """Return whether a ready server of a zone is on the ramp."""
        return any(server_id in self.fractions for server_id in self._servers.ready_in(zone))

    def discard_removed(self) -> None:
        """End the ramp for servers that were removed from the endpoint list."""
        for server_id in [s for s in self.fractions if self._servers.is_removed(s)]:
            del self.fractions[server_id]

    def add_new_servers(self, now_s: float, zone: int, known_ids: Collection[int]) -> None:
        """Start the ramp for ready servers that were listed after the zone's recovery had begun.

        Args:
            now_s: Seconds on the assigner's clock.
            zone: The recovering zone.
            known_ids: Servers that were listed as of the last update.
        """
        for server_id in self._servers.ready_in(zone):
            if server_id in self.fractions or server_id in known_ids:
                continue
            is_warming_up = self._servers.is_warming_up(now_s, server_id)
            is_restricted = server_id in self.interrupted or not is_warming_up
            self.fractions[server_id] = parameters.RAMP_START_FRACTION if is_restricted else UNRESTRICTED

    def advance(
        self, now_s: float, zone: int, max_step: float, max_load: float, health: Mapping[int, ServerHealth]
    ) -> None:
        """Move the servers of a zone forward along the ramp, or back if they are overloaded.

        Args:
            now_s: Seconds on the assigner's clock.
            zone: The recovering zone.
            max_step: Amount that is added to or subtracted from each capacity fraction.
            max_load: Mean load of the moving servers up to which the ramp advances.
            health: Health of the servers that the director knows, by server id.
        """
        active_ids = [s for s in self._servers.ready_in(zone) if s in self.fractions]
        advancing_ids = [s for s in active_ids if s not in self.interrupted] or active_ids
        step = max_step * _ramp_direction(mean_load(advancing_ids, health), max_load)
        for server_id in advancing_ids:
            if self.fractions[server_id] < UNRESTRICTED:
                self.fractions[server_id] = max(
                    parameters.RAMP_START_FRACTION, self.fractions[server_id] + step
                )
            is_done = self.fractions[server_id] >= UNRESTRICTED
            if is_done and not self._servers.is_warming_up(now_s, server_id):
                del self.fractions[server_id]
                self.interrupted.discard(server_id)


def _ramp_direction(load: float, max_load: float) -> int:
    """Return 1 to advance along the ramp, -1 to go back, or 0 to stay."""
    if load <= max_load:
        return 1
    return -1 if load > parameters.RAMP_DOWN_MIN_LOAD else 0


def mean_load(server_ids: Collection[int], health: Mapping[int, ServerHealth]) -> float:
    """Return the mean load of the servers whose health is known; an unknown load counts as 0."""
    loads = [health[server_id].load or 0.0 for server_id in server_ids if server_id in health]
    return sum(loads) / len(loads) if loads else 0.0

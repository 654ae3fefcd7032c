"""The recovery ramp of a zone's servers: the fraction of capacity that is planned with grows step by step.

Servers that are warming up are left to the director's slow start. Warm ones, of a zone that was cut off or removed
from the list, would get all their slices back at once, with caches that are out of date.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from puffintide.zones import parameters
from puffintide.zones.servers import ZoneServers
from puffintide.zones.state import ServerHealth

UNRESTRICTED = 1.0


class RecoveryRamp:
    """Capacity fractions of the servers of recovering zones.

    Attributes:
        fractions: By server; one that is not here is at its full capacity.
        interrupted: Servers that went missing on the ramp; they resume when the other servers are done.
    """

    def __init__(self, servers: ZoneServers) -> None:
        self._servers = servers
        self.fractions: dict[int, float] = {}
        self.interrupted: set[int] = set()

    def begin(self, now_s: float, zone: int) -> None:
        """Start the ramp of all ready servers of a zone."""
        self.interrupted -= {s for s in self.interrupted if self._servers.zone_of(s) == zone}
        for server_id in self._servers.ready_in(zone):
            is_warming_up = self._servers.is_warming_up(now_s, server_id)
            self.fractions[server_id] = UNRESTRICTED if is_warming_up else parameters.RAMP_START_FRACTION

    def interrupt(self, server_ids: Collection[int]) -> None:
        """Take in that servers went missing."""
        self.interrupted.update(server_id for server_id in server_ids if server_id in self.fractions)

    def forget(self, server_ids: Collection[int]) -> None:
        """Forget servers that are gone."""
        for server_id in server_ids:
            self.fractions.pop(server_id, None)
            self.interrupted.discard(server_id)

    def end(self, zone: int) -> None:
        """End the ramp of a zone."""
        for server_id in [s for s in self.fractions if self._servers.zone_of(s) == zone]:
            del self.fractions[server_id]

    def is_active(self, zone: int) -> bool:
        """Whether a ready server of a zone is on the ramp."""
        return any(server_id in self.fractions for server_id in self._servers.ready_in(zone))

    def discard_removed(self) -> None:
        """Take servers that were removed off the ramp."""
        for server_id in [s for s in self.fractions if self._servers.is_removed(s)]:
            del self.fractions[server_id]

    def add_new_servers(self, now_s: float, zone: int, known_ids: Collection[int]) -> None:
        """Start the ramp of servers that came after it had begun.

        Args:
            now_s: Seconds on the assigner's clock.
            zone: The recovering zone.
            known_ids: Servers that came before.
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
        """Move the servers of a zone along the ramp, or back if they are overloaded.

        Args:
            now_s: Seconds on the assigner's clock.
            zone: The recovering zone.
            max_step: What is added to, or taken from, each fraction.
            max_load: Mean load up to which the ramp goes on.
            health: What is known of servers.
        """
        active_ids = [s for s in self._servers.ready_in(zone) if s in self.fractions]
        advancing_ids = [s for s in active_ids if s not in self.interrupted] or active_ids
        step = max_step * _direction(mean_load(advancing_ids, health), max_load)
        for server_id in advancing_ids:
            if self.fractions[server_id] < UNRESTRICTED:
                self.fractions[server_id] = max(
                    parameters.RAMP_START_FRACTION, self.fractions[server_id] + step
                )
            is_done = self.fractions[server_id] >= UNRESTRICTED
            if is_done and not self._servers.is_warming_up(now_s, server_id):
                del self.fractions[server_id]
                self.interrupted.discard(server_id)


def _direction(load: float, max_load: float) -> int:
    """1 to go on, -1 to go back, 0 to stay."""
    if load <= max_load:
        return 1
    return -1 if load > parameters.RAMP_DOWN_MIN_LOAD else 0


def mean_load(server_ids: Collection[int], health: Mapping[int, ServerHealth]) -> float:
    """Return the mean load of the servers whose health is known; an unknown load counts as 0."""
    loads = [health[server_id].load or 0.0 for server_id in server_ids if server_id in health]
    return sum(loads) / len(loads) if loads else 0.0

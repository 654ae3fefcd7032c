"""Maps the platform's host names to server ids, and names in the settings to indexes. Performs no I/O.

Placement ranks servers by id, so a host must have the same id at every assigner and after a restart. The id
is therefore a hash of the host name alone. If two names hash to the same id, the later one is hashed again
with a salt.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence
from hashlib import blake2b

MAX_HASH_ATTEMPTS = 8
MAX_LOAD_VALUE = 1e9
# Maps the names of load values in the settings to the platform's names.
PLATFORM_FIELDS = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
SETTINGS_FIELDS = {platform: settings for settings, platform in PLATFORM_FIELDS.items()}


def hash_host(host: str, salt: int = 0) -> int:
    """Return a server id below 2**31 derived from a host name and a salt."""
    digest = blake2b(host.encode("utf-8", "surrogatepass"), digest_size=4, salt=salt.to_bytes(2, "little"))
    return int.from_bytes(digest.digest(), "little") >> 1


class HostRegistry:
    """Maps host names to server ids, and the ids of retained hosts back to names."""

    def __init__(self) -> None:
        self._ids: dict[str, int] = {}
        self._hosts: dict[int, str] = {}
        self.collisions = 0

    def __len__(self) -> int:
        return len(self._hosts)

    def register(self, host: str) -> int:
        """Return the id of a host, and retain the host."""
        known = self._ids.get(host)
        if known is not None:
            return known
        for salt in range(MAX_HASH_ATTEMPTS):
            server_id = hash_host(host, salt)
            if server_id not in self._hosts:
                break
            self.collisions += 1
        self._ids[host] = server_id
        self._hosts[server_id] = host
        return server_id

    def server_id(self, host: str) -> int | None:
        """Return the id of a host, or None if it is not retained."""
        return self._ids.get(host)

    def host(self, server_id: int) -> str | None:
        """Return the name of the host with this id, or None if it is not retained."""
        return self._hosts.get(server_id)

    def retain(self, server_ids: Collection[int]) -> None:
        """Forget all hosts except those with the given ids."""
        for server_id in self._hosts.keys() - set(server_ids):
            del self._ids[self._hosts.pop(server_id)]


class SettingsNames:
    """Maps names of zones, request classes, server types and load values to indexes in the settings."""

    def __init__(
        self,
        zones: Sequence[str],
        classes: Sequence[str],
        server_types: Sequence[str],
        load_values: Sequence[str],
    ) -> None:
        self.zones = {name: index for index, name in enumerate(zones)}
        self.classes = {name: index for index, name in enumerate(classes)}
        self.class_names = tuple(classes)
        self.server_types = {name: index for index, name in enumerate(server_types)}
        self.load_values = [
            (name, PLATFORM_FIELDS.get(name, SETTINGS_FIELDS.get(name, name))) for name in load_values
        ]

    def parse_load_values(self, report: Mapping[str, object] | None) -> tuple[float, ...]:
        """Return the values of a load report in the order of the settings.

        A missing or invalid value is NaN. The result is empty if all values are.
        """
        if not report:
            return ()
        values = tuple(_load_value(report.get(name, report.get(other))) for name, other in self.load_values)
        return () if all(map(math.isnan, values)) else values

    def classes_in(self, class_mask: int) -> list[str]:
        """Return the names of the request classes whose bits are set in a mask."""
        return [name for index, name in enumerate(self.class_names) if class_mask >> index & 1]


def _load_value(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < MAX_LOAD_VALUE:
        return math.nan
    return float(value)

"""Maps the platform's host names to server ids, and the names in the settings to their indexes. Performs no I/O.

A host has the same id at every assigner and after a restart, as placement ranks servers by id: the id is a hash of
the name alone. If two names hash to one id, the later one is hashed again.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence
from hashlib import blake2b

MAX_HASH_ATTEMPTS = 8
MAX_LOAD_VALUE = 1e9
# Load values by their names in the settings, with the platform's names for them.
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
    """Return an id below 2**31."""
    digest = blake2b(host.encode("utf-8", "surrogatepass"), digest_size=4, salt=salt.to_bytes(2, "little"))
    return int.from_bytes(digest.digest(), "little") >> 1


class HostRegistry:
    """Server ids of hosts, and back; only retained hosts can be mapped back."""

    def __init__(self) -> None:
        self._ids: dict[str, int] = {}
        self._hosts: dict[int, str] = {}
        self.collisions = 0

    def __len__(self) -> int:
        return len(self._hosts)

    def register(self, host: str) -> int:
        """Return the id of a host, retained from now on."""
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
        """Return the id of a retained host."""
        return self._ids.get(host)

    def host(self, server_id: int) -> str | None:
        """Return the name of a retained host."""
        return self._hosts.get(server_id)

    def retain(self, server_ids: Collection[int]) -> None:
        """Forget all other hosts."""
        for server_id in self._hosts.keys() - set(server_ids):
            del self._ids[self._hosts.pop(server_id)]


class SettingsNames:
    """Indexes of zones, request classes, server types and load values, in the order of the settings."""

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

        A value that is absent or invalid is NaN; the result is empty if all are.
        """
        if not report:
            return ()
        values = tuple(_load_value(report.get(name, report.get(other))) for name, other in self.load_values)
        return () if all(map(math.isnan, values)) else values

    def classes_in(self, class_mask: int) -> list[str]:
        """Return the names of the classes whose bits are set."""
        return [name for index, name in enumerate(self.class_names) if class_mask >> index & 1]


def _load_value(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < MAX_LOAD_VALUE:
        return math.nan
    return float(value)

"""The endpoints that an assigner knows from its endpoint list, with the start time of each server."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from puffintide.decisions.events import Endpoint, EndpointStatus, ListUpdateType
from puffintide.protocol.messages import EndpointEntry, TableEntry, WatchEvent
from puffintide.protocol.validation import split_valid_endpoints

# Data of removed servers is dropped once they outnumber the listed servers by more than this number.
MAX_UNLISTED_SERVERS = 64


@dataclass(frozen=True, slots=True)
class _ServerStart:
    """The start of one incarnation of a server, in seconds of the assigner's own clock."""

    incarnation: int
    started_at_s: float


class EndpointDirectory:
    """The listed endpoints, and the addresses and zones of listed and recently removed servers.

    Attributes:
        listed: The last valid entry of each listed server, by server id.
        addresses: The address of each server as HOST:PORT, by server id; empty if unknown.
        zones: The zone of each server, by server id.
        starts: The start of each server's current incarnation, by server id.
    """

    def __init__(self, zone_count: int) -> None:
        self._zone_count = zone_count
        self.listed: dict[int, EndpointEntry] = {}
        self.addresses: dict[int, str] = {}
        self.zones: dict[int, int] = {}
        self.starts: dict[int, _ServerStart] = {}

    def update(self, now: float, event: WatchEvent) -> tuple[list[Endpoint], list[str]]:
        """Apply a watch event.

        A server whose entry is invalid keeps its previous entry.

        Returns:
            The endpoints of the valid entries, and the reason for the rejection of each invalid entry.
        """
        if event.update_type == ListUpdateType.FAILED:
            return [], []
        valid, problems = split_valid_endpoints(event.servers, self._zone_count)
        if event.update_type == ListUpdateType.DELTA:
            self.listed |= valid
        else:
            valid = {server: entry for server, entry in self.listed.items() if server in problems} | valid
            self.listed = valid
        self.listed = {
            server: entry for server, entry in self.listed.items() if entry.status != EndpointStatus.REMOVED
        }
        endpoints = [self._endpoint(now, entry) for entry in valid.values()]
        self._forget_unlisted()
        return endpoints, [problems[server] for server in sorted(problems)]

    def add_addresses(self, entries: Iterable[TableEntry]) -> None:
        """Add the addresses that the entries of a stored table contain."""
        self.addresses |= {entry.server_id: entry.address for entry in entries if entry.address}

    def _endpoint(self, now: float, entry: EndpointEntry) -> Endpoint:
        """Record the address and the zone of an entry, and return its endpoint for the decision module."""
        self.addresses[entry.server_id] = entry.address or self.addresses.get(entry.server_id, "")
        self.zones[entry.server_id] = entry.zone
        return Endpoint(
            entry.server_id,
            entry.zone,
            entry.server_type,
            entry.cell,
            EndpointStatus(entry.status),
            entry.weight,
            self._started_at(now, entry),
        )

    def _started_at(self, now: float, entry: EndpointEntry) -> float:
        """Return when the server was started, in seconds of the assigner's own clock.

        Returns:
            The start time, or 0 if the age of the server is unknown. The time is computed once per
            incarnation, so that a delayed event does not look like a restart.
        """
        if entry.age_s < 0:
            return 0.0
        start = self.starts.get(entry.server_id)
        if start is None or start.incarnation != entry.incarnation:
            start = _ServerStart(entry.incarnation, now - entry.age_s)
            self.starts[entry.server_id] = start
        return start.started_at_s

    def _forget_unlisted(self) -> None:
        """Remove the data of all servers that are no longer listed if there are too many of them.

        The data would otherwise grow without bound, as a replaced machine has a new id.
        """
        for by_server in (self.addresses, self.zones, self.starts):
            if len(by_server) > 2 * len(self.listed) + MAX_UNLISTED_SERVERS:
                for server in by_server.keys() - self.listed.keys():
                    del by_server[server]

"""State of the relay as its watch delivers it: proxies, owned slices and their tables. Performs no I/O.

A watch starts with a snapshot of the state, and only the next heartbeat ends it: a pause may as well be a gap
between two packets, or this process being late. So what a snapshot adds is passed on after a pause, and what it
lacks counts as removed at the heartbeat alone. A later watch is compared with the known state, so that a lost
connection looks neither as if all proxies had left nor as if all slices were granted anew.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from puffintide.platform.relay_messages import (
    CheckpointApplied,
    ProxyDeparted,
    ProxyJoined,
    RelayMessage,
    SliceGranted,
    TableWeight,
)

Tables = dict[int, dict[str, float]]  # weights by host, by slice
WEIGHT_TOLERANCE = 1e-3  # the relay stores rounded weights


@dataclass(slots=True)
class RelayChanges:
    """Changes of the state, which take effect in this order."""

    departed_proxies: list[int] = field(default_factory=list)
    joined_proxies: list[ProxyJoined] = field(default_factory=list)
    revoked_slices: list[int] = field(default_factory=list)
    granted_tables: Tables = field(default_factory=dict)
    added_weights: Tables = field(default_factory=dict)  # of tables that were passed on before
    applied_checkpoints: list[CheckpointApplied] = field(default_factory=list)
    retained_tables: Tables = field(default_factory=dict)  # of slices owned before and after a reconnection

    def __bool__(self) -> bool:
        return any(
            (
                self.departed_proxies,
                self.joined_proxies,
                self.revoked_slices,
                self.granted_tables,
                self.added_weights,
                self.applied_checkpoints,
                self.retained_tables,
            )
        )


class RelayState:
    """Turns the messages of successive watches into changes of the state."""

    def __init__(self) -> None:
        self.proxies: dict[int, ProxyJoined] = {}
        self.slices: set[int] = set()
        self.in_snapshot = False  # of the watch that was opened last
        self.unowned_weights = 0  # table entries of slices that were not granted
        # Before the first proxy joins, servers answer health checks without the work that these take in service,
        # and all later answers would look slow: no health check is sent.
        self.in_service = False
        self._snapshot_proxies: dict[int, ProxyJoined] = {}  # that were not passed on yet
        self._listed_proxies: set[int] = set()  # by the snapshot
        self._listed_slices: set[int] = set()
        self._new_tables: Tables = {}  # granted, with entries that may still follow
        self._open_tables: set[int] = set()  # passed on since the last heartbeat: entries may still follow
        self._added_weights: Tables = {}

    def on_watch_opened(self) -> None:
        """Expect a snapshot from now on."""
        self.in_snapshot = True
        self._snapshot_proxies = {}
        self._listed_proxies = set()
        self._listed_slices = set()
        self._new_tables = {}
        self._open_tables = set()
        self._added_weights = {}

    @property
    def has_unflushed(self) -> bool:
        """Whether flush() may have something to pass on."""
        return self.in_snapshot or bool(self._new_tables or self._added_weights)

    @property
    def snapshot_tables(self) -> Tables:
        """Tables of all slices granted so far, if nothing was passed on."""
        return self._new_tables

    def on_message(self, message: RelayMessage | None) -> RelayChanges:
        """Handle a message, and return the changes that take effect at once."""
        changes = RelayChanges()
        match message:
            case ProxyJoined():
                self._on_proxy_joined(message, changes)
            case ProxyDeparted():
                self._on_proxy_departed(message.proxy_id, changes)
            case CheckpointApplied():
                changes.applied_checkpoints.append(message)
            case SliceGranted(granted=True):
                self._on_granted(message.slice_id)
            case SliceGranted():
                self._on_revoked(message.slice_id, changes)
            case TableWeight():
                self._on_weight(message)
        return changes

    def _on_proxy_joined(self, proxy: ProxyJoined, changes: RelayChanges) -> None:
        if self.in_snapshot:
            self._snapshot_proxies[proxy.proxy_id] = proxy
            self._listed_proxies.add(proxy.proxy_id)
        else:
            self._join(proxy, changes)

    def _on_proxy_departed(self, proxy_id: int, changes: RelayChanges) -> None:
        if self.in_snapshot:
            self._snapshot_proxies.pop(proxy_id, None)
            self._listed_proxies.discard(proxy_id)
        elif self.proxies.pop(proxy_id, None) is not None:
            changes.departed_proxies.append(proxy_id)

    def _on_granted(self, slice_id: int) -> None:
        self._new_tables[slice_id] = {}
        self._added_weights.pop(slice_id, None)
        self._listed_slices.add(slice_id)

    def _on_revoked(self, slice_id: int, changes: RelayChanges) -> None:
        self._new_tables.pop(slice_id, None)
        self._added_weights.pop(slice_id, None)
        self._open_tables.discard(slice_id)
        self._listed_slices.discard(slice_id)
        if not self.in_snapshot and slice_id in self.slices:
            self.slices.discard(slice_id)
            changes.revoked_slices.append(slice_id)

    def _on_weight(self, entry: TableWeight) -> None:
        if entry.slice_id in self._new_tables:
            self._new_tables[entry.slice_id][entry.host] = entry.weight
        elif entry.slice_id in self._open_tables:
            self._added_weights.setdefault(entry.slice_id, {})[entry.host] = entry.weight
        else:
            self.unowned_weights += 1

    def _join(self, proxy: ProxyJoined, changes: RelayChanges) -> None:
        if proxy.proxy_id in self.proxies:  # it reconnected before its leaving was reported
            changes.departed_proxies.append(proxy.proxy_id)
        self.proxies[proxy.proxy_id] = proxy
        self.in_service = True
        changes.joined_proxies.append(proxy)

    def flush(self, at_heartbeat: bool) -> RelayChanges:
        """Return the changes received so far.

        Args:
            at_heartbeat: A heartbeat was received, and so all before it; else a pause.
        """
        changes = RelayChanges()
        retained = self.slices & self._new_tables.keys() if self.in_snapshot else set[int]()
        self._flush_snapshot_proxies(changes)
        if at_heartbeat and self.in_snapshot:
            self.in_snapshot = False
            self._remove_unlisted(changes)
            changes.retained_tables = {
                slice_id: self._new_tables.pop(slice_id) for slice_id in sorted(retained)
            }
            retained = set()
        self._flush_tables(retained, changes)
        granted = changes.granted_tables.keys()
        # A heartbeat may come between a slice and its entries.
        self._open_tables = set(granted) if at_heartbeat else self._open_tables | granted
        return changes

    def _flush_snapshot_proxies(self, changes: RelayChanges) -> None:
        for proxy_id, proxy in sorted(self._snapshot_proxies.items()):
            if proxy_id not in self.proxies or proxy.first_connection:
                self._join(proxy, changes)
        self._snapshot_proxies = {}

    def _remove_unlisted(self, changes: RelayChanges) -> None:
        for proxy_id in sorted(self.proxies.keys() - self._listed_proxies):
            del self.proxies[proxy_id]
            changes.departed_proxies.append(proxy_id)
        for slice_id in sorted(self.slices - self._listed_slices):
            self.slices.discard(slice_id)
            changes.revoked_slices.append(slice_id)

    def _flush_tables(self, retained: set[int], changes: RelayChanges) -> None:
        """Pass on new tables, but for those that wait to be compared at the heartbeat."""
        for slice_id, table in self._new_tables.items():
            if slice_id not in retained:
                changes.granted_tables[slice_id] = table
        self._new_tables = {
            slice_id: self._new_tables[slice_id] for slice_id in self._new_tables if slice_id in retained
        }
        self.slices |= changes.granted_tables.keys()
        changes.added_weights = self._added_weights
        self._added_weights = {}


def merge_tables(
    stored: Mapping[int, float], believed: Mapping[int, float], unsettled_servers: Collection[int]
) -> dict[int, float]:
    """Return the table that holds: the stored one, except for our own entries that the relay may not have yet.

    Args:
        stored: Weights by server id, as the relay has them.
        believed: Weights by server id, as this assigner decided them.
        unsettled_servers: Servers whose entries are in flight or were sent just now.
    """
    settled = {
        server_id: weight for server_id, weight in stored.items() if server_id not in unsettled_servers
    }
    own = {server_id: weight for server_id, weight in believed.items() if server_id in unsettled_servers}
    return settled | own


def tables_differ(
    stored: Mapping[int, float], believed: Mapping[int, float], unsettled_servers: Collection[int]
) -> bool:
    """Whether another assigner has written to the table of a slice that was owned before and after a reconnection.

    Entries of unsettled servers are not compared, as the relay may be behind.
    """
    compared = (stored.keys() | believed.keys()) - set(unsettled_servers)
    return any(
        abs(stored.get(server_id, 0.0) - believed.get(server_id, 0.0)) > WEIGHT_TOLERANCE
        for server_id in compared
    )

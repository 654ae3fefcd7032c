"""Tracks the relay's state from its watch: proxies, owned slices and their tables. Performs no I/O.

A watch starts with a snapshot of the state. Only the next heartbeat marks its end, because a pause may also
be a gap between two packets or a delay of this process. Additions in a snapshot are therefore passed on after
a pause, while items missing from it count as removed only at the heartbeat. A later watch is compared with
the known state, so that a lost connection is reported neither as the departure of all proxies nor as a new
grant of all slices.
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

Tables = dict[int, dict[str, float]]  # Maps slice id to host name to weight.
WEIGHT_TOLERANCE = 1e-3  # Weights that differ by less are equal, as the relay stores rounded weights.


@dataclass(slots=True)
class RelayChanges:
    """Changes of the state. They take effect in the sequence of the fields."""

    departed_proxies: list[int] = field(default_factory=list)
    joined_proxies: list[ProxyJoined] = field(default_factory=list)
    revoked_slices: list[int] = field(default_factory=list)
    granted_tables: Tables = field(default_factory=dict)
    added_weights: Tables = field(default_factory=dict)  # Entries for tables granted in earlier changes.
    applied_checkpoints: list[CheckpointApplied] = field(default_factory=list)
    retained_tables: Tables = field(default_factory=dict)  # Tables of slices owned across a reconnection.
    # Slices granted in earlier changes, whose tables have no more entries to follow.
    completed_slices: list[int] = field(default_factory=list)

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
                self.completed_slices,
            )
        )


class RelayState:
    """Converts the messages of successive watches into changes of the state."""

    def __init__(self) -> None:
        self.proxies: dict[int, ProxyJoined] = {}
        self.slices: set[int] = set()
        self.in_snapshot = False  # Whether the snapshot of the current watch has not ended yet.
        self.unowned_weights = 0  # Number of weight entries received for slices without an open table.
        # Whether a proxy has ever joined. No health check is sent before that: servers would answer it
        # without the work that a check involves in service, and all later responses would look slow by
        # comparison.
        self.in_service = False
        self._snapshot_proxies: dict[int, ProxyJoined] = {}  # Proxies of the snapshot not passed on yet.
        self._listed_proxies: set[int] = set()  # Proxies that the current snapshot contains.
        self._listed_slices: set[int] = set()  # Slices that the current snapshot contains.
        self._new_tables: Tables = {}  # Granted tables not passed on yet. More entries may follow.
        # Slices whose tables were passed on since the last heartbeat. More entries may follow.
        self._open_tables: set[int] = set()
        self._added_weights: Tables = {}  # Entries of open tables not passed on yet.

    def on_watch_opened(self) -> None:
        """Prepare for the snapshot of a new watch."""
        self.in_snapshot = True
        self._snapshot_proxies = {}
        self._listed_proxies = set()
        self._listed_slices = set()
        self._new_tables = {}
        self._open_tables = set()
        self._added_weights = {}

    @property
    def has_unflushed(self) -> bool:
        """Whether flush() may return changes."""
        return self.in_snapshot or bool(self._new_tables or self._added_weights)

    @property
    def snapshot_tables(self) -> Tables:
        """Tables of all slices granted so far, provided that flush() was not called."""
        return self._new_tables

    def on_message(self, message: RelayMessage | None) -> RelayChanges:
        """Handle a message, and return the changes that take effect immediately."""
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
        if proxy.proxy_id in self.proxies:  # It reconnected before its departure was reported.
            changes.departed_proxies.append(proxy.proxy_id)
        self.proxies[proxy.proxy_id] = proxy
        self.in_service = True
        changes.joined_proxies.append(proxy)

    def flush(self, at_heartbeat: bool) -> RelayChanges:
        """Return the changes received so far.

        Args:
            at_heartbeat: Whether a heartbeat was received, and therefore all messages before it. Otherwise
                the watch has only paused.
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
        if at_heartbeat:
            changes.completed_slices = sorted(self._open_tables - granted)
        # A heartbeat may arrive between the grant of a slice and its table entries.
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
        """Add the new tables to the changes, except retained ones, which are compared at the heartbeat."""
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
    stored: Mapping[int, float], expected: Mapping[int, float], unsettled_servers: Collection[int]
) -> dict[int, float]:
    """Merge the stored table with the entries of this assigner that the relay may not have stored yet.

    Args:
        stored: Weights by server id, as stored by the relay.
        expected: Weights by server id, as decided by this assigner.
        unsettled_servers: Servers whose entries are in flight or were sent recently.
    """
    settled = {
        server_id: weight for server_id, weight in stored.items() if server_id not in unsettled_servers
    }
    unsettled = {
        server_id: weight for server_id, weight in expected.items() if server_id in unsettled_servers
    }
    return settled | unsettled


def tables_differ(
    stored: Mapping[int, float], expected: Mapping[int, float], unsettled_servers: Collection[int]
) -> bool:
    """Return whether another assigner has modified a table of a slice owned across a reconnection.

    Entries of unsettled servers are not compared, as the relay may not have stored them yet.
    """
    compared = (stored.keys() | expected.keys()) - set(unsettled_servers)
    return bool(differing_servers(stored, expected, compared))


def differing_servers(
    stored: Mapping[int, float], expected: Mapping[int, float], server_ids: Collection[int]
) -> list[int]:
    """Return which of the servers have different weights in two tables. A missing entry has weight 0."""
    return [
        server_id
        for server_id in server_ids
        if abs(stored.get(server_id, 0.0) - expected.get(server_id, 0.0)) > WEIGHT_TOLERANCE
    ]

"""The routing tables of a proxy: weights and owners of the slices, and withdrawn servers. No I/O, no clock.

Tables are received from the store (SliceOwnership) and from assigners (ProxyUpdate). A weight entry whose
fencing token is older than the slice's token is dropped, and a newer token is adopted. All changes of an
update take effect together.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import zip_longest

from puffintide.protocol.messages import ProxyUpdate, SliceOwnership, TableEntry, WeightEntry
from puffintide.proxy.admission import AdmissionLevels
from puffintide.proxy.load_balancing import NO_SERVERS, LoadBalancer, Random, create_load_balancer
from puffintide.proxy.retry_policy import ANY_ZONE

MIN_TRACKED_SERVERS = 64  # Lower bound of the limit on server addresses and zones kept.
NO_OWNER = -1
UNKNOWN_TENURE = -1


@dataclass(slots=True)
class SliceTable:
    """The owner of one slice and the weights of its servers."""

    owner_id: int = NO_OWNER
    fencing_token: int = 0
    batch: int = 0  # Batch number of the last update in this tenure.
    tenure_token: int = UNKNOWN_TENURE  # The first fencing token of the tenure.
    early_weights: dict[int, float] | None = None  # Weights received before the ownership of their token.
    weights: dict[int, float] = field(default_factory=dict)
    balancers: dict[bool, LoadBalancer] = field(default_factory=dict)  # Keyed by same_zone_only.
    current_balancers: set[bool] = field(default_factory=set)  # Keys of the up-to-date balancers.

    def invalidate_balancers(self) -> None:
        """Mark all balancers as outdated after a change of the weights or of the withdrawn servers."""
        self.current_balancers.clear()

    def continues_tenure(self, ownership: SliceOwnership) -> bool:
        """Return whether the ownership belongs to the same uninterrupted tenure of the owner."""
        return 0 < ownership.tenure_token == self.tenure_token

    def is_older_than_update(self, ownership: SliceOwnership) -> bool:
        """Return whether the ownership was read before the last update was stored.

        The weights in this table are then newer.
        """
        same_tenure = ownership.fencing_token == self.fencing_token or self.continues_tenure(ownership)
        return same_tenure and ownership.batch < self.batch

    def set_owner(self, ownership: SliceOwnership) -> None:
        """Adopt the owner and the tokens of an ownership."""
        self.owner_id = ownership.owner_id
        self.fencing_token = ownership.fencing_token
        self.tenure_token = ownership.tenure_token
        self.early_weights = None

    def adopt_newer_token(self, assigner_id: int, fencing_token: int) -> None:
        """Adopt an update's newer fencing token, and its assigner as the owner of the slice."""
        if self.owner_id != assigner_id:
            self.tenure_token = UNKNOWN_TENURE
        self.owner_id = assigner_id
        self.fencing_token = fencing_token
        self.early_weights = {}

    def set_weight(self, entry: WeightEntry, single_writer: bool) -> None:
        """Apply one weight entry; with a single writer, an entry above 0 replaces the whole table."""
        if self.early_weights is not None:
            self.early_weights[entry.server_id] = entry.weight
        if single_writer and entry.weight > 0:
            self.weights.clear()
            self.early_weights = None
        if entry.weight > 0:
            self.weights[entry.server_id] = entry.weight
        else:
            self.weights.pop(entry.server_id, None)
        self.invalidate_balancers()


class WeightTables:
    """All tables of a proxy, and the addresses and zones of the servers in them.

    Args:
        slice_count: The number of slices.
        default_retry_mode: The retry mode of slices and classes for which no assigner has set one.
        load_balancing_policy: "rotate", "random" or "p2c".
        random: A source of uniform random numbers in [0, 1).
        zone: The zone of this proxy.
        in_flight: Returns the number of this proxy's requests in flight at a server.
        single_writer: Whether each slice has at most one server.
    """

    def __init__(
        self,
        slice_count: int,
        default_retry_mode: int,
        load_balancing_policy: str,
        random: Random,
        zone: int = 0,
        in_flight: Callable[[int], int] = lambda _server_id: 0,
        single_writer: bool = False,
    ) -> None:
        self.single_writer = single_writer
        self.default_retry_mode = default_retry_mode
        self.load_balancing_policy = load_balancing_policy
        self.random = random
        self.zone = zone
        self.in_flight = in_flight
        self.slices = {slice_id: SliceTable() for slice_id in range(slice_count)}
        self.addresses: dict[int, str] = {}  # HOST:PORT by server id.
        self.zones: dict[int, int] = {}  # Zone by server id.
        self.withdrawn: dict[int, set[int]] = {}  # Ids of withdrawn servers by assigner.
        self.levels = AdmissionLevels()
        self.version = 0  # Incremented by each change.
        self.highest_token = 0  # The highest fencing token received.
        self.stale_entries_dropped = 0  # Weight entries dropped for an old token or unknown slice.
        self._max_tracked_servers = MIN_TRACKED_SERVERS

    # Received tables -----------------------------------------------------------------------------

    def apply_ownership(self, ownership: SliceOwnership) -> None:
        """Adopt a slice's owner and table from the store, unless newer ones have been received."""
        table = self.slices.get(ownership.slice_id)
        if table is None or ownership.fencing_token < table.fencing_token:
            return
        self.highest_token = max(self.highest_token, ownership.fencing_token)
        if table.is_older_than_update(ownership):
            self._merge_early_weights(table, ownership)
            table.set_owner(ownership)
            return
        if ownership.fencing_token != table.fencing_token:
            self.levels.clear_slice(table.owner_id, ownership.slice_id)
        table.set_owner(ownership)
        table.batch = ownership.batch
        table.weights = {entry.server_id: entry.weight for entry in ownership.entries if entry.weight > 0}
        table.invalidate_balancers()
        self._record_servers(ownership.entries)
        self.version += 1
        self._evict_unused_servers()

    def _merge_early_weights(self, table: SliceTable, ownership: SliceOwnership) -> None:
        """Apply the early weights of a new tenure on top of the ownership's entries.

        Updates of a new tenure refer to the entries of its ownership, not to those of the former owner.
        """
        if table.early_weights is None or table.continues_tenure(ownership):
            return
        weights = {entry.server_id: entry.weight for entry in ownership.entries} | table.early_weights
        table.weights = {server_id: weight for server_id, weight in weights.items() if weight > 0}
        table.invalidate_balancers()
        self.version += 1
        self._record_servers(ownership.entries)

    def _record_servers(self, entries: list[TableEntry]) -> None:
        for entry in entries:
            self._record_server(entry.server_id, entry.address, entry.zone)

    def _record_server(self, server_id: int, address: str, zone: int) -> None:
        if address:
            self.addresses[server_id] = address
        if zone >= 0:
            self.zones[server_id] = zone

    def _evict_unused_servers(self) -> None:
        """Drop the addresses and zones of servers that are in no table once there are too many.

        Every new server has a new id, so the memory would otherwise grow without bound.
        """
        if max(len(self.addresses), len(self.zones)) <= self._max_tracked_servers:
            return
        used = {server_id for table in self.slices.values() for server_id in table.weights}
        self.addresses = {server_id: a for server_id, a in self.addresses.items() if server_id in used}
        self.zones = {server_id: zone for server_id, zone in self.zones.items() if server_id in used}
        self._max_tracked_servers = 2 * len(used) + MIN_TRACKED_SERVERS

    def on_assigner_connected(self, assigner_id: int) -> None:
        """Drop the withdrawals and admission levels of an assigner whose stream was opened.

        The assigner sends its current ones again; it may have lifted or lost some while the stream was down.
        """
        self.withdrawn.pop(assigner_id, None)
        self.levels.clear_assigner(assigner_id)
        self._invalidate_slices_of(assigner_id)
        self.version += 1

    def _invalidate_slices_of(self, assigner_id: int) -> None:
        for table in self.slices.values():
            if table.owner_id == assigner_id:
                table.invalidate_balancers()

    def apply_update(self, assigner_id: int, update: ProxyUpdate) -> None:
        """Apply all changes of an assigner's update."""
        for slice_id, token in zip_longest(update.cleared_slices, update.cleared_tokens):
            self._clear_slice(assigner_id, slice_id, token, update.batch)
        for entry in update.weights:
            self._apply_weight(assigner_id, entry, update.batch)
        if update.withdrawn_servers or update.readmitted_servers:
            withdrawn = self.withdrawn.setdefault(assigner_id, set())
            withdrawn.update(update.withdrawn_servers)
            withdrawn.difference_update(update.readmitted_servers)
            self._invalidate_slices_of(assigner_id)
        for level in update.admission_levels:
            self.levels.set(assigner_id, level)
        self.version += 1
        self._evict_unused_servers()

    def _clear_slice(self, assigner_id: int, slice_id: int, fencing_token: int | None, batch: int) -> None:
        """Remove all weights of a slice, unless the assigner has lost its ownership.

        Without a token, only the owner that is known here may do so.
        """
        table = self.slices.get(slice_id)
        if table is None or not self._adopt_clearing_owner(table, assigner_id, fencing_token):
            return
        table.weights.clear()
        table.early_weights = None
        table.invalidate_balancers()
        table.batch = batch
        self.levels.clear_slice(assigner_id, slice_id)

    def _adopt_clearing_owner(self, table: SliceTable, assigner_id: int, fencing_token: int | None) -> bool:
        """Adopt the token with which a slice is cleared, and return whether it is the current one."""
        if fencing_token is None:
            return table.owner_id == assigner_id
        if fencing_token < table.fencing_token:
            self.stale_entries_dropped += 1
            return False
        self.highest_token = max(self.highest_token, fencing_token)
        if fencing_token > table.fencing_token:
            table.adopt_newer_token(assigner_id, fencing_token)
        return True

    def _apply_weight(self, assigner_id: int, entry: WeightEntry, batch: int) -> None:
        table = self.slices.get(entry.slice_id)
        if table is None or entry.fencing_token < table.fencing_token:
            self.stale_entries_dropped += 1
            return
        self.highest_token = max(self.highest_token, entry.fencing_token)
        if entry.fencing_token > table.fencing_token:
            table.adopt_newer_token(assigner_id, entry.fencing_token)
        table.batch = batch
        self._record_server(entry.server_id, entry.address, entry.zone)
        table.set_weight(entry, self.single_writer)

    # Routing -------------------------------------------------------------------------------------

    def owner_of(self, slice_id: int) -> int:
        """Return the assigner that owns a slice, or NO_OWNER."""
        return self.slices[slice_id].owner_id

    def available_weights(self, slice_id: int) -> dict[int, float]:
        """Return a slice's weights without withdrawn servers, whose share goes to the remaining servers."""
        table = self.slices[slice_id]
        withdrawn = self.withdrawn.get(table.owner_id, NO_SERVERS)
        return {
            server_id: weight for server_id, weight in table.weights.items() if server_id not in withdrawn
        }

    def pick(
        self,
        slice_id: int,
        avoid: frozenset[int] = NO_SERVERS,
        same_zone_only: bool = False,
        required_zone: int = ANY_ZONE,
    ) -> int | None:
        """Return a server for the slice's next request, or None if there is none.

        Args:
            slice_id: The request's slice.
            avoid: Servers that are picked only if there is no other.
            same_zone_only: Whether only servers in this proxy's zone may serve the request.
            required_zone: The zone that a retry must stay in, or ANY_ZONE.
        """
        balancer = self._balancer(self.slices[slice_id], same_zone_only, slice_id)
        if required_zone < 0:
            return balancer.pick(avoid)
        weights = self.slices[slice_id].weights
        other_zone_servers = frozenset(s for s in weights if self.zones.get(s) != required_zone)
        server_id = balancer.pick(avoid | other_zone_servers)
        if server_id in other_zone_servers:
            # All servers in the zone are in `avoid`: pick one of them anyway.
            server_id = balancer.pick(other_zone_servers)
        return None if server_id in other_zone_servers else server_id

    def _balancer(self, table: SliceTable, same_zone_only: bool, slice_id: int) -> LoadBalancer:
        """Return a table's balancer with up-to-date weights, and create it at first use."""
        balancer = table.balancers.get(same_zone_only)
        if balancer is None:
            balancer = create_load_balancer(self.load_balancing_policy, self.random, self.in_flight)
            table.balancers[same_zone_only] = balancer
        if same_zone_only not in table.current_balancers:
            table.current_balancers.add(same_zone_only)
            weights = self.available_weights(slice_id)
            if same_zone_only:
                weights = {s: weight for s, weight in weights.items() if self.zones.get(s) == self.zone}
            balancer.set_weights(weights)
        return balancer

    def admission_limit(self, slice_id: int, class_index: int) -> float | None:
        """Return the admitted fraction of a class's requests to a slice, or None if no fraction is set."""
        return self.levels.fraction(self.slices[slice_id].owner_id, slice_id, class_index)

    def admission_fraction(self, slice_id: int, class_index: int) -> float:
        """Return the admitted fraction of a class's requests to a slice, or 1 if no fraction is set."""
        limit = self.admission_limit(slice_id, class_index)
        return 1.0 if limit is None else limit

    def retry_mode(self, slice_id: int, class_index: int) -> int:
        """Return the retry mode set for the slice, else for all slices, else the deployment's default."""
        mode = self.levels.retry_mode(self.slices[slice_id].owner_id, slice_id, class_index)
        return self.default_retry_mode if mode is None else mode

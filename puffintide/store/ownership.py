"""Ledger of the slices' owners and tables. It does no I/O, and the caller passes in the time.

A slice has a home: the assigner whose id is the slice's number modulo the number of assigners, or the
assigner to which an operator migrated it. When the owner has been disconnected for longer than its lease, the
slice is granted to a connected assigner. It returns to its home once that is connected again, at a limited
rate because each transfer loses cached data. Every change of ownership issues a new fencing token. A write
with an older token is rejected, so an assigner that was paused beyond its lease cannot change anything when
it resumes, regardless of clock differences.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from puffintide.protocol.messages import TableEntry, WeightEntry
from puffintide.protocol.validation import weights_problem
from puffintide.store.engine import NO_OVERRIDE, NO_OWNER, StoredSlice, StoreSnapshot

TRANSFER_BURST_S = 0.25  # Unused transfer credit accumulates up to this many seconds of the limited rate.
MAX_TABLE_ENTRIES = 1000
MAX_TRANSFERS_PER_S = 200.0


@dataclass(slots=True)
class SliceRecord:
    """Ownership and table of one slice."""

    owner_id: int = NO_OWNER
    fencing_token: int = 0
    batch: int = 0  # Batch of the last write in this tenure.
    entries: dict[int, TableEntry] = field(default_factory=dict)  # Keyed by server id.
    home_override: int = NO_OVERRIDE  # Assigner that an operator made the slice's home.
    tenure_token: int = 0  # First token of this uninterrupted ownership.
    incarnation: int = 0  # Incarnation of the owner.


@dataclass(frozen=True, slots=True)
class OwnershipTransfer:
    """Grant of a slice to an owner.

    Previous and new owner are equal if only the fencing token changed.
    """

    slice_id: int
    previous_owner_id: int  # Id of an assigner, or NO_OWNER.
    new_owner_id: int


class OwnershipLedger:
    """Ownership and tables of all slices.

    Args:
        slice_count: Number of slices. Slice numbers start at 0.
        assigner_count: Number of assigners. Assigner ids start at 0.
        takeover_s: Lease of a disconnected assigner, in seconds, during which it keeps its slices.
        single_writer: Whether a table has a single entry, which each write replaces.
        max_table_entries: Maximum number of entries in one table. A write beyond it is rejected.
        opened_at_s: Time at which the store started. The lease of an assigner that has not connected yet
            starts then.
        max_transfers_per_s: Maximum rate at which slices return to their home, in slices per second.
    """

    def __init__(
        self,
        slice_count: int,
        assigner_count: int,
        takeover_s: float,
        single_writer: bool,
        max_table_entries: int = MAX_TABLE_ENTRIES,
        opened_at_s: float = 0.0,
        max_transfers_per_s: float = MAX_TRANSFERS_PER_S,
    ) -> None:
        self.assigner_count = assigner_count
        self.takeover_s = takeover_s
        self.single_writer = single_writer
        self.max_table_entries = max_table_entries
        self.opened_at_s = opened_at_s
        self.max_transfers_per_s = max_transfers_per_s
        self.slices = {slice_id: SliceRecord() for slice_id in range(slice_count)}
        self.connected: set[int] = set()
        self.disconnected_since_s: dict[int, float] = {}
        self.incarnations: dict[int, int] = {}  # Keyed by assigner.
        self.highest_token = 0  # Highest fencing token issued or observed.
        self.changed: set[int] = set()  # Slices changed since pop_changed() was last called.
        self._transfer_credit = 0.0  # Number of transfers that the rate limit allows now.
        self._credited_at_s = opened_at_s

    def home_of(self, slice_id: int) -> int:
        """Return the slice's home: the assigner that should own the slice whenever it is connected."""
        override = self.slices[slice_id].home_override
        return override if override >= 0 else slice_id % self.assigner_count

    def assigner_connected(
        self, now_s: float, assigner_id: int, incarnation: int = 0
    ) -> list[OwnershipTransfer]:
        """Record that an assigner has connected, and grant slices to it.

        The slices that it owns are granted again, as it may have missed the earlier grants. Its tenure
        continues if the incarnation is the same. Home slices without an owner are granted immediately, and
        home slices of other owners at the rate that `reassign` allows.

        Returns:
            The grants, including those of `reassign`.
        """
        self.connected.add(assigner_id)
        self.incarnations[assigner_id] = incarnation
        self.disconnected_since_s.pop(assigner_id, None)
        granted = [
            slice_id
            for slice_id, record in sorted(self.slices.items())
            if record.owner_id == assigner_id
            or (record.owner_id < 0 and self.home_of(slice_id) == assigner_id)
        ]
        grants = [self._grant(slice_id, assigner_id) for slice_id in granted]
        return grants + self.reassign(now_s)

    def assigner_disconnected(self, now_s: float, assigner_id: int) -> None:
        """Start the lease of an assigner whose stream was lost."""
        if assigner_id in self.connected:
            self.connected.discard(assigner_id)
            self.disconnected_since_s[assigner_id] = now_s

    def reassign(self, now_s: float) -> list[OwnershipTransfer]:
        """Reassign slices whose owner's lease has expired, and return slices to their home.

        Returns to the home are rate limited.
        """
        self._add_transfer_credit(now_s)
        if not self.connected:
            return []
        transfers: list[OwnershipTransfer] = []
        for slice_id, record in sorted(self.slices.items()):
            new_owner_id = self._next_owner(now_s, slice_id, record)
            if new_owner_id is not None:
                transfers.append(self._grant(slice_id, new_owner_id))
        return transfers

    def _add_transfer_credit(self, now_s: float) -> None:
        limit = max(1.0, self.max_transfers_per_s * TRANSFER_BURST_S)
        elapsed_s = max(0.0, now_s - self._credited_at_s)
        self._transfer_credit = min(limit, self._transfer_credit + self.max_transfers_per_s * elapsed_s)
        self._credited_at_s = now_s

    def _next_owner(self, now_s: float, slice_id: int, record: SliceRecord) -> int | None:
        """Return the assigner that replaces the current owner, or None if the owner stays.

        A return to the home consumes transfer credit.
        """
        home = self.home_of(slice_id)
        if record.owner_id in self.connected:
            if home == record.owner_id or home not in self.connected or self._transfer_credit < 1:
                return None
            self._transfer_credit -= 1
            return home
        if now_s - self.disconnected_since_s.get(record.owner_id, self.opened_at_s) < self.takeover_s:
            return None
        if home in self.connected:
            return home
        candidates = sorted(self.connected)
        return candidates[slice_id % len(candidates)]

    def lease_holders(self, now_s: float) -> list[int]:
        """Return the connected assigners and the disconnected ones whose lease has not expired."""
        within_lease = [
            assigner_id
            for assigner_id, since_s in self.disconnected_since_s.items()
            if now_s - since_s < self.takeover_s
        ]
        return sorted({*self.connected, *within_lease})

    def set_home(self, slice_ids: Sequence[int], assigner_id: int) -> str | None:
        """Make an assigner the home of slices, on an operator's command; -1 restores their default home.

        Returns:
            The reason why the command is rejected and nothing is changed, or None if the command was applied.
        """
        unknown = [slice_id for slice_id in slice_ids if slice_id not in self.slices]
        if unknown:
            return f"slice {unknown[0]} is not from 0 to {len(self.slices) - 1}"
        if not NO_OVERRIDE <= assigner_id < self.assigner_count:
            return f"assigner {assigner_id} is not from {NO_OVERRIDE} to {self.assigner_count - 1}"
        for slice_id in slice_ids:
            self.slices[slice_id].home_override = assigner_id
            self.changed.add(slice_id)
        return None

    def observe_token(self, token: int) -> list[OwnershipTransfer]:
        """Process a fencing token that a peer has seen.

        A token above the highest issued one shows that this store was started from an older copy of its data.
        New tokens are then issued above it, and all slices of connected assigners are granted again, which
        invalidates all earlier grants.
        """
        if token <= self.highest_token:
            return []
        self.highest_token = token
        owned = [
            (slice_id, record.owner_id)
            for slice_id, record in sorted(self.slices.items())
            if record.owner_id in self.connected
        ]
        return [self._grant(slice_id, owner_id) for slice_id, owner_id in owned]

    def _grant(self, slice_id: int, owner_id: int) -> OwnershipTransfer:
        record = self.slices[slice_id]
        self.highest_token += 1
        incarnation = self.incarnations.get(owner_id, 0)
        same_tenure = record.owner_id == owner_id and record.incarnation == incarnation
        if not same_tenure or not record.tenure_token:
            record.tenure_token = self.highest_token
            record.incarnation = incarnation
            record.batch = 0
        transfer = OwnershipTransfer(slice_id, record.owner_id, owner_id)
        record.owner_id = owner_id
        record.fencing_token = self.highest_token
        self.changed.add(slice_id)
        return transfer

    def stored_slice(self, slice_id: int) -> StoredSlice:
        """Return the stored form of a slice."""
        record = self.slices[slice_id]
        return StoredSlice(
            slice_id,
            record.owner_id,
            record.fencing_token,
            record.batch,
            [record.entries[server_id] for server_id in sorted(record.entries)],
            record.home_override,
            record.tenure_token,
            record.incarnation,
        )

    def pop_changed(self) -> tuple[StoredSlice, ...]:
        """Return the slices changed since the last call, and clear the set of changed slices."""
        changed = tuple(self.stored_slice(slice_id) for slice_id in sorted(self.changed))
        self.changed = set()
        return changed

    def load_tables(self, tables: Mapping[int, Sequence[TableEntry]]) -> None:
        """Replace tables, keyed by slice, with loaded ones."""
        for slice_id, entries in tables.items():
            self.slices[slice_id].entries = {entry.server_id: entry for entry in entries}
            self.changed.add(slice_id)

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Load a snapshot. Stored slices beyond those of the deployment are ignored and stay stored."""
        self.highest_token = snapshot.highest_token
        for slice_id, stored in snapshot.slices.items():
            if slice_id in self.slices:
                override_exists = stored.home_override < self.assigner_count
                self.slices[slice_id] = SliceRecord(
                    owner_id=stored.owner_id,
                    fencing_token=stored.fencing_token,
                    batch=stored.batch,
                    entries={entry.server_id: entry for entry in stored.entries},
                    home_override=stored.home_override if override_exists else NO_OVERRIDE,
                    tenure_token=stored.tenure_token,
                    incarnation=stored.incarnation,
                )

    def write(self, writer_id: int, weights: Sequence[WeightEntry], batch: int = 0) -> dict[int, str]:
        """Apply weight entries to the tables of slices that the writer owns.

        Returns:
            The reason of rejection for each slice with a rejected entry.
        """
        rejections: dict[int, str] = {}
        for weight in weights:
            reason = self._rejection_reason(writer_id, weight)
            if reason is not None:
                rejections[weight.slice_id] = reason
                continue
            record = self.slices[weight.slice_id]
            record.batch = max(record.batch, batch)
            self.changed.add(weight.slice_id)
            self._set_weight(record, weight)
        return rejections

    def _rejection_reason(self, writer_id: int, weight: WeightEntry) -> str | None:
        record = self.slices.get(weight.slice_id)
        if record is None:
            return "no such slice"
        if record.owner_id != writer_id:
            return f"the slice is owned by assigner {record.owner_id}"
        if weight.fencing_token != record.fencing_token:
            return f"fencing token {weight.fencing_token} is not the current token {record.fencing_token}"
        problem = weights_problem([weight])
        if problem is not None:
            return problem
        adds_entry = weight.weight > 0 and weight.server_id not in record.entries
        if adds_entry and len(record.entries) >= self.max_table_entries:
            return f"the table already has the maximum of {self.max_table_entries} entries"
        return None

    def _set_weight(self, record: SliceRecord, weight: WeightEntry) -> None:
        if weight.weight <= 0:
            record.entries.pop(weight.server_id, None)
            return
        if self.single_writer:
            record.entries.clear()
        record.entries[weight.server_id] = TableEntry(
            weight.server_id, weight.weight, weight.address, weight.zone
        )

"""Which assigner owns each slice, and the tables of the slices. Pure: time is passed in, nothing is read or sent.

A slice has a home: the assigner of its number modulo the number of assigners, or the one that an operator migrated
it to. When its owner has been disconnected for longer than the lease, the slice is granted to a connected assigner;
it returns to its home at a limited rate once that is connected again, as each transfer costs caches. Every change
of ownership takes a new fencing token. A write with an older token is rejected, so that an assigner that was paused
beyond its lease changes nothing when it resumes, whatever the clocks say.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from puffintide.protocol.messages import TableEntry, WeightEntry
from puffintide.protocol.validation import weights_problem
from puffintide.store.engine import NO_OVERRIDE, NOBODY, StoredSlice, StoreSnapshot

BURST_S = 0.25  # of transfers at the limited rate that may be saved up
MAX_TABLE_ENTRIES = 1000
MAX_TRANSFERS_PER_S = 200.0


@dataclass(slots=True)
class SliceRecord:
    """Ownership and table of one slice."""

    owner_id: int = NOBODY
    fencing_token: int = 0
    batch: int = 0  # of the last write in this tenure
    entries: dict[int, TableEntry] = field(default_factory=dict)  # by server id
    home_override: int = NO_OVERRIDE  # assigner that an operator made the slice's home
    tenure_token: int = 0  # first token of this unbroken ownership
    incarnation: int = 0  # of the owner


@dataclass(frozen=True, slots=True)
class OwnershipTransfer:
    """A slice was granted; previous and new owner are the same where only the token changed."""

    slice_id: int
    previous_owner_id: int  # NOBODY: none
    new_owner_id: int


class OwnershipLedger:
    """Ownership and tables of all slices.

    Args:
        slice_count: Slices are numbered from 0.
        assigner_count: Assigners are numbered from 0.
        takeover_s: Lease: how long a disconnected assigner keeps its slices.
        single_writer: Whether a table has one entry, which a write replaces.
        max_table_entries: Of one table; a write beyond is rejected.
        opened_at_s: When the store began; an assigner that has not connected yet has its lease from then on.
        max_transfers_per_s: Rate at which slices return to their home.
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
        self.incarnations: dict[int, int] = {}  # of the connected assigners
        self.highest_token = 0  # highest fencing token issued or observed
        self.changed: set[int] = set()  # slices changed since take_changed()
        self._transfer_credit = 0.0  # transfers that the rate allows now
        self._credited_at_s = opened_at_s

    def home_of(self, slice_id: int) -> int:
        """The assigner that owns the slice while it is connected."""
        override = self.slices[slice_id].home_override
        return override if override >= 0 else slice_id % self.assigner_count

    def assigner_connected(
        self, now_s: float, assigner_id: int, incarnation: int = 0
    ) -> list[OwnershipTransfer]:
        """An assigner has connected.

        What it owns is granted anew, as it may have missed that; in the same incarnation its tenure goes on. Its
        home slices that nobody owns are granted at once, and those that others own as `reassign` allows.

        Returns:
            The grants, with those of `reassign`.
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
        """An assigner's stream is lost; its lease runs from now on."""
        if assigner_id in self.connected:
            self.connected.discard(assigner_id)
            self.disconnected_since_s[assigner_id] = now_s

    def reassign(self, now_s: float) -> list[OwnershipTransfer]:
        """Grants slices whose owner's lease has expired, and returns slices to their home at the limited rate."""
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
        limit = max(1.0, self.max_transfers_per_s * BURST_S)
        elapsed_s = max(0.0, now_s - self._credited_at_s)
        self._transfer_credit = min(limit, self._transfer_credit + self.max_transfers_per_s * elapsed_s)
        self._credited_at_s = now_s

    def _next_owner(self, now_s: float, slice_id: int, record: SliceRecord) -> int | None:
        """The assigner that is to own the slice in place of its present owner; a return home uses up credit."""
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
        """The connected assigners, and those whose lease has not expired."""
        within_lease = [
            assigner_id
            for assigner_id, since_s in self.disconnected_since_s.items()
            if now_s - since_s < self.takeover_s
        ]
        return sorted({*self.connected, *within_lease})

    def set_home(self, slice_ids: Sequence[int], assigner_id: int) -> str | None:
        """Makes an assigner the home of slices, on an operator's command; -1 takes that back.

        Returns:
            What is wrong with the command, in which case nothing is changed; None if it was taken.
        """
        unknown = [slice_id for slice_id in slice_ids if slice_id not in self.slices]
        if unknown:
            return f"slice {unknown[0]} is not among the {len(self.slices)}"
        if not NO_OVERRIDE <= assigner_id < self.assigner_count:
            return f"assigner {assigner_id} is not among the {self.assigner_count}"
        for slice_id in slice_ids:
            self.slices[slice_id].home_override = assigner_id
            self.changed.add(slice_id)
        return None

    def observe_token(self, token: int) -> list[OwnershipTransfer]:
        """A peer has seen this fencing token.

        One beyond those issued means that this store is an older copy of itself: tokens go on above it, and all
        that connected assigners own is granted anew, so that nothing granted before counts any more.
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
        """The slice as it is to be stored."""
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
        """The slices changed since this was last called."""
        changed = tuple(self.stored_slice(slice_id) for slice_id in sorted(self.changed))
        self.changed = set()
        return changed

    def load_tables(self, tables: Mapping[int, Sequence[TableEntry]]) -> None:
        """Sets tables to start with, by slice."""
        for slice_id, entries in tables.items():
            self.slices[slice_id].entries = {entry.server_id: entry for entry in entries}
            self.changed.add(slice_id)

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Takes over what was stored. Slices beyond those of the deployment stay as they are stored."""
        self.highest_token = snapshot.highest_token
        for slice_id, stored in snapshot.slices.items():
            if slice_id in self.slices:
                known_override = stored.home_override < self.assigner_count
                self.slices[slice_id] = SliceRecord(
                    owner_id=stored.owner_id,
                    fencing_token=stored.fencing_token,
                    batch=stored.batch,
                    entries={entry.server_id: entry for entry in stored.entries},
                    home_override=stored.home_override if known_override else NO_OVERRIDE,
                    tenure_token=stored.tenure_token,
                    incarnation=stored.incarnation,
                )

    def write(self, writer_id: int, weights: Sequence[WeightEntry], batch: int = 0) -> dict[int, str]:
        """Takes the entries of slices that the writer owns.

        Returns:
            The reason for each slice of which an entry was rejected.
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
            return f"in charge of assigner {record.owner_id}"
        if weight.fencing_token != record.fencing_token:
            return f"token {weight.fencing_token} is not the present {record.fencing_token}"
        problem = weights_problem([weight])
        if problem is not None:
            return problem
        adds_entry = weight.weight > 0 and weight.server_id not in record.entries
        if adds_entry and len(record.entries) >= self.max_table_entries:
            return f"a table holds {self.max_table_entries} lines at most"
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

"""The tables of the slices that an assigner owns, as it has last written them. No I/O.

In an unbroken tenure these are the current tables, whatever the store missed: it was unreachable, lost its last
commits, or was restored from a backup. Where another assigner has owned the slice in between, earlier writes are
void, as they were based on a table that no longer exists.
"""

from __future__ import annotations

from collections.abc import Iterable

from puffintide.protocol.messages import SliceOwnership, TableEntry, WeightEntry


class OwnedTables:
    """Tables by slice.

    Attributes:
        entries: Table entries by slice, then by server.
        batches: Batch of the last write to each slice.
        changed_slices: Slices that changed since a reader last emptied this set.
    """

    def __init__(self) -> None:
        self.entries: dict[int, dict[int, TableEntry]] = {}
        self.batches: dict[int, int] = {}
        self.changed_slices: set[int] = set()

    def on_ownership_granted(self, ownership: SliceOwnership, tenure_continues: bool) -> None:
        """Take over the stored table, unless the tenure is unbroken."""
        slice_id = ownership.slice_id
        if not tenure_continues:
            self.entries[slice_id] = {entry.server_id: entry for entry in ownership.entries}
            self.batches[slice_id] = ownership.batch
        self.changed_slices.add(slice_id)

    def on_ownership_revoked(self, slice_id: int) -> None:
        """Forget a slice."""
        self.entries.pop(slice_id, None)
        self.batches.pop(slice_id, None)
        self.changed_slices.discard(slice_id)

    def apply_writes(self, batch: int, weights: Iterable[WeightEntry]) -> None:
        """Set the weights of a batch; weight 0 removes an entry."""
        for weight_entry in weights:
            table = self.entries.setdefault(weight_entry.slice_id, {})
            if weight_entry.weight > 0:
                table[weight_entry.server_id] = TableEntry(
                    weight_entry.server_id, weight_entry.weight, weight_entry.address, weight_entry.zone
                )
            else:
                table.pop(weight_entry.server_id, None)
            self.batches[weight_entry.slice_id] = batch
            self.changed_slices.add(weight_entry.slice_id)

    def missing_writes(self, ownerships: Iterable[SliceOwnership]) -> tuple[int, list[WeightEntry]]:
        """Find what the stored tables lack.

        Returns:
            The batch, and the weights to write again under the tokens that were granted.
        """
        missing: list[WeightEntry] = []
        batch = 0
        for ownership in ownerships:
            of_slice = self._missing_in(ownership)
            if of_slice:
                missing += of_slice
                batch = max(batch, self.batches.get(ownership.slice_id, 0))
        return batch, missing

    def _missing_in(self, ownership: SliceOwnership) -> list[WeightEntry]:
        slice_id = ownership.slice_id
        token = ownership.fencing_token
        owned = self.entries.get(slice_id, {})
        stored = {entry.server_id: entry for entry in ownership.entries}
        changed = [
            entry
            for server_id, entry in sorted(owned.items())
            if server_id not in stored or stored[server_id].weight != entry.weight
        ]
        return [
            *(WeightEntry(slice_id, e.server_id, e.weight, token, e.address, e.zone) for e in changed),
            *(WeightEntry(slice_id, s, 0.0, token) for s in sorted(stored.keys() - owned.keys())),
        ]

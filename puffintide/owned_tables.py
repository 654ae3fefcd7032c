"""The tables of the slices that an assigner owns, as it last wrote them. This module does no I/O.

In an unbroken tenure these tables are current, even if the store missed writes: it may have been unreachable,
have lost its last commits, or have been restored from a backup. If another assigner owned the slice in
between, earlier writes are void, as they were based on a table that no longer exists.
"""

from __future__ import annotations

from collections.abc import Iterable

from puffintide.protocol.messages import SliceOwnership, TableEntry, WeightEntry


class OwnedTables:
    """The tables of the owned slices.

    Attributes:
        entries: The table entries, by slice id and then by server id.
        batches: The batch of the last write to each slice, by slice id.
        changed_slices: Ids of the slices that changed since a reader last cleared this set.
    """

    def __init__(self) -> None:
        self.entries: dict[int, dict[int, TableEntry]] = {}
        self.batches: dict[int, int] = {}
        self.changed_slices: set[int] = set()

    def on_ownership_granted(self, ownership: SliceOwnership, tenure_continues: bool) -> None:
        """Replace the table by the stored one, unless the tenure is unbroken."""
        slice_id = ownership.slice_id
        if not tenure_continues:
            self.entries[slice_id] = {entry.server_id: entry for entry in ownership.entries}
            self.batches[slice_id] = ownership.batch
        self.changed_slices.add(slice_id)

    def on_ownership_revoked(self, slice_id: int) -> None:
        """Remove the table of a slice."""
        self.entries.pop(slice_id, None)
        self.batches.pop(slice_id, None)
        self.changed_slices.discard(slice_id)

    def apply_writes(self, batch: int, weights: Iterable[WeightEntry]) -> None:
        """Apply the weights of a batch; weight 0 removes an entry."""
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
        """Return the writes that the stored tables lack.

        Args:
            ownerships: The granted slices with their stored tables.

        Returns:
            The batch, and the weights to write again with the fencing tokens that were granted.
        """
        missing: list[WeightEntry] = []
        batch = 0
        for ownership in ownerships:
            slice_weights = self._missing_slice_weights(ownership)
            if slice_weights:
                missing += slice_weights
                batch = max(batch, self.batches.get(ownership.slice_id, 0))
        return batch, missing

    def _missing_slice_weights(self, ownership: SliceOwnership) -> list[WeightEntry]:
        """Return the weights that turn the stored table of one slice into the owned one."""
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
            *(
                WeightEntry(slice_id, entry.server_id, entry.weight, token, entry.address, entry.zone)
                for entry in changed
            ),
            *(
                WeightEntry(slice_id, server_id, 0.0, token)
                for server_id in sorted(stored.keys() - owned.keys())
            ),
        ]

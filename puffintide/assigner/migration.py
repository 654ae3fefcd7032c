"""One migration of slices that have a single writer: its stage, its weights and its requests to drain."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

import msgspec

from puffintide.protocol.messages import ProxyUpdate, WeightEntry

# Updates with the ids of the proxies that receive them.
AddressedUpdates = list[tuple[int, ProxyUpdate]]


class Stage(Enum):
    """The stage of a migration; sending the new weights completes it and needs no stage of its own."""

    WAITING = auto()
    DRAINING = auto()
    STORING = auto()


@dataclass(slots=True, eq=False)
class Migration:
    """The migration of the slices of one batch, or of several merged batches.

    Attributes:
        batch: Number of the batch, the last one of merged batches.
        weights: The new weights of the slices.
        deferred_updates: Updates that are sent once the weights are stored.
        checkpoint_id: The checkpoint that proxies acknowledge when they have drained the slices.
        unacknowledged: Ids of the proxies that have not acknowledged the checkpoint.
        drain_deadline: When draining ends even if it is not complete.
        stage: The current stage.
    """

    batch: int
    weights: list[WeightEntry]
    deferred_updates: AddressedUpdates
    checkpoint_id: int = 0
    unacknowledged: set[int] = field(default_factory=set)
    drain_deadline: float = 0.0
    stage: Stage = Stage.WAITING

    @property
    def fencing_tokens(self) -> dict[int, int]:
        """Return the fencing token of each slice that migrates, by slice id in ascending order."""
        return dict(sorted((entry.slice_id, entry.fencing_token) for entry in self.weights))

    def drain_request(self, update: ProxyUpdate, tokens: dict[int, int] | None = None) -> ProxyUpdate:
        """Return an update with the request to drain slices added.

        Args:
            update: The update of the proxy, which clears no slices.
            tokens: The fencing token of each slice to drain, by slice id; None for the slices of this migration.
        """
        tokens = self.fencing_tokens if tokens is None else tokens
        return msgspec.structs.replace(
            update,
            cleared_slices=list(tokens),
            cleared_tokens=list(tokens.values()),
            checkpoint_id=self.checkpoint_id,
            channel_cost=update.channel_cost + len(tokens) + 1,
        )

    def replace_weights(self, weights: list[WeightEntry]) -> list[WeightEntry]:
        """Replace the weights of the slices that migrate, and return those of other slices."""
        migrating = self.fencing_tokens.keys()
        replacing = [entry for entry in weights if entry.slice_id in migrating]
        replaced = {entry.slice_id for entry in replacing}
        self.weights = [entry for entry in self.weights if entry.slice_id not in replaced] + replacing
        return [entry for entry in weights if entry.slice_id not in migrating]

    def merge(self, later: Migration) -> None:
        """Add a later migration; its weights replace those of a slice that both migrate."""
        self.batch = later.batch
        added_weights = self.replace_weights(later.weights)
        self.weights += added_weights
        updates = dict(self.deferred_updates) | dict(later.deferred_updates)
        self.deferred_updates = sorted(updates.items())

    def drop_slice(self, slice_id: int) -> None:
        """Remove the weights of a slice."""
        self.weights = [entry for entry in self.weights if entry.slice_id != slice_id]

    def renew_token(self, slice_id: int, fencing_token: int) -> None:
        """Replace the fencing token in the weights of a slice."""
        self.weights = [
            msgspec.structs.replace(entry, fencing_token=fencing_token)
            if entry.slice_id == slice_id
            else entry
            for entry in self.weights
        ]

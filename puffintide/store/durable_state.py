"""What has been committed, in memory: reads and notifications are answered from it, and never wait for the disk."""

from __future__ import annotations

from puffintide.protocol.messages import SliceOwnership, ZoneCommands
from puffintide.store.engine import Commit, StoredSlice, StoreSnapshot


def ownership_message(stored: StoredSlice) -> SliceOwnership:
    """The message that tells peers of a stored slice."""
    return SliceOwnership(
        slice_id=stored.slice_id,
        fencing_token=stored.fencing_token,
        owner_id=stored.owner_id,
        entries=stored.entries,
        batch=stored.batch,
        tenure_token=stored.tenure_token,
    )


class DurableState:
    """The state of the store as of the last commit.

    Args:
        snapshot: What the engine has stored.
    """

    def __init__(self, snapshot: StoreSnapshot) -> None:
        self.store_id = snapshot.store_id
        self.revision = snapshot.revision
        self.slices = dict(snapshot.slices)
        self.slice_revisions = dict(snapshot.slice_revisions)
        self.zone_commands = dict(snapshot.zone_commands)  # by zone

    def apply(self, commit: Commit) -> None:
        """A commit has become durable."""
        self.revision = commit.revision
        for stored in commit.slices:
            self.slices[stored.slice_id] = stored
            self.slice_revisions[stored.slice_id] = commit.revision
        for command in commit.zone_commands:
            self.zone_commands[command.zone] = command

    def ownership(self, slice_id: int) -> SliceOwnership:
        """The message that tells peers of a slice."""
        return ownership_message(self.slices[slice_id])

    def commands_in_force(self) -> ZoneCommands:
        """The message that tells peers of all zone commands."""
        return ZoneCommands([self.zone_commands[zone] for zone in sorted(self.zone_commands)])

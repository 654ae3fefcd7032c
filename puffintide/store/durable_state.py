"""In-memory copy of the committed state.

Reads and notifications are served from it, so that building them never waits for the disk.
"""

from __future__ import annotations

from puffintide.protocol.messages import SliceOwnership, ZoneCommands
from puffintide.store.engine import Commit, StoredSlice, StoreSnapshot


def ownership_message(stored: StoredSlice) -> SliceOwnership:
    """Return the message that describes a stored slice to peers."""
    return SliceOwnership(
        slice_id=stored.slice_id,
        fencing_token=stored.fencing_token,
        owner_id=stored.owner_id,
        entries=stored.entries,
        batch=stored.batch,
        tenure_token=stored.tenure_token,
    )


class DurableState:
    """State of the store as of the last commit.

    Args:
        snapshot: State that the engine has stored.
    """

    def __init__(self, snapshot: StoreSnapshot) -> None:
        self.store_id = snapshot.store_id
        self.revision = snapshot.revision
        self.slices = dict(snapshot.slices)
        self.slice_revisions = dict(snapshot.slice_revisions)
        self.zone_commands = dict(snapshot.zone_commands)  # Keyed by zone.

    def apply(self, commit: Commit) -> None:
        """Apply a commit that has become durable."""
        self.revision = commit.revision
        for stored in commit.slices:
            self.slices[stored.slice_id] = stored
            self.slice_revisions[stored.slice_id] = commit.revision
        for command in commit.zone_commands:
            self.zone_commands[command.zone] = command

    def ownership(self, slice_id: int) -> SliceOwnership:
        """Return the message that describes a slice to peers."""
        return ownership_message(self.slices[slice_id])

    def commands_in_force(self) -> ZoneCommands:
        """Return the message that lists all zone commands in force."""
        return ZoneCommands([self.zone_commands[zone] for zone in sorted(self.zone_commands)])

"""Decides by version which of discovery's endpoint lists are accepted. Performs no I/O."""

from __future__ import annotations

from puffintide.decisions.events import ListUpdateType
from puffintide.platform.discovery_messages import EndpointListMessage

# Time in seconds for which snapshots older than the list in use are ignored. It is longer than discovery
# takes to propagate a change: an agent that is still behind afterwards has restarted its version count.
STALE_LIST_GRACE_S = 6.0


class ListVersionTracker:
    """Tracks the version of the endpoint list in use, and since when only older snapshots were received."""

    def __init__(self) -> None:
        self.version = 0
        self.stale_since_s: float | None = None

    def accept(
        self, now_s: float, message: EndpointListMessage, from_config: bool = False
    ) -> ListUpdateType | None:
        """Return the type of update that a message is applied as, or None if it is ignored.

        A snapshot with invalid entries is applied as a delta, so that the servers of these entries are not
        removed. A snapshot older than the list in use is ignored, as it would undo drains. It is accepted
        once only older snapshots have been received for STALE_LIST_GRACE_S.

        Args:
            now_s: The current time in seconds.
            message: The snapshot or delta received.
            from_config: Whether the list is from the configuration, not from discovery.
        """
        if from_config:
            self.version = message.version
            return ListUpdateType.CACHED
        if message.is_snapshot and self._is_stale(now_s, message.version):
            return None
        if not message.is_snapshot and message.version <= self.version:
            return None
        self.version = message.version
        self.stale_since_s = None
        if message.is_snapshot and not message.errors:
            return ListUpdateType.SNAPSHOT
        return ListUpdateType.DELTA if message.entries or message.errors else None

    def _is_stale(self, now_s: float, version: int) -> bool:
        if version >= self.version:
            return False
        if self.stale_since_s is None:
            self.stale_since_s = now_s
        return now_s - self.stale_since_s < STALE_LIST_GRACE_S

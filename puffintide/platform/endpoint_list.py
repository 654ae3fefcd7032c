"""Which endpoint lists of discovery are accepted, by their versions. Performs no I/O."""

from __future__ import annotations

from puffintide.decisions.events import ListUpdateType
from puffintide.platform.discovery_messages import EndpointListMessage

# Longer than discovery takes to propagate a change: an agent that stays behind has restarted its version count.
STALE_LIST_GRACE_S = 6.0


class ListVersionTracker:
    """Version of the endpoint list in use, and since when only older snapshots have been received."""

    def __init__(self) -> None:
        self.version = 0
        self.stale_since_s: float | None = None

    def accept(
        self, now_s: float, message: EndpointListMessage, from_config: bool = False
    ) -> ListUpdateType | None:
        """Decide how a message is passed on; None: it is not.

        A snapshot with invalid entries is passed on as a delta, as these servers are not removed. A snapshot that
        is older than the list in use is not, as it would undo drains, unless nothing newer is received for a while.

        Args:
            now_s: The current time.
            message: A snapshot or a delta.
            from_config: The list is from the configuration, not from discovery.
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

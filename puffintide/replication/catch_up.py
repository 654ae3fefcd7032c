"""Rate-limited sending of deltas, selection of the peer that sends a row, and catch-up after a start.

No I/O; the current time is passed in.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from puffintide.protocol.messages import ReplicationDelta, ReplicaVersion
from puffintide.replication.replica import MAX_ROWS_PER_DELTA, Replica

# Maximum rows sent to a peer at once. It bounds the time for which the event loop and other messages are
# blocked.
MAX_BURST_ROWS = 2 * MAX_ROWS_PER_DELTA
# Seconds without progress after which an origin's rows are requested from all peers. It exceeds the delay of
# messages on a network path.
SOURCE_TIMEOUT_S = 1.5
IN_FLIGHT_TIMEOUT_S = 2.0  # Seconds for which sent rows count as received without confirmation by a digest.


class DeltaSender:
    """Selects the rows that one peer lacks according to its digest, for one stream.

    Rows are sent at a limited rate, and a row that is in flight is not sent again.

    Attributes:
        rows_per_s: Maximum rate in rows per second.
        burst_rows: Maximum number of rows sent at once.
    """

    def __init__(self, rows_per_s: float) -> None:
        self.rows_per_s = rows_per_s
        self.burst_rows = max(1, min(MAX_BURST_ROWS, int(rows_per_s)))
        self._credit_rows = float(self.burst_rows)
        self._credit_at_s = 0.0
        self._known_versions: dict[int, ReplicaVersion] = {}  # Versions that the peer holds, by origin.
        self._in_flight: dict[int, tuple[float, ReplicaVersion]] = {}  # Time sent and version, by origin.

    def on_digest(self, now: float, versions: Iterable[ReplicaVersion]) -> None:
        """Update the known versions from the peer's digest, which does not cover deltas in flight."""
        self._known_versions = {version.origin_id: version for version in versions}
        for origin_id, (sent_at_s, version) in list(self._in_flight.items()):
            peer_version = self._known_versions.get(origin_id)
            arrived = peer_version is not None and _includes(peer_version, version)
            if arrived or now - sent_at_s > IN_FLIGHT_TIMEOUT_S:
                del self._in_flight[origin_id]
            else:
                self._known_versions[origin_id] = version

    def next_deltas(self, now: float, replica: Replica) -> tuple[list[ReplicationDelta], float | None]:
        """Return the deltas to send now, and the delay in seconds until more may be sent.

        The delay is None if there is nothing more to send before the peer's next digest.
        """
        earned_rows = (now - self._credit_at_s) * self.rows_per_s
        self._credit_rows = min(float(self.burst_rows), self._credit_rows + earned_rows)
        self._credit_at_s = now
        min_rows = min(self.burst_rows, MAX_ROWS_PER_DELTA)
        if self._credit_rows < min_rows:
            return [], (min_rows - self._credit_rows) / self.rows_per_s
        deltas = replica.deltas_for(now, self._known_versions.values(), int(self._credit_rows))
        for delta in deltas:
            self._credit_rows -= max(1, len(delta.rows) + len(delta.deletions))
            version = ReplicaVersion(
                delta.origin_id, delta.incarnation, delta.through_sequence, delta.compacted_sequence
            )
            self._known_versions[delta.origin_id] = version
            self._in_flight[delta.origin_id] = (now, version)
        if not deltas:
            return [], None
        return deltas, max(0.0, min_rows - self._credit_rows) / self.rows_per_s


@dataclass(frozen=True, slots=True)
class _Progress:
    """Version up to which an origin's rows are held here, and the time since which it has not advanced."""

    version: tuple[int, int]
    since_s: float


class SourceSelector:
    """Builds the digest for each peer so that each row is requested from one peer instead of from all.

    An origin's rows are requested from the origin itself if it is connected, else from one of the peers that
    hold its latest version. The digests for the other peers state these rows as received. If no further rows
    of the origin arrive for SOURCE_TIMEOUT_S, because the selected peer is incomplete or unreachable, the
    rows are requested from all peers.
    """

    def __init__(self, origin_count: int) -> None:
        self.origin_count = origin_count
        self._peer_versions: dict[int, dict[int, ReplicaVersion]] = {}  # Keyed by peer id, then by origin id.
        self._progress: dict[int, _Progress] = {}  # Keyed by origin id.

    def on_digest(self, peer_id: int, versions: Iterable[ReplicaVersion]) -> None:
        """Record the versions that a peer holds; origins that are not configured are ignored."""
        self._peer_versions[peer_id] = {
            version.origin_id: version for version in versions if 0 <= version.origin_id < self.origin_count
        }

    def remove_peer(self, peer_id: int) -> None:
        """Remove the versions of a peer that disconnected."""
        self._peer_versions.pop(peer_id, None)

    def digest_for(self, now: float, peer_id: int, replica: Replica) -> list[ReplicaVersion]:
        """Return the digest to send to a peer."""
        digest = {version.origin_id: version for version in replica.digest()}
        origins = {origin_id for versions in self._peer_versions.values() for origin_id in versions}
        for origin_id in sorted(origins - {replica.local_id}):
            held = digest.get(origin_id, ReplicaVersion(origin_id, 0, 0))
            progress = self._update_progress(now, origin_id, (held.incarnation, held.sequence))
            source_id, latest = self._select_source(origin_id)
            if source_id == peer_id or _includes(held, latest):
                continue
            if now - progress.since_s <= SOURCE_TIMEOUT_S:
                digest[origin_id] = latest
        return [version for _, version in sorted(digest.items())]

    def _update_progress(self, now: float, origin_id: int, version: tuple[int, int]) -> _Progress:
        progress = self._progress.get(origin_id)
        if progress is None or progress.version != version:
            progress = _Progress(version, now)
            self._progress[origin_id] = progress
        return progress

    def _select_source(self, origin_id: int) -> tuple[int, ReplicaVersion]:
        """Return the peer to request an origin's rows from, and the latest version that any peer holds."""
        versions_by_peer = {
            peer_id: versions[origin_id]
            for peer_id, versions in self._peer_versions.items()
            if origin_id in versions
        }
        latest = max(versions_by_peer.values(), key=lambda version: (version.incarnation, version.sequence))
        complete = [peer_id for peer_id, version in versions_by_peer.items() if _includes(version, latest)]
        source_id = origin_id if origin_id in complete else min(complete)
        return source_id, latest


class CatchUp:
    """Tracks whether a starting assigner has caught up with its peers.

    It has caught up when it holds all that the connected peers have announced, and at least one has announced
    its versions. It waits for a peer that is neither connected nor known to be unreachable, because a peer
    must not be skipped only because it answers later.
    """

    def __init__(self, peer_ids: Iterable[int]) -> None:
        self._pending = set(peer_ids)
        self._synced = set[int]()  # Peers whose announced versions are all held here.

    def on_peer_connected(self, peer_id: int) -> None:
        """Wait for the digest of a peer."""
        self._pending.add(peer_id)
        self._synced.discard(peer_id)

    def on_peer_disconnected(self, peer_id: int) -> None:
        """Stop waiting for a peer that is unreachable."""
        self._pending.discard(peer_id)
        self._synced.discard(peer_id)

    def on_digest(self, peer_id: int, is_behind: bool) -> None:
        """Record whether this assigner lacks rows according to a peer's digest."""
        if is_behind:
            self.on_peer_connected(peer_id)
        else:
            self._pending.discard(peer_id)
            self._synced.add(peer_id)

    def is_complete(self) -> bool:
        """Return whether this assigner has caught up."""
        return bool(self._synced) and not self._pending


def _includes(version: ReplicaVersion, other: ReplicaVersion) -> bool:
    return (version.incarnation, version.sequence) >= (other.incarnation, other.sequence)


def keeps_current_stream(
    current_incarnation: int, new_incarnation: int, new_opened_by_lower_id: bool
) -> bool:
    """Return whether the current stream between two assigners is kept after a new one was opened.

    Both ends make the same decision, so that exactly one stream remains. The new stream replaces the current
    one if it belongs to a later incarnation of the peer, or if the assigner with the lower id opened it.

    Args:
        current_incarnation: Incarnation of the peer on the current stream.
        new_incarnation: Incarnation of the peer on the new stream.
        new_opened_by_lower_id: Whether the assigner with the lower id opened the new stream.
    """
    return not new_opened_by_lower_id and new_incarnation <= current_incarnation

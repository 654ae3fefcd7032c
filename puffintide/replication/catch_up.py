"""What is sent to a peer at which rate, which peer is asked for what, and when a starting assigner has caught up.

No I/O; time is passed in.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from puffintide.protocol.messages import ReplicationDelta, ReplicaVersion
from puffintide.replication.replica import MAX_ROWS_PER_DELTA, Replica

MAX_BURST_ROWS = (
    2 * MAX_ROWS_PER_DELTA
)  # so that the event loop is not blocked, and other messages wait little
SOURCE_TIMEOUT_S = 1.5  # longer than a network path delays messages
IN_FLIGHT_S = 2.0  # what was sent counts as received for so long


class DeltaSender:
    """To one peer, on one stream: what it lacks by its digest, at a limited rate, nothing twice.

    Attributes:
        rows_per_s: Rate of the rows.
        burst_rows: Rows that may be sent at once.
    """

    def __init__(self, rows_per_s: float) -> None:
        self.rows_per_s = rows_per_s
        self.burst_rows = max(1, min(MAX_BURST_ROWS, int(rows_per_s)))
        self._credit_rows = float(self.burst_rows)
        self._credit_at_s = 0.0
        self._known_versions: dict[int, ReplicaVersion] = {}  # by origin
        self._in_flight: dict[int, tuple[float, ReplicaVersion]] = {}  # by origin, with the time of sending

    def on_digest(self, now: float, versions: Iterable[ReplicaVersion]) -> None:
        """Apply the peer's digest, which cannot tell of what is still in flight to it."""
        self._known_versions = {version.origin_id: version for version in versions}
        for origin_id, (sent_at_s, version) in list(self._in_flight.items()):
            peer_version = self._known_versions.get(origin_id)
            arrived = peer_version is not None and _includes(peer_version, version)
            if arrived or now - sent_at_s > IN_FLIGHT_S:
                del self._in_flight[origin_id]
            else:
                self._known_versions[origin_id] = version

    def next_deltas(self, now: float, replica: Replica) -> tuple[list[ReplicationDelta], float | None]:
        """Return the deltas to send now, and the seconds until there may be more.

        The latter is None where there is no more until the peer's next digest.
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
    """Up to where an origin's rows are held here, and since when there is no progress."""

    version: tuple[int, int]
    since_s: float


class SourceSelector:
    """Digests for each peer that make each row come from one of them, not from all.

    An origin's rows are requested of the origin itself where it is connected, else of one peer that holds most. In
    the digests for the others they count as received. If the selected peer sends nothing for SOURCE_TIMEOUT_S, as
    it is incomplete itself or cut off, all are asked.
    """

    def __init__(self, origin_count: int) -> None:
        self.origin_count = origin_count
        self._peer_versions: dict[int, dict[int, ReplicaVersion]] = {}  # by peer, by origin
        self._progress: dict[int, _Progress] = {}  # by origin

    def on_digest(self, peer_id: int, versions: Iterable[ReplicaVersion]) -> None:
        """Note what a peer holds."""
        self._peer_versions[peer_id] = {
            version.origin_id: version for version in versions if 0 <= version.origin_id < self.origin_count
        }

    def remove_peer(self, peer_id: int) -> None:
        """Forget a peer that disconnected."""
        self._peer_versions.pop(peer_id, None)

    def digest_for(self, now: float, peer_id: int, replica: Replica) -> list[ReplicaVersion]:
        """Return the digest to send to a peer."""
        digest = {version.origin_id: version for version in replica.digest()}
        origins = {origin_id for versions in self._peer_versions.values() for origin_id in versions}
        for origin_id in sorted(origins - {replica.local_id}):
            own = digest.get(origin_id, ReplicaVersion(origin_id, 0, 0))
            progress = self._note_progress(now, origin_id, (own.incarnation, own.sequence))
            source_id, latest = self._source(origin_id)
            if source_id == peer_id or _includes(own, latest):
                continue
            if now - progress.since_s <= SOURCE_TIMEOUT_S:
                digest[origin_id] = latest
        return [version for _, version in sorted(digest.items())]

    def _note_progress(self, now: float, origin_id: int, version: tuple[int, int]) -> _Progress:
        progress = self._progress.get(origin_id)
        if progress is None or progress.version != version:
            progress = _Progress(version, now)
            self._progress[origin_id] = progress
        return progress

    def _source(self, origin_id: int) -> tuple[int, ReplicaVersion]:
        """The peer to ask for an origin's rows, and the latest version that any peer holds."""
        offers = {
            peer_id: versions[origin_id]
            for peer_id, versions in self._peer_versions.items()
            if origin_id in versions
        }
        latest = max(offers.values(), key=lambda version: (version.incarnation, version.sequence))
        complete = [peer_id for peer_id, version in offers.items() if _includes(version, latest)]
        source_id = origin_id if origin_id in complete else min(complete)
        return source_id, latest


class CatchUp:
    """Of a starting assigner: whether it lacks nothing that any connected peer has told of, and one has told.

    A peer that is neither connected nor known to be unreachable is waited for: it must not be passed over because
    it answers later.
    """

    def __init__(self, peer_ids: Iterable[int]) -> None:
        self._pending = set(peer_ids)
        self._level = set[int]()  # we hold all that these have told of

    def on_peer_connected(self, peer_id: int) -> None:
        """Wait for a peer's digest."""
        self._pending.add(peer_id)
        self._level.discard(peer_id)

    def on_peer_disconnected(self, peer_id: int) -> None:
        """Do not wait for a peer that is unreachable."""
        self._pending.discard(peer_id)
        self._level.discard(peer_id)

    def on_digest(self, peer_id: int, is_behind: bool) -> None:
        """Note whether we lack something by a peer's digest."""
        if is_behind:
            self.on_peer_connected(peer_id)
        else:
            self._pending.discard(peer_id)
            self._level.add(peer_id)

    def is_complete(self) -> bool:
        """Whether we have caught up."""
        return bool(self._level) and not self._pending


def _includes(version: ReplicaVersion, other: ReplicaVersion) -> bool:
    return (version.incarnation, version.sequence) >= (other.incarnation, other.sequence)


def keeps_stream(current_incarnation: int, new_incarnation: int, dialled_by_lower: bool) -> bool:
    """Whether the current stream between two assigners stays when a new one was opened.

    Both ends decide alike, so that one stream is left: that of the later incarnation of the peer, else the one that
    the assigner with the lower id opened.

    Args:
        current_incarnation: Of the peer on the current stream.
        new_incarnation: Of the peer on the new stream.
        dialled_by_lower: Whether the assigner with the lower id opened the new stream.
    """
    return not dialled_by_lower and new_incarnation <= current_incarnation

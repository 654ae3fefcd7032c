"""What goes to one peer at which pace, and when one that starts has what the others hold. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from puffintide.protocol.messages import ReplicationDelta, ReplicaVersion
from puffintide.replication.replica import MAX_ROWS_PER_DELTA, Replica

MAX_BURST_ROWS = (
    2 * MAX_ROWS_PER_DELTA
)  # at once, so that no turn of the loop is long and an order beside it waits little
SOURCE_TIMEOUT_S = 1.5  # more than a way that is late by as much as days make it
IN_FLIGHT_S = 2.0  # what was sent counts as there for so long; what the peer tells later counts then


class DeltaSender:
    """To one peer, on one stream: what it lacks by its digest, no more than rows_per_s, nothing twice."""

    def __init__(self, rows_per_s: float) -> None:
        self.rows_per_s = rows_per_s
        self.burst_rows = max(1, min(MAX_BURST_ROWS, int(rows_per_s)))
        self.left, self.at = float(self.burst_rows), 0.0
        self.known_versions: dict[int, ReplicaVersion] = {}
        self.in_flight: dict[int, tuple[float, ReplicaVersion]] = {}

    def on_digest(self, now: float, versions: Iterable[ReplicaVersion]) -> None:
        """A digest of the peer's. What is on its way to it, it cannot know of."""
        self.known_versions = {v.origin_id: v for v in versions}
        for origin, (sent, version) in list(self.in_flight.items()):
            their = self.known_versions.get(origin)
            if now - sent > IN_FLIGHT_S or (
                their and (their.incarnation, their.sequence) >= (version.incarnation, version.sequence)
            ):
                del self.in_flight[origin]
            else:
                self.known_versions[origin] = version

    def next_deltas(self, now: float, replica: Replica) -> tuple[list[ReplicationDelta], float | None]:
        """(pieces that go now, seconds until there may be more). None: nothing more until the peer asks."""
        self.left = min(float(self.burst_rows), self.left + (now - self.at) * self.rows_per_s)
        self.at = now
        least = min(self.burst_rows, MAX_ROWS_PER_DELTA)
        if self.left < least:
            return [], (least - self.left) / self.rows_per_s
        pieces = replica.deltas_for(now, self.known_versions.values(), int(self.left))
        for piece in pieces:
            self.left -= max(1, len(piece.rows) + len(piece.deletions))
            version = ReplicaVersion(
                piece.origin_id, piece.incarnation, piece.through_sequence, piece.compacted_sequence
            )
            self.known_versions[piece.origin_id] = version
            self.in_flight[piece.origin_id] = now, version
        return pieces, (max(0.0, least - self.left) / self.rows_per_s if pieces else None)


class SourceSelector:
    """What to tell each peer of where we stand, so that each row comes from one of them and not from all: of an
    origin the origin itself is asked where it is in reach, else one that has told of most. To the others we say
    that we have what is on its way here. Who was asked and sends nothing for PATIENCE_S (not whole itself, or cut
    off) is not relied on: then all are asked.
    """

    def __init__(self, origins: int) -> None:
        self.origins = origins
        self.told: dict[int, dict[int, ReplicaVersion]] = {}  # by peer, by origin
        self.moved: dict[int, tuple[tuple[int, int], float]] = {}  # by origin: where we stood, since when

    def on_digest(self, peer: int, versions: Iterable[ReplicaVersion]) -> None:
        self.told[peer] = {v.origin_id: v for v in versions if 0 <= v.origin_id < self.origins}

    def remove_peer(self, peer: int) -> None:
        self.told.pop(peer, None)

    def _best(self, origin: int) -> tuple[int, ReplicaVersion] | None:
        offers = [
            (peer == origin, v.incarnation, v.sequence, -peer, v)
            for peer, told in self.told.items()
            if (v := told.get(origin)) is not None
        ]
        if not offers:
            return None
        most = max((v for *_, v in offers), key=lambda v: (v.incarnation, v.sequence))
        whole = [o for o in offers if (o[1], o[2]) == (most.incarnation, most.sequence)]
        *_, number, _ = max(whole, key=lambda o: o[:4])
        return -number, most

    def digest_for(self, now: float, peer: int, replica: Replica) -> list[ReplicaVersion]:
        mine = {v.origin_id: v for v in replica.digest()}
        for origin in sorted({o for told in self.told.values() for o in told} - {replica.local_id}):
            best, stands = self._best(origin), mine.get(origin, ReplicaVersion(origin, 0, 0))
            at = stands.incarnation, stands.sequence
            if self.moved.get(origin, ((-1, -1), 0.0))[0] != at:
                self.moved[origin] = at, now
            if best is None or best[0] == peer or at >= (best[1].incarnation, best[1].sequence):
                continue
            if now - self.moved[origin][1] <= SOURCE_TIMEOUT_S:
                mine[origin] = best[1]
        return [v for _, v in sorted(mine.items())]


class CatchUp:
    """Of one that starts. It has caught up once it lacks nothing that any of the others in reach has told of, and
    one has told. Who is neither there nor refused (a cut, a stall) is waited for: others must not be passed over
    because they answer later.
    """

    def __init__(self, others: Iterable[int]) -> None:
        self.open = set(others)
        self.level: set[int] = set()

    def on_peer_connected(self, peer: int) -> None:
        self.open.add(peer)
        self.level.discard(peer)

    def on_peer_disconnected(self, peer: int) -> None:
        self.open.discard(peer)
        self.level.discard(peer)

    def on_digest(self, peer: int, lacking: bool) -> None:
        """By its digest we lack something, or nothing."""
        if lacking:
            self.on_peer_connected(peer)
        else:
            self.open.discard(peer)
            self.level.add(peer)

    def is_complete(self) -> bool:
        return bool(self.level) and not self.open


def keeps_stream(stands_life: int, new_life: int, dialled_by_lower: bool) -> bool:
    """Of two streams between a pair, whether the one that stands stays. Both ends say the same, so that one is
    left: that of a later life, else the one that the lower number keeps dialling.
    """
    return not dialled_by_lower and new_life <= stands_life

"""Streams between assigners that replicate their state.

The module `catch_up` decides which rows are sent to which peer, `conflict_resolution` which of several rows
wins.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from puffintide.config.schema import PeersSection
from puffintide.decisions.events import PeerObservation
from puffintide.owned_tables import OwnedTables
from puffintide.protocol import messages as m
from puffintide.protocol.client import StreamClient
from puffintide.protocol.clock import Clock
from puffintide.protocol.messages import AnyMessage, ReplicaVersion
from puffintide.protocol.stream import MessageHandler, PeerIdentity, Stream
from puffintide.replication.catch_up import CatchUp, DeltaSender, SourceSelector, keeps_current_stream
from puffintide.replication.peer_observations import EndpointListState, LocalFindings, ObservationExchange
from puffintide.replication.replica import NONCE_BITS, Replica
from puffintide.replication.row_validation import validate_delta
from puffintide.replication.table_replicas import adopt_orphans, delete_superseded, publish_tables

ASSIGNER = "assigner"
DELETE_SUPERSEDED_INTERVAL_S = 10.0  # Interval between searches for superseded rows, in seconds.
MAX_LOGGED_REASONS = 5  # Maximum number of rejected rows that are logged for one message.


class Connect(Protocol):
    """Opens streams to other assigners."""

    def __call__(
        self,
        address: str,
        on_message: MessageHandler,
        on_lost: Callable[[str], None] | None,
        *,
        reconnect: bool = True,
    ) -> StreamClient:
        """Connect to an address (HOST:PORT), and reconnect after each loss unless reconnect is False."""
        ...


@dataclass(slots=True)
class PeerSession:
    """Session with one assigner.

    Attributes:
        stream: Stream to the peer, opened by either end.
        incarnation: Incarnation of the peer.
        sender: Selects the deltas that are sent to the peer.
        last_digest: Versions that the peer holds; empty before its first digest.
        is_sending: Whether a timer is running that sends more deltas without a further digest.
    """

    stream: Stream
    incarnation: int
    sender: DeltaSender
    last_digest: Sequence[ReplicaVersion] = ()
    is_sending: bool = False


class PeerSessions:
    """Maintains one stream to each other assigner and replicates rows over it.

    Of each pair, the assigner with the lower id reconnects. A starting assigner also connects once to each
    assigner with a lower id, so that it does not have to wait for their reconnects.

    Args:
        clock: Clock for timers.
        section: Configuration section with the addresses of all assigners and the limits.
        assigner_id: Id of this assigner.
        incarnation: Incarnation of this assigner, which rises with each start.
        slice_count: Number of slices in the deployment.
        log: Structured logger.
        on_caught_up: Called once, when the rows of the other assigners are replicated here or catch_up_s has
            elapsed.

    Attributes:
        replica: Rows that this assigner holds.
        sessions: Sessions by assigner; sessions with a closed stream are removed on the next access.
    """

    def __init__(
        self,
        clock: Clock,
        section: PeersSection,
        assigner_id: int,
        incarnation: int,
        slice_count: int,
        log: Any,
        on_caught_up: Callable[[], None],
    ) -> None:
        self.clock = clock
        self.section = section
        self.assigner_id = assigner_id
        self.slice_count = slice_count
        self.log = log
        self.replica = Replica(
            assigner_id, incarnation, len(section.addresses), secrets.randbelow(1 << NONCE_BITS)
        )
        self.sessions: dict[int, PeerSession] = {}
        self._on_caught_up: Callable[[], None] | None = on_caught_up
        self._catch_up = CatchUp(
            peer_id for peer_id in range(len(section.addresses)) if peer_id != assigner_id
        )
        self._sources = SourceSelector(len(section.addresses))
        self._observations = ObservationExchange()
        self._clients: list[StreamClient] = []
        self._next_delete_superseded_at = 0.0
        self._logged_conflicts = 0
        self._rows_sent = 0
        self._rows_received = 0
        self._rows_rejected = 0

    def start(self, connect: Connect) -> None:
        """Connect to the other assigners and start the timers for digests and for the end of the catch-up."""
        for peer_id, address in enumerate(self.section.addresses):
            if peer_id != self.assigner_id:
                on_lost = partial(self._on_connection_lost, peer_id)
                reconnect = peer_id > self.assigner_id
                self._clients.append(connect(address, self.on_message, on_lost, reconnect=reconnect))
        self.clock.callLater(self.section.catch_up_s, self._end_catch_up, "timeout")
        self.clock.callLater(self.section.every_s, self._send_digests)

    def rejection_reason(self, hello: m.Hello) -> str | None:
        """Return the reason why a connecting assigner is rejected, or None if it is accepted."""
        assigner_count = len(self.section.addresses)
        if not 0 <= hello.id < assigner_count or hello.id == self.assigner_id:
            return f"assigner {hello.id} is not a peer of assigner {self.assigner_id} of {assigner_count}"
        return None

    def exchange(
        self,
        fencing_tokens: Mapping[int, int],
        tables: OwnedTables,
        findings: LocalFindings,
        endpoint_list: EndpointListState,
    ) -> list[PeerObservation]:
        """Publish local changes and return new observations of other assigners for the decision module."""
        now = self.clock.seconds()
        publish_tables(now, self.replica, fencing_tokens, tables)
        adopt_orphans(now, self.replica)
        if now >= self._next_delete_superseded_at:
            self._next_delete_superseded_at = now + DELETE_SUPERSEDED_INTERVAL_S
            delete_superseded(now, self.replica, fencing_tokens)
        self._observations.publish(now, self.replica, findings, endpoint_list)
        return self._observations.new_observations(now, self.replica, endpoint_list)

    def counters(self) -> dict[str, int]:
        """Return the counters that are logged."""
        return {
            "rows": self.replica.row_count(),
            "rows_sent": self._rows_sent,
            "rows_received": self._rows_received,
            "rows_rejected": self._rows_rejected,
            "contested_deltas": self.replica.contested_deltas,
            "peers": len(self._connected_sessions()),
        }

    # Connections ----------------------------------------------------------------------------------

    def on_message(self, stream: Stream, message: AnyMessage) -> None:
        """Handle a message from another assigner, of which the first is its greeting."""
        match message:
            case m.Welcome() | m.Hello():
                self._on_greeting(stream, message)
            case m.VersionDigest() | m.ReplicationDelta() if stream.close_reason:
                pass  # The peer sent it before it noticed that this end is closing the stream.
            case m.VersionDigest():
                self._on_digest(self.sessions[stream.peer.id], message)
            case m.ReplicationDelta():
                self._on_delta(stream, message)
            case _:
                stream.reject(
                    f"message {type(message).__name__} is not allowed on a stream between assigners"
                )

    def _on_greeting(self, stream: Stream, greeting: m.Welcome | m.Hello) -> None:
        peer_id = greeting.id
        current = self.sessions.get(peer_id)
        if current is not None and not current.stream.closed:
            is_outbound = isinstance(greeting, m.Welcome)
            opened_by_lower_id = (self.assigner_id < peer_id) == is_outbound
            if keeps_current_stream(current.incarnation, greeting.incarnation, opened_by_lower_id):
                stream.abort(f"another stream to assigner {peer_id} is already open")
                return
            current.stream.abort(f"replaced by a newer stream to assigner {peer_id}")
        stream.peer = PeerIdentity(ASSIGNER, peer_id)
        sender = DeltaSender(self.section.rows_per_s)
        self.sessions[peer_id] = PeerSession(stream, greeting.incarnation, sender)
        self._catch_up.on_peer_connected(peer_id)
        self.log.info("peer_connected", assigner_id=peer_id, incarnation=greeting.incarnation)
        # Rows are requested only after the peer has sent its own digest.
        stream.send(m.VersionDigest(self.replica.digest(), request_missing=False))

    def _on_connection_lost(self, peer_id: int, _reason: str) -> None:
        """Stop waiting for a peer after a connection attempt failed or its stream was lost."""
        if peer_id not in self._connected_sessions():
            self._catch_up.on_peer_disconnected(peer_id)
            self._check_caught_up()

    def _connected_sessions(self) -> dict[int, PeerSession]:
        """Remove sessions whose stream was closed, and return the remaining ones."""
        for peer_id, session in sorted(self.sessions.items()):
            if session.stream.closed:
                self.log.warning("peer_disconnected", assigner_id=peer_id, reason=session.stream.close_reason)
                del self.sessions[peer_id]
                self._sources.remove_peer(peer_id)
        return self.sessions

    # Digests and deltas ---------------------------------------------------------------------------

    def _send_digests(self) -> None:
        for peer_id, session in sorted(self._connected_sessions().items()):
            self._send_digest(peer_id, session.stream)
        self.clock.callLater(self.section.every_s, self._send_digests)

    def _send_digest(self, peer_id: int, stream: Stream) -> None:
        """Send a digest if the stream is writable; otherwise the next periodic digest replaces it."""
        if stream.writable:
            digest = self._sources.digest_for(self.clock.seconds(), peer_id, self.replica)
            stream.send(m.VersionDigest(digest))

    def _on_digest(self, session: PeerSession, digest: m.VersionDigest) -> None:
        peer_id = session.stream.peer.id
        is_first = not session.last_digest
        session.last_digest = digest.versions
        self._sources.on_digest(peer_id, digest.versions)
        is_behind = self.replica.is_behind(digest.versions)
        self._catch_up.on_digest(peer_id, is_behind)
        self._log_incarnation_conflict()
        if is_first and is_behind:
            self._send_digest(peer_id, session.stream)
        if digest.request_missing:
            session.sender.on_digest(self.clock.seconds(), digest.versions)
            if not session.is_sending:
                self._send_deltas(session)
        self._check_caught_up()

    def _send_deltas(self, session: PeerSession) -> None:
        session.is_sending = False
        if session.stream.closed or not session.stream.writable:
            return  # Sending resumes with the peer's next digest, which states what it has received.
        deltas, delay_s = session.sender.next_deltas(self.clock.seconds(), self.replica)
        for delta in deltas:
            session.stream.send(delta)
            self._rows_sent += len(delta.rows) + len(delta.deletions)
        if delay_s is not None:
            session.is_sending = True
            self.clock.callLater(delay_s, self._send_deltas, session)

    def _on_delta(self, stream: Stream, delta: m.ReplicationDelta) -> None:
        problems, valid_delta = validate_delta(delta, self.slice_count)
        for problem in problems[:MAX_LOGGED_REASONS]:
            self.log.warning(
                "replica_row_rejected", origin_id=delta.origin_id, sender_id=stream.peer.id, reason=problem
            )
        self._rows_rejected += len(problems)
        if valid_delta is not None and self.replica.apply(self.clock.seconds(), valid_delta):
            self._rows_received += len(delta.rows) + len(delta.deletions)
        self._log_incarnation_conflict()
        if self._on_caught_up is not None:
            self._update_catch_up()

    def _log_incarnation_conflict(self) -> None:
        if self.replica.incarnation_conflicts != self._logged_conflicts:
            self._logged_conflicts = self.replica.incarnation_conflicts
            own_state = self.replica.origin_states[self.assigner_id]
            self.log.warning("incarnation_conflict", incarnation=own_state.incarnation >> NONCE_BITS)

    # Catching up ----------------------------------------------------------------------------------

    def _update_catch_up(self) -> None:
        for peer_id, session in sorted(self._connected_sessions().items()):
            if session.last_digest:
                self._catch_up.on_digest(peer_id, self.replica.is_behind(session.last_digest))
        self._check_caught_up()

    def _check_caught_up(self) -> None:
        if self._on_caught_up is not None and self._catch_up.is_complete():
            self._end_catch_up("level with peers")

    def _end_catch_up(self, reason: str) -> None:
        if self._on_caught_up is None:
            return
        on_caught_up = self._on_caught_up
        self._on_caught_up = None
        peers = sorted(self._connected_sessions())
        self.log.info("caught_up", reason=reason, peers=peers, rows=self.replica.row_count())
        on_caught_up()

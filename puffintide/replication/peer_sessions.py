"""Streams between assigners. What is held and what of it counts is decided in `replica`, `settle` and `tables`,
what goes when in `joining`.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from puffintide.config.schema import PeersSection
from puffintide.owned_tables import OwnedTables
from puffintide.protocol import messages as m
from puffintide.protocol.client import StreamClient
from puffintide.protocol.messages import AnyMessage, ReplicaVersion
from puffintide.protocol.stream import MessageHandler, PeerIdentity, Stream
from puffintide.replication.catch_up import CatchUp, DeltaSender, SourceSelector, keeps_stream
from puffintide.replication.peer_observations import EndpointListState, LocalFindings, ObservationExchange
from puffintide.replication.replica import NONCE_BITS, Replica
from puffintide.replication.row_validation import validate_delta
from puffintide.replication.table_replicas import (
    adopt_orphans,
    delete_superseded,
    publish_tables,
)

TIDY_S = 10.0
REASONS_MOST = 5  # logged of one message


class Dial(Protocol):
    def __call__(
        self, address: str, heard: MessageHandler, lost: Callable[[str], None] | None, *, again: bool = True
    ) -> StreamClient: ...


@dataclass(slots=True)
class PeerSession:
    stream: Stream
    life: int
    out: DeltaSender
    heard: Sequence[ReplicaVersion] = ()  # its last digest
    serving: bool = False  # more goes to it by itself


class PeerSessions:
    """One stream for each pair of assigners. Who has the lower number keeps dialling; who starts dials those below
    it once, so as not to wait for them. ready is called once, when what the others hold is here too, or catch_up_s
    are over.
    """

    def __init__(
        self,
        reactor: Any,
        section: PeersSection,
        me: int,
        life: int,
        slices: int,
        log: Any,
        ready: Callable[[], None],
    ) -> None:
        self.reactor, self.section, self.me, self.slices, self.log = reactor, section, me, slices, log
        self.ready: Callable[[], None] | None = ready
        nonce = secrets.randbelow(1 << NONCE_BITS)
        self.replica = Replica(me, life, len(section.addresses), nonce)
        self.shared = ObservationExchange()
        self.asking = SourceSelector(len(section.addresses))
        self.catch_up = CatchUp(k for k in range(len(section.addresses)) if k != me)
        self.sessions: dict[int, PeerSession] = {}
        self.diallers: list[StreamClient] = []
        self.tidy_at = 0.0
        self.reborn = 0
        self.sent = self.taken = self.refused = 0

    def start(self, dial: Dial) -> None:
        for number, address in enumerate(self.section.addresses):
            if number != self.me:
                away = partial(self._away, number)
                self.diallers.append(dial(address, self.on_message, away, again=number > self.me))
        self.reactor.callLater(self.section.catch_up_s, self._ready, "time over")
        self.reactor.callLater(self.section.every_s, self._beat)

    def rejection_reason(self, hello: m.Hello) -> str | None:
        if not 0 <= hello.id < len(self.section.addresses) or hello.id == self.me:
            return f"assigner {hello.id} is no peer of {self.me}, one of {len(self.section.addresses)}"
        return None

    def _ready(self, why: str) -> None:
        if self.ready is not None:
            ready, self.ready = self.ready, None
            self.log.info("caught_up", why=why, peers=sorted(self._here()), tables=self.replica.row_count())
            ready()

    def _look(self) -> None:
        if self.ready is not None and self.catch_up.is_complete():
            self._ready("level with peers")

    # Streams -------------------------------------------------------------------------------------

    def on_message(self, stream: Stream, message: AnyMessage) -> None:
        match message:
            case m.Welcome() | m.Hello():
                self._joined(stream, message)
            case m.VersionDigest() | m.ReplicationDelta() if stream.close_reason:
                pass  # it was given up, and this was on its way
            case m.VersionDigest():
                self._asked(self.sessions[stream.peer.id], message)
            case m.ReplicationDelta():
                self._take(stream, message)
            case _:
                stream.reject(f"a {type(message).__name__} is not for a peer")

    def _joined(self, stream: Stream, greeting: m.Welcome | m.Hello) -> None:
        number = greeting.id
        old = self.sessions.get(number)
        by_lower = (self.me < number) == isinstance(greeting, m.Welcome)
        if old is not None and not old.stream.closed:
            if keeps_stream(old.life, greeting.incarnation, by_lower):
                stream.abort("a stream to that assigner stands")
                return
            old.stream.abort("its assigner dialled anew")
        stream.peer = PeerIdentity("assigner", number)
        self.sessions[number] = PeerSession(
            stream, greeting.incarnation, DeltaSender(self.section.rows_per_s)
        )
        self.catch_up.on_peer_connected(number)
        self.log.info("peer_joined", assigner=number, life=greeting.incarnation)
        stream.send(
            m.VersionDigest(self.replica.digest(), request_missing=False)
        )  # it tells where it stands; then it is asked

    def _away(self, number: int, why: str) -> None:
        """A dial failed, or its stream broke."""
        if number not in self._here():
            self.catch_up.on_peer_disconnected(number)
            self._look()

    def _here(self) -> dict[int, PeerSession]:
        for number, peer in sorted(self.sessions.items()):
            if peer.stream.closed:
                self.log.warning("peer_left", assigner=number, reason=peer.stream.close_reason)
                del self.sessions[number]
                self.asking.remove_peer(number)
        return self.sessions

    def _digest(self, number: int, stream: Stream) -> None:
        if stream.writable:  # who does not read is told nothing more; a digest tells later where it stands
            stream.send(m.VersionDigest(self.asking.digest_for(self.reactor.seconds(), number, self.replica)))

    def _asked(self, peer: PeerSession, digest: m.VersionDigest) -> None:
        number, new, peer.heard = peer.stream.peer.id, not peer.heard, digest.versions
        self.asking.on_digest(number, digest.versions)
        lacking = self.replica.is_behind(digest.versions)
        self.catch_up.on_digest(number, lacking)
        self._outbid()
        if new and lacking:
            self._digest(number, peer.stream)
        if digest.request_missing:
            peer.out.on_digest(self.reactor.seconds(), digest.versions)
            if not peer.serving:
                self._serve(peer)
        self._look()

    def _serve(self, peer: PeerSession) -> None:
        peer.serving = False
        if peer.stream.closed or not peer.stream.writable:
            return  # its next digest tells what it has of this
        pieces, wait = peer.out.next_deltas(self.reactor.seconds(), self.replica)
        for piece in pieces:
            peer.stream.send(piece)
            self.sent += len(piece.rows) + len(piece.deletions)
        if wait is not None:
            peer.serving = True
            self.reactor.callLater(wait, self._serve, peer)

    def _take(self, stream: Stream, piece: m.ReplicationDelta) -> None:
        reasons, sound = validate_delta(piece, self.slices)
        for reason in reasons[:REASONS_MOST]:
            self.log.warning("copy_refused", origin=piece.origin_id, by=stream.peer.id, reason=reason)
        self.refused += len(reasons)
        if sound is not None and self.replica.apply(self.reactor.seconds(), sound):
            self.taken += len(piece.rows) + len(piece.deletions)
        self._outbid()
        if self.ready is not None:
            for number, peer in sorted(self._here().items()):
                if peer.heard:
                    self.catch_up.on_digest(number, self.replica.is_behind(peer.heard))
            self._look()

    def _outbid(self) -> None:
        if self.replica.incarnation_conflicts != self.reborn:
            self.reborn = self.replica.incarnation_conflicts
            self.log.warning(
                "later_life_remembered", life=self.replica.origin_states[self.me].incarnation >> NONCE_BITS
            )

    def counts(self) -> dict[str, int]:
        return {
            "held": self.replica.row_count(),
            "sent": self.sent,
            "taken": self.taken,
            "refused": self.refused,
            "contested": self.replica.contested_deltas,
            "peers": len(self._here()),
        }

    # Ticks ---------------------------------------------------------------------------------------

    def _beat(self) -> None:
        for number, peer in sorted(self._here().items()):
            self._digest(number, peer.stream)
        self.reactor.callLater(self.section.every_s, self._beat)

    def exchange(
        self,
        tokens: Mapping[int, int],
        ordered: OwnedTables,
        findings: LocalFindings,
        heard: EndpointListState,
    ) -> list[Any]:
        """Puts what changed into the copies; gives what the module is to be told of the others'."""
        now = self.reactor.seconds()
        publish_tables(now, self.replica, tokens, ordered)
        adopt_orphans(now, self.replica)
        if now >= self.tidy_at:
            self.tidy_at = now + TIDY_S
            delete_superseded(now, self.replica, tokens)
        self.shared.publish(now, self.replica, findings, heard)
        return self.shared.new_observations(now, self.replica, heard)

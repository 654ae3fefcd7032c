"""Accepts connections from other processes and routes their messages to the handlers."""

from __future__ import annotations

from puffintide.assigner.operator_requests import send_replica, zone_status_report
from puffintide.assigner.proxy_sessions import MAX_PROXY_ID, ProxySessions
from puffintide.assigner.proxy_updates import PROXY
from puffintide.protocol import messages as m
from puffintide.protocol.clock import Clock
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.session import Greeting
from puffintide.protocol.stream import PeerIdentity, Stream
from puffintide.replication.peer_sessions import ASSIGNER, PeerSessions
from puffintide.zones.director import ZonedDirector

OPERATOR = "operator"


class InboundStreams:
    """Handles the streams of proxies, operators and other assigners that connect to this assigner.

    Args:
        clock: The clock that supplies the time of answers.
        assigner_id: The id of this assigner.
        deployment: The deployment name that a Hello has to contain.
        proxy_sessions: The handler of proxies.
        peer_sessions: The handler of other assigners; None if they are not accepted.
        zone_director: The source of the zone states that operators request; None without a zone plan.
    """

    def __init__(
        self,
        clock: Clock,
        assigner_id: int,
        deployment: str,
        proxy_sessions: ProxySessions,
        peer_sessions: PeerSessions | None,
        zone_director: ZonedDirector | None,
    ) -> None:
        self.clock = clock
        self.assigner_id = assigner_id
        self.deployment = deployment
        self.proxy_sessions = proxy_sessions
        self.peer_sessions = peer_sessions
        self.zone_director = zone_director

    def rejection_reason(self, hello: Greeting) -> str | None:
        """Return the reason to reject a peer, or None if it is accepted."""
        assert isinstance(hello, m.Hello)
        is_peer = hello.role == ASSIGNER and self.peer_sessions is not None
        if hello.role not in (PROXY, OPERATOR) and not is_peer:
            return f"role {hello.role!r} is not served by an assigner"
        if hello.deployment != self.deployment:
            return f"deployment {hello.deployment!r} is not this assigner's deployment {self.deployment!r}"
        if hello.role == PROXY and not 0 <= hello.id <= MAX_PROXY_ID:
            return f"proxy id {hello.id} is not from 0 to {MAX_PROXY_ID}"
        if self.peer_sessions is not None and hello.role == ASSIGNER:
            return self.peer_sessions.rejection_reason(hello)
        return None

    def on_message(self, stream: Stream, message: AnyMessage) -> None:
        """Handle a message from a peer, the first of which is its Hello.

        A message that a peer of its role may not send is rejected.
        """
        match message:
            case m.Hello():
                self._on_hello(stream, message)
            case _ if stream.peer.role == PROXY:
                self.proxy_sessions.on_message(stream, message)
            case m.VersionDigest() | m.ReplicationDelta() if (
                stream.peer.role == ASSIGNER and self.peer_sessions is not None
            ):
                self.peer_sessions.on_message(stream, message)
            case m.ZoneStatusRequest() if stream.peer.role == OPERATOR:
                now = self.clock.seconds()
                stream.send(zone_status_report(now, self.assigner_id, self.zone_director))
            case m.ReplicaRequest() if stream.peer.role == OPERATOR and self.peer_sessions is not None:
                send_replica(self.clock.seconds(), stream, self.peer_sessions.replica)
            case _:
                name = type(message).__name__
                stream.reject(f"unexpected {name} message from a peer of role {stream.peer.role!r}")

    def on_lost(self, stream: Stream, _reason: AnyMessage) -> None:
        """Handle the loss of a proxy's stream; the sessions of other assigners detect the loss of theirs."""
        self.proxy_sessions.on_lost(stream)

    def _on_hello(self, stream: Stream, hello: m.Hello) -> None:
        """Register an accepted peer with the sessions of its role."""
        if hello.role == PROXY:
            self.proxy_sessions.on_connected(stream, hello)
        elif hello.role == ASSIGNER and self.peer_sessions is not None:
            self.peer_sessions.on_message(stream, hello)
        else:
            stream.peer = PeerIdentity(hello.role, hello.id)

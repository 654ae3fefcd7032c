"""The streams of a store: who is connected."""

from __future__ import annotations

from puffintide.protocol import messages as m
from puffintide.protocol.messages import PeerRole
from puffintide.protocol.session import Greeting
from puffintide.protocol.stream import PeerIdentity, Stream

SERVED_ROLES = (PeerRole.ASSIGNER, PeerRole.PROXY, PeerRole.OPERATOR)


class Sessions:
    """Connected peers by role.

    Args:
        deployment: Name that peers must give.
        assigner_count: Assigners are numbered below this.
        max_streams: Beyond which proxies are rejected.
    """

    def __init__(self, deployment: str, assigner_count: int, max_streams: int) -> None:
        self.deployment = deployment
        self.assigner_count = assigner_count
        self.max_streams = max_streams
        self.stream_count = 0
        self.assigners: dict[int, Stream] = {}
        self.incarnations: dict[int, int] = {}  # of assigners that are or were connected
        self.proxies: set[Stream] = set()

    def rejection_reason(self, greeting: Greeting) -> str | None:
        """Why a peer is rejected, if it is."""
        if greeting.role not in SERVED_ROLES:
            return f"role {greeting.role!r} is not served by the store"
        if isinstance(greeting, m.Hello) and greeting.deployment != self.deployment:
            return f"deployment {greeting.deployment!r} is not {self.deployment!r}, which this store holds"
        if greeting.role == PeerRole.ASSIGNER and not 0 <= greeting.id < self.assigner_count:
            return f"assigner {greeting.id} is not among the {self.assigner_count} of this deployment"
        if self.stream_count >= self.max_streams and greeting.role == PeerRole.PROXY:
            return f"{self.max_streams} streams are here already"
        return None

    def add(self, stream: Stream, peer: PeerIdentity) -> None:
        """Takes a stream whose handshake is complete."""
        self.stream_count += 1
        stream.peer = peer
        if peer.role == PeerRole.PROXY:
            self.proxies.add(stream)

    def add_assigner(self, stream: Stream, assigner_id: int, incarnation: int) -> None:
        """Takes an assigner's stream in place of an older one, which is closed."""
        previous = self.assigners.get(assigner_id)
        if previous is not None:
            previous.abort("its assigner dialled anew")
        self.assigners[assigner_id] = stream
        self.incarnations[assigner_id] = incarnation

    def remove(self, stream: Stream) -> bool:
        """Forgets a stream that was closed; returns whether it was the current one of an assigner."""
        self.stream_count -= 1
        self.proxies.discard(stream)
        is_current = stream.peer.role == PeerRole.ASSIGNER and self.assigners.get(stream.peer.id) is stream
        if is_current:
            del self.assigners[stream.peer.id]
        return is_current

    def send_to_assigners(self, message: m.Message) -> None:
        """Sends a message to every assigner."""
        for assigner_id in sorted(self.assigners):
            self.assigners[assigner_id].send(message)

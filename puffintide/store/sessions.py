"""Sessions of the peers that are connected to a store."""

from __future__ import annotations

from puffintide.protocol import messages as m
from puffintide.protocol.messages import PeerRole
from puffintide.protocol.session import Greeting
from puffintide.protocol.stream import PeerIdentity, Stream

SERVED_ROLES = (PeerRole.ASSIGNER, PeerRole.PROXY, PeerRole.OPERATOR)


class Sessions:
    """Connected peers, grouped by role.

    Args:
        deployment: Deployment name that peers must send.
        assigner_count: Number of assigners. Assigner ids start at 0.
        max_streams: Number of open streams at which further proxies are rejected.
    """

    def __init__(self, deployment: str, assigner_count: int, max_streams: int) -> None:
        self.deployment = deployment
        self.assigner_count = assigner_count
        self.max_streams = max_streams
        self.stream_count = 0
        self.assigners: dict[int, Stream] = {}
        self.incarnations: dict[int, int] = {}  # Keyed by assigner, whether still connected or not.
        self.proxies: set[Stream] = set()

    def rejection_reason(self, greeting: Greeting) -> str | None:
        """Return the reason why a peer is rejected, or None if it is accepted."""
        if greeting.role not in SERVED_ROLES:
            return f"role {greeting.role!r} is not served by the store"
        if isinstance(greeting, m.Hello) and greeting.deployment != self.deployment:
            return f"deployment {greeting.deployment!r} is not this store's deployment {self.deployment!r}"
        if greeting.role == PeerRole.ASSIGNER and not 0 <= greeting.id < self.assigner_count:
            return f"assigner id {greeting.id} is not from 0 to {self.assigner_count - 1}"
        if self.stream_count >= self.max_streams and greeting.role == PeerRole.PROXY:
            return f"the store already has its maximum of {self.max_streams} streams"
        return None

    def add(self, stream: Stream, peer: PeerIdentity) -> None:
        """Add a stream whose handshake is complete."""
        self.stream_count += 1
        stream.peer = peer
        if peer.role == PeerRole.PROXY:
            self.proxies.add(stream)

    def add_assigner(self, stream: Stream, assigner_id: int, incarnation: int) -> None:
        """Add an assigner's stream, and close an older stream of the same assigner."""
        previous = self.assigners.get(assigner_id)
        if previous is not None:
            previous.abort("replaced by a newer connection of the same assigner")
        self.assigners[assigner_id] = stream
        self.incarnations[assigner_id] = incarnation

    def remove(self, stream: Stream) -> bool:
        """Remove a closed stream, and return whether it was the current stream of an assigner."""
        self.stream_count -= 1
        self.proxies.discard(stream)
        is_current = stream.peer.role == PeerRole.ASSIGNER and self.assigners.get(stream.peer.id) is stream
        if is_current:
            del self.assigners[stream.peer.id]
        return is_current

    def send_to_assigners(self, message: m.Message) -> None:
        """Send a message to every connected assigner."""
        for assigner_id in sorted(self.assigners):
            self.assigners[assigner_id].send(message)

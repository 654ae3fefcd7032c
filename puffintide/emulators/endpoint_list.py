"""An emulator of the endpoint list. It notifies watchers of servers that start, drain and end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from puffintide.decisions.events import EndpointStatus
from puffintide.protocol import messages as m
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import PeerIdentity, Stream, StreamServerFactory

MAX_PENDING_CONNECTIONS = 50
UNKNOWN_TIME_S = -1.0  # A start time or an age that is not known, also on the wire.


@dataclass(frozen=True, slots=True)
class ListedState:
    """The current state of a server in the list."""

    status: EndpointStatus
    incarnation: int
    started_at_s: float  # Start in seconds; UNKNOWN_TIME_S if warm from the start, removed or unknown.


DescribeEndpoint = Callable[[int, ListedState], m.EndpointEntry]


class EndpointListEmulator:
    """An endpoint list on a loopback port. It lists the servers that its owner records.

    Args:
        reactor: The reactor that provides ports.
        describe: A function that returns the entry of a server, given its id and state.

    Attributes:
        listed: The state of each recorded server, by server id.
        version: The number of changes so far.
        watchers: The streams that receive events.
        is_empty: Whether snapshots contain no servers, as an injected fault.
    """

    def __init__(self, reactor: Any, describe: DescribeEndpoint) -> None:
        self.listed: dict[int, ListedState] = {}
        self.version = 0
        self.watchers: set[Stream] = set()
        self.is_empty = False
        self._reactor = reactor
        self._describe = describe
        self._changed_ids: list[int] = []  # The id of the server that changed, by version.
        self._listener: Any = None
        self._port = 0

    def start(self, port: int) -> None:
        """Listen on a port.

        Raises:
            twisted.internet.error.CannotListenError: The port is in use.
        """
        self._port = port
        self.resume()

    def suspend(self) -> None:
        """Close the port and the streams of all watchers; do nothing if the port is closed."""
        if self._listener is None:
            return
        self._listener.stopListening()
        self._listener = None
        for stream in self._ordered_watchers():
            stream.abort("endpoint list is suspended")

    def resume(self) -> None:
        """Listen on the same port again; do nothing if the port is open."""
        if self._listener is not None:
            return
        factory = StreamServerFactory(
            self._reactor,
            lambda: m.Welcome(m.PROTOCOL_VERSION, "list", 0),
            self._message_received,
            self._connection_lost,
        )
        self._listener = self._reactor.listenTCP(self._port, factory, MAX_PENDING_CONNECTIONS, "127.0.0.1")

    def record(self, server_id: int, state: ListedState) -> None:
        """Set the state of a server and notify all watchers."""
        self.listed[server_id] = state
        self.version += 1
        self._changed_ids.append(server_id)
        event = m.WatchEvent("delta", self.version, [self.entry(server_id)])
        for stream in self._ordered_watchers():
            stream.send(event)

    def entry(self, server_id: int) -> m.EndpointEntry:
        """Return the entry of a recorded server."""
        return self._describe(server_id, self.listed[server_id])

    def send_snapshot(self, stream: Stream) -> None:
        """Send all entries, or none while the fault is_empty is set."""
        entries = [] if self.is_empty else [self.entry(server_id) for server_id in sorted(self.listed)]
        stream.send(m.WatchEvent("full", self.version, entries))

    def _ordered_watchers(self) -> list[Stream]:
        return sorted(self.watchers, key=lambda stream: str(stream.peer))

    def _message_received(self, stream: Stream, message: AnyMessage) -> None:
        match message:
            case m.Hello():
                stream.peer = PeerIdentity(message.role, message.id)
            case m.WatchRequest():
                self._watch_requested(stream, message)
            case m.SnapshotRequest():
                self.send_snapshot(stream)
            case _:
                stream.reject(f"unexpected {type(message).__name__} message from an assigner")

    def _watch_requested(self, stream: Stream, request: m.WatchRequest) -> None:
        if not request.enabled:
            self.watchers.discard(stream)
            return
        self.watchers.add(stream)
        if 0 <= request.since_version <= self.version:
            missed_ids = sorted(set(self._changed_ids[request.since_version :]))
            stream.send(m.WatchEvent("delta", self.version, [self.entry(i) for i in missed_ids]))
        else:
            self.send_snapshot(stream)

    def _connection_lost(self, stream: Stream, _reason: AnyMessage) -> None:
        self.watchers.discard(stream)

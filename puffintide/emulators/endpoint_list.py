"""An emulator of the endpoint list: it notifies its watchers of servers that start, drain and end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from puffintide.decisions.events import EndpointStatus
from puffintide.protocol import messages as m
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import PeerIdentity, Stream, StreamServerFactory

MAX_PENDING_CONNECTIONS = 50
LONG_AGO_S = -1.0  # a start or an age that is not known, on the wire too


@dataclass(frozen=True, slots=True)
class ListedState:
    """What the list says of a server now."""

    status: EndpointStatus
    incarnation: int
    started_at_s: float  # LONG_AGO_S: before the list began


DescribeEndpoint = Callable[[int, ListedState], m.EndpointEntry]


class EndpointListEmulator:
    """The list on a port of the loopback; it knows of servers what its owner records.

    Attributes:
        listed: the state of each server that was recorded.
        version: the number of changes so far.
        watchers: streams that are sent events.
        is_empty: a fault; snapshots then contain no servers.
    """

    def __init__(self, reactor: Any, describe: DescribeEndpoint) -> None:
        self.listed: dict[int, ListedState] = {}
        self.version = 0
        self.watchers: set[Stream] = set()
        self.is_empty = False
        self._reactor = reactor
        self._describe = describe
        self._changed_ids: list[int] = []  # the server of each version
        self._listener: Any = None
        self._port = 0

    def start(self, port: int) -> None:
        """Listen. Raises twisted.internet.error.CannotListenError if the port is in use."""
        self._port = port
        self.resume()

    def suspend(self) -> None:
        """Close the port and all streams of watchers; nothing happens if it is closed."""
        if self._listener is None:
            return
        self._listener.stopListening()
        self._listener = None
        for stream in self._ordered_watchers():
            stream.abort("list is down")

    def resume(self) -> None:
        """Listen again; nothing happens if it listens."""
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
        """Take over the state of a server and notify the watchers."""
        self.listed[server_id] = state
        self.version += 1
        self._changed_ids.append(server_id)
        event = m.WatchEvent("delta", self.version, [self.entry(server_id)])
        for stream in self._ordered_watchers():
            stream.send(event)

    def entry(self, server_id: int) -> m.EndpointEntry:
        """The entry of a server that was recorded."""
        return self._describe(server_id, self.listed[server_id])

    def send_snapshot(self, stream: Stream) -> None:
        """Send all entries, or none while the list is empty by a fault."""
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
                stream.reject(f"a {type(message).__name__} is not for the list")

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

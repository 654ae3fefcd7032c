"""Streams between assigners that replicate their state."""

from __future__ import annotations

from typing import Any

from twisted.internet.task import Clock

from puffintide.config.schema import PeersSection
from puffintide.protocol.messages import (
    Hello,
    ReplicationDelta,
    VersionDigest,
)
from puffintide.protocol.stream import UNIDENTIFIED_PEER
from puffintide.replication.peer_sessions import PeerSessions
from tests.deployment import Log


class RecordingStream:
    """Stream to a peer that records the messages sent to it."""

    def __init__(self) -> None:
        self.closed, self.writable, self.close_reason, self.peer = False, True, "", UNIDENTIFIED_PEER
        self.sent: list[Any] = []

    def send(self, message: Any) -> None:
        self.sent.append(message)


def test_peer_that_does_not_read_is_sent_nothing_until_it_reads_again() -> None:
    """Guards against unbounded buffering of messages for a peer that does not read."""
    clock, recorder = Clock(), RecordingStream()
    sessions = PeerSessions(
        clock, PeersSection(addresses=["127.0.0.1:1", "127.0.0.1:2"]), 0, 1, 4, Log(), lambda: None
    )
    for server_id in range(3):
        sessions.replica.put(0.0, "server", server_id, (1.0, 0.0))
    connect: Any = lambda *_, **__: None  # noqa: E731
    sessions.start(connect)
    stream: Any = recorder
    sessions.on_message(stream, Hello(1, "assigner", 1, 0, "t", incarnation=1))
    recorder.writable, recorder.sent = False, []
    sessions.on_message(stream, VersionDigest([]))
    clock.pump([0.5] * 10)
    assert recorder.sent == []
    recorder.writable = True
    sessions.on_message(stream, VersionDigest([]))
    clock.pump([0.5])
    assert [len(sent.rows) for sent in recorder.sent if isinstance(sent, ReplicationDelta)] == [3]
    assert any(isinstance(sent, VersionDigest) for sent in recorder.sent)

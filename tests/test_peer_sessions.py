"""Streams between assigners."""

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
    """A peer's stream that takes what it is sent."""

    def __init__(self) -> None:
        self.closed, self.writable, self.close_reason, self.peer = False, True, "", UNIDENTIFIED_PEER
        self.sent: list[Any] = []

    def send(self, message: Any) -> None:
        self.sent.append(message)


def test_peer_that_does_not_read_is_sent_nothing_until_it_does() -> None:
    """Guards against a heap of what one peer never takes."""
    clock, recorder = Clock(), RecordingStream()
    peers = PeerSessions(
        clock, PeersSection(addresses=["127.0.0.1:1", "127.0.0.1:2"]), 0, 1, 4, Log(), lambda: None
    )
    for number in range(3):
        peers.replica.put(0.0, "server", number, (1.0, 0.0))
    dial: Any = lambda *_, **__: None  # noqa: E731
    peers.start(dial)
    stream: Any = recorder
    peers.on_message(stream, Hello(1, "assigner", 1, 0, "t", incarnation=1))
    recorder.writable, recorder.sent = False, []
    peers.on_message(stream, VersionDigest([]))
    clock.pump([0.5] * 10)
    assert recorder.sent == []
    recorder.writable = True
    peers.on_message(stream, VersionDigest([]))
    clock.pump([0.5])
    assert [len(x.rows) for x in recorder.sent if isinstance(x, ReplicationDelta)] == [3]
    assert any(isinstance(x, VersionDigest) for x in recorder.sent)

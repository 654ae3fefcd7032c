"""Encoding and decoding of every message, the handshake, heartbeats, and peers that violate the protocol."""

import contextlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from puffintide.protocol import messages as m
from puffintide.protocol.codec import MAX_LINE_BYTES, decode, encode
from puffintide.protocol.errors import (
    HandshakeError,
    HeartbeatTimeoutError,
    MessageDecodeError,
    MessageTooLongError,
    PeerRejectedError,
    ProtocolError,
)
from puffintide.protocol.session import Session

SAMPLES = [
    m.Hello(1, "proxy", 3, 1, "d", 2, True),
    m.Welcome(1, "assigner", 0, 4),
    m.ConnectionRejected("no"),
    m.Ping(),
    m.Pong(),
    m.ProxyUpdate(
        7,
        1.5,
        14.0,
        [m.WeightEntry(1, 2, 0.5, 9, "127.0.0.1:1")],
        [3],
        [4],
        [5],
        [m.AdmissionLevel(1, 0, 0.5, 1)],
        8,
    ),
    m.CheckpointReply(8),
    m.UsageReport(0.5, [m.ServerUsage(1, 5, 1, 0.25, [2.0])], [m.SliceUsage(3, 0, 9, 1)]),
    m.SliceOwnership(1, 2, 0, [m.TableEntry(4, 1.0, "127.0.0.1:2")]),
    m.SliceOwnerships([m.SliceOwnership(1, 2, 0, [m.TableEntry(4, 1.0)]), m.SliceOwnership(2, 3, -1)]),
    m.OwnershipRevoked(1, 3),
    m.WriteRequest(9, [m.WeightEntry(1, 2, 1.0, 3)]),
    m.WriteRejected(9, 1, "old token"),
    m.ReadRequest(),
    m.ReadRequest(7, "a1"),
    m.ReadComplete(12, 7, "a1"),
    m.WriteAcknowledged(9, 8),
    m.AssignerMembership([0, 2]),
    m.MigrateSlices([1, 2], 0, "me"),
    m.BackupRequest("monday"),
    m.ZoneCommand(1, "drain", 2.0, "me", 3),
    m.ZoneCommands([m.ZoneCommand(1, "drain")]),
    m.ZoneStatusRequest(),
    m.VersionDigest([m.ReplicaVersion(0, 1 << 20, 7, 3)]),
    m.ReplicationDelta(
        0, 9, 3, 7, 9, 2, [m.ReplicatedRow("table", 4, 7, 0.5, (5.0, 1.0, "h:1"))], [("server", 2, 6)]
    ),
    m.ReplicaRequest(),
    m.RestoreFromReplicas("me"),
    m.ZoneStatusReport(0, True, [m.ZoneStatus(0, "lost", "list", 0.1, 0.0, 0.0, 3.0, 2, [(1, 0.5)], 0.5)]),
    m.WatchRequest(True, 4),
    m.SnapshotRequest(),
    m.WatchEvent("delta", 5, [m.EndpointEntry(1, 0, 0, 0, 1, 2.0, 3, -1.0, "127.0.0.1:3")]),
    m.ClientRequest(1, 0, 77, 2.5, 0.1),
    m.ClientResponse(1, 2, 0.5, False),
    m.AttemptRequest(1, 2, 3, 4, 0, 77, 1, 2.0, 0.1),
    m.AttemptResponse(1, 0, [3.0]),
    m.CancelAttempt(1),
    m.HealthCheckRequest(1),
    m.HealthCheckResponse(1, 0, [2.0]),
    m.EmulatorCommand("hang", {"servers": [1], "value": 2.0}),
    m.CommandCompleted("x"),
]


def test_every_message_is_unchanged_by_encoding_and_decoding() -> None:
    assert {type(sample) for sample in SAMPLES} == set(m.AnyMessage.__args__)
    for sample in SAMPLES:
        line = encode(sample)
        assert b"\n" not in line
        assert decode(line) == sample


def test_unknown_keys_are_ignored() -> None:
    assert decode(b'{"t":"applied","mark":3,"colour":"blue"}') == m.CheckpointReply(3)


@pytest.mark.parametrize(
    ("line", "expected_text"),
    [
        (b"", "not a message"),
        (b'{"t":"applied","mark":3', "not a message"),
        (b'{"t":"nonsense"}', "nonsense"),
        (b'{"t":"applied","mark":"x"}', "mark"),
        (b'{"t":"order","batch":1}', "at"),
        (b'{"t":"order","batch":1,"at":0,"cost":1,"lines":[[1,2]]}', "lines"),
        (b"\xff\xfe", "not a message"),
        (b"[" * 100000, "object"),
        (b'"' + b"x" * MAX_LINE_BYTES + b'"', "limit"),
    ],
)
def test_invalid_line_raises_an_error_that_names_the_fault(line: bytes, expected_text: str) -> None:
    expected_error = MessageTooLongError if expected_text == "limit" else MessageDecodeError
    with pytest.raises(expected_error, match=expected_text):
        decode(line)


@given(st.binary(max_size=300))
def test_arbitrary_bytes_decode_or_raise_protocol_error(data: bytes) -> None:
    try:
        message = decode(data)
    except ProtocolError:
        return
    assert decode(encode(message)) == message


@given(st.sampled_from(SAMPLES), st.integers(0, 400), st.integers(0, 255))
def test_line_with_one_changed_byte_decodes_or_raises_protocol_error(
    sample: m.Message, position: int, byte: int
) -> None:
    line = bytearray(encode(sample))
    line[position % len(line)] = byte
    with contextlib.suppress(ProtocolError):
        assert isinstance(decode(bytes(line)), msgspec.Struct)


def client_and_server_sessions() -> tuple[Session, Session]:
    return (
        Session(m.Hello(m.PROTOCOL_VERSION, "proxy", 1), 0.5, 2.0),
        Session(m.Welcome(m.PROTOCOL_VERSION, "assigner", 0), 0.5, 2.0),
    )


def test_hello_is_answered_with_welcome_and_passed_to_the_owner() -> None:
    client, server = client_and_server_sessions()
    (hello,) = client.handle_connected(0.0)
    assert server.handle_connected(0.0) == []
    received, replies = server.receive_line(0.1, encode(hello))
    assert received == [hello]
    assert replies == [server.greeting]
    received, replies = client.receive_line(0.2, encode(replies[0]))
    assert received == [server.greeting]
    assert replies == []


@pytest.mark.parametrize(
    ("line", "expected_text"),
    [
        (encode(m.Hello(2, "proxy", 1)), "protocol version 2 is not supported"),
        (encode(m.CheckpointReply(1)), "first message must be a Hello"),
        (encode(m.Welcome(1, "store", 0)), "first message must be a Hello"),
        (encode(m.ConnectionRejected("go away")), "go away"),
    ],
)
def test_invalid_greeting_is_rejected_with_the_reason(line: bytes, expected_text: str) -> None:
    _, server = client_and_server_sessions()
    expected_error = PeerRejectedError if expected_text == "go away" else HandshakeError
    with pytest.raises(expected_error, match=expected_text):
        server.receive_line(0.0, line)
    assert server.peer_greeting is None


def test_second_greeting_is_rejected() -> None:
    _, server = client_and_server_sessions()
    hello = encode(m.Hello(m.PROTOCOL_VERSION, "proxy", 1))
    server.receive_line(0.0, hello)
    with pytest.raises(HandshakeError, match="unexpected Hello after the handshake"):
        server.receive_line(0.1, hello)


def test_silent_peer_times_out_and_responsive_peer_does_not() -> None:
    client, server = client_and_server_sessions()
    server.handle_connected(0.0)
    server.receive_line(0.0, encode(client.greeting))
    assert server.due_heartbeats(0.4) == []
    assert server.due_heartbeats(0.6) == [m.Ping()]
    assert server.due_heartbeats(0.7) == []  # One ping per interval.
    server.receive_line(1.9, encode(m.Pong()))
    server.due_heartbeats(3.8)
    with pytest.raises(HeartbeatTimeoutError, match="silent"):
        server.due_heartbeats(4.0)


# Guards against a lease that a paused process counts from when it notices the loss of its peer.
def test_loss_counts_from_the_heartbeat_timeout() -> None:
    client, server = client_and_server_sessions()
    server.handle_connected(0.0)
    server.receive_line(1.0, encode(client.greeting))
    assert server.lost_at_s(1.5) == 1.5
    assert server.lost_at_s(60.0) == 1.0 + server.heartbeat_timeout_s

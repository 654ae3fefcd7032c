"""Errors of the protocol. Whoever catches one closes the stream."""

from __future__ import annotations


class ProtocolError(Exception):
    """A peer broke the protocol, or a message can't be sent by it; the text says what and where."""


class MessageTooLongError(ProtocolError):
    """A message is longer than a line may be."""


class MessageDecodeError(ProtocolError):
    """A line is not a message, or one of its fields is missing or of the wrong type."""


class HandshakeError(ProtocolError):
    """A peer's first message is missing, repeated, or one that is not accepted here."""


class PeerRejectedError(ProtocolError):
    """The peer has rejected this end of the stream, and closes it."""


class HeartbeatTimeoutError(ProtocolError):
    """Nothing was received from the peer for too long."""

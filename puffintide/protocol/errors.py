"""Errors of the protocol. The code that catches one closes the stream."""

from __future__ import annotations


class ProtocolError(Exception):
    """Base of protocol errors: a peer violated the protocol, or a message cannot be sent."""


class MessageTooLongError(ProtocolError):
    """An encoded message exceeds the maximum length of a line."""


class LineTooLongError(ProtocolError):
    """A received line exceeds the limit of its connection."""


class MessageDecodeError(ProtocolError):
    """A line is not a message, or a field is missing or has the wrong type."""


class HandshakeError(ProtocolError):
    """A peer's greeting is missing, repeated or not accepted by this end."""


class PeerRejectedError(ProtocolError):
    """The peer has rejected this end and closes the stream."""


class HeartbeatTimeoutError(ProtocolError):
    """No message was received from the peer within the heartbeat timeout."""

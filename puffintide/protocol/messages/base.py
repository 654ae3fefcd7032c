"""Base class of all messages, and the protocol version."""

from __future__ import annotations

import msgspec

PROTOCOL_VERSION = 1


class Message(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="t"):
    """Base of all messages: one JSON object whose key `t` names the message type.

    Fields with their default value are omitted on the wire. The key of a field on the wire is its name,
    unless the class maps it with `rename`.
    """

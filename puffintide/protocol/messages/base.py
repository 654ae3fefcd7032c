"""Base class of all messages, and the version of the protocol that they make up."""

from __future__ import annotations

import msgspec

PROTOCOL_VERSION = 1


class Message(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="t"):
    """Base of all messages. A message is one JSON object whose key `t` names its type.

    Fields that have their default value are left out on the wire. The key of a field on the wire is the field's
    name unless the class maps it by `rename`.
    """

"""Decodes JSON texts to typed messages, and tells what is no JSON from what is another message. Performs no I/O."""

from __future__ import annotations

import json
from typing import TypeVar

import msgspec

from puffintide.platform.errors import InvalidMessageError, MalformedMessageError

MS_PER_S = 1000.0
QUOTED_CHARACTERS = 40  # of an invalid value, in an error

_Message = TypeVar("_Message")


def decode_json(decoder: msgspec.json.Decoder[_Message], text: bytes) -> _Message:
    """Decode a JSON text to a typed message.

    Raises:
        MalformedMessageError: The text is not JSON.
        InvalidMessageError: It is JSON, but not of the decoder's type.
    """
    try:
        return decoder.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        failure = error
    # The decoder stops at the first fault; this one reads on, and accepts numbers that JSON does not have.
    try:
        json.loads(text)
    except (ValueError, RecursionError):
        raise MalformedMessageError(str(failure)) from failure
    raise InvalidMessageError(str(failure)) from failure


def quoted(text: str) -> str:
    """Quote the start of a received text for an error."""
    return repr(text[:QUOTED_CHARACTERS])

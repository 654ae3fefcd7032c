"""Decodes JSON to typed messages, and distinguishes malformed from invalid texts. Performs no I/O."""

from __future__ import annotations

import json
from typing import TypeVar

import msgspec

from puffintide.platform.errors import InvalidMessageError, MalformedMessageError

MS_PER_S = 1000.0
QUOTED_CHARACTERS = 40  # Maximum characters of an invalid value in an error message.

_Message = TypeVar("_Message")


def decode_json(decoder: msgspec.json.Decoder[_Message], text: bytes) -> _Message:
    """Decode a JSON text to a typed message.

    Raises:
        MalformedMessageError: The text is not JSON.
        InvalidMessageError: The text is JSON, but does not match the decoder's type.
    """
    try:
        return decoder.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        decode_error = error
    # The typed decoder stops at the first error. json.loads parses the whole text, and it accepts numbers
    # that JSON does not define, such as NaN, so that such a message counts as invalid and not as malformed.
    try:
        json.loads(text)
    except (ValueError, RecursionError):
        raise MalformedMessageError(str(decode_error)) from decode_error
    raise InvalidMessageError(str(decode_error)) from decode_error


def quoted(text: str) -> str:
    """Quote the start of a received text for an error message."""
    return repr(text[:QUOTED_CHARACTERS])

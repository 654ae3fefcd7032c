"""One codec for all streams: a message is a line of JSON that ends with a newline. No I/O."""

from __future__ import annotations

import msgspec

from puffintide.protocol.errors import MessageDecodeError, MessageTooLongError
from puffintide.protocol.messages import AnyMessage, Message

MAX_LINE_BYTES = 4 << 20  # without the newline; fits an update with as many entries as a channel may hold

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """Encodes a message as a line, without its newline.

    Raises:
        MessageTooLongError: The line would pass MAX_LINE_BYTES.
    """
    line = _encoder.encode(message)
    if len(line) > MAX_LINE_BYTES:
        name = type(message).__name__
        raise MessageTooLongError(f"a {name} of {len(line)} bytes is over the limit of {MAX_LINE_BYTES}")
    return line


def decode(line: bytes) -> AnyMessage:
    """Decodes a line, given without its newline.

    Raises:
        MessageTooLongError: The line is over MAX_LINE_BYTES.
        MessageDecodeError: The line is not a message; the text names the place that is wrong.
    """
    if len(line) > MAX_LINE_BYTES:
        raise MessageTooLongError(f"line of {len(line)} bytes is over the limit of {MAX_LINE_BYTES}")
    try:
        return _decoder.decode(line)
    except msgspec.ValidationError as error:
        raise MessageDecodeError(f"message does not fit: {error}") from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageDecodeError(f"line is not a message: {error}") from error

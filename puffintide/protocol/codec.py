"""Codec for all streams: each message is one line of JSON that ends with a newline. Performs no I/O."""

from __future__ import annotations

import msgspec

from puffintide.protocol.errors import MessageDecodeError, MessageTooLongError
from puffintide.protocol.messages import AnyMessage, Message

# Maximum length of a line in bytes, without its newline. An update that fills a channel fits.
MAX_LINE_BYTES = 4 << 20

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """Encode a message as a line without its newline.

    Raises:
        MessageTooLongError: The line exceeds MAX_LINE_BYTES.
    """
    line = _encoder.encode(message)
    if len(line) > MAX_LINE_BYTES:
        name = type(message).__name__
        raise MessageTooLongError(
            f"cannot encode {name}: {len(line)} bytes exceed the limit of {MAX_LINE_BYTES}"
        )
    return line


def decode(line: bytes) -> AnyMessage:
    """Decode a line without its newline into a message.

    Raises:
        MessageTooLongError: The line exceeds MAX_LINE_BYTES.
        MessageDecodeError: The line is not a valid message. The error names the invalid field.
    """
    if len(line) > MAX_LINE_BYTES:
        raise MessageTooLongError(
            f"cannot decode line: {len(line)} bytes exceed the limit of {MAX_LINE_BYTES}"
        )
    try:
        return _decoder.decode(line)
    except msgspec.ValidationError as error:
        raise MessageDecodeError(f"cannot decode message: {error}") from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageDecodeError(f"cannot decode line: not a message: {error}") from error

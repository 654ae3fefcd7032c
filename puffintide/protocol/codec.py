"""One codec for all streams: a message is a line of JSON that ends with a newline. No I/O."""

from __future__ import annotations

import msgspec

from puffintide.protocol.messages import AnyMessage, Message

LINE_MOST = (
    4 << 20
)  # bytes of a line, the newline left out; holds an order of the most lines a channel may have

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(AnyMessage)


class WireError(Exception):
    """A peer broke the protocol; the text says what and where. The stream is closed."""


def encode(message: Message) -> bytes:
    """The line without its newline. Raises WireError when it would pass the limit."""
    data = _encoder.encode(message)
    if len(data) > LINE_MOST:
        raise WireError(f"a {type(message).__name__} of {len(data)} bytes is over the limit of {LINE_MOST}")
    return data


def decode(line: bytes) -> AnyMessage:
    """The message of a line. Raises WireError with the place that is wrong."""
    if len(line) > LINE_MOST:
        raise WireError(f"line of {len(line)} bytes is over the limit of {LINE_MOST}")
    try:
        return _decoder.decode(line)
    except msgspec.ValidationError as error:
        raise WireError(f"message does not fit: {error}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(f"line is not a message: {error}") from None

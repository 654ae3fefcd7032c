"""Decodes messages of the relay's watch about proxies, slices and tables. Performs no I/O.

The message types map the platform's field names to the names used in this program.
"""

from __future__ import annotations

import msgspec

from puffintide.platform.message_decoding import decode_json

WATCH_TARGET = "/api/watch"


class ProxyJoined(
    msgspec.Struct,
    frozen=True,
    rename={
        "proxy_id": "sidecar",
        "zone": "az",
        "request_rate": "share",
        "first_connection": "standing",
    },
):
    """Reports that a proxy connected to the relay."""

    proxy_id: int
    zone: str
    request_rate: float = 0.0
    first_connection: bool = False


class ProxyDeparted(msgspec.Struct, frozen=True, rename={"proxy_id": "sidecar"}):
    """Reports that a proxy is no longer connected to the relay."""

    proxy_id: int


class CheckpointApplied(
    msgspec.Struct,
    frozen=True,
    rename={"proxy_id": "sidecar", "checkpoint_id": "version", "elapsed_ms": "lag_ms"},
):
    """Reports that a proxy applied all orders before a checkpoint."""

    proxy_id: int
    checkpoint_id: int
    elapsed_ms: float = 0.0


class SliceGranted(msgspec.Struct, frozen=True, rename={"slice_id": "partition", "granted": "yes"}):
    """Reports that this assigner was granted ownership of a slice, or that it was revoked."""

    slice_id: int
    granted: bool


class TableWeight(msgspec.Struct, frozen=True, rename={"slice_id": "partition", "weight": "share"}):
    """Reports one weight entry of a slice's table as stored by the relay."""

    slice_id: int
    host: str
    weight: float


class Heartbeat(msgspec.Struct, frozen=True):
    """Marks that all messages about earlier state changes have been sent."""


class _RelayMessage(msgspec.Struct, frozen=True):
    type: str = ""
    object: msgspec.Raw = msgspec.Raw(b"{}")


RelayMessage = ProxyJoined | ProxyDeparted | CheckpointApplied | SliceGranted | TableWeight
_relay_message_decoder = msgspec.json.Decoder(_RelayMessage)
_object_decoders: dict[str, msgspec.json.Decoder[RelayMessage]] = {
    "joined": msgspec.json.Decoder(ProxyJoined),
    "left": msgspec.json.Decoder(ProxyDeparted),
    "applied": msgspec.json.Decoder(CheckpointApplied),
    "given": msgspec.json.Decoder(SliceGranted),
    "held": msgspec.json.Decoder(TableWeight),
}


def decode_relay_message(line: bytes) -> RelayMessage | Heartbeat | None:
    """Decode a line of the relay's watch.

    Returns:
        The decoded message, or None if its type is unknown.

    Raises:
        MalformedMessageError: The line is not JSON.
        InvalidMessageError: The line is JSON, but not a valid message of the relay's watch.
    """
    message = decode_json(_relay_message_decoder, line)
    if not message.type:
        return Heartbeat()
    decoder = _object_decoders.get(message.type)
    if decoder is None:
        return None
    return decode_json(decoder, bytes(message.object))

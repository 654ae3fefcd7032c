"""Messages of the relay's watch: proxies, slices and their tables. Performs no I/O.

The platform's field names are mapped to the terms of this program here.
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
    """A proxy has connected to the relay."""

    proxy_id: int
    zone: str
    request_rate: float = 0.0
    first_connection: bool = False


class ProxyDeparted(msgspec.Struct, frozen=True, rename={"proxy_id": "sidecar"}):
    """A proxy is no longer connected."""

    proxy_id: int


class CheckpointApplied(
    msgspec.Struct,
    frozen=True,
    rename={"proxy_id": "sidecar", "checkpoint_id": "version", "elapsed_ms": "lag_ms"},
):
    """A proxy has applied all orders before a checkpoint."""

    proxy_id: int
    checkpoint_id: int
    elapsed_ms: float = 0.0


class SliceGranted(msgspec.Struct, frozen=True, rename={"slice_id": "partition", "granted": "yes"}):
    """This assigner was granted a slice, or its ownership was revoked."""

    slice_id: int
    granted: bool


class TableWeight(msgspec.Struct, frozen=True, rename={"slice_id": "partition", "weight": "share"}):
    """One entry of a slice's table as the relay has it."""

    slice_id: int
    host: str
    weight: float


class Heartbeat(msgspec.Struct, frozen=True):
    """All messages about the state before it have been sent."""


class _RelayMessage(msgspec.Struct, frozen=True):
    type: str = ""
    object: msgspec.Raw = msgspec.Raw(b"{}")


RelayMessage = ProxyJoined | ProxyDeparted | CheckpointApplied | SliceGranted | TableWeight
_relay_messages = msgspec.json.Decoder(_RelayMessage)
_relay_objects: dict[str, msgspec.json.Decoder[RelayMessage]] = {
    "joined": msgspec.json.Decoder(ProxyJoined),
    "left": msgspec.json.Decoder(ProxyDeparted),
    "applied": msgspec.json.Decoder(CheckpointApplied),
    "given": msgspec.json.Decoder(SliceGranted),
    "held": msgspec.json.Decoder(TableWeight),
}


def decode_relay_message(line: bytes) -> RelayMessage | Heartbeat | None:
    """Decode a line of the relay's watch; None: its type is not known.

    Raises:
        MalformedMessageError: The line is not JSON.
        InvalidMessageError: It is JSON, but no such message.
    """
    message = decode_json(_relay_messages, line)
    if not message.type:
        return Heartbeat()
    decoder = _relay_objects.get(message.type)
    if decoder is None:
        return None
    return decode_json(decoder, bytes(message.object))

"""Messages received at the assigner's address: pings and the load reports of collectors. Performs no I/O.

The platform's field names are mapped to the terms of this program here, in relay_messages and in
discovery_messages; orders are encoded in relay_orders.
"""

from __future__ import annotations

from typing import Any

import msgspec

from puffintide.decisions.events import ServerLoadReport, SliceLoadReport
from puffintide.platform.errors import InvalidMessageError
from puffintide.platform.identifiers import HostRegistry, SettingsNames
from puffintide.platform.message_decoding import MS_PER_S, decode_json, quoted
from puffintide.protocol.validation import MAX_COUNT, MAX_INTERVAL_S

PONG = b'{"msg":"pong"}\n'
REJECTED = b'{"msg":"refused"}\n'


class Ping(msgspec.Struct, tag_field="msg", tag="ping", frozen=True):
    """Asks whether the assigner serves."""


class CollectorHello(msgspec.Struct, tag_field="msg", tag="collector", frozen=True, rename={"zone": "az"}):
    """Identifies the sender as a collector of load reports of a zone."""

    zone: str


class ServerReport(
    msgspec.Struct,
    tag_field="msg",
    tag="heard",
    frozen=True,
    rename={
        "zone": "az",
        "attempts": "n",
        "failed_attempts": "bad",
        "interval_ms": "window",
        "mean_latency_ms": "avg",
        "load_values": "report",
    },
):
    """What the proxies of a zone observed at a server over an interval."""

    zone: str
    host: str
    attempts: int
    failed_attempts: int
    interval_ms: float
    mean_latency_ms: float = 0.0
    load_values: dict[str, Any] | None = None


class SliceReport(
    msgspec.Struct,
    tag_field="msg",
    tag="heat",
    frozen=True,
    rename={
        "slice_id": "partition",
        "class_name": "kind",
        "requests": "n",
        "unanswered": "bad",
        "interval_ms": "window",
    },
):
    """Requests of a class for a slice over an interval."""

    slice_id: int
    class_name: str
    requests: int
    unanswered: int
    interval_ms: float


ClientMessage = Ping | CollectorHello | ServerReport | SliceReport
_client_messages = msgspec.json.Decoder(ClientMessage)


def decode_client_message(line: bytes) -> ClientMessage:
    """Decode a line received at the assigner's address.

    Raises:
        MalformedMessageError: The line is not JSON.
        InvalidMessageError: It is JSON, but no such message.
    """
    return decode_json(_client_messages, line)


def _check_counts(total: int, failed: int, interval_ms: float) -> None:
    if not (0 <= total <= MAX_COUNT and 0 <= failed <= MAX_COUNT):
        raise InvalidMessageError(f"{failed} failed of {total}")
    if not 0 < interval_ms <= MAX_INTERVAL_S * MS_PER_S:
        raise InvalidMessageError(f"interval of {interval_ms:g} ms")


def server_load_report(report: ServerReport, names: SettingsNames, hosts: HostRegistry) -> ServerLoadReport:
    """Convert a report to an event.

    Raises:
        InvalidMessageError: A value is out of range, or the zone or host is not known.
    """
    _check_counts(report.attempts, report.failed_attempts, report.interval_ms)
    if report.failed_attempts > report.attempts:
        raise InvalidMessageError(f"{report.failed_attempts} failed of {report.attempts}")
    zone = names.zones.get(report.zone)
    if zone is None:
        raise InvalidMessageError(f"zone {quoted(report.zone)} is not in the settings")
    server_id = hosts.server_id(report.host)
    if server_id is None:
        raise InvalidMessageError(f"host {quoted(report.host)} was never listed")
    if not 0 <= report.mean_latency_ms <= MAX_INTERVAL_S * MS_PER_S:
        raise InvalidMessageError(f"mean latency of {report.mean_latency_ms:g} ms")
    any_succeeded = report.attempts > report.failed_attempts
    return ServerLoadReport(
        proxy_zone=zone,
        server_id=server_id,
        attempts=report.attempts,
        failed_attempts=report.failed_attempts,
        mean_latency_s=report.mean_latency_ms / MS_PER_S if any_succeeded else 0.0,
        interval_s=report.interval_ms / MS_PER_S,
        load_values=names.parse_load_values(report.load_values),
    )


def slice_load_report(report: SliceReport, names: SettingsNames, slice_count: int) -> SliceLoadReport:
    """Convert a report to an event; unanswered requests may have come in an earlier interval.

    Raises:
        InvalidMessageError: A value is out of range, or the class or slice is not known.
    """
    _check_counts(report.requests, report.unanswered, report.interval_ms)
    class_index = names.classes.get(report.class_name)
    if class_index is None:
        raise InvalidMessageError(f"class {quoted(report.class_name)} is not in the settings")
    if not 0 <= report.slice_id < slice_count:
        raise InvalidMessageError(f"slice {report.slice_id} of {slice_count}")
    interval_s = report.interval_ms / MS_PER_S
    return SliceLoadReport(report.slice_id, class_index, report.requests, report.unanswered, interval_s)

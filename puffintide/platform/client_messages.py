"""Messages received at the assigner's address: pings and the load reports of collectors. Performs no I/O.

This module, relay_messages and discovery_messages map the platform's field names to the terms of this
program. Orders are encoded in relay_orders.
"""

from __future__ import annotations

from typing import Any

import msgspec

from puffintide.decisions.events import ServerLoadReport, SliceLoadReport
from puffintide.platform.errors import InvalidMessageError
from puffintide.platform.identifiers import HostRegistry, SettingsNames
from puffintide.platform.message_decoding import MS_PER_S, decode_json, quoted
from puffintide.protocol.validation import MAX_COUNT, MAX_INTERVAL_S, MIN_INTERVAL_S

PONG = b'{"msg":"pong"}\n'
REJECTED = b'{"msg":"refused"}\n'


class Ping(msgspec.Struct, tag_field="msg", tag="ping", frozen=True):
    """Asks whether the assigner is serving."""


class CollectorHello(msgspec.Struct, tag_field="msg", tag="collector", frozen=True, rename={"zone": "az"}):
    """Identifies the sender as a collector of the load reports of a zone."""

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
    """Results of the attempts of a zone's proxies at one server over an interval."""

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
    """Counts of the requests of one class for one slice over an interval."""

    slice_id: int
    class_name: str
    requests: int
    unanswered: int
    interval_ms: float


ClientMessage = Ping | CollectorHello | ServerReport | SliceReport
_client_message_decoder = msgspec.json.Decoder(ClientMessage)


def decode_client_message(line: bytes) -> ClientMessage:
    """Decode a line received at the assigner's address.

    Raises:
        MalformedMessageError: The line is not JSON.
        InvalidMessageError: The line is JSON, but not a valid client message.
    """
    return decode_json(_client_message_decoder, line)


def _check_counts(reported: str, total: int, failed: int, interval_ms: float) -> None:
    if not (0 <= total <= MAX_COUNT and 0 <= failed <= MAX_COUNT):
        raise InvalidMessageError(
            f"invalid load report of {reported}: counts {failed} of {total} are not within 0 to {MAX_COUNT}"
        )
    min_ms, max_ms = MIN_INTERVAL_S * MS_PER_S, MAX_INTERVAL_S * MS_PER_S
    if not min_ms <= interval_ms <= max_ms:
        raise InvalidMessageError(
            f"invalid load report of {reported}: "
            f"interval of {interval_ms:g} ms is not within {min_ms:g} to {max_ms:g} ms"
        )


def server_load_report(report: ServerReport, names: SettingsNames, hosts: HostRegistry) -> ServerLoadReport:
    """Convert a server report to an event.

    Raises:
        InvalidMessageError: A value is out of range, or the zone or host is unknown.
    """
    _check_counts(f"host {quoted(report.host)}", report.attempts, report.failed_attempts, report.interval_ms)
    if report.failed_attempts > report.attempts:
        raise InvalidMessageError(
            f"invalid load report of host {quoted(report.host)}: "
            f"{report.failed_attempts} failed attempts exceed {report.attempts} attempts"
        )
    zone = names.zones.get(report.zone)
    if zone is None:
        raise InvalidMessageError(
            f"invalid load report of host {quoted(report.host)}: "
            f"zone {quoted(report.zone)} is not in the settings"
        )
    server_id = hosts.server_id(report.host)
    if server_id is None:
        raise InvalidMessageError(f"invalid load report: host {quoted(report.host)} is unknown")
    if not 0 <= report.mean_latency_ms <= MAX_INTERVAL_S * MS_PER_S:
        limit_ms = MAX_INTERVAL_S * MS_PER_S
        raise InvalidMessageError(
            f"invalid load report of host {quoted(report.host)}: "
            f"mean latency of {report.mean_latency_ms:g} ms is not within 0 to {limit_ms:g} ms"
        )
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
    """Convert a slice report to an event.

    Unanswered requests may exceed the requests of the interval, as they may have arrived in an earlier one.

    Raises:
        InvalidMessageError: A value is out of range, or the class or slice is unknown.
    """
    _check_counts(f"slice {report.slice_id}", report.requests, report.unanswered, report.interval_ms)
    class_index = names.classes.get(report.class_name)
    if class_index is None:
        raise InvalidMessageError(
            f"invalid load report of slice {report.slice_id}: "
            f"class {quoted(report.class_name)} is not in the settings"
        )
    if not 0 <= report.slice_id < slice_count:
        raise InvalidMessageError(
            f"invalid load report: slice {report.slice_id} is not within 0 to {slice_count - 1}"
        )
    interval_s = report.interval_ms / MS_PER_S
    return SliceLoadReport(report.slice_id, class_index, report.requests, report.unanswered, interval_s)

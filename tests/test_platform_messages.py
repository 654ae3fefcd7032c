"""Tests of the decoding of the platform's messages."""

from __future__ import annotations

import json
import math
from typing import Any

import pytest

from puffintide.decisions.events import EndpointStatus, ServerLoadReport, SliceLoadReport
from puffintide.platform.client_messages import (
    ServerReport,
    SliceReport,
    decode_client_message,
    server_load_report,
    slice_load_report,
)
from puffintide.platform.discovery_messages import decode_endpoint_list
from puffintide.platform.errors import (
    InvalidMessageError,
    MalformedMessageError,
)
from puffintide.platform.identifiers import HostRegistry, hash_host
from tests.platform_config import NAMES

VALID_REPORT = {
    "msg": "heard",
    "az": "a",
    "host": "s-1",
    "n": 4,
    "bad": 1,
    "avg": 50.0,
    "window": 500.0,
    "report": {"inflight": 3, "util": 0.5},
}


def decode_server_report(**changes: Any) -> ServerLoadReport:
    hosts = HostRegistry()
    hosts.register("s-1")
    row = {k: v for k, v in (VALID_REPORT | changes).items() if v is not ...}
    message = decode_client_message(json.dumps(row).encode())
    assert isinstance(message, ServerReport)
    return server_load_report(message, NAMES, hosts)


def test_reports_are_converted_to_seconds_and_ids() -> None:
    assert decode_server_report() == ServerLoadReport(0, hash_host("s-1"), 4, 1, 0.05, 0.5, (3.0, 0.5))
    assert decode_server_report(report=..., avg=...).load_values == ()
    report = decode_client_message(b'{"msg":"heat","partition":3,"kind":"start","n":2,"bad":5,"window":500}')
    assert isinstance(report, SliceReport)
    # Unanswered requests may have arrived in an earlier interval, so they may exceed the requests of this one.
    assert slice_load_report(report, NAMES, 4) == SliceLoadReport(3, 1, 2, 5, 0.5)
    with pytest.raises(InvalidMessageError):
        slice_load_report(report, NAMES, 3)


@pytest.mark.parametrize(
    "changes",
    [
        {"n": ...},
        {"host": ...},
        {"az": "z"},
        {"az": 5},
        {"host": "s-unknown"},
        {"host": None},
        {"n": -1},
        {"bad": 5},
        {"bad": -1},
        {"n": "4"},
        {"n": 1e300},
        {"n": 10**30},
        {"window": 0},
        {"window": -5},
        {"window": 1e300},
        {"avg": -1},
        {"avg": 1e300},
        {"avg": math.nan},
        {"window": math.inf},
        {"report": 5},
        {"msg": "unknown"},
        {"msg": 5},
        {"msg": ...},
    ],
)
def test_invalid_reports_raise(changes: dict[str, Any]) -> None:
    with pytest.raises(InvalidMessageError):
        decode_server_report(**changes)


@pytest.mark.parametrize(
    "message", [b"GET / HTTP/1.1", b"{", b"\xff\xfe", b'{"msg":"ping"', b"[" * 5000, b'"a']
)
def test_line_that_is_not_json_is_malformed(message: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        decode_client_message(message)


def endpoint_row(**changes: Any) -> dict[str, Any]:
    row = {
        "host": "s-1",
        "dial": "127.0.0.1:1",
        "site": "a",
        "class": "m2",
        "block": 3,
        "health": "active",
        "share": 1.5,
        "born_ms": 0,
    }
    return row | changes


def test_invalid_entry_does_not_affect_the_rest_of_the_list() -> None:
    rows = [
        endpoint_row(),
        endpoint_row(host="s-2", site="z"),
        endpoint_row(host="s-3", health="odd"),
        {"host": 5},
        7,
        endpoint_row(host="s-4", health="left", site="?"),
        endpoint_row(host="s-5", born_ms=60_000, health="leaving"),
    ]
    hosts = HostRegistry()
    message = decode_endpoint_list(
        json.dumps({"seq": 9, "whole": True, "hosts": rows}).encode(), NAMES, hosts, 62_500.0
    )
    assert (message.version, message.is_snapshot, len(message.errors)) == (9, True, 4)
    first, removed, draining = message.entries
    assert (first.zone, first.server_type, first.status, first.weight, first.age_s) == (
        0,
        1,
        EndpointStatus.READY,
        1.5,
        -1.0,
    )
    assert removed.status == EndpointStatus.REMOVED
    assert (draining.status, draining.age_s, draining.incarnation) == (
        EndpointStatus.DRAINING,
        2.5,
        60_000,
    )

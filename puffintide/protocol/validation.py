"""Checks of values in messages that the codec lets through. Pure.

They guard against a peer that is faulty or older: one impossible number must not stop the rounds of an assigner or
the requests of a proxy. A function whose name ends in `_problem` returns what is wrong as a text, or None.
"""

from __future__ import annotations

from collections.abc import Iterable

from puffintide.protocol.messages import EndpointEntry, ProxyUpdate, TableEntry, UsageReport, WeightEntry

MAX_WEIGHT = 1e6
MAX_COUNT = 1e9  # of anything counted between two reports
MAX_INTERVAL_S = 1e5  # that a report may cover
MAX_RETRY_MODE = 3
MAX_PORT = 65535
MAX_PORT_DIGITS = 6  # that are looked at: what is longer is above MAX_PORT, or begins with zeros
MAX_QUOTED_CHARS = 60  # of an address in an error
SERVER_ID_LIMIT = 1 << 31
WATCH_EVENT_TYPES = ("delta", "full", "cached", "failed")

_REMOVED = 0
_STATUSES = (_REMOVED, 1, 2)


def address_problem(address: str) -> str | None:
    """Checks that an address is HOST:PORT. An empty one is not given, and no problem."""
    host, _, port = address.rpartition(":")
    if not address:
        return None
    if host and port.isascii() and port.isdigit() and 0 < int(port[:MAX_PORT_DIGITS]) <= MAX_PORT:
        return None
    return f"address {address[:MAX_QUOTED_CHARS]!r} is not HOST:PORT"


def endpoint_problem(entry: EndpointEntry, zone_count: int) -> str | None:
    """Checks an entry of the endpoint list by itself."""
    server = f"server {entry.server_id}"
    if not 0 <= entry.server_id < SERVER_ID_LIMIT:
        return f"{server} is no number of a server"
    if not 0 <= entry.zone < max(1, zone_count):
        return f"{server}: zone {entry.zone} is not among the {zone_count}"
    if entry.status not in _STATUSES:
        return f"{server}: state {entry.status} is not 0, 1 or 2"
    removed_without_weight = entry.status == _REMOVED and entry.weight == 0
    if not (0 < entry.weight <= MAX_WEIGHT or removed_without_weight):
        return f"{server}: weight {entry.weight:g} is not above 0"
    problem = address_problem(entry.address)
    return None if problem is None else f"{server}: {problem}"


def split_valid_endpoints(
    entries: Iterable[EndpointEntry], zone_count: int
) -> tuple[dict[int, EndpointEntry], dict[int, str]]:
    """Splits entries into valid ones and problems, both by server id.

    A server that is listed twice has a problem, and neither of its entries is valid.
    """
    listed: dict[int, EndpointEntry] = {}
    problems: dict[int, str] = {}
    for entry in entries:
        problem = endpoint_problem(entry, zone_count)
        if problem is None and entry.server_id in listed:
            problem = f"server {entry.server_id} is told twice"
        if problem is not None:
            problems[entry.server_id] = problem
        listed[entry.server_id] = entry
    valid = {server_id: entry for server_id, entry in listed.items() if server_id not in problems}
    return valid, problems


def weights_problem(entries: Iterable[WeightEntry | TableEntry]) -> str | None:
    """Checks weights and addresses of table entries; returns the first problem."""
    for entry in entries:
        if not 0 <= entry.weight <= MAX_WEIGHT:
            return f"server {entry.server_id}: weight {entry.weight:g} is not from 0 to {MAX_WEIGHT:g}"
        problem = address_problem(entry.address)
        if problem is not None:
            return f"server {entry.server_id}: {problem}"
    return None


def proxy_update_problem(update: ProxyUpdate) -> str | None:
    """Checks an update from an assigner; returns the first problem."""
    for level in update.admission_levels:
        if not 0 <= level.retry_mode <= MAX_RETRY_MODE:
            return f"way of trying again {level.retry_mode} is not from 0 to {MAX_RETRY_MODE}"
        if not 0 <= level.fraction <= MAX_WEIGHT:
            return f"level {level.fraction:g} is below 0 or beyond all bounds"
    return weights_problem(update.weights)


def usage_report_problem(report: UsageReport, slice_count: int, class_count: int) -> str | None:
    """Checks a usage report from a proxy; returns the first problem."""
    if not 0 < report.interval_s <= MAX_INTERVAL_S:
        return f"span {report.interval_s:g} s is not above 0"
    for server in report.servers:
        counts_valid = 0 <= server.failed_attempts <= server.attempts <= MAX_COUNT
        latency_s = server.success_latency_total_s
        if not (counts_valid and 0 <= latency_s <= MAX_COUNT * MAX_INTERVAL_S):
            counts = f"{server.failed_attempts} failed of {server.attempts} tries"
            return f"server {server.server_id}: {counts}, {latency_s:g} s"
    for usage in report.slices:
        if not (0 <= usage.slice_id < max(1, slice_count) and 0 <= usage.class_index < class_count):
            subject = f"slice {usage.slice_id}, class {usage.class_index}"
            return f"{subject}: there are {slice_count} and {class_count}"
        if not 0 <= usage.unanswered <= MAX_COUNT or not 0 <= usage.requests <= MAX_COUNT:
            return f"slice {usage.slice_id}: {usage.unanswered} unanswered of {usage.requests} requests"
    return None

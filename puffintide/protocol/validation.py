"""Validation of message values beyond the types that the codec checks. All functions are pure.

The checks protect against a faulty or outdated peer: one out-of-range number must not stop the rounds of an
assigner or the requests of a proxy. A function whose name ends in `_problem` returns a description of the
first invalid value, or None.
"""

from __future__ import annotations

from collections.abc import Iterable

from puffintide.protocol.messages import EndpointEntry, ProxyUpdate, TableEntry, UsageReport, WeightEntry

MAX_WEIGHT = 1e6
MAX_COUNT = 1e9  # Maximum of any counter in a usage report.
MIN_INTERVAL_S = 1e-3  # Minimum interval that a usage report may cover, in seconds.
MAX_INTERVAL_S = 1e5  # Maximum interval that a usage report may cover, in seconds.
MAX_RETRY_MODE = 3
MAX_PORT = 65535
MAX_PORT_DIGITS = 6  # Number of digits parsed; a longer port is above MAX_PORT or has leading zeros.
MAX_QUOTED_CHARS = 60  # Maximum length of an address quoted in an error, in characters.
SERVER_ID_LIMIT = 1 << 31
WATCH_EVENT_TYPES = ("delta", "full", "cached", "failed")

_REMOVED = 0
_STATUSES = (_REMOVED, 1, 2)


def address_problem(address: str) -> str | None:
    """Check that an address has the form HOST:PORT; an empty one means that none is given, and is valid."""
    host, _, port = address.rpartition(":")
    if not address:
        return None
    if host and port.isascii() and port.isdigit() and 0 < int(port[:MAX_PORT_DIGITS]) <= MAX_PORT:
        return None
    return f"address {address[:MAX_QUOTED_CHARS]!r} is not HOST:PORT"


def endpoint_problem(entry: EndpointEntry, zone_count: int) -> str | None:
    """Check one entry of the endpoint list independently of the others."""
    server = f"server {entry.server_id}"
    if not 0 <= entry.server_id < SERVER_ID_LIMIT:
        return f"server id {entry.server_id} is not from 0 to {SERVER_ID_LIMIT - 1}"
    if not 0 <= entry.zone < max(1, zone_count):
        return f"{server}: zone {entry.zone} is not among the {zone_count} zones"
    if entry.status not in _STATUSES:
        return f"{server}: status {entry.status} is not 0, 1 or 2"
    removed_without_weight = entry.status == _REMOVED and entry.weight == 0
    if not (0 < entry.weight <= MAX_WEIGHT or removed_without_weight):
        return f"{server}: weight {entry.weight:g} is not above 0 and at most {MAX_WEIGHT:g}"
    problem = address_problem(entry.address)
    return None if problem is None else f"{server}: {problem}"


def split_valid_endpoints(
    entries: Iterable[EndpointEntry], zone_count: int
) -> tuple[dict[int, EndpointEntry], dict[int, str]]:
    """Split entries into valid ones and descriptions of problems.

    A server that is listed more than once has a problem, and none of its entries is valid.

    Returns:
        The valid entries by server id, and the problems by server id.
    """
    listed: dict[int, EndpointEntry] = {}
    problems: dict[int, str] = {}
    for entry in entries:
        problem = endpoint_problem(entry, zone_count)
        if problem is None and entry.server_id in listed:
            problem = f"server {entry.server_id} is listed more than once"
        if problem is not None:
            problems[entry.server_id] = problem
        listed[entry.server_id] = entry
    valid = {server_id: entry for server_id, entry in listed.items() if server_id not in problems}
    return valid, problems


def weights_problem(entries: Iterable[WeightEntry | TableEntry]) -> str | None:
    """Check weights and addresses of entries and return the first problem."""
    for entry in entries:
        if not 0 <= entry.weight <= MAX_WEIGHT:
            return f"server {entry.server_id}: weight {entry.weight:g} is not from 0 to {MAX_WEIGHT:g}"
        problem = address_problem(entry.address)
        if problem is not None:
            return f"server {entry.server_id}: {problem}"
    return None


def proxy_update_problem(update: ProxyUpdate) -> str | None:
    """Check an update from an assigner and return the first problem."""
    for level in update.admission_levels:
        if not 0 <= level.retry_mode <= MAX_RETRY_MODE:
            return f"slice {level.slice_id}: retry mode {level.retry_mode} is not from 0 to {MAX_RETRY_MODE}"
        if not 0 <= level.fraction <= MAX_WEIGHT:
            return f"slice {level.slice_id}: fraction {level.fraction:g} is not from 0 to {MAX_WEIGHT:g}"
    return _cleared_tokens_problem(update) or weights_problem(update.weights)


def _cleared_tokens_problem(update: ProxyUpdate) -> str | None:
    """Check that there are either no tokens of cleared slices or a valid one for each."""
    tokens, slice_ids = update.cleared_tokens, update.cleared_slices
    if not tokens:
        return None
    if len(tokens) != len(slice_ids):
        return f"{len(tokens)} fencing tokens of {len(slice_ids)} cleared slices"
    for slice_id, token in zip(slice_ids, tokens, strict=True):
        if token < 0:
            return f"cleared slice {slice_id}: fencing token {token} is negative"
    return None


def usage_report_problem(report: UsageReport, slice_count: int, class_count: int) -> str | None:
    """Check a usage report from a proxy and return the first problem."""
    if not MIN_INTERVAL_S <= report.interval_s <= MAX_INTERVAL_S:
        return f"interval {report.interval_s:g} s is not from {MIN_INTERVAL_S:g} to {MAX_INTERVAL_S:g}"
    for server in report.servers:
        counts_valid = 0 <= server.failed_attempts <= server.attempts <= MAX_COUNT
        latency_s = server.success_latency_total_s
        if not (counts_valid and 0 <= latency_s <= MAX_COUNT * MAX_INTERVAL_S):
            counts = f"{server.failed_attempts} failed of {server.attempts} attempts"
            return f"server {server.server_id}: out of range: {counts}, total latency {latency_s:g} s"
    for usage in report.slices:
        if not (0 <= usage.slice_id < max(1, slice_count) and 0 <= usage.class_index < class_count):
            limits = f"not among the {slice_count} slices and {class_count} classes"
            return f"slice {usage.slice_id}, class {usage.class_index}: {limits}"
        if not 0 <= usage.unanswered <= MAX_COUNT or not 0 <= usage.requests <= MAX_COUNT:
            counts = f"{usage.unanswered} unanswered of {usage.requests} requests"
            return f"slice {usage.slice_id}: out of range: {counts}"
    return None

"""What a message of the right shape may still not say. Pure; each check gives the reason, or None.

Guards against a peer that is broken or older: one impossible number must not stop the rounds of an assigner or the
course of a proxy's requests.
"""

from __future__ import annotations

from collections.abc import Iterable

from puffintide.protocol.messages import EndpointEntry, ProxyUpdate, TableEntry, UsageReport, WeightEntry

WEIGHT_MOST = 1e6
COUNT_MOST = 1e9  # of anything counted between two reports
SPAN_MOST = 1e5  # seconds that a report may reach over
NEWS_KINDS = ("delta", "full", "cached", "failed")


def wrong_address(address: str) -> str | None:
    """Empty is none told."""
    host, _, port = address.rpartition(":")
    if not address or (host and port.isascii() and port.isdigit() and 0 < int(port[:6]) < 65536):
        return None
    return f"address {address[:60]!r} is not HOST:PORT"


def wrong_entry(entry: EndpointEntry, zones: int) -> str | None:
    if not 0 <= entry.server_id < 2**31:
        return f"server {entry.server_id} is no number of a server"
    if not 0 <= entry.zone < max(1, zones):
        return f"server {entry.server_id}: zone {entry.zone} is not among the {zones}"
    if entry.status not in (0, 1, 2):
        return f"server {entry.server_id}: state {entry.status} is not 0, 1 or 2"
    if not (0 < entry.weight <= WEIGHT_MOST or (entry.status == 0 and entry.weight == 0)):
        return f"server {entry.server_id}: weight {entry.weight:g} is not above 0"
    wrong = wrong_address(entry.address)
    return None if wrong is None else f"server {entry.server_id}: {wrong}"


def sound_entries(
    entries: Iterable[EndpointEntry], zones: int
) -> tuple[dict[int, EndpointEntry], dict[int, str]]:
    """Those that can be, by server, and for the others why not. A server that is told twice is none of the two."""
    told: dict[int, EndpointEntry] = {}
    bad: dict[int, str] = {}
    for entry in entries:
        wrong = wrong_entry(entry, zones)
        if wrong is None and entry.server_id in told:
            wrong = f"server {entry.server_id} is told twice"
        if wrong is not None:
            bad[entry.server_id] = wrong
        told[entry.server_id] = entry
    return {k: e for k, e in told.items() if k not in bad}, bad


def wrong_lines(lines: Iterable[WeightEntry | TableEntry]) -> str | None:
    for line in lines:
        if not 0 <= line.weight <= WEIGHT_MOST:
            return f"server {line.server_id}: weight {line.weight:g} is not from 0 to {WEIGHT_MOST:g}"
        wrong = wrong_address(line.address)
        if wrong is not None:
            return f"server {line.server_id}: {wrong}"
    return None


def wrong_order(order: ProxyUpdate) -> str | None:
    for level in order.admission_levels:
        if not 0 <= level.retry_mode <= 3:
            return f"way of trying again {level.retry_mode} is not from 0 to 3"
        if not 0 <= level.fraction <= WEIGHT_MOST:
            return f"level {level.fraction:g} is below 0 or beyond all bounds"
    return wrong_lines(order.weights)


def wrong_sums(sums: UsageReport, slices: int, classes: int) -> str | None:
    if not 0 < sums.interval_s <= SPAN_MOST:
        return f"span {sums.interval_s:g} s is not above 0"
    for s in sums.servers:
        if not (
            0 <= s.failed_attempts <= s.attempts <= COUNT_MOST
            and 0 <= s.success_latency_total_s <= COUNT_MOST * SPAN_MOST
        ):
            seconds = f"{s.success_latency_total_s:g} s"
            return f"server {s.server_id}: {s.failed_attempts} failed of {s.attempts} tries, {seconds}"
    for c in sums.slices:
        if not (0 <= c.slice_id < max(1, slices) and 0 <= c.class_index < classes):
            return f"slice {c.slice_id}, class {c.class_index}: there are {slices} and {classes}"
        if not 0 <= c.unanswered <= COUNT_MOST or not 0 <= c.requests <= COUNT_MOST:
            return f"slice {c.slice_id}: {c.unanswered} unanswered of {c.requests} requests"
    return None

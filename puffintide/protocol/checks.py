"""What a message of the right shape may still not say. Pure; each check gives the reason, or None.

Guards against a peer that is broken or older: one impossible number must not stop the rounds of an assigner or the
course of a proxy's requests.
"""

from __future__ import annotations

from collections.abc import Iterable

from puffintide.protocol.messages import Entry, Held, Line, Order, Sums

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


def wrong_entry(entry: Entry, zones: int) -> str | None:
    if not 0 <= entry.id < 2**31:
        return f"server {entry.id} is no number of a server"
    if not 0 <= entry.zone < max(1, zones):
        return f"server {entry.id}: zone {entry.zone} is not among the {zones}"
    if entry.state not in (0, 1, 2):
        return f"server {entry.id}: state {entry.state} is not 0, 1 or 2"
    if not (0 < entry.weight <= WEIGHT_MOST or (entry.state == 0 and entry.weight == 0)):
        return f"server {entry.id}: weight {entry.weight:g} is not above 0"
    wrong = wrong_address(entry.address)
    return None if wrong is None else f"server {entry.id}: {wrong}"


def sound_entries(entries: Iterable[Entry], zones: int) -> tuple[dict[int, Entry], dict[int, str]]:
    """Those that can be, by server, and for the others why not. A server that is told twice is none of the two."""
    told: dict[int, Entry] = {}
    bad: dict[int, str] = {}
    for entry in entries:
        wrong = wrong_entry(entry, zones)
        if wrong is None and entry.id in told:
            wrong = f"server {entry.id} is told twice"
        if wrong is not None:
            bad[entry.id] = wrong
        told[entry.id] = entry
    return {k: e for k, e in told.items() if k not in bad}, bad


def wrong_lines(lines: Iterable[Line | Held]) -> str | None:
    for line in lines:
        if not 0 <= line.weight <= WEIGHT_MOST:
            return f"server {line.server}: weight {line.weight:g} is not from 0 to {WEIGHT_MOST:g}"
        wrong = wrong_address(line.address)
        if wrong is not None:
            return f"server {line.server}: {wrong}"
    return None


def wrong_order(order: Order) -> str | None:
    for level in order.levels:
        if not 0 <= level.retry <= 3:
            return f"way of trying again {level.retry} is not from 0 to 3"
        if not 0 <= level.level <= WEIGHT_MOST:
            return f"level {level.level:g} is below 0 or beyond all bounds"
    return wrong_lines(order.lines)


def wrong_sums(sums: Sums, slices: int, classes: int) -> str | None:
    if not 0 < sums.span_s <= SPAN_MOST:
        return f"span {sums.span_s:g} s is not above 0"
    for s in sums.servers:
        if not (0 <= s.failed <= s.tries <= COUNT_MOST and 0 <= s.good_s <= COUNT_MOST * SPAN_MOST):
            return f"server {s.server}: {s.failed} failed of {s.tries} tries, {s.good_s:g} s"
    for c in sums.slices:
        if not (0 <= c.slice < max(1, slices) and 0 <= c.request_class < classes):
            return f"slice {c.slice}, class {c.request_class}: there are {slices} and {classes}"
        if not 0 <= c.unanswered <= COUNT_MOST or not 0 <= c.requests <= COUNT_MOST:
            return f"slice {c.slice}: {c.unanswered} unanswered of {c.requests} requests"
    return None

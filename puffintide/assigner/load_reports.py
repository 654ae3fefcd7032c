"""Gathers the sums of proxies into the module's reports, each period, within the report lines a second.

No I/O. Sums are added up by (zone, server) and (slice, class); what does not fit into a period's lines stays and
adds up, and the oldest goes first, so that no pair is left unheard for ever.
"""

from __future__ import annotations

from dataclasses import dataclass

from puffintide.decisions.events import Event, ServerLoadReport, SliceLoadReport
from puffintide.protocol.messages import UsageReport


@dataclass(slots=True)
class _Pair:
    since: float  # when counting began
    count: int = 0
    bad: int = 0
    good_s: float = 0.0
    values: tuple[float, ...] = ()


TOLD_S = 60.0  # counting goes back four spans at most; what was told longer ago tells nothing
Key = tuple[int, int, int]  # (kind: 0 servers, 1 slices; zone or slice; server or class)


class LoadReportAggregator:
    """add() what proxies send, take() once a period what the module is told."""

    def __init__(self, lines_per_s: float) -> None:
        self.entries_per_s = lines_per_s
        self._pairs: dict[Key, _Pair] = {}  # oldest first: a pair is put anew at the end when it is told
        self._told: dict[Key, float] = {}
        self._credit = 0.0
        self._last: float | None = None

    def add_usage(self, now: float, zone: int, sums: UsageReport) -> None:
        for s in sums.servers:
            pair = self._pair(now, (0, zone, s.server_id), sums.interval_s)
            pair.count += s.attempts
            pair.bad += s.failed_attempts
            pair.good_s += s.success_latency_total_s
            pair.values = tuple(s.load_values) or pair.values
        for c in sums.slices:
            pair = self._pair(now, (1, c.slice_id, c.class_index), sums.interval_s)
            pair.count += c.requests
            pair.bad += c.unanswered

    def _pair(self, now: float, key: Key, span_s: float) -> _Pair:
        pair = self._pairs.get(key)
        if pair is None:
            # Counting goes back to the last telling, but not further than the sums reach if that was long ago.
            since = max(self._told.get(key, now - span_s), now - 4 * span_s)
            pair = self._pairs[key] = _Pair(min(since, now - span_s / 2))
        return pair

    def take_reports(self, now: float) -> list[Event]:
        """Report events that fit, oldest first."""
        span = now - self._last if self._last is not None else 0.5
        self._last = now
        self._told = {key: at for key, at in self._told.items() if now - at < TOLD_S}
        self._credit = min(self._credit + span * self.entries_per_s, self.entries_per_s)
        events: list[Event] = []
        while self._pairs and self._credit >= 1:
            key = next(iter(self._pairs))
            pair = self._pairs.pop(key)
            self._credit -= 1
            self._told[key] = now
            if pair.count:
                events.append(self._event(key, pair, now - pair.since))
        return events

    def _event(self, key: Key, pair: _Pair, span_s: float) -> Event:
        kind, where, what = key
        if kind == 0:
            good = pair.count - pair.bad
            mean = pair.good_s / good if good > 0 else 0.0
            return ServerLoadReport(where, what, pair.count, pair.bad, mean, span_s, pair.values)
        return SliceLoadReport(where, what, pair.count, pair.bad, span_s)

    def forget_slice(self, number: int) -> None:
        """A slice that left our charge is no longer told of."""
        for key in [k for k in self._pairs if k[0] == 1 and k[1] == number]:
            del self._pairs[key]

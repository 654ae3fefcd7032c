"""Counts by server, slice and class for each assigner: every request and try once, whatever streams do."""

from __future__ import annotations

from dataclasses import dataclass, field

from puffintide.protocol.messages import ServerUsage, SliceUsage, UsageReport


@dataclass(slots=True)
class _Counts:
    since: float
    servers: dict[int, list[float]] = field(default_factory=dict)  # tries, failed, time of good ones
    values: dict[int, list[float]] = field(default_factory=dict)
    slices: dict[tuple[int, int], list[int]] = field(default_factory=dict)


class Counter:
    """What is taken is gone; what could not be sent stays and adds up, at most `slices` x classes rows."""

    def __init__(self) -> None:
        self._by_assigner: dict[int, _Counts] = {}

    def _of(self, now: float, assigner: int) -> _Counts:
        return self._by_assigner.setdefault(assigner, _Counts(now))

    def request(self, now: float, assigner: int, number: int, request_class: int) -> None:
        self._of(now, assigner).slices.setdefault((number, request_class), [0, 0])[0] += 1

    def unanswered(self, now: float, assigner: int, number: int, request_class: int) -> None:
        self._of(now, assigner).slices.setdefault((number, request_class), [0, 0])[1] += 1

    def tried(
        self, now: float, assigner: int, server: int, good_s: float | None, values: list[float]
    ) -> None:
        """A try has ended; good_s is None where it got no good answer."""
        counts = self._of(now, assigner)
        row = counts.servers.setdefault(server, [0.0, 0.0, 0.0])
        row[0] += 1
        row[1] += good_s is None
        row[2] += good_s or 0.0
        if values:
            counts.values[server] = values

    def take(self, now: float, assigner: int, least_s: float) -> UsageReport | None:
        counts = self._by_assigner.pop(assigner, None)
        if counts is None:
            return None
        return UsageReport(
            round(max(now - counts.since, least_s), 6),
            [
                ServerUsage(s, int(row[0]), int(row[1]), round(row[2], 6), counts.values.get(s, []))
                for s, row in sorted(counts.servers.items())
            ],
            [SliceUsage(n, k, row[0], row[1]) for (n, k), row in sorted(counts.slices.items())],
        )

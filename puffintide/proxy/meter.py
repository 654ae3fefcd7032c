"""What the proxy itself adds to a request, in HDR histograms, and a sample of requests for the log."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram

LONGEST_US = 60_000_000
EVERY = 8  # requests of which one is timed: timing all would cost a twentieth of the proxy


class Meter:
    """Times in seconds in, microseconds at percentiles out. Every eighth request is timed."""

    def __init__(self, sample_every: int) -> None:
        self.sample_every = sample_every  # 0: no sample
        self.before = HdrHistogram(1, LONGEST_US, 3)  # from a request's coming to its first try's going out
        self.whole = HdrHistogram(1, LONGEST_US, 3)  # from its coming to its final answer
        self._begun: dict[Any, float] = {}
        self._seen = 0
        self._logged = 0

    def came(self, now: float, ref: Any) -> None:
        self._seen += 1
        if self._seen % EVERY == 0 or self.sample_every == 1:
            self._begun[ref] = now

    def went(self, now: float, ref: Any) -> None:
        begun = self._begun.get(ref)
        if begun is not None:
            self.before.record_value(min(LONGEST_US, max(1, int((now - begun) * 1e6))))

    def ended(self, now: float, ref: Any) -> float | None:
        """The time it took, where the request is in the sample; else None."""
        begun = self._begun.pop(ref, None)
        if begun is None:
            return None
        self.whole.record_value(min(LONGEST_US, max(1, int((now - begun) * 1e6))))
        self._logged += 1
        every = max(1, self.sample_every // EVERY)
        return now - begun if self.sample_every and self._logged % every == 0 else None

    def figures(self) -> dict[str, int]:
        """Microseconds since the start of the process."""
        out = {"requests": self._seen}
        for name, histogram in (("before", self.before), ("whole", self.whole)):
            for q in (50, 99, 99.9):
                out[f"{name}_p{q:g}_us"] = int(histogram.get_value_at_percentile(q))
        return out

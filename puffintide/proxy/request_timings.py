"""How long the proxy takes for requests, in HDR histograms, and a sample of requests for the log."""

from __future__ import annotations

from collections.abc import Hashable

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_S = 1e6
TIMED_EVERY = 8  # timing each request would cost a noticeable part of the proxy's CPU
PERCENTILES = (50, 99, 99.9)


class RequestTimings:
    """Times one request in TIMED_EVERY, and one in `log_every` of them for the log (0: none)."""

    def __init__(self, log_every: int) -> None:
        self.log_every = log_every
        self.first_attempt = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.total = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._started_at_s: dict[Hashable, float] = {}
        self._requests = 0
        self._timed = 0

    def on_request(self, now_s: float, handle: Hashable) -> None:
        """A request was received."""
        self._requests += 1
        if self._requests % TIMED_EVERY == 0 or self.log_every == 1:
            self._started_at_s[handle] = now_s

    def on_first_attempt(self, now_s: float, handle: Hashable) -> None:
        """The request's first attempt was sent."""
        started_at_s = self._started_at_s.get(handle)
        if started_at_s is not None:
            self.first_attempt.record_value(_microseconds(now_s - started_at_s))

    def on_finished(self, now_s: float, handle: Hashable) -> float | None:
        """The request ended. Returns its duration in seconds if it is to be logged."""
        started_at_s = self._started_at_s.pop(handle, None)
        if started_at_s is None:
            return None
        duration_s = now_s - started_at_s
        self.total.record_value(_microseconds(duration_s))
        self._timed += 1
        if not self.log_every or self._timed % max(1, self.log_every // TIMED_EVERY):
            return None
        return duration_s

    def summary(self) -> dict[str, int]:
        """Requests and latency percentiles in microseconds since the start of the process."""
        summary = {"requests": self._requests}
        for name, histogram in (("first_attempt", self.first_attempt), ("total", self.total)):
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile)
                summary[f"{name}_p{percentile:g}_us"] = int(value)
        return summary


def _microseconds(duration_s: float) -> int:
    """Whole microseconds within the histograms' range."""
    return min(MAX_LATENCY_US, max(1, int(duration_s * MICROSECONDS_PER_S)))

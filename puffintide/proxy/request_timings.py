"""Request latency histograms, and sampling of requests for the access log."""

from __future__ import annotations

from collections.abc import Hashable

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000  # Upper bound of the histograms, in microseconds.
SIGNIFICANT_DIGITS = 3  # Precision of the histograms.
MICROSECONDS_PER_S = 1e6
SAMPLING_INTERVAL = 8  # Times one request in 8: timing each would use a noticeable part of the proxy's CPU.
PERCENTILES = (50, 99, 99.9)


class RequestTimings:
    """Records the latency of one request in SAMPLING_INTERVAL in HDR histograms.

    Args:
        log_every: About one request in `log_every` is selected for the log; 0 selects none. 1 times and
            selects every request; any other value selects at most one request in SAMPLING_INTERVAL.
    """

    def __init__(self, log_every: int) -> None:
        self.log_every = log_every
        self.first_attempt = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.total = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._started_at_s: dict[Hashable, float] = {}
        self._received_requests = 0
        self._sampled_requests = 0

    def on_request(self, now_s: float, handle: Hashable) -> None:
        """Count a received request, and start timing it if it is sampled."""
        self._received_requests += 1
        if self._received_requests % SAMPLING_INTERVAL == 0 or self.log_every == 1:
            self._started_at_s[handle] = now_s

    def on_first_attempt(self, now_s: float, handle: Hashable) -> None:
        """Record the time from a request's receipt to the sending of its first attempt."""
        started_at_s = self._started_at_s.get(handle)
        if started_at_s is not None:
            self.first_attempt.record_value(_microseconds(now_s - started_at_s))

    def on_finished(self, now_s: float, handle: Hashable) -> float | None:
        """Record a request's total latency.

        Returns:
            The latency in seconds if the request is to be logged, else None.
        """
        started_at_s = self._started_at_s.pop(handle, None)
        if started_at_s is None:
            return None
        duration_s = now_s - started_at_s
        self.total.record_value(_microseconds(duration_s))
        self._sampled_requests += 1
        if not self.log_every or self._sampled_requests % max(1, self.log_every // SAMPLING_INTERVAL):
            return None
        return duration_s

    def summary(self) -> dict[str, int]:
        """Return the request count and latency percentiles in microseconds since the process started."""
        summary = {"requests": self._received_requests}
        for name, histogram in (("first_attempt", self.first_attempt), ("total", self.total)):
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile)
                summary[f"{name}_p{percentile:g}_us"] = int(value)
        return summary


def _microseconds(duration_s: float) -> int:
    """Convert seconds to whole microseconds within the histograms' range."""
    return min(MAX_LATENCY_US, max(1, int(duration_s * MICROSECONDS_PER_S)))

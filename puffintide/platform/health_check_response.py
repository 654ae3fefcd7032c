"""Interprets the responses to health checks. Performs no I/O."""

from __future__ import annotations

from puffintide.decisions.events import HealthCheckStatus
from puffintide.platform.http_exchange import STATUS_OK, STATUS_UNAVAILABLE

REPORT_PREFIX = "TEXT"
# Fraction of the timeout after which a 503 counts as a timeout, not as a rejection. A full server rejects at
# once; a later 503 is from a server that gave up waiting.
REJECTION_TIME_FRACTION = 0.5


def classify_response(http_status: int, elapsed_s: float, timeout_s: float) -> HealthCheckStatus:
    """Return the outcome of a health check that was answered."""
    if http_status == STATUS_UNAVAILABLE:
        rejected = elapsed_s < timeout_s * REJECTION_TIME_FRACTION
        return HealthCheckStatus.REJECTED if rejected else HealthCheckStatus.TIMEOUT
    return HealthCheckStatus.OK if http_status == STATUS_OK else HealthCheckStatus.ERROR


def parse_load_report(text: str) -> dict[str, float]:
    """Parse a server's own load report, as in `TEXT inflight=7, queue=2`.

    Values that are unreadable or reported twice are left out.
    """
    values: dict[str, float] = {}
    duplicates: set[str] = set()
    text = text.strip()
    if not text.startswith(REPORT_PREFIX):
        return values
    for item in text.removeprefix(REPORT_PREFIX).split(","):
        name, _, value = item.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if name in values:
            duplicates.add(name)
        values[name] = number
    return {name: value for name, value in values.items() if name not in duplicates}

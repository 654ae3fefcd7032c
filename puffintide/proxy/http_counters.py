"""Counters of the HTTP proxy, under their names in the log event `stats`."""

from __future__ import annotations

from enum import StrEnum


class HttpCounter(StrEnum):
    """Names of the events that are counted since the start of the process."""

    ATTEMPTS_CANCELLED = "attempts_cancelled"
    CONNECTION_POOL_FULL = "connection_pool_full"
    CONNECTION_WAIT_TIMEOUTS = "connection_wait_timeouts"
    DOWNSTREAM_TIMEOUTS = "downstream_timeouts"
    REQUESTS_REJECTED = "requests_rejected"  # Invalid, too large, too slow, or received during shutdown.
    RESPONSES_TRUNCATED = "responses_truncated"
    UNSOLICITED_RESPONSES = "unsolicited_responses"
    UPSTREAM_CERTIFICATE_MISMATCHES = "upstream_certificate_mismatches"
    UPSTREAM_PROTOCOL_ERRORS = "upstream_protocol_errors"

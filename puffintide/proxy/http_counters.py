"""What the HTTP side counts, by the names that the log's `stats` have."""

from __future__ import annotations

from enum import StrEnum


class HttpCounter(StrEnum):
    """Events since the start of the process."""

    ATTEMPTS_CANCELLED = "attempts_cancelled"
    CONNECTION_POOL_FULL = "connection_pool_full"
    CONNECTION_WAIT_TIMEOUTS = "connection_wait_timeouts"
    DOWNSTREAM_TIMEOUTS = "downstream_timeouts"
    REQUESTS_REJECTED = "requests_rejected"  # invalid ones, or too large
    RESPONSES_TRUNCATED = "responses_truncated"
    UNSOLICITED_RESPONSES = "unsolicited_responses"
    UPSTREAM_CERTIFICATE_MISMATCHES = "upstream_certificate_mismatches"
    UPSTREAM_PROTOCOL_ERRORS = "upstream_protocol_errors"

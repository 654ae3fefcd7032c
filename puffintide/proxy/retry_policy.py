"""Retry policy: whether a failed attempt is retried, and where. No I/O; time is passed in.

An attempt is proven not to have been executed by one of: the connection was refused; the connection ended before
the server's greeting, that is before a byte of the request was written; the server answered that it is saturated.
Any other failed attempt may have been executed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum

from puffintide.decisions.settings import RepeatSafety

MIN_ATTEMPT_S = 0.01  # an attempt with less time than this can't be answered
ANY_ZONE = -1
UNKNOWN_ZONE = -1


class RetryMode(IntEnum):
    """How many retries an assigner allows, and after which failures."""

    NONE = 0
    ONE_IF_NOT_EXECUTED = 1
    ONE = 2
    TWO = 3


MAX_RETRIES: dict[int, int] = {
    RetryMode.NONE: 0,
    RetryMode.ONE_IF_NOT_EXECUTED: 1,
    RetryMode.ONE: 1,
    RetryMode.TWO: 2,
}


class DeduplicationScope(StrEnum):
    """Which servers share their record of idempotency keys; the values are those of the settings."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClassPolicy:
    """What a class of requests allows to be repeated."""

    repeat_safety: RepeatSafety
    deduplication_scope: DeduplicationScope
    deduplication_window_s: float
    latency_objective_s: float


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """The attempts of a request so far."""

    last_attempt_number: int  # 0: the first
    proven_not_executed: bool  # the last attempt
    maybe_executed_at_s: float | None  # when the first attempt that may have been executed was sent
    maybe_executed_zone: int  # and the zone of its server


@dataclass(frozen=True, slots=True)
class RetryTarget:
    """A retry follows, at a server of this zone or of ANY_ZONE."""

    required_zone: int


def attempt_deadline(
    policy: RequestClassPolicy,
    retry_mode: int,
    attempt_number: int,
    retry_wait_objectives: float,
    now_s: float,
    deadline_s: float,
) -> float:
    """Until when an attempt waits for its response.

    Where a retry may follow, that is `retry_wait_objectives` latency objectives from now; else the deadline.
    """
    retries_any_failure = retry_mode >= RetryMode.ONE and attempt_number < MAX_RETRIES[retry_mode]
    if retries_any_failure and policy.repeat_safety != RepeatSafety.NON_IDEMPOTENT:
        return min(deadline_s, now_s + retry_wait_objectives * policy.latency_objective_s)
    return deadline_s


def next_attempt(
    policy: RequestClassPolicy, retry_mode: int, history: AttemptHistory, now_s: float, deadline_s: float
) -> RetryTarget | None:
    """Where the next attempt may go, or None: the request gets its final response now."""
    if history.last_attempt_number >= MAX_RETRIES[retry_mode]:
        return None
    if now_s + MIN_ATTEMPT_S >= deadline_s:
        return None
    if retry_mode == RetryMode.ONE_IF_NOT_EXECUTED and not history.proven_not_executed:
        return None
    if history.maybe_executed_at_s is None or policy.repeat_safety == RepeatSafety.IDEMPOTENT:
        return RetryTarget(ANY_ZONE)
    if policy.repeat_safety == RepeatSafety.NON_IDEMPOTENT:
        return None
    return _deduplicated_target(policy, history, now_s - history.maybe_executed_at_s)


def _deduplicated_target(
    policy: RequestClassPolicy, history: AttemptHistory, elapsed_s: float
) -> RetryTarget | None:
    """Where servers recognise the idempotency key of an earlier attempt; None where none is known to."""
    if elapsed_s >= policy.deduplication_window_s:
        return None
    if policy.deduplication_scope == DeduplicationScope.ALL:
        return RetryTarget(ANY_ZONE)
    if policy.deduplication_scope == DeduplicationScope.ZONE and history.maybe_executed_zone > UNKNOWN_ZONE:
        return RetryTarget(history.maybe_executed_zone)
    return None  # a proxy does not know the servers' cells

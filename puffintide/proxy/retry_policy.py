"""Retry policy: whether a failed attempt is retried, and at which servers.

This module does no I/O; callers pass the current time. An attempt is proven not to have been executed in
three cases: no connection could be established, or none was available; the connection ended before the server's
greeting, and so before any byte of the request was written; or the server answered that it is saturated. Any
other failed attempt may have been executed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum

from puffintide.decisions.settings import RepeatSafety

MIN_ATTEMPT_S = 0.01  # Minimum remaining time of a retry, in seconds; a shorter attempt can't be answered.
ANY_ZONE = -1
UNKNOWN_ZONE = -1


class RetryMode(IntEnum):
    """The number of retries that an assigner allows, and the failures after which it allows them."""

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
    """The set of servers that share a record of idempotency keys; the values are those of the settings."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClassPolicy:
    """The properties of a request class that decide whether its requests may be retried."""

    repeat_safety: RepeatSafety
    deduplication_scope: DeduplicationScope
    deduplication_window_s: float
    latency_objective_s: float


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """The outcome of a request's attempts so far."""

    last_attempt_number: int  # 0 is the first attempt.
    proven_not_executed: bool  # Whether the last attempt is proven not to have been executed.
    maybe_executed_at_s: float | None  # Send time of the first attempt that may have been executed.
    maybe_executed_zone: int  # The zone of the server of that attempt.


@dataclass(frozen=True, slots=True)
class RetryTarget:
    """The zone whose servers may take a retry, or ANY_ZONE."""

    required_zone: int


def attempt_deadline(
    policy: RequestClassPolicy,
    retry_mode: int,
    attempt_number: int,
    retry_wait_objectives: float,
    now_s: float,
    deadline_s: float,
) -> float:
    """Return the time until which an attempt waits for its response.

    If a retry may follow, this is `retry_wait_objectives` latency objectives from now, but no later than the
    deadline. Otherwise it is the deadline.

    Args:
        policy: The policy of the request's class.
        retry_mode: The retry mode of the request's slice and class.
        attempt_number: The number of the attempt; 0 is the first.
        retry_wait_objectives: The wait before a retry, in latency objectives.
        now_s: The current time in seconds.
        deadline_s: The deadline of the request in seconds.
    """
    retries_any_failure = retry_mode >= RetryMode.ONE and attempt_number < MAX_RETRIES[retry_mode]
    if retries_any_failure and policy.repeat_safety != RepeatSafety.NON_IDEMPOTENT:
        return min(deadline_s, now_s + retry_wait_objectives * policy.latency_objective_s)
    return deadline_s


def next_attempt(
    policy: RequestClassPolicy, retry_mode: int, history: AttemptHistory, now_s: float, deadline_s: float
) -> RetryTarget | None:
    """Return the target of a retry, or None if the request gets its final response now.

    Args:
        policy: The policy of the request's class.
        retry_mode: The retry mode of the request's slice and class.
        history: The outcome of the attempts so far.
        now_s: The current time in seconds.
        deadline_s: The deadline of the request in seconds.
    """
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
    """Return where servers are known to recognize the idempotency key of an earlier attempt, else None."""
    if elapsed_s >= policy.deduplication_window_s:
        return None
    if policy.deduplication_scope == DeduplicationScope.ALL:
        return RetryTarget(ANY_ZONE)
    if policy.deduplication_scope == DeduplicationScope.ZONE and history.maybe_executed_zone > UNKNOWN_ZONE:
        return RetryTarget(history.maybe_executed_zone)
    return None  # A proxy does not know the servers' cells.

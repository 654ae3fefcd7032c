"""Tests of the retry policy against an oracle and under overload."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from puffintide.decisions.settings import RepeatSafety
from puffintide.proxy.retry_policy import (
    AttemptHistory,
    DeduplicationScope,
    RequestClassPolicy,
    attempt_deadline,
    next_attempt,
)
from tests.proxy_engines import (
    REQUEST_CLASSES,
)


def retry_is_allowed(
    policy: RequestClassPolicy, retry_mode: int, history: AttemptHistory, now_s: float, deadline_s: float
) -> bool:
    """Return whether a retry is allowed, computed independently of the retry policy."""
    if (
        now_s + 0.01 >= deadline_s
        or history.last_attempt_number >= (0, 1, 1, 2)[retry_mode]
        or (retry_mode == 1 and not history.proven_not_executed)
    ):
        return False
    if history.maybe_executed_at_s is None or policy.repeat_safety == "repeatable":
        return True
    return (
        policy.repeat_safety == "by_key"
        and policy.deduplication_scope in ("all", "zone")
        and now_s - history.maybe_executed_at_s < policy.deduplication_window_s
    )


@given(
    st.sampled_from(
        [
            *REQUEST_CLASSES,
            RequestClassPolicy(RepeatSafety.IDEMPOTENCY_KEY, DeduplicationScope.ALL, 2.0, 1.0),
            RequestClassPolicy(RepeatSafety.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 2.0, 1.0),
        ]
    ),
    st.integers(0, 3),
    st.integers(0, 3),
    st.booleans(),
    st.one_of(st.none(), st.floats(0, 5)),
    st.floats(5, 6),
)
def test_retry_policy_agrees_with_oracle(
    policy: RequestClassPolicy,
    retry_mode: int,
    attempt_number: int,
    not_executed: bool,
    maybe_executed_at_s: float | None,
    deadline_s: float,
) -> None:
    history = AttemptHistory(attempt_number, not_executed, maybe_executed_at_s, 1)
    retry = next_attempt(policy, retry_mode, history, 5.0, deadline_s)
    assert (retry is not None) == retry_is_allowed(policy, retry_mode, history, 5.0, deadline_s)
    if (
        retry is not None
        and policy.deduplication_scope == "zone"
        and maybe_executed_at_s is not None
        and policy.repeat_safety == "by_key"
    ):
        assert retry.required_zone == 1
    assert attempt_deadline(policy, retry_mode, attempt_number, 0.5, 5.0, deadline_s) <= deadline_s


def test_attempts_under_overload_stay_within_retry_mode() -> None:
    """Guard against retry storms: all servers become twice as slow at 90% load."""
    from benchmarks.retry_storm import RetrySimulation

    for retry_mode, max_attempts_per_request in ((0, 1.0), (1, 2.0), (2, 2.0), (3, 3.0)):
        simulation = RetrySimulation(retry_mode, 0.9, 1)
        simulation.run()
        assert simulation.first_attempts <= simulation.requests
        assert simulation.attempts / simulation.first_attempts <= max_attempts_per_request
        assert (retry_mode == 0) == (simulation.attempts == simulation.first_attempts)
        assert simulation.unsafe_repeats == 0
        assert not simulation.engine.requests

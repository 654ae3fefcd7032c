"""Retry policy, beside a plain oracle and under overload."""

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
    CLASSES,
)


def retry_is_allowed(
    kind: RequestClassPolicy, mode: int, history: AttemptHistory, now: float, deadline: float
) -> bool:
    """The rule in plain words, written another way."""
    if (
        now + 0.01 >= deadline
        or history.last_attempt_number >= (0, 1, 1, 2)[mode]
        or (mode == 1 and not history.proven_not_executed)
    ):
        return False
    if history.maybe_executed_at_s is None or kind.repeat_safety == "repeatable":
        return True
    return (
        kind.repeat_safety == "by_key"
        and kind.deduplication_scope in ("all", "zone")
        and now - history.maybe_executed_at_s < kind.deduplication_window_s
    )


@given(
    st.sampled_from(
        [
            *CLASSES,
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
def test_the_retry_policy_agrees_with_a_plain_oracle(
    kind: RequestClassPolicy,
    mode: int,
    number: int,
    not_executed: bool,
    maybe_executed_at_s: float | None,
    deadline: float,
) -> None:
    history = AttemptHistory(number, not_executed, maybe_executed_at_s, 1)
    retry = next_attempt(kind, mode, history, 5.0, deadline)
    assert (retry is not None) == retry_is_allowed(kind, mode, history, 5.0, deadline)
    if (
        retry is not None
        and kind.deduplication_scope == "zone"
        and maybe_executed_at_s is not None
        and kind.repeat_safety == "by_key"
    ):
        assert retry.required_zone == 1
    assert attempt_deadline(kind, mode, number, 0.5, 5.0, deadline) <= deadline


def test_a_retry_storm_never_exceeds_the_retry_mode() -> None:
    """A fleet suddenly twice as slow at 90% load: attempts stay within the retry mode."""
    from benchmarks.retry_storm import RetrySimulation

    for retry_mode, most in ((0, 1.0), (1, 2.0), (2, 2.0), (3, 3.0)):
        simulation = RetrySimulation(retry_mode, 0.9, 1)
        simulation.run()
        assert simulation.first_attempts <= simulation.requests
        assert simulation.attempts / simulation.first_attempts <= most
        assert (retry_mode == 0) == (simulation.attempts == simulation.first_attempts)
        assert simulation.unsafe_repeats == 0
        assert not simulation.engine.requests

"""Tests of the limits on opening connections to one server."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from puffintide.proxy.connection_attempts import ConnectionAttempts


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["enqueue", "established", "failed", "lost", "pop", "discard"]), st.integers(0, 9)
        )
    )
)
def test_concurrent_connects_are_limited_and_every_waiting_attempt_ends(
    steps: list[tuple[str, int]],
) -> None:
    connections = ConnectionAttempts(6)
    waiting: set[int] = set()
    last_attempt_id = consecutive_established = 0
    for step, attempt_id in steps:
        if step == "enqueue":
            last_attempt_id += 1
            if connections.enqueue(last_attempt_id):
                waiting.add(last_attempt_id)
            else:
                assert connections.established + connections.connecting >= 6 or len(waiting) >= 6
        elif step == "established" and connections.connecting:
            connections.on_established()
            consecutive_established += 1
        elif step == "failed" and connections.connecting:
            failed_attempts = connections.on_connect_failed()
            consecutive_established = 0
            assert set(failed_attempts) == waiting  # Every waiting attempt would see the same failure.
            waiting = set()
        elif step == "lost" and connections.established:
            connections.on_connection_lost()
            consecutive_established = consecutive_established if connections.established else 0
        elif step == "pop" and connections.established:
            popped = connections.pop_waiting()
            assert popped == (min(waiting) if waiting else None)
            waiting.discard(popped or 0)
        elif step == "discard":
            assert connections.discard(attempt_id) == (attempt_id in waiting)
            waiting.discard(attempt_id)
        connecting_before = connections.connecting  # Connections begun earlier continue.
        connections.begin_connecting()
        assert connections.connecting <= max(connecting_before, min(1 + consecutive_established, 6))
        assert connections.established + connections.connecting <= 6
        # Each waiting attempt will end, as a connection is being opened or an established one is in use.
        assert not waiting or connections.connecting or connections.established

"""How many connections to one server are opened at once."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from puffintide.proxy.connection_attempts import ConnectionAttempts


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ask", "established", "failed", "lost", "ready", "drop"]), st.integers(0, 9)
        )
    )
)
def test_connecting_is_bounded_by_what_was_established_and_loses_no_attempt(
    steps: list[tuple[str, int]],
) -> None:
    connections = ConnectionAttempts(6)
    waiting: set[int] = set()
    key = established = 0
    for what, which in steps:
        if what == "ask":
            key += 1
            if connections.enqueue(key):
                waiting.add(key)
            else:
                assert connections.established + connections.connecting >= 6 or len(waiting) >= 6
        elif what == "established" and connections.connecting:
            connections.on_established()
            established += 1
        elif what == "failed" and connections.connecting:
            ended = connections.on_connect_failed()
            established = 0
            assert set(ended) == waiting  # each would have met the same
            waiting = set()
        elif what == "lost" and connections.established:
            connections.on_connection_lost()
            established = established if connections.established else 0
        elif what == "ready" and connections.established:
            popped = connections.pop_waiting()
            assert popped == (min(waiting) if waiting else None)
            waiting.discard(popped or 0)
        elif what == "drop":
            assert connections.discard(which) == (which in waiting)
            waiting.discard(which)
        before = connections.connecting  # those begun earlier go on
        connections.begin_connecting()
        assert connections.connecting <= max(before, min(1 + established, 6))
        assert connections.established + connections.connecting <= 6
        # Each waiting attempt will end: a connection is being opened, or an established one is in use.
        assert not waiting or connections.connecting or connections.established

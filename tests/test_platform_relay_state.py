"""Tests of the relay's state as tracked from the messages of its watch."""

from __future__ import annotations

import json
from typing import Any

from puffintide.platform.relay_messages import Heartbeat, RelayMessage, decode_relay_message
from puffintide.platform.relay_state import RelayChanges, RelayState, merge_tables, tables_differ


def relay_message(message_type: str, **fields: Any) -> RelayMessage:
    message = decode_relay_message(json.dumps({"type": message_type, "object": fields}).encode())
    assert message is not None
    assert not isinstance(message, Heartbeat)
    return message


def apply_snapshot(state: RelayState, proxies: list[int], tables: dict[int, str]) -> RelayChanges:
    """Apply the complete snapshot of a new watch, including the heartbeat that ends it."""
    state.on_watch_opened()
    for proxy_id in proxies:
        assert not state.on_message(
            relay_message("joined", sidecar=proxy_id, az="a", share=1.0, standing=False)
        )
    for slice_id in tables:
        assert not state.on_message(relay_message("given", partition=slice_id, yes=True))
    for slice_id, host in tables.items():
        assert not state.on_message(relay_message("held", partition=slice_id, host=host, share=1.0))
    return state.flush(at_heartbeat=True)


def test_state_is_passed_on_when_the_snapshot_is_complete() -> None:
    state = RelayState()
    changes = apply_snapshot(state, [1, 2], {7: "s-1"})
    assert [proxy.proxy_id for proxy in changes.joined_proxies] == [1, 2]
    assert changes.granted_tables == {7: {"s-1": 1.0}}
    assert decode_relay_message(b"{}") == Heartbeat()
    assert decode_relay_message(b'{"type":"unknown type","object":{}}') is None


def test_missing_items_are_removed_only_at_the_heartbeat() -> None:
    """A pause does not end a snapshot, as it may be a gap between two packets."""
    state = RelayState()
    apply_snapshot(state, [1, 2], {7: "s-1", 8: "s-1"})
    state.on_watch_opened()
    state.on_message(relay_message("joined", sidecar=3, az="a", share=1.0, standing=True))
    state.on_message(relay_message("given", partition=8, yes=True))
    state.on_message(relay_message("given", partition=9, yes=True))
    state.on_message(relay_message("held", partition=9, host="s-3", share=1.0))
    changes = state.flush(at_heartbeat=False)
    assert [proxy.proxy_id for proxy in changes.joined_proxies] == [3]
    assert changes.granted_tables == {9: {"s-3": 1.0}}
    assert not (changes.departed_proxies)
    assert not (changes.revoked_slices)
    assert not (changes.retained_tables)
    assert state.has_unflushed
    # The next packet of the snapshot arrives.
    state.on_message(relay_message("held", partition=8, host="s-1", share=1.0))
    state.on_message(relay_message("held", partition=9, host="s-4", share=0.5))
    state.on_message(relay_message("joined", sidecar=1, az="a", share=1.0, standing=False))
    changes = state.flush(at_heartbeat=True)
    assert changes.added_weights == {9: {"s-4": 0.5}}
    assert changes.retained_tables == {8: {"s-1": 1.0}}
    assert not changes.joined_proxies
    assert changes.departed_proxies == [2]
    assert changes.revoked_slices == [7]
    assert not state.has_unflushed
    state.on_message(relay_message("held", partition=9, host="s-5", share=1.0))
    assert state.unowned_weights == 1
    assert not state.has_unflushed


def test_heartbeat_between_a_grant_and_its_weights_loses_no_weight() -> None:
    state = RelayState()
    apply_snapshot(state, [1], {})
    state.on_message(relay_message("given", partition=4, yes=True))
    assert state.flush(at_heartbeat=True).granted_tables == {4: {}}
    state.on_message(relay_message("held", partition=4, host="s-9", share=2.0))
    assert state.flush(at_heartbeat=True).added_weights == {4: {"s-9": 2.0}}
    state.on_message(relay_message("held", partition=4, host="s-8", share=2.0))
    assert state.unowned_weights == 1


def test_slice_revoked_granted_and_revoked_in_one_batch() -> None:
    state = RelayState()
    apply_snapshot(state, [1], {7: "s-1"})
    changes = [state.on_message(relay_message("given", partition=7, yes=yes)) for yes in (False, True, False)]
    assert [c.revoked_slices for c in changes] == [[7], [], []]
    assert not state.flush(at_heartbeat=False)
    assert state.slices == set()
    assert not state.has_unflushed
    # A weight arrives after its slice was revoked.
    state.on_message(relay_message("held", partition=7, host="s-1", share=1.0))
    assert state.unowned_weights == 1
    assert not state.flush(at_heartbeat=True)


def test_second_watch_is_compared_with_the_known_state() -> None:
    state = RelayState()
    apply_snapshot(state, [1, 2], {7: "s-1", 8: "s-1"})
    changes = apply_snapshot(state, [2, 3], {8: "s-2", 9: "s-3"})
    assert (
        changes.departed_proxies,
        [proxy.proxy_id for proxy in changes.joined_proxies],
        changes.revoked_slices,
    ) == (
        [1],
        [3],
        [7],
    )
    assert changes.granted_tables == {9: {"s-3": 1.0}}
    assert changes.retained_tables == {8: {"s-2": 1.0}}
    assert state.slices == {8, 9}
    assert state.proxies.keys() == {2, 3}


def test_tables_are_compared_and_merged_after_a_reconnection() -> None:
    assert not tables_differ({1: 1.0}, {1: 1.0}, [])
    assert tables_differ({1: 1.0}, {2: 1.0}, [])
    assert tables_differ({}, {1: 1.0}, [])
    assert tables_differ({1: 0.5}, {1: 1.0}, [])
    assert not tables_differ({1: 1.0}, {2: 1.0}, [1, 2])  # The entries of this assigner are in flight.
    assert tables_differ({1: 1.0, 3: 1.0}, {2: 1.0}, [1, 2])
    # Of the entries in flight, 2 is being set and 1 removed. All others are taken from the stored table.
    assert merge_tables({1: 1.0, 3: 1.0}, {2: 0.5, 4: 1.0}, [1, 2]) == {2: 0.5, 3: 1.0}


def test_slice_granted_later_is_passed_on_with_its_weights() -> None:
    state = RelayState()
    apply_snapshot(state, [1], {})
    assert not state.on_message(relay_message("given", partition=4, yes=True))
    assert state.has_unflushed
    state.on_message(relay_message("held", partition=4, host="s-9", share=2.0))
    assert state.flush(at_heartbeat=False).granted_tables == {4: {"s-9": 2.0}}
    assert not state.has_unflushed
    assert state.on_message(relay_message("given", partition=4, yes=False)).revoked_slices == [4]
    assert state.on_message(relay_message("left", sidecar=1)).departed_proxies == [1]
    assert not state.on_message(relay_message("left", sidecar=1))  # A repeated departure has no effect.

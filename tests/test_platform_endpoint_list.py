"""Tests which endpoint lists are accepted, and as which type of update."""

from __future__ import annotations

from puffintide.platform.discovery_messages import EndpointListMessage
from puffintide.platform.endpoint_list import STALE_LIST_GRACE_S, ListVersionTracker
from puffintide.protocol.messages import EndpointEntry


def test_type_of_update_for_each_list_message() -> None:
    def accepted_as(
        version: int, is_snapshot: bool, entries: int, invalid: int, from_config: bool = False
    ) -> str | None:
        tracker = ListVersionTracker()
        tracker.version = 5
        return tracker.accept(0.0, list_message(version, is_snapshot, entries, invalid), from_config)

    assert accepted_as(6, False, 1, 0) == "delta"
    assert accepted_as(5, False, 1, 0) is None
    assert accepted_as(6, False, 0, 0) is None
    assert accepted_as(5, True, 1, 0) == accepted_as(5, True, 0, 0) == "full"
    assert accepted_as(6, True, 1, 1) == "delta"
    assert accepted_as(2, True, 1, 0, from_config=True) == "cached"


def list_message(version: int, is_snapshot: bool, entries: int, invalid: int = 0) -> EndpointListMessage:
    return EndpointListMessage(
        version,
        is_snapshot,
        [EndpointEntry(k, 0, 0, 0, 1, 1.0, 0, -1.0) for k in range(entries)],
        ["invalid entry"] * invalid,
    )


def test_older_snapshot_is_ignored_unless_discovery_keeps_sending_it() -> None:
    tracker = ListVersionTracker()
    assert tracker.accept(0.0, list_message(5, True, 2)) == "full"
    assert tracker.accept(1.0, list_message(4, True, 2)) is None
    assert tracker.version == 5
    assert tracker.accept(2.0, list_message(5, False, 1)) is None  # The agent has caught up.
    assert tracker.accept(3.0, list_message(6, False, 1)) == "delta"
    assert tracker.stale_since_s is None
    assert tracker.accept(10.0, list_message(2, True, 2)) is None
    assert tracker.accept(10.0 + STALE_LIST_GRACE_S, list_message(2, True, 2)) == "full"
    assert tracker.version == 2
    assert tracker.accept(17.0, list_message(3, False, 1)) == "delta"

"""Which endpoint lists are accepted."""

from __future__ import annotations

from puffintide.platform.discovery_messages import EndpointListMessage
from puffintide.platform.endpoint_list import STALE_LIST_GRACE_S, ListVersionTracker
from puffintide.protocol.messages import EndpointEntry


def test_how_each_list_message_is_passed_on() -> None:
    def kind(seq: int, whole: bool, entries: int, bad: int, known: bool = False) -> str | None:
        listing = ListVersionTracker()
        listing.version = 5
        return listing.accept(0.0, members(seq, whole, entries, bad), known)

    assert kind(6, False, 1, 0) == "delta"
    assert kind(5, False, 1, 0) is None
    assert kind(6, False, 0, 0) is None
    assert kind(5, True, 1, 0) == kind(5, True, 0, 0) == "full"
    assert kind(6, True, 1, 1) == "delta"
    assert kind(2, True, 1, 0, known=True) == "cached"


def members(seq: int, whole: bool, entries: int, bad: int = 0) -> EndpointListMessage:
    return EndpointListMessage(
        seq, whole, [EndpointEntry(k, 0, 0, 0, 1, 1.0, 0, -1.0) for k in range(entries)], ["x"] * bad
    )


def test_older_snapshot_is_ignored_unless_discovery_keeps_sending_it() -> None:
    listing = ListVersionTracker()
    assert listing.accept(0.0, members(5, True, 2)) == "full"
    assert listing.accept(1.0, members(4, True, 2)) is None
    assert listing.version == 5
    assert listing.accept(2.0, members(5, False, 1)) is None  # it catches up
    assert listing.accept(3.0, members(6, False, 1)) == "delta"
    assert listing.stale_since_s is None
    assert listing.accept(10.0, members(2, True, 2)) is None
    assert listing.accept(10.0 + STALE_LIST_GRACE_S, members(2, True, 2)) == "full"
    assert listing.version == 2
    assert listing.accept(17.0, members(3, False, 1)) == "delta"

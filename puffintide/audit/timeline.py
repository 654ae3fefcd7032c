"""Derives connections, slice ownership and the endpoints each assigner knew over time from the records."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

from puffintide.audit.ground_truth import GroundTruth
from puffintide.audit.intervals import FOREVER, Interval, merge, start_of_interval_at
from puffintide.audit.records import LIST_LINK, ORDER_LINK, STORE_LINK, Peer, Record
from puffintide.config.model import Config
from puffintide.protocol import messages as m
from puffintide.protocol.validation import WATCH_EVENT_TYPES, split_valid_endpoints

READY = 1  # Status of an endpoint entry that accepts requests.
REMOVED = 0  # Status of an endpoint entry that is no longer listed.
STARTED_LONG_AGO = 0.0  # Start time of a server whose age is not known, and which counts as warmed up.


@dataclass(slots=True)
class EndpointHistory:
    """The states of a server over time, as an assigner knew them from the endpoint list."""

    states: list[tuple[float, int, float]] = field(default_factory=list)  # Time, status, start of the server.

    def unavailable_since(self, now_s: float) -> float | None:
        """Return the time since which the server is known not to be ready; None if it is ready or unknown."""
        index = bisect_right(self.states, now_s, key=lambda state: state[0]) - 1
        since_s = None
        while index >= 0 and self.states[index][1] != READY:
            since_s = self.states[index][0]
            index -= 1
        return since_s


class Timeline:
    """The knowledge of each process over time. A paused assigner learns nothing until it resumes.

    Args:
        config: The configuration of the deployment, for its zones and limits.
        records: All records, in order of delivery.
        peers: The process that dialled each connection.
        truth: The kills and pauses of assigners.
    """

    def __init__(
        self, config: Config, records: list[Record], peers: dict[int, Peer], truth: GroundTruth
    ) -> None:
        self.config = config
        self.truth = truth
        # Intervals of ownership, by assigner and slice.
        self.ownerships: dict[int, dict[int, list[Interval]]] = defaultdict(lambda: defaultdict(list))
        # Intervals of connection, by proxy and assigner.
        self.streams: dict[tuple[int, int], list[Interval]] = defaultdict(list)
        # What each assigner knew of each server, by assigner and server.
        self.endpoints: dict[int, dict[int, EndpointHistory]] = defaultdict(
            lambda: defaultdict(EndpointHistory)
        )
        # Times at which the assigner learned of a start, by assigner and server.
        self.known_starts: dict[tuple[int, int], list[float]] = defaultdict(list)
        self.zones: dict[int, int] = {}  # Zone numbers, by server.
        # Start times of ownerships that have not ended, by assigner and slice.
        self._open_ownerships: dict[tuple[int, int], float] = {}
        self._listed: dict[int, set[int]] = defaultdict(set)  # Listed servers, by assigner.
        # Start times, by assigner, server and incarnation.
        self._started_at_s: dict[tuple[int, int, int], float] = {}
        for record in records:
            peer = peers.get(record.connection_id)
            if peer is not None:
                self._add(record, peer)
        self._finish()

    def owner_at(self, slice_id: int, at_s: float) -> tuple[int, float] | None:
        """Return the assigner that owns a slice at a time, and since when; None if none does."""
        for assigner_id, by_slice in sorted(self.ownerships.items()):
            since_s = start_of_interval_at(by_slice.get(slice_id, []), at_s)
            if since_s is not None:
                return assigner_id, since_s
        return None

    def warm_server_intervals(self, assigner_id: int) -> list[Interval]:
        """Return the intervals in which an assigner's list has a ready server that has warmed up."""
        warm_within_s = self.config.rules.warm_within_s
        intervals: list[Interval] = []
        for history in self.endpoints[assigner_id].values():
            ends = [at_s for at_s, _, _ in history.states[1:]] + [FOREVER]
            for (at_s, status, started_at_s), end_s in zip(history.states, ends, strict=True):
                if status != READY:
                    continue
                is_starting = started_at_s > STARTED_LONG_AGO
                begin_s = max(at_s, started_at_s + warm_within_s) if is_starting else at_s
                if begin_s < end_s:
                    intervals.append((begin_s, end_s))
        return merge(intervals)

    def _observed_at(self, assigner_id: int, at_s: float) -> float:
        """Return when an assigner handles a message that was delivered at a time."""
        for begin_s, end_s in self.truth.pauses.get(assigner_id, []):
            if begin_s <= at_s <= end_s:
                return end_s
        return at_s

    def _next_kill_at(self, assigner_id: int, at_s: float) -> float:
        kills = self.truth.kills.get(assigner_id, [])
        return min((kill_s for kill_s in kills if kill_s >= at_s), default=FOREVER)

    def _add(self, record: Record, peer: Peer) -> None:
        message = record.message
        delivered_at_s = record.delivered_at_s
        if record.link_type == STORE_LINK:
            self._add_store_message(record, peer)
        elif delivered_at_s is None:
            return
        elif record.link_type == ORDER_LINK and isinstance(message, m.Hello):
            if peer.role == "proxy":
                self._add_stream(record.link_number, peer, delivered_at_s)
        elif record.link_type == LIST_LINK and isinstance(message, m.WatchEvent):
            self._add_watch_event(peer.id, self._observed_at(peer.id, delivered_at_s), message)

    def _add_store_message(self, record: Record, peer: Peer) -> None:
        message = record.message
        if isinstance(message, m.SliceOwnerships) and peer.role == "assigner":
            for ownership in message.ownerships:
                self._add_ownership(peer.id, record, ownership)
        elif isinstance(message, m.OwnershipRevoked) and record.delivered_at_s is not None:
            self._revoke(peer.id, message.slice_id, record.delivered_at_s)

    def _add_stream(self, assigner_id: int, proxy: Peer, connected_at_s: float) -> None:
        end_s = min(proxy.disconnected_at_s, self._next_kill_at(assigner_id, connected_at_s))
        self.streams[proxy.id, assigner_id].append((connected_at_s, end_s))

    def _add_ownership(self, assigner_id: int, record: Record, ownership: m.SliceOwnership) -> None:
        """Start an ownership when its owner handles the message, and end the former one.

        The former ownership ends when the store sends the message.
        """
        slice_id = ownership.slice_id
        for (owner_id, other_slice), since_s in list(self._open_ownerships.items()):
            if other_slice == slice_id:
                del self._open_ownerships[owner_id, other_slice]
                end_s = min(record.received_at_s, self._next_kill_at(owner_id, since_s))
                self.ownerships[owner_id][slice_id].append((since_s, end_s))
        if ownership.owner_id == assigner_id and record.delivered_at_s is not None:
            observed_at_s = self._observed_at(assigner_id, record.delivered_at_s)
            self._open_ownerships[assigner_id, slice_id] = observed_at_s

    def _revoke(self, assigner_id: int, slice_id: int, delivered_at_s: float) -> None:
        since_s = self._open_ownerships.pop((assigner_id, slice_id), None)
        if since_s is not None:
            end_s = self._observed_at(assigner_id, delivered_at_s)
            self.ownerships[assigner_id][slice_id].append((since_s, end_s))

    def _add_watch_event(self, assigner_id: int, at_s: float, event: m.WatchEvent) -> None:
        if event.update_type not in WATCH_EVENT_TYPES or event.update_type == "failed":
            return
        valid, invalid = split_valid_endpoints(event.servers, len(self.config.deployment.zones))
        listed = self._listed[assigner_id]
        for entry in valid.values():
            self._add_endpoint(assigner_id, at_s, entry)
            listed.add(entry.server_id)
        if event.update_type in ("full", "cached"):
            for server_id in listed - valid.keys() - invalid.keys():
                removal = (at_s, REMOVED, STARTED_LONG_AGO)
                self.endpoints[assigner_id][server_id].states.append(removal)
            self._listed[assigner_id] = {*valid, *(listed & invalid.keys())}

    def _add_endpoint(self, assigner_id: int, at_s: float, entry: m.EndpointEntry) -> None:
        self.zones[entry.server_id] = entry.zone
        key = (assigner_id, entry.server_id, entry.incarnation)
        if key not in self._started_at_s:
            is_recent = entry.age_s >= 0
            self._started_at_s[key] = at_s - entry.age_s if is_recent else STARTED_LONG_AGO
            if is_recent and entry.status == READY:
                self.known_starts[assigner_id, entry.server_id].append(at_s)
        state = (at_s, entry.status, self._started_at_s[key])
        self.endpoints[assigner_id][entry.server_id].states.append(state)

    def _finish(self) -> None:
        """Add the ownerships that no record ended, which last until the next kill, and sort all intervals."""
        for (assigner_id, slice_id), since_s in self._open_ownerships.items():
            interval = (since_s, self._next_kill_at(assigner_id, since_s))
            self.ownerships[assigner_id][slice_id].append(interval)
        for key, intervals in list(self.streams.items()):
            self.streams[key] = merge([(begin, end) for begin, end in intervals if begin < end])
        for by_slice in self.ownerships.values():
            for slice_id, intervals in by_slice.items():
                by_slice[slice_id] = sorted(intervals)

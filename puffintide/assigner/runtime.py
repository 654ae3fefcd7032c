"""Turns input into events of the decision module, and its actions into effects. No I/O and no clock of its own.

All events between two ticks form one batch; what the module answers becomes one update for each proxy. The
runtime itself decides nothing.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from puffintide.assigner.endpoint_directory import EndpointDirectory
from puffintide.decisions.actions import (
    Action,
    LogMessage,
    SendCheckpoint,
    SendHealthCheck,
    SetAdmission,
    SetTimer,
    SetWeight,
    SetWithdrawn,
    WatchEndpoints,
)
from puffintide.decisions.director import Director
from puffintide.decisions.events import (
    EndpointListUpdate,
    Event,
    ListUpdateType,
    OwnershipChanged,
    ProxyConnected,
    ProxyDisconnected,
    StoredWeight,
    TimerFired,
)
from puffintide.decisions.settings import Settings
from puffintide.protocol.messages import (
    AdmissionLevel,
    EndpointEntry,
    ProxyUpdate,
    SliceOwnership,
    WatchEvent,
    WeightEntry,
)

MAX_EARLY_EVENTS = 1_000_000  # Maximum number of events retained before the first endpoint list.
# Types of events that are retained before the first endpoint list.
EARLY_EVENT_TYPES = (OwnershipChanged, StoredWeight, ProxyConnected, ProxyDisconnected)


class DecisionModule(Protocol):
    """The interface of the decision module that the runtime uses."""

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        """Return the actions for a batch of events, given the current time in seconds."""

    def findings(self) -> tuple[float | None, dict[int, int]]:
        """Return the learned capacity, if any, and the level of each server that is still recovering."""


@dataclass(slots=True)
class Effects:
    """The effects of a tick, which the service carries out in this order.

    Attributes:
        weight_writes: Weights to write to the store.
        proxy_updates: Updates to send to the proxies, with the ids of the proxies.
        health_checks: Ids of the servers to check.
        watch_requests: Requests to start (True) or stop (False) watching the endpoint list.
        log_messages: Texts of the decision module to log.
        batch: Number of the batch.
        events: Events that were handed to the decision module.
        actions: Actions that the decision module returned.
        first_event_at_s: Time at which the first event of the batch was added, in seconds.
    """

    weight_writes: list[WeightEntry] = field(default_factory=list)
    proxy_updates: list[tuple[int, ProxyUpdate]] = field(default_factory=list)
    health_checks: list[int] = field(default_factory=list)
    watch_requests: list[bool] = field(default_factory=list)
    log_messages: list[str] = field(default_factory=list)
    batch: int = 0
    events: tuple[Event, ...] = ()
    actions: tuple[Action, ...] = ()
    first_event_at_s: float = 0.0


@dataclass(slots=True)
class _UpdateContent:
    """The content of a batch's update other than weights.

    Attributes:
        withdrawn: Whether each server was withdrawn (True) or readmitted (False), by server id.
        admission_levels: Admission levels that change.
        checkpoint_id: The checkpoint to acknowledge, if any.
    """

    withdrawn: dict[int, bool] = field(default_factory=dict)
    admission_levels: list[AdmissionLevel] = field(default_factory=list)
    checkpoint_id: int | None = None

    def withdrawn_servers(self) -> list[int]:
        """Return the ids of the servers that proxies may no longer use, in ascending order."""
        return [server for server, withdrawn in sorted(self.withdrawn.items()) if withdrawn]

    def readmitted_servers(self) -> list[int]:
        """Return the ids of the servers that proxies may use again, in ascending order."""
        return [server for server, withdrawn in sorted(self.withdrawn.items()) if not withdrawn]


class Runtime:
    """The state of one assigner process, which is lost when the process ends.

    Attributes:
        director: The decision module.
        directory: The endpoints as listed.
        batch: Number of the last batch.
        proxy_zones: The zone of each connected proxy, by proxy id.
        fencing_tokens: The current fencing token of each owned slice, by slice id.
        tenure_tokens: The first fencing token of the unbroken tenure of each slice, by slice id.
        has_endpoint_list: Whether a first endpoint list was received. Until then no events are handed to the
            decision module, as it would regard all servers as removed.
    """

    def __init__(
        self,
        settings: Settings,
        director_factory: Callable[[Settings], DecisionModule] = Director,
        batch: int = 0,
    ) -> None:
        self.settings = settings
        self.director = director_factory(settings)
        self.directory = EndpointDirectory(settings.zone_count)
        self.batch = batch
        self.proxy_zones: dict[int, int] = {}
        self.fencing_tokens: dict[int, int] = {}
        self.tenure_tokens: dict[int, int] = {}
        self.has_endpoint_list = False
        self._events: list[Event] = []
        self._first_event_at_s = 0.0
        self._timers: list[tuple[float, int, int]] = []  # Heap of due time, sequence number and timer id.
        self._timer_count = 0

    @property
    def endpoints(self) -> dict[int, EndpointEntry]:
        """Return the last valid entry of each listed server, by server id."""
        return self.directory.listed

    @property
    def server_addresses(self) -> dict[int, str]:
        """Return the addresses (HOST:PORT) of listed and recently removed servers, by server id."""
        return self.directory.addresses

    # Input ----------------------------------------------------------------------------------------

    def add_events(self, now: float, *events: Event) -> None:
        """Add events to the next batch."""
        if not self._events:
            self._first_event_at_s = now
        self._events.extend(events)

    def on_watch_event(self, now: float, event: WatchEvent) -> list[str]:
        """Apply a watch event of the endpoint list.

        Returns:
            Why entries were rejected; what was listed before of these servers stays.

        Raises:
            ValueError: The update type is unknown.
        """
        update_type = ListUpdateType(event.update_type)
        endpoints, problems = self.directory.update(now, event)
        update = EndpointListUpdate(update_type, event.version, tuple(endpoints))
        if not self.has_endpoint_list and update_type is not ListUpdateType.FAILED:
            self.has_endpoint_list = True
            self._events.insert(0, update)
        else:
            self.add_events(now, update)
        return problems

    def on_ownership_granted(self, now: float, ownership: SliceOwnership) -> bool:
        """Take over a slice with its stored table.

        Returns:
            Whether the tenure is unbroken. In that case the slice was owned continuously, whatever writes the
            store missed, and the decision module continues with the table that it knows.
        """
        slice_id = ownership.slice_id
        continues = (
            slice_id in self.fencing_tokens
            and ownership.tenure_token != 0
            and self.tenure_tokens.get(slice_id) == ownership.tenure_token
        )
        self.fencing_tokens[slice_id] = ownership.fencing_token
        self.tenure_tokens[slice_id] = ownership.tenure_token
        if continues:
            return True
        self.directory.add_addresses(ownership.entries)
        stored = [StoredWeight(slice_id, entry.server_id, entry.weight) for entry in ownership.entries]
        self.add_events(now, OwnershipChanged(slice_id, True), *stored)
        return False

    def on_ownership_revoked(self, now: float, slice_id: int) -> None:
        """Give up a slice; do nothing if it was not owned."""
        if self.fencing_tokens.pop(slice_id, None) is not None:
            self.add_events(now, OwnershipChanged(slice_id, False))

    def on_proxy_connected(
        self, now: float, proxy_id: int, zone: int, request_rate: float, first_connection: bool
    ) -> None:
        """Add a proxy that connected.

        Args:
            now: The current time, in seconds.
            proxy_id: The id of the proxy.
            zone: The zone of the proxy.
            request_rate: The rate of requests at the proxy, in requests per second.
            first_connection: Whether this is the first connection since the proxy was started.
        """
        self.proxy_zones[proxy_id] = zone
        self.add_events(now, ProxyConnected(proxy_id, zone, request_rate, first_connection))

    def on_proxy_disconnected(self, now: float, proxy_id: int) -> None:
        """Remove a proxy that disconnected; do nothing if it is not connected."""
        if self.proxy_zones.pop(proxy_id, None) is not None:
            self.add_events(now, ProxyDisconnected(proxy_id))

    # Ticks ----------------------------------------------------------------------------------------

    def next_timer_at(self) -> float | None:
        """Return when the next timer is due, in seconds of the caller's clock, or None without timers."""
        return self._timers[0][0] if self._timers else None

    def restart_rounds(self, now: float) -> None:
        """Restart the module's rounds after a failed round in which its timer was not set.

        If a timer is set, the decision module itself did not fail, and a second timer would permanently
        double its rounds.
        """
        if self.next_timer_at() is None:
            self.add_events(now, TimerFired(0))

    def has_pending_events(self) -> bool:
        """Return whether the next tick hands pending events to the decision module."""
        return self.has_endpoint_list and bool(self._events)

    def pending_server_ids(self) -> set[int]:
        """Return the ids of the servers in stored weights that the decision module has not received yet."""
        return {event.server_id for event in self._events if isinstance(event, StoredWeight)}

    def tick(self, now: float) -> Effects | None:
        """Hand pending events and due timers to the decision module.

        Returns:
            The effects of its actions, or None if there was nothing to hand over or no endpoint list yet.
        """
        while self._timers and self._timers[0][0] <= now:
            _, _, timer_id = heapq.heappop(self._timers)
            self.add_events(now, TimerFired(timer_id))
        if not self.has_endpoint_list:
            early: list[Event] = [event for event in self._events if isinstance(event, EARLY_EVENT_TYPES)]
            self._events = early[-MAX_EARLY_EVENTS:]
            return None
        if not self._events:
            return None
        events = tuple(self._events)
        self._events = []
        actions = tuple(self.director.handle(now, events))
        self.batch += 1
        effects = Effects(
            batch=self.batch, events=events, actions=actions, first_event_at_s=self._first_event_at_s
        )
        self._apply_actions(now, actions, effects)
        return effects

    def _apply_actions(self, now: float, actions: tuple[Action, ...], effects: Effects) -> None:
        """Add the effects of all actions, with one update for each connected proxy if anything changes."""
        content = _UpdateContent()
        for action in actions:
            self._apply_action(now, action, effects, content)
        update = self._proxy_update(now, effects.weight_writes, content)
        if update is not None:
            effects.proxy_updates = [(proxy_id, update) for proxy_id in sorted(self.proxy_zones)]

    def _apply_action(self, now: float, action: Action, effects: Effects, content: _UpdateContent) -> None:
        """Add the effect of an action; weights of slices that are not owned are dropped."""
        match action:
            case SetTimer(delay_s, timer_id):
                self._timer_count += 1
                heapq.heappush(self._timers, (now + delay_s, self._timer_count, timer_id))
            case SendHealthCheck(server_id):
                effects.health_checks.append(server_id)
            case WatchEndpoints(enabled):
                effects.watch_requests.append(enabled)
            case LogMessage(text):
                effects.log_messages.append(text)
            case SendCheckpoint(checkpoint_id):
                content.checkpoint_id = checkpoint_id
            case SetWeight(slice_id, server_id, weight) if slice_id in self.fencing_tokens:
                effects.weight_writes.append(self._weight_entry(slice_id, server_id, weight))
            case SetWithdrawn(server_id, withdrawn):
                content.withdrawn[server_id] = withdrawn
            case SetAdmission(slice_id, class_mask, fraction, retry_mode):
                content.admission_levels.append(AdmissionLevel(slice_id, class_mask, fraction, retry_mode))

    def _proxy_update(
        self, now: float, weights: list[WeightEntry], content: _UpdateContent
    ) -> ProxyUpdate | None:
        """Return the batch's update, or None if it would change nothing; a checkpoint alone is not sent."""
        entry_count = len(weights) + len(content.withdrawn) + len(content.admission_levels)
        if not entry_count:
            return None
        has_checkpoint = content.checkpoint_id is not None
        return ProxyUpdate(
            self.batch,
            now,
            entry_count + has_checkpoint + self.settings.channel_header_entries,
            weights,
            withdrawn_servers=content.withdrawn_servers(),
            readmitted_servers=content.readmitted_servers(),
            admission_levels=content.admission_levels,
            checkpoint_id=content.checkpoint_id,
        )

    def _weight_entry(self, slice_id: int, server_id: int, weight: float) -> WeightEntry:
        """Return a weight entry with the address and zone of its server and the token of its slice."""
        address = self.directory.addresses.get(server_id, "")
        zone = self.directory.zones.get(server_id, -1)
        return WeightEntry(slice_id, server_id, weight, self.fencing_tokens[slice_id], address, zone)

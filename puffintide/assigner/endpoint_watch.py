"""Follows the endpoint list of its source, and begins with the cached one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from puffintide.assigner.endpoint_list import EndpointList
from puffintide.assigner.runtime import Runtime
from puffintide.decisions.events import ListUpdateType
from puffintide.protocol import messages as m
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import Stream
from puffintide.protocol.validation import WATCH_EVENT_TYPES

MAX_LOGGED_REASONS = 5  # of one watch event
MAX_TEXT_SHOWN = 20  # characters of an update type that is not known


class EndpointWatch:
    """The stream to the source of the endpoint list.

    Attributes:
        stream: None while the source is not connected.
        endpoint_list: The list as last received.
    """

    def __init__(
        self,
        runtime: Runtime,
        endpoint_list: EndpointList,
        log: Any,
        on_events: Callable[[], None],
    ) -> None:
        """Create the watch; the caller connects it (on_message, on_lost).

        Args:
            runtime: Receives watch events.
            endpoint_list: Retains the list.
            log: Structured logger.
            on_events: Called after each watch event.
        """
        self.runtime = runtime
        self.endpoint_list = endpoint_list
        self.log = log
        self.on_events = on_events
        self.stream: Stream | None = None

    def load_cache(self, now: float) -> None:
        """Begin with the cached list, if there is one."""
        event = self.endpoint_list.load()
        if event is not None:
            self.runtime.on_watch_event(now, event)
            self.log.info(
                "endpoint_list", type=event.update_type, version=event.version, entries=len(event.servers)
            )

    def request(self, now: float, watch_requests: list[bool]) -> None:
        """Follow the list or stop to; without a connection the decision module is notified that it failed."""
        if self.stream is not None:
            for enabled in watch_requests:
                self.stream.send(m.WatchRequest(enabled, self.endpoint_list.version))
        elif watch_requests:
            self._notify_failed(now)

    def on_message(self, now: float, stream: Stream, message: AnyMessage) -> None:
        """Handle a message of the source, its greeting first."""
        match message:
            case m.Welcome():
                self._on_connected(stream)
            case m.WatchEvent() if message.update_type not in WATCH_EVENT_TYPES:
                known_types = ", ".join(WATCH_EVENT_TYPES)
                update_type = message.update_type[:MAX_TEXT_SHOWN]
                stream.reject(f"watch event of type {update_type!r}; there are {known_types}")
            case m.WatchEvent():
                self._on_watch_event(now, message)

    def on_lost(self, now: float, reason: str) -> None:
        """Note that the stream was lost, or a connection failed."""
        if self.stream is not None:
            self.log.warning("endpoint_list_disconnected", reason=reason)
            if self.runtime.settings.watch_on_request:
                self._notify_failed(now)
        self.stream = None

    def _on_connected(self, stream: Stream) -> None:
        self.stream = stream
        self.log.info("endpoint_list_connected")
        if not self.runtime.settings.watch_on_request:
            stream.send(m.WatchRequest(True, self.endpoint_list.version))
        elif not self.runtime.has_endpoint_list:  # the decision module is promised a list at its start
            stream.send(m.SnapshotRequest())

    def _on_watch_event(self, now: float, event: m.WatchEvent) -> None:
        for reason in self.runtime.on_watch_event(now, event)[:MAX_LOGGED_REASONS]:
            self.log.warning("endpoint_rejected", reason=reason)
        if event.update_type != ListUpdateType.FAILED:
            self.endpoint_list.on_watch_event(event)
        statuses = {entry.server_id: entry.status for entry in event.servers}
        self.log.info("endpoint_list", type=event.update_type, version=event.version, statuses=statuses)
        self.on_events()

    def _notify_failed(self, now: float) -> None:
        event = m.WatchEvent(ListUpdateType.FAILED, self.endpoint_list.version)
        self.runtime.on_watch_event(now, event)

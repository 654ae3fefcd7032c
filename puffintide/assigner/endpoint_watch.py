"""Watches the endpoint list at its source, starting with the cached list."""

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

MAX_LOGGED_REASONS = 5  # Maximum number of rejected entries of one watch event in the log.
MAX_UPDATE_TYPE_CHARS = 20  # Maximum length of an unknown update type in a rejection, in characters.


class EndpointWatch:
    """The stream to the source of the endpoint list.

    Attributes:
        stream: The stream to the source; None while it is not connected.
        endpoint_list: The endpoint list as last received.
    """

    def __init__(
        self,
        runtime: Runtime,
        endpoint_list: EndpointList,
        log: Any,
        on_events: Callable[[], None],
    ) -> None:
        """Create the watch; the caller opens the stream and forwards its events to on_message and on_lost.

        Args:
            runtime: The runtime that receives the watch events.
            endpoint_list: The endpoint list that applies and saves the watch events.
            log: The structured logger.
            on_events: Called after each watch event.
        """
        self.runtime = runtime
        self.endpoint_list = endpoint_list
        self.log = log
        self.on_events = on_events
        self.stream: Stream | None = None

    def load_cache(self, now: float) -> None:
        """Pass the cached list to the runtime, if there is a usable one."""
        event = self.endpoint_list.load()
        if event is not None:
            self.runtime.on_watch_event(now, event)
            self.log.info(
                "endpoint_list", type=event.update_type, version=event.version, entries=len(event.servers)
            )

    def send_watch_requests(self, now: float, watch_requests: list[bool]) -> None:
        """Send requests to start (True) or stop (False) watching the list.

        While the source is not connected, the decision module is notified that the watch failed.
        """
        if self.stream is not None:
            for enabled in watch_requests:
                self.stream.send(m.WatchRequest(enabled, self.endpoint_list.version))
        elif watch_requests:
            self._notify_failed(now)

    def on_message(self, now: float, stream: Stream, message: AnyMessage) -> None:
        """Handle a message from the source, the first of which is its Welcome."""
        match message:
            case m.Welcome():
                self._on_connected(stream)
            case m.WatchEvent() if message.update_type not in WATCH_EVENT_TYPES:
                known_types = ", ".join(WATCH_EVENT_TYPES)
                update_type = message.update_type[:MAX_UPDATE_TYPE_CHARS]
                stream.reject(f"watch event of unknown type {update_type!r}; known types are {known_types}")
            case m.WatchEvent():
                self._on_watch_event(now, message)

    def on_lost(self, now: float, reason: str) -> None:
        """Handle the loss of the stream or a failed connection attempt."""
        if self.stream is not None:
            self.log.warning("endpoint_list_disconnected", reason=reason)
            if self.runtime.settings.watch_on_request:
                self._notify_failed(now)
        self.stream = None

    def _on_connected(self, stream: Stream) -> None:
        """Start watching the list.

        If the decision module starts the watch itself, only a first list is requested, unless there is one.
        """
        self.stream = stream
        self.log.info("endpoint_list_connected")
        if not self.runtime.settings.watch_on_request:
            stream.send(m.WatchRequest(True, self.endpoint_list.version))
        elif not self.runtime.has_endpoint_list:
            # The decision module relies on receiving a list when it starts, before it requests a watch.
            stream.send(m.SnapshotRequest())

    def _on_watch_event(self, now: float, event: m.WatchEvent) -> None:
        """Pass a watch event to the runtime and the endpoint list, and log rejected entries."""
        for reason in self.runtime.on_watch_event(now, event)[:MAX_LOGGED_REASONS]:
            self.log.warning("endpoint_rejected", reason=reason)
        if event.update_type != ListUpdateType.FAILED:
            self.endpoint_list.on_watch_event(event)
        statuses = {entry.server_id: entry.status for entry in event.servers}
        self.log.info("endpoint_list", type=event.update_type, version=event.version, statuses=statuses)
        self.on_events()

    def _notify_failed(self, now: float) -> None:
        """Notify the decision module that the watch failed."""
        event = m.WatchEvent(ListUpdateType.FAILED, self.endpoint_list.version)
        self.runtime.on_watch_event(now, event)

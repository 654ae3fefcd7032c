"""Watches discovery's endpoint list, and passes accepted lists to the runtime."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from puffintide.decisions.events import EndpointStatus, ListUpdateType
from puffintide.platform.config import Address
from puffintide.platform.context import Context
from puffintide.platform.discovery_messages import EndpointListMessage, decode_endpoint_list
from puffintide.platform.endpoint_list import STALE_LIST_GRACE_S, ListVersionTracker
from puffintide.platform.errors import InvalidMessageError, MalformedMessageError, StreamError
from puffintide.platform.watch_stream import Watch
from puffintide.protocol.messages import WatchEvent

# Silence in seconds after which the stream is reopened; discovery writes at least every 2 s.
SILENCE_TIMEOUT_S = 3.5
MAX_LOGGED_ERRORS = 5  # Maximum number of errors logged for one list.


class EndpointWatch:
    """Watches the endpoint list of discovery."""

    def __init__(
        self,
        context: Context,
        address: Address,
        on_list: Callable[[], None],
        wall_clock: Callable[[], float],
    ) -> None:
        """Prepare the watch.

        Args:
            context: The shared objects of the assigner.
            address: The address of discovery.
            on_list: Callback that is called after the runtime has received a list.
            wall_clock: Function that returns the Unix time in seconds.
        """
        self.context = context
        self.log = context.log
        self.versions = ListVersionTracker()
        self.watch = Watch(context.reactor, address, self, SILENCE_TIMEOUT_S)
        self._on_list = on_list
        self._wall_clock = wall_clock

    def start(self, configured_list: dict[str, Any] | None) -> None:
        """Apply the list from the configuration, if there is one, and open the watch."""
        if configured_list is not None:
            self._apply_configured_list(configured_list)
        self.watch.start()

    def change_address(self, address: Address) -> None:
        """Move the watch to another address of discovery."""
        self.watch.change_address(address)

    def stop(self) -> None:
        """Close the watch."""
        self.watch.stop()

    def watch_target(self) -> str:
        """Return the request target for all changes since the version in use."""
        return f"/catalog/members?follow=1&since={self.versions.version}"

    def on_watch_opened(self) -> None:
        """Log that a stream was opened."""
        self.log("endpoint_watch_opened", since=self.versions.version)

    def on_watch_lost(self, reason: str) -> None:
        """Log why the stream ended."""
        self.log("endpoint_watch_lost", reason=reason)

    def on_watch_line(self, line: bytes) -> None:
        """Decode and apply an endpoint list; ignore an empty line, which is a heartbeat.

        Raises:
            StreamError: The line is not an endpoint list. The changes in it are requested again, from the
                version in use.
        """
        if not line.strip():
            return
        try:
            message = self._decode(line)
        except (InvalidMessageError, MalformedMessageError) as error:
            self.log("endpoint_list_rejected", reason=str(error))
            raise StreamError(f"cannot decode endpoint list: {error}") from error
        self._handle(message)

    def _apply_configured_list(self, configured_list: dict[str, Any]) -> None:
        try:
            message = self._decode(json.dumps(configured_list).encode())
        except (InvalidMessageError, MalformedMessageError) as error:
            self.log("endpoint_list_rejected", reason=str(error))
            return
        self._handle(message, from_config=True)

    def _decode(self, text: bytes) -> EndpointListMessage:
        return decode_endpoint_list(text, self.context.names, self.context.hosts, self._wall_clock() * 1000)

    def _handle(self, message: EndpointListMessage, from_config: bool = False) -> None:
        stale_since_s = self.versions.stale_since_s
        update_type = self.versions.accept(self.context.rounds.now_s(), message, from_config)
        if update_type is not None:
            self._apply(update_type, message)
        elif stale_since_s != self.versions.stale_since_s:
            self.log("endpoint_list_stale", version=message.version, current=self.versions.version)
            self.context.reactor.callLater(STALE_LIST_GRACE_S, self._reopen_if_stale)

    def _apply(self, update_type: ListUpdateType, message: EndpointListMessage) -> None:
        event = WatchEvent(update_type, message.version, message.entries)
        errors = [*message.errors, *self.context.runtime.on_watch_event(self.context.rounds.now_s(), event)]
        for error in errors[:MAX_LOGGED_ERRORS]:
            self.log("endpoint_rejected", reason=error)
        self._on_list()
        statuses = {
            self.context.hosts.host(entry.server_id): entry.status
            for entry in message.entries
            if entry.status != EndpointStatus.READY
        }
        self.log(
            "endpoint_list",
            type=update_type,
            version=message.version,
            entries=len(message.entries),
            statuses=statuses,
        )
        self.context.rounds.schedule()

    def _reopen_if_stale(self) -> None:
        """Request another snapshot if the agent has not caught up."""
        if self.versions.stale_since_s is not None:
            self.watch.reopen(f"only endpoint lists older than version {self.versions.version} were received")

"""Follows discovery's endpoint list, and passes accepted lists on to the runtime."""

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

SILENCE_TIMEOUT_S = 3.5  # discovery writes at least every 2 s
MAX_LOGGED_ERRORS = 5  # of one list


class EndpointWatch:
    """The watch of the endpoint list."""

    def __init__(
        self,
        context: Context,
        address: Address,
        on_list: Callable[[], None],
        wall_clock: Callable[[], float],
    ) -> None:
        """Prepare the watch.

        Args:
            context: Shared objects of the assigner.
            address: Discovery's address.
            on_list: Called after the runtime has received a list.
            wall_clock: Unix time in seconds.
        """
        self.context = context
        self.log = context.log
        self.versions = ListVersionTracker()
        self.watch = Watch(context.reactor, address, self, SILENCE_TIMEOUT_S)
        self._on_list = on_list
        self._wall_clock = wall_clock

    def start(self, known: dict[str, Any] | None) -> None:
        """Start with the last list from the configuration, if there is one, and open the watch."""
        if known is not None:
            self._use_known(known)
        self.watch.start()

    def move(self, address: Address) -> None:
        """Use another address."""
        self.watch.move(address)

    def stop(self) -> None:
        """Close the watch."""
        self.watch.stop()

    def watch_target(self) -> str:
        """Return the request for all changes since the version in use."""
        return f"/catalog/members?follow=1&since={self.versions.version}"

    def on_watch_opened(self) -> None:
        """Log the new stream."""
        self.log("endpoint_watch_opened", since=self.versions.version)

    def on_watch_lost(self, reason: str) -> None:
        """Log the end of the stream."""
        self.log("endpoint_watch_lost", reason=reason)

    def on_watch_line(self, line: bytes) -> None:
        """Handle a list; an empty line is a heartbeat.

        Raises:
            StreamError: The line is no list: the changes in it are requested again, from the version in use.
        """
        if not line.strip():
            return
        try:
            message = self._decode(line)
        except (InvalidMessageError, MalformedMessageError) as error:
            self.log("endpoint_list_rejected", reason=str(error))
            raise StreamError("malformed endpoint list") from error
        self._handle(message)

    def _use_known(self, known: dict[str, Any]) -> None:
        try:
            message = self._decode(json.dumps(known).encode())
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
            self._pass_on(update_type, message)
        elif stale_since_s != self.versions.stale_since_s:
            self.log("endpoint_list_stale", version=message.version, current=self.versions.version)
            self.context.reactor.callLater(STALE_LIST_GRACE_S, self._reopen_if_stale)

    def _pass_on(self, update_type: ListUpdateType, message: EndpointListMessage) -> None:
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
        """Request a snapshot once more from an agent that has not caught up."""
        if self.versions.stale_since_s is not None:
            self.watch.reopen("stale")

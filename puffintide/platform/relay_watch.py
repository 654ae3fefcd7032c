"""Follows the relay's state by a watch, and decides when what it has received is passed on."""

from __future__ import annotations

from collections.abc import Callable

from puffintide.platform.config import Address
from puffintide.platform.errors import InvalidMessageError, MalformedMessageError, StreamError
from puffintide.platform.log import Log
from puffintide.platform.reactor import Reactor, Timer
from puffintide.platform.relay_messages import WATCH_TARGET, Heartbeat, decode_relay_message
from puffintide.platform.relay_state import RelayChanges, RelayState
from puffintide.platform.watch_stream import Watch

SNAPSHOT_PAUSE_S = 0.15  # after so long without a line, what was received of a snapshot is passed on
TABLE_PAUSE_S = 0.03  # and the table of a slice just granted
SILENCE_TIMEOUT_S = 3.0  # the relay writes every second


class RelayWatch:
    """The watch of the relay's state."""

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        on_changes: Callable[[RelayChanges], None],
        on_first_flush: Callable[[], None],
        log: Log,
    ) -> None:
        """Prepare the watch.

        Args:
            reactor: The reactor of its connections.
            address: The relay's address.
            on_changes: Called with each change of the state; it may be empty.
            on_first_flush: Called once, before the initial state is passed on for the first time.
            log: Log of the assigner.
        """
        self.log = log
        self.state = RelayState()
        self.watch = Watch(reactor, address, self, SILENCE_TIMEOUT_S)
        self.flushed = False
        self._on_changes = on_changes
        self._on_first_flush = on_first_flush
        self._pause = Timer(reactor)

    def stop(self) -> None:
        """Close the watch."""
        self._pause.cancel()
        self.watch.stop()

    def watch_target(self) -> str:
        """Return the request target of the relay's watch."""
        return WATCH_TARGET

    def on_watch_opened(self) -> None:
        """Expect a snapshot."""
        self.log("relay_watch_opened")
        self.state.on_watch_opened()
        self._pause.start(SNAPSHOT_PAUSE_S, self._flush)

    def on_watch_lost(self, reason: str) -> None:
        """Keep what is known until the next watch."""
        self.log("relay_watch_lost", reason=reason)
        self._pause.cancel()

    def on_watch_line(self, line: bytes) -> None:
        """Handle a message.

        Raises:
            StreamError: The line is no message: its content is in the snapshot of a new watch.
        """
        try:
            message = decode_relay_message(line)
        except (InvalidMessageError, MalformedMessageError) as error:
            self.log("relay_message_rejected", reason=str(error))
            raise StreamError("malformed relay message") from error
        if isinstance(message, Heartbeat):
            self._flush(at_heartbeat=True)
            return
        self._on_changes(self.state.on_message(message))
        if self.state.has_unflushed:
            pause_s = SNAPSHOT_PAUSE_S if self.state.in_snapshot else TABLE_PAUSE_S
            self._pause.start(pause_s, self._flush)

    def _flush(self, at_heartbeat: bool = False) -> None:
        self._pause.cancel()
        changes = self.state.flush(at_heartbeat)
        if not self.flushed:
            self.flushed = True
            self._on_first_flush()
        self._on_changes(changes)

"""Watches the relay's state and decides when received changes are passed on."""

from __future__ import annotations

from collections.abc import Callable

from puffintide.platform.config import Address
from puffintide.platform.errors import InvalidMessageError, MalformedMessageError, StreamError
from puffintide.platform.log import Log
from puffintide.platform.reactor import Reactor, Timer
from puffintide.platform.relay_messages import WATCH_TARGET, Heartbeat, SliceGranted, decode_relay_message
from puffintide.platform.relay_state import RelayChanges, RelayState
from puffintide.platform.watch_stream import Watch

SNAPSHOT_IDLE_S = 0.15  # A partial snapshot is passed on after this time without a line, in seconds.
TABLE_IDLE_S = 0.03  # A newly granted table is passed on after this time without a line, in seconds.
SILENCE_TIMEOUT_S = 3.0  # A watch without data for this time is reopened. The relay writes every second.


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
            reactor: The reactor that runs the connections and timers.
            address: The relay's address.
            on_changes: Called with the changes of the state, which may be empty.
            on_first_flush: Called once, before the initial state is passed to on_changes.
            log: The log of the assigner.
        """
        self.log = log
        self.state = RelayState()
        self.watch = Watch(reactor, address, self, SILENCE_TIMEOUT_S)
        self.flushed = False
        self.granted_at_s: dict[int, float] = {}  # Times at which slices were last granted, by slice id.
        self._on_changes = on_changes
        self._on_first_flush = on_first_flush
        self._clock = reactor
        self._idle_timer = Timer(reactor)

    def stop(self) -> None:
        """Close the watch."""
        self._idle_timer.cancel()
        self.watch.stop()

    def watch_target(self) -> str:
        """Return the request target of the relay's watch."""
        return WATCH_TARGET

    def on_watch_opened(self) -> None:
        """Prepare for the snapshot of the new watch."""
        self.log("relay_watch_opened")
        self.state.on_watch_opened()
        self._idle_timer.start(SNAPSHOT_IDLE_S, self._flush)

    def on_watch_lost(self, reason: str) -> None:
        """Log the loss of the watch, and keep the known state until the next watch."""
        self.log("relay_watch_lost", reason=reason)
        self._idle_timer.cancel()

    def on_watch_line(self, line: bytes) -> None:
        """Decode a message and apply it to the state.

        Raises:
            StreamError: The line is not a valid message. The watch must be reopened, as the snapshot of a new
                watch contains the lost information.
        """
        try:
            message = decode_relay_message(line)
        except (InvalidMessageError, MalformedMessageError) as error:
            self.log("relay_message_rejected", reason=str(error))
            raise StreamError(f"cannot decode relay message: {error}") from error
        if isinstance(message, Heartbeat):
            self._flush(at_heartbeat=True)
            return
        if isinstance(message, SliceGranted) and message.granted:
            self.granted_at_s[message.slice_id] = self._clock.seconds()
        self._on_changes(self.state.on_message(message))
        if self.state.has_unflushed:
            idle_s = SNAPSHOT_IDLE_S if self.state.in_snapshot else TABLE_IDLE_S
            self._idle_timer.start(idle_s, self._flush)

    def _flush(self, at_heartbeat: bool = False) -> None:
        self._idle_timer.cancel()
        changes = self.state.flush(at_heartbeat)
        if not self.flushed:
            self.flushed = True
            self._on_first_flush()
        self._on_changes(changes)

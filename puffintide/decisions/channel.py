"""Flow control of the channel to the proxies: counts outstanding entries and limits what is sent.

Each entry is sent to every proxy, and each message has a header for every proxy, counted in entries. A
message ends with a checkpoint. It is outstanding until every proxy has acknowledged the checkpoint or the
message is considered lost.
"""

from __future__ import annotations

from dataclasses import dataclass

from puffintide.decisions import parameters
from puffintide.decisions.actions import SendCheckpoint
from puffintide.decisions.events import CheckpointAcknowledged
from puffintide.decisions.state import FleetState

CHECKPOINT_ID_COUNT = 65536
MS_PER_S = 1000
WINDOW_MARGIN_S = 1.0  # Added to the message window, in seconds, because messages may be delayed.


@dataclass(slots=True)
class _SentMessage:
    sent_at_s: float
    entries_per_proxy: float  # Includes the header.
    pending_proxies: set[int]  # Proxies that have not acknowledged the checkpoint.


@dataclass(frozen=True, slots=True)
class ChannelBudget:
    """Numbers of entries that one message may hold, summed over proxies, by kind of change."""

    withdrawals: float
    urgent: float
    ordinary: float


class Channel:
    """Tracks messages that were sent to the proxies and are not yet applied by all of them."""

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self._unacknowledged_messages: dict[int, _SentMessage] = {}  # Keyed by checkpoint id.
        self._send_times_s: list[float] = []  # Send times of the messages in the window.
        self.outstanding_entries = 0.0  # Entries sent and not yet acknowledged, summed over proxies.

    @property
    def proxy_count(self) -> int:
        """Return the number of connected proxies, at least 1."""
        return max(1, len(self._fleet.proxies))

    def on_acknowledged(self, event: CheckpointAcknowledged) -> None:
        """Record that a proxy has applied everything sent before a checkpoint."""
        message = self._unacknowledged_messages.get(event.checkpoint_id)
        if message is not None:
            message.pending_proxies.discard(event.proxy_id)

    def lost_after_s(self) -> float:
        """Return the time in seconds after which a message that is not acknowledged counts as lost."""
        settings = self._fleet.settings
        lowest_speed = parameters.LOST_MESSAGE_SPEED_FRACTION * settings.channel_entries_per_s
        return settings.channel_capacity_entries / lowest_speed

    def expire_messages(self) -> None:
        """Drop acknowledged and lost messages, and recount outstanding entries of connected proxies."""
        now_s, settings = self._fleet.now_s, self._fleet.settings
        lost_after_s = self.lost_after_s()
        self._unacknowledged_messages = {
            checkpoint_id: message
            for checkpoint_id, message in self._unacknowledged_messages.items()
            if message.pending_proxies and now_s - message.sent_at_s < lost_after_s
        }
        self.outstanding_entries = sum(
            message.entries_per_proxy * len(message.pending_proxies & self._fleet.proxies)
            for message in self._unacknowledged_messages.values()
        )
        window_start_s = now_s - settings.message_window_s - WINDOW_MARGIN_S
        self._send_times_s = [sent_at_s for sent_at_s in self._send_times_s if sent_at_s > window_start_s]

    def is_message_limit_reached(self) -> bool:
        """Return whether the message limit of the window forbids another message.

        Urgent changes may use more messages than ordinary ones.
        """
        max_messages = self._fleet.settings.max_messages_per_window
        if not max_messages:
            return False
        reserved = (
            parameters.RESERVED_MESSAGES_URGENT
            if self._fleet.urgent_change_pending
            else parameters.RESERVED_MESSAGES_ORDINARY
        )
        return len(self._send_times_s) >= max_messages - reserved

    def budget(self) -> ChannelBudget:
        """Return how many entries may be sent now, for each kind of change."""
        settings = self._fleet.settings
        capacity = settings.channel_capacity_entries
        header = settings.channel_header_entries
        usable_entries = parameters.MAX_CHANNEL_FRACTION * capacity
        withdrawals = usable_entries - self.outstanding_entries - header * self.proxy_count
        reserved = min(
            (header + parameters.RESERVED_ENTRIES_PER_PROXY) * self.proxy_count,
            capacity / parameters.RESERVED_CHANNEL_DIVISOR,
        )
        urgent = withdrawals - reserved
        urgent_headroom = (parameters.MAX_CHANNEL_FRACTION - parameters.ORDINARY_CHANNEL_FRACTION) * capacity
        return ChannelBudget(withdrawals, urgent, min(urgent, withdrawals - urgent_headroom))

    def record_message(self, entry_count: int) -> SendCheckpoint:
        """Record a message that is sent now, and return the checkpoint that ends it.

        Args:
            entry_count: The number of entries that each proxy receives, without the checkpoint.
        """
        now_s = self._fleet.now_s
        checkpoint = SendCheckpoint(int(now_s * MS_PER_S) % CHECKPOINT_ID_COUNT)
        entries = entry_count + 1 + self._fleet.settings.channel_header_entries
        self._unacknowledged_messages[checkpoint.checkpoint_id] = _SentMessage(
            now_s, entries, set(self._fleet.proxies)
        )
        self._send_times_s.append(now_s)
        return checkpoint

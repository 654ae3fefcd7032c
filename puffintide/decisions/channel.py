"""The channel to the proxies: how many entries are on their way, and how many may be sent now.

Each entry is sent to every proxy, and each message has a header for every proxy, counted in entries. A message ends
with a checkpoint, and counts as waiting until every proxy has acknowledged that, or until it must be lost.
"""

from __future__ import annotations

from dataclasses import dataclass

from puffintide.decisions import parameters
from puffintide.decisions.actions import SendCheckpoint
from puffintide.decisions.events import CheckpointAcknowledged
from puffintide.decisions.state import FleetState

CHECKPOINT_ID_COUNT = 65536
MS_PER_S = 1000
WINDOW_MARGIN_S = 1.0  # added to the message window, as a message may be delayed


@dataclass(slots=True)
class _SentMessage:
    sent_at_s: float
    entries_per_proxy: float  # its header included
    unacknowledged: set[int]  # proxies


@dataclass(frozen=True, slots=True)
class ChannelBudget:
    """Entries that may be sent in one message, summed over proxies."""

    withdrawals: float  # that withdrawals may use
    urgent: float  # that urgent changes may use
    ordinary: float  # that ordinary changes may use


class Channel:
    """Counts what was sent to the proxies and not yet applied by them."""

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self._unacknowledged: dict[int, _SentMessage] = {}  # by checkpoint
        self._send_times_s: list[float] = []  # of the messages in the window
        self.waiting_entries = 0.0  # in the channel or on their way, summed over proxies

    @property
    def proxy_count(self) -> int:
        """The number of connected proxies, at least 1."""
        return max(1, len(self._fleet.proxies))

    def on_acknowledged(self, event: CheckpointAcknowledged) -> None:
        """Take in that a proxy has applied what was sent before a checkpoint."""
        message = self._unacknowledged.get(event.checkpoint_id)
        if message is not None:
            message.unacknowledged.discard(event.proxy_id)

    def expire_messages(self) -> None:
        """Count anew what is waiting, without lost messages and disconnected proxies."""
        now_s, settings = self._fleet.now_s, self._fleet.settings
        lowest_speed = parameters.LOST_MESSAGE_SPEED_FRACTION * settings.channel_entries_per_s
        lost_after_s = settings.channel_capacity_entries / lowest_speed
        self._unacknowledged = {
            checkpoint_id: message
            for checkpoint_id, message in self._unacknowledged.items()
            if message.unacknowledged and now_s - message.sent_at_s < lost_after_s
        }
        self.waiting_entries = sum(
            message.entries_per_proxy * len(message.unacknowledged & self._fleet.proxies)
            for message in self._unacknowledged.values()
        )
        window_start_s = now_s - settings.message_window_s - WINDOW_MARGIN_S
        self._send_times_s = [sent_at_s for sent_at_s in self._send_times_s if sent_at_s > window_start_s]

    def is_message_limit_reached(self) -> bool:
        """Whether the messages of the window leave no other one, now that something is urgent or not."""
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
        """Return how many entries may be sent now."""
        settings = self._fleet.settings
        capacity = settings.channel_capacity_entries
        header = settings.channel_header_entries
        usable = parameters.MAX_CHANNEL_FRACTION * capacity
        withdrawals = usable - self.waiting_entries - header * self.proxy_count
        reserved = min(
            (header + parameters.RESERVED_ENTRIES_PER_PROXY) * self.proxy_count,
            capacity / parameters.RESERVED_CHANNEL_DIVISOR,
        )
        urgent = withdrawals - reserved
        above_ordinary = (parameters.MAX_CHANNEL_FRACTION - parameters.ORDINARY_CHANNEL_FRACTION) * capacity
        return ChannelBudget(withdrawals, urgent, min(urgent, withdrawals - above_ordinary))

    def record_message(self, entry_count: int) -> SendCheckpoint:
        """Record a message that is sent now, and return the checkpoint that ends it.

        Args:
            entry_count: Its entries at each proxy, without the checkpoint.
        """
        now_s = self._fleet.now_s
        checkpoint = SendCheckpoint(int(now_s * MS_PER_S) % CHECKPOINT_ID_COUNT)
        entries = entry_count + 1 + self._fleet.settings.channel_header_entries
        self._unacknowledged[checkpoint.checkpoint_id] = _SentMessage(
            now_s, entries, set(self._fleet.proxies)
        )
        self._send_times_s.append(now_s)
        return checkpoint

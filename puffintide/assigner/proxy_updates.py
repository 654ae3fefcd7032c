"""Sends updates to the connected proxies through the rate-limited channel."""

from __future__ import annotations

from puffintide.assigner.channel import Channel
from puffintide.assigner.migration import AddressedUpdates
from puffintide.protocol.clock import Clock, Timer
from puffintide.protocol.stream import PeerIdentity, Stream

PROXY = "proxy"
CHECKPOINT_RETENTION_S = 120.0  # Time for which the time of sending of a checkpoint is retained, in seconds.
MIN_FLUSH_DELAY_S = 0.002  # Minimum delay of the flush timer, in seconds.
# Interval between checks of the streams while only proxies that do not read have messages, in seconds.
BACKLOG_POLL_INTERVAL_S = 0.05


class ProxyUpdateSender:
    """Sends queued updates on the streams of the proxies.

    Attributes:
        streams: The stream of each connected proxy, by proxy id.
        max_checkpoint_delay_s: Longest time between a checkpoint and its acknowledgement, in seconds.
    """

    def __init__(self, clock: Clock, channel: Channel) -> None:
        self.clock = clock
        self.channel = channel
        self.streams: dict[int, Stream] = {}
        self.max_checkpoint_delay_s = 0.0
        self._checkpoints_sent_at: dict[int, float] = {}
        self._flush_timer: Timer | None = None

    def add_proxy(self, proxy_id: int, stream: Stream) -> None:
        """Add a proxy, whose updates are sent on the stream."""
        stream.peer = PeerIdentity(PROXY, proxy_id)
        self.streams[proxy_id] = stream
        self.channel.add_proxy(proxy_id)

    def remove_proxy(self, proxy_id: int) -> None:
        """Remove a proxy, and drop its queued updates."""
        self.streams.pop(proxy_id, None)
        self.channel.remove_proxy(proxy_id)

    def send(self, updates: AddressedUpdates) -> None:
        """Queue updates, and send the messages that the rate limit allows."""
        now = self.clock.seconds()
        for proxy_id, update in updates:
            self.channel.enqueue(proxy_id, update)
            if update.checkpoint_id is not None:
                self._forget_old_checkpoints(now)
                self._checkpoints_sent_at[update.checkpoint_id] = now
        self._flush()

    def on_checkpoint_reply(self, checkpoint_id: int) -> float:
        """Update the longest checkpoint delay for a checkpoint reply.

        Returns:
            The time since the checkpoint was sent in seconds, or 0 if the checkpoint is unknown.
        """
        now = self.clock.seconds()
        delay_s = now - self._checkpoints_sent_at.get(checkpoint_id, now)
        self.max_checkpoint_delay_s = max(self.max_checkpoint_delay_s, delay_s)
        return delay_s

    def _forget_old_checkpoints(self, now: float) -> None:
        self._checkpoints_sent_at = {
            checkpoint_id: sent_at
            for checkpoint_id, sent_at in self._checkpoints_sent_at.items()
            if now - sent_at < CHECKPOINT_RETENTION_S
        }

    def _flush(self) -> None:
        """Send backlogs and due messages, and abort the streams whose backlogs are too large."""
        now = self.clock.seconds()
        for proxy_id, stream in sorted(self.streams.items()):
            for update in self.channel.set_writable(now, proxy_id, stream.writable):
                stream.send(update)
        departures, overflowed = self.channel.dequeue(now)
        for proxy_id, update in departures:
            self.streams[proxy_id].send(update)
        for proxy_id in overflowed:
            self.streams[proxy_id].abort(
                f"proxy {proxy_id} does not read its updates and has the largest backlog on a full channel"
            )
        self._schedule_flush(now)

    def _on_flush_timer(self) -> None:
        self._flush_timer = None
        self._flush()

    def _schedule_flush(self, now: float) -> None:
        """Schedule the next flush, unless one is scheduled or nothing is queued."""
        if self._flush_timer is not None:
            return
        departs_at = self.channel.next_departure_at()
        if departs_at is not None:
            delay_s = max(MIN_FLUSH_DELAY_S, departs_at - now)
            self._flush_timer = self.clock.callLater(delay_s, self._on_flush_timer)
        elif self.channel.queued_entries() > 0:
            self._flush_timer = self.clock.callLater(BACKLOG_POLL_INTERVAL_S, self._on_flush_timer)

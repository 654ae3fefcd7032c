"""Creates the handover of an assigner from its settings, and limits the decision module's messages to match."""

from __future__ import annotations

from dataclasses import replace

from puffintide.assigner.handover import Handover
from puffintide.assigner.proxy_leases import ProxyLeases
from puffintide.decisions.settings import RepeatSafety, Settings

# Maximum duration of draining, as a fraction of the time for which a slice may be without a server.
MAX_DRAIN_FRACTION = 0.8
# Messages that a batch sends to each proxy, where the decision module counts one.
MESSAGES_PER_BATCH = 2


def create_handover(settings: Settings, write_lease_s: float) -> Handover | None:
    """Return the handover of an assigner, or None if slices may have several writers."""
    if not settings.single_writer:
        return None
    max_write_deadline_s = max(
        (
            request_class.deadline_s
            for request_class in settings.request_classes
            if request_class.repeat_safety != RepeatSafety.IDEMPOTENT
        ),
        default=0.0,
    )
    max_write_duration_s = write_lease_s + max_write_deadline_s
    max_drain_s = min(max_write_duration_s, MAX_DRAIN_FRACTION * settings.max_unserved_s)
    proxy_leases = ProxyLeases(write_lease_s, max_write_deadline_s, settings.proxy_count)
    return Handover(proxy_leases, max_drain_s, settings.channel_header_entries)


def with_handover_budget(settings: Settings) -> Settings:
    """Return settings for the decision module that limit its messages to what a handover permits.

    A handover sends more messages to each proxy than the decision module counts, and all of them have to stay
    within the limit of messages per window.
    """
    if not settings.max_messages_per_window:
        return settings
    budget = (settings.max_messages_per_window - 1) // MESSAGES_PER_BATCH
    return replace(settings, max_messages_per_window=max(1, budget))

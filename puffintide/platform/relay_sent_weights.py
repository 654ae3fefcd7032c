"""Remembers when weights were sent, to compare tables with those that the relay lists. Performs no I/O.

The relay accepts weights for a slice of another assigner without an effect. While the watch is broken, a slice
can be revoked and granted again without a message, so an accepted weight may be neither in the listed table nor
in the current one. Only a call that began after the grant was received is known to have had an effect.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from puffintide.platform.relay_orders import Order

SETTLING_S = 2.0  # Weights sent longer before a grant than this are in the listed table or had no effect.
RETENTION_S = (
    10.0  # Covers SETTLING_S and the time from a grant to the heartbeat at which tables are compared.
)


@dataclass(frozen=True, slots=True)
class SentTimes:
    """The times of the call that last sent a weight, in seconds.

    Attributes:
        started_at_s: Time at which the call began.
        ended_at_s: Time at which its response was received or given up.
    """

    started_at_s: float
    ended_at_s: float


@dataclass(frozen=True, slots=True)
class UnsettledServers:
    """Servers whose weights in one slice the listed table may not show.

    Attributes:
        newer: Their weights are queued or were sent after the grant, and replace what is listed.
        uncertain: Their weights were sent shortly before the grant, and may have had no effect.
    """

    newer: frozenset[int]
    uncertain: frozenset[int]


SentBySlice = dict[int, dict[int, SentTimes]]  # Maps slice id to server id to the times of the last call.


class SentWeights:
    """The times at which weights were last sent, apart for the current and for earlier ownership of a slice."""

    def __init__(self) -> None:
        self._owned: SentBySlice = {}
        self._former: SentBySlice = {}

    def __len__(self) -> int:
        return sum(len(sent) for sent in (*self._owned.values(), *self._former.values()))

    def record(self, orders: Iterable[Order], revoked_slices: Collection[int], times: SentTimes) -> None:
        """Record the weights of a call that was or may have been applied.

        Args:
            orders: The orders of the call.
            revoked_slices: Slices that were revoked since the call began.
            times: The times of the call.
        """
        for order in orders:
            if order.is_weight:
                slice_id = order.key.slice_id
                sent_by_slice = self._former if slice_id in revoked_slices else self._owned
                sent_by_slice.setdefault(slice_id, {})[order.key.item_id] = times

    def revoke_slice(self, slice_id: int) -> None:
        """Treat the weights of a slice as sent during an earlier ownership."""
        self._former.setdefault(slice_id, {}).update(self._owned.pop(slice_id, {}))

    def forget_old(self, now_s: float) -> None:
        """Forget weights that were sent more than RETENTION_S ago."""
        self._owned = _sent_since(self._owned, now_s - RETENTION_S)
        self._former = _sent_since(self._former, now_s - RETENTION_S)

    def owned_since(self, slice_id: int, time_s: float) -> dict[int, SentTimes]:
        """Return the weights of the current ownership whose calls ended after a time, by server id."""
        return _ended_since(self._owned.get(slice_id, {}), time_s)

    def former_since(self, slice_id: int, time_s: float) -> dict[int, SentTimes]:
        """Return the weights of earlier ownership whose calls ended after a time, by server id."""
        return _ended_since(self._former.get(slice_id, {}), time_s)


def _ended_since(sent: Mapping[int, SentTimes], time_s: float) -> dict[int, SentTimes]:
    return {server: times for server, times in sent.items() if times.ended_at_s > time_s}


def _sent_since(sent_by_slice: SentBySlice, time_s: float) -> SentBySlice:
    recent = {slice_id: _ended_since(sent, time_s) for slice_id, sent in sent_by_slice.items()}
    return {slice_id: sent for slice_id, sent in recent.items() if sent}


def classify_unsettled(
    queued: Collection[int], sent: Mapping[int, SentTimes], granted_at_s: float
) -> UnsettledServers:
    """Classify the servers of a slice by whether their weights replace those of its listed table.

    Args:
        queued: Servers whose weights are queued.
        sent: Servers whose weights are in flight or were sent recently, with the times.
        granted_at_s: Time at which the grant of the slice was received, in seconds.
    """
    sent_after_grant = {server for server, times in sent.items() if times.started_at_s > granted_at_s}
    newer = sent_after_grant.union(queued)
    return UnsettledServers(frozenset(newer), frozenset(sent.keys() - newer))

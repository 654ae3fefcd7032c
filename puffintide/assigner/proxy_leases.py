"""Tracks until when proxies that are not connected may have writes in flight. No I/O; the caller passes the time.

A proxy that loses the stream to the owner of a slice accepts writes until its write lease ends, and a write ends
within its deadline. An assigner that was just granted a slice does not know which proxies hold a lease of the
former owner, which may be its own former process. It therefore assumes a lease for each proxy of the deployment
that has not connected.
"""

from __future__ import annotations

from collections.abc import Iterable


class ProxyLeases:
    """The connected proxies of one assigner, and the leases that the other proxies may hold.

    Args:
        write_lease_s: Time after which a proxy that lost its assigner accepts no writes, in seconds.
        max_write_deadline_s: Longest deadline of a write, in seconds.
        proxy_count: Number of proxies of the deployment; their ids start at 0.

    Attributes:
        connected: Ids of the connected proxies.
    """

    def __init__(self, write_lease_s: float, max_write_deadline_s: float, proxy_count: int) -> None:
        self.connected: set[int] = set()
        self._max_write_duration_s = write_lease_s + max_write_deadline_s
        self._proxy_ids = frozenset(range(proxy_count))
        self._disconnected_at: dict[int, float] = {}
        self._granted_at: dict[int, float] = {}  # Keyed by slice.

    def on_connected(self, proxy_id: int) -> None:
        """Add a connected proxy, which reports through checkpoints when its writes have ended."""
        self.connected.add(proxy_id)
        self._disconnected_at.pop(proxy_id, None)

    def on_disconnected(self, now: float, proxy_id: int) -> None:
        """Remove a proxy whose stream was lost; its lease ends after a limited time."""
        self.connected.discard(proxy_id)
        self._disconnected_at[proxy_id] = now

    def on_slice_granted(self, now: float, slice_id: int) -> None:
        """Record that the tenure of a former owner of a slice, if there was one, has ended by now."""
        self._granted_at[slice_id] = now

    def writes_end_at(self, slice_ids: Iterable[int]) -> float:
        """Return when the writes of slices at proxies that are not connected have ended.

        Returns:
            The time in seconds, or 0 if no such proxy can have a lease.
        """
        lease_starts = list(self._disconnected_at.values())
        if not self._proxy_ids <= self.connected:
            lease_starts += [
                self._granted_at[slice_id] for slice_id in slice_ids if slice_id in self._granted_at
            ]
        return max((start + self._max_write_duration_s for start in lease_starts), default=0.0)

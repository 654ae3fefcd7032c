"""Tracks which proxies may still hold the withdrawal of a server after the server was readmitted.

A proxy keeps its withdrawals when its stream breaks, and the messages in flight to it are lost. A proxy that is
disconnected while a server is readmitted therefore holds the withdrawal until the readmission is sent again.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _Readmission:
    """A readmission that was sent to a proxy and is not acknowledged yet."""

    checkpoint_id: int
    sent_at_s: float


class WithdrawalHolders:
    """The proxies that may hold the withdrawal of each server.

    A proxy stops being a holder when it acknowledges the message with the readmission, or when it restarts.
    """

    def __init__(self) -> None:
        # By server id, then by proxy id; None if no readmission is in flight to the proxy.
        self._holders: dict[int, dict[int, _Readmission | None]] = {}

    def on_withdrawn(self, server_id: int, proxy_ids: Iterable[int]) -> None:
        """Record that the withdrawal of a server was sent to proxies."""
        self._holders.setdefault(server_id, {}).update(dict.fromkeys(proxy_ids))

    def on_readmitted(
        self, server_id: int, proxy_ids: Collection[int], checkpoint_id: int, now_s: float
    ) -> None:
        """Record that the readmission of a server was sent to proxies, in a message with a checkpoint."""
        holders = self._holders.get(server_id, {})
        for proxy_id in holders.keys() & set(proxy_ids):
            holders[proxy_id] = _Readmission(checkpoint_id, now_s)

    def on_acknowledged(self, proxy_id: int, checkpoint_id: int) -> None:
        """Record that a proxy has applied the message that ends with a checkpoint."""
        for holders in self._holders.values():
            readmission = holders.get(proxy_id)
            if readmission is not None and readmission.checkpoint_id == checkpoint_id:
                del holders[proxy_id]
        self._drop_empty()

    def on_connected(self, proxy_id: int, first_connection: bool) -> None:
        """Record that a proxy connected: readmissions in flight on an earlier stream were lost.

        A proxy that connects for the first time since its start holds no withdrawals.
        """
        for holders in self._holders.values():
            if proxy_id not in holders:
                continue
            if first_connection:
                del holders[proxy_id]
            else:
                holders[proxy_id] = None
        self._drop_empty()

    def on_server_forgotten(self, server_id: int) -> None:
        """Stop tracking a server that is no longer known."""
        self._holders.pop(server_id, None)

    def missed_readmissions(self, proxy_ids: Collection[int], now_s: float, lost_after_s: float) -> set[int]:
        """Return the servers whose withdrawal proxies may hold, without a readmission in flight to them.

        Args:
            proxy_ids: The connected proxies.
            now_s: The time on the assigner's clock, in seconds.
            lost_after_s: The time in seconds after which a message that is not acknowledged counts as lost.
        """
        connected = set(proxy_ids)
        return {
            server_id
            for server_id, holders in self._holders.items()
            if any(
                readmission is None or now_s - readmission.sent_at_s >= lost_after_s
                for proxy_id, readmission in holders.items()
                if proxy_id in connected
            )
        }

    def _drop_empty(self) -> None:
        self._holders = {server_id: holders for server_id, holders in self._holders.items() if holders}

"""Notifications to peers about durable changes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from puffintide.protocol import messages as m
from puffintide.protocol.stream import Stream
from puffintide.store.commits import PendingChanges
from puffintide.store.durable_state import DurableState
from puffintide.store.ownership import OwnershipTransfer
from puffintide.store.reads import encode_ownerships
from puffintide.store.sessions import Sessions


class Notifier:
    """Sends ownership changes to assigners and proxies, and results to the peers that wait for them.

    Args:
        sessions: Sessions of the connected peers.
        durable: Durable state, from which the messages are built.
        log: Logger of the store.
    """

    def __init__(self, sessions: Sessions, durable: DurableState, log: Any) -> None:
        self.sessions = sessions
        self.durable = durable
        self.log = log

    def publish(self, changes: PendingChanges) -> None:
        """Notify peers of durable changes."""
        granted = self._notify_previous_owners(changes.transfers)
        for owner_id, ownerships in sorted(granted.items()):
            slice_ids = [ownership.slice_id for ownership in ownerships]
            self.log.info("ownership_changed", owner_id=owner_id, slice_ids=slice_ids)
            for line in encode_ownerships(ownerships):
                self._send_ownerships(owner_id, line)
        for stream, batch in changes.waiting.writers.items():
            stream.send(m.WriteAcknowledged(batch, self.durable.revision))
        if changes.zone_commands:
            self.sessions.send_to_assigners(self.durable.commands_in_force())
        for stream in changes.waiting.operators:
            stream.send(self.durable.commands_in_force())

    def _notify_previous_owners(
        self, transfers: Mapping[int, OwnershipTransfer]
    ) -> dict[int, list[m.SliceOwnership]]:
        """Tell previous owners that they lost slices, and return the new ownerships keyed by owner."""
        granted: dict[int, list[m.SliceOwnership]] = {}
        for slice_id, transfer in sorted(transfers.items()):
            ownership = self.durable.ownership(slice_id)
            previous_owner = self.sessions.assigners.get(transfer.previous_owner_id)
            if transfer.previous_owner_id != transfer.new_owner_id and previous_owner is not None:
                previous_owner.send(m.OwnershipRevoked(slice_id, ownership.fencing_token))
            granted.setdefault(ownership.owner_id, []).append(ownership)
        return granted

    def _send_ownerships(self, owner_id: int, line: bytes) -> None:
        """Send one encoded message to the owner and to every proxy."""
        owner = self.sessions.assigners.get(owner_id)
        if owner is not None:
            owner.send_line(line)
        for proxy in sorted(self.sessions.proxies, key=_peer_order):
            if proxy.writable:
                proxy.send_line(line)
            else:  # The proxy reconnects, and reads the changes since its last known revision.
                proxy.abort("the proxy reads notifications too slowly")


def _peer_order(stream: Stream) -> str:
    return str(stream.peer)

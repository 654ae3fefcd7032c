"""Carries out the steps of the handover of slices that have a single writer."""

from __future__ import annotations

from puffintide.assigner.handover import Handover, HandoverSteps
from puffintide.assigner.proxy_updates import ProxyUpdateSender
from puffintide.assigner.store_client import StoreClient
from puffintide.protocol.clock import Clock, Timer

ADVANCE_INTERVAL_S = 0.02  # Interval between checks of the draining of a migration, in seconds.


class HandoverRunner:
    """Sends the updates and writes of a handover, and advances it while a migration is in progress."""

    def __init__(
        self, clock: Clock, handover: Handover, store_client: StoreClient, proxy_updates: ProxyUpdateSender
    ) -> None:
        self.clock = clock
        self.handover = handover
        self.store_client = store_client
        self.proxy_updates = proxy_updates
        self._timer: Timer | None = None

    def run(self, steps: HandoverSteps) -> None:
        """Carry out the steps of the handover.

        Writes are skipped while the store is not connected. The handover retains them, and they are written
        when the store is connected again.
        """
        if self.store_client.stream is not None:
            for batch, weights in steps.writes:
                self.store_client.write(batch, weights)
        if steps.proxy_updates:
            self.proxy_updates.send(steps.proxy_updates)
        if self.handover.migrations and self._timer is None:
            self._timer = self.clock.callLater(ADVANCE_INTERVAL_S, self._advance)

    def _advance(self) -> None:
        self._timer = None
        self.run(self.handover.advance(self.clock.seconds()))

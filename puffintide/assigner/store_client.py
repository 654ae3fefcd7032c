"""Exchanges messages with the store.

The client receives the ownership of slices and writes their weights. It also sends the tables of slices to
a store that has lost its own.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import chain
from typing import Any

from puffintide.assigner.handover import Handover, HandoverSteps
from puffintide.assigner.load_reports import LoadReportAggregator
from puffintide.assigner.runtime import Runtime
from puffintide.decisions.events import AssignerCountChanged, ZoneCommandReceived, ZoneOperation
from puffintide.owned_tables import OwnedTables
from puffintide.protocol import messages as m
from puffintide.protocol.clock import Clock
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import Stream
from puffintide.protocol.validation import weights_problem

# Interval between deltas to a store that is being restored, in seconds. Sending them all at once would block
# the event loop.
DELTA_INTERVAL_S = 0.01

ReplicatedTables = Callable[[set[int] | None], Iterator[m.ReplicationDelta]]


class StoreClient:
    """Handles the messages of the store; the caller forwards its stream's events to on_message and on_lost.

    Args:
        clock: The clock that runs the timers.
        assigner_id: The id of this assigner.
        runtime: The runtime that receives events.
        owned_tables: The tables of the owned slices, which are updated when slices are granted or revoked.
        load_reports: The aggregator of load reports, which drops the usage of revoked slices.
        handover: The handover; None if slices may have several writers.
        log: The structured logger.
        on_events: Called after each message, as it may have added events to the runtime.
        on_handover_steps: Called with the next steps of the handover.
        replicated_tables: Returns the tables of the given slices, or of all slices; None without replication.

    Attributes:
        stream: The stream to the store; None while it is not connected.
        is_restoring: Whether the store has requested all tables and has not granted ownership since.
        zone_command_sequences: The sequence number of the last command that was applied, by zone.
    """

    def __init__(
        self,
        clock: Clock,
        assigner_id: int,
        runtime: Runtime,
        owned_tables: OwnedTables,
        load_reports: LoadReportAggregator,
        handover: Handover | None,
        log: Any,
        on_events: Callable[[], None],
        on_handover_steps: Callable[[HandoverSteps], None],
        replicated_tables: ReplicatedTables | None,
    ) -> None:
        self.clock = clock
        self.assigner_id = assigner_id
        self.runtime = runtime
        self.owned_tables = owned_tables
        self.load_reports = load_reports
        self.handover = handover
        self.log = log
        self.on_events = on_events
        self.on_handover_steps = on_handover_steps
        self.replicated_tables = replicated_tables
        self.stream: Stream | None = None
        self.is_restoring = False
        self.zone_command_sequences: dict[int, int] = {}
        self._pending_deltas: Iterator[m.ReplicationDelta] = iter(())

    def on_message(self, stream: Stream, message: AnyMessage) -> None:
        """Handle a message from the store, the first of which is its Welcome."""
        match message:
            case m.Welcome():
                self.stream = stream
                self.log.info("store_connected")
            case m.SliceOwnerships():
                if not self._on_ownerships(stream, message):
                    return
            case m.AssignerMembership():
                self._on_membership(message)
            case m.ZoneCommands():
                self._on_zone_commands(message)
            case m.OwnershipRevoked():
                self._on_ownership_revoked(message.slice_id)
            case m.WriteAcknowledged():
                self._on_write_acknowledged(message)
            case m.ReplicaRequest():
                self._on_replica_request(stream)
            case m.WriteRejected():
                self._on_write_rejected(message)
        self.on_events()

    def on_lost(self, reason: str) -> None:
        """Handle the loss of the stream or a failed connection attempt."""
        if self.stream is not None:
            self.log.warning("store_disconnected", reason=reason)
        self.stream = None
        self.is_restoring = False

    def write(self, batch: int, weights: list[m.WeightEntry]) -> None:
        """Write weights.

        While the store is not connected, nothing is sent. The weights are written once the store has granted
        the slices again in an unbroken tenure.
        """
        if self.stream is not None:
            self.stream.send(m.WriteRequest(batch, weights))
        else:
            self.log.warning("write_deferred", batch=batch, weights=len(weights))

    # Ownership ------------------------------------------------------------------------------------

    def _on_ownerships(self, stream: Stream, message: m.SliceOwnerships) -> bool:
        """Apply the ownership of granted slices, and return False if the message was rejected."""
        for ownership in message.ownerships:
            problem = weights_problem(ownership.entries)
            if problem is not None:
                stream.reject(f"invalid ownership of slice {ownership.slice_id}: {problem}")
                return False
        self._on_granted(
            [ownership for ownership in message.ownerships if ownership.owner_id == self.assigner_id]
        )
        return True

    def _on_granted(self, ownerships: list[m.SliceOwnership]) -> None:
        """Take over granted slices, and repeat missing writes to those whose tenure is unbroken."""
        self.is_restoring = False
        now = self.clock.seconds()
        continued: list[m.SliceOwnership] = []
        for ownership in ownerships:
            if self.runtime.on_ownership_granted(now, ownership):
                continued.append(ownership)
        continued_ids = {ownership.slice_id for ownership in continued}
        for ownership in ownerships:
            tenure_continues = ownership.slice_id in continued_ids
            self.owned_tables.on_ownership_granted(ownership, tenure_continues)
            if not tenure_continues and self.handover is not None:
                self.handover.on_slice_granted(now, ownership.slice_id, bool(ownership.entries))
        self._repeat_writes(continued)

    def _repeat_writes(self, ownerships: list[m.SliceOwnership]) -> None:
        """Repeat the writes that the store has not committed or has lost, with the current tokens."""
        if self.handover is not None:
            for ownership in ownerships:
                self.handover.on_token_renewed(ownership.slice_id, ownership.fencing_token)
            for batch, weights in self.handover.unacknowledged_writes():
                self.write(batch, weights)
            return
        batch, weights = self.owned_tables.missing_writes(ownerships)
        if weights:
            self.write(batch, weights)
            self.log.info("writes_repeated", batch=batch, weights=len(weights))

    def _on_ownership_revoked(self, slice_id: int) -> None:
        """Give up a slice, and drop its pending weights and its usage."""
        if self.handover is not None:
            self.handover.drop_slice(slice_id)
        self.runtime.on_ownership_revoked(self.clock.seconds(), slice_id)
        self.load_reports.forget_slice(slice_id)
        self.owned_tables.on_ownership_revoked(slice_id)
        self.log.info("ownership_revoked", slice_id=slice_id)

    def _on_write_acknowledged(self, message: m.WriteAcknowledged) -> None:
        if self.handover is not None:
            steps = self.handover.on_write_acknowledged(self.clock.seconds(), message.batch)
            self.on_handover_steps(steps)

    def _on_write_rejected(self, message: m.WriteRejected) -> None:
        """Drop the rejected weights of a slice from the handover, and log the rejection."""
        if self.handover is not None:
            self.handover.drop_slice(message.slice_id)
        self.log.warning("write_rejected", slice_id=message.slice_id, reason=message.reason)

    # Deployment -----------------------------------------------------------------------------------

    def _on_membership(self, message: m.AssignerMembership) -> None:
        """Pass the number of assigners to the decision module if this assigner is one of them."""
        self.log.info("membership_changed", assigner_ids=message.assigner_ids)
        if self.assigner_id in message.assigner_ids:
            self.runtime.add_events(self.clock.seconds(), AssignerCountChanged(len(message.assigner_ids)))

    def _on_zone_commands(self, message: m.ZoneCommands) -> None:
        """Apply the commands that are new and whose operation is known."""
        for command in message.commands:
            already_applied = command.sequence == self.zone_command_sequences.get(command.zone)
            if not already_applied and command.operation in tuple(ZoneOperation):
                self._apply_zone_command(command)

    def _apply_zone_command(self, command: m.ZoneCommand) -> None:
        self.zone_command_sequences[command.zone] = command.sequence
        event = ZoneCommandReceived(command.zone, ZoneOperation(command.operation), command.pace)
        self.runtime.add_events(self.clock.seconds(), event)
        self.log.warning(
            "zone_command", zone=command.zone, operation=command.operation, operator=command.operator
        )

    # Restoring the store --------------------------------------------------------------------------

    def send_changed_tables(self, slice_ids: set[int]) -> None:
        """Send changed tables to a store that is being restored, as it still waits for other assigners."""
        if self.is_restoring and slice_ids and self.stream is not None and self.replicated_tables is not None:
            self._send_deltas(self.stream, self.replicated_tables(slice_ids))

    def _on_replica_request(self, stream: Stream) -> None:
        """Send all tables to a store that has lost its own."""
        if self.replicated_tables is not None:
            self.is_restoring = True
            self._pending_deltas = iter(())
            self._send_deltas(stream, self.replicated_tables(None))

    def _send_deltas(self, stream: Stream, deltas: Iterator[m.ReplicationDelta]) -> None:
        """Send deltas after those that are still pending."""
        pending = self._pending_deltas
        next_pending = next(pending, None)
        if next_pending is None:
            self._pending_deltas = deltas
            self._send_next_delta(stream)
        else:
            self._pending_deltas = chain([next_pending], pending, deltas)

    def _send_next_delta(self, stream: Stream) -> None:
        """Send a pending delta and schedule the next one; do nothing if the stream is no longer in use."""
        delta = next(self._pending_deltas, None) if stream is self.stream else None
        if delta is not None:
            stream.send(delta)
            self.clock.callLater(DELTA_INTERVAL_S, self._send_next_delta, stream)

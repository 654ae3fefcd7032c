"""The stream to the store: charge comes in, lines go out, and tables where it has lost its own."""

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
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import Stream
from puffintide.protocol.validation import weights_problem

ANSWER_S = 0.01  # between pieces to a store that lost all
Pieces = Callable[[set[int] | None], Iterator[m.ReplicationDelta]]


class StoreClient:
    """me: our number. due: something is to be looked at. step: a move of a slice with one writer goes on. copies:
    of the tables that changed, or of all; None where there are none.
    """

    def __init__(
        self,
        reactor: Any,
        me: int,
        runtime: Runtime,
        ordered: OwnedTables,
        reports: LoadReportAggregator,
        handover: Handover | None,
        log: Any,
        due: Callable[[], None],
        step: Callable[[HandoverSteps], None],
        copies: Pieces | None,
    ) -> None:
        self.reactor, self.me, self.runtime, self.ordered, self.reports = (
            reactor,
            me,
            runtime,
            ordered,
            reports,
        )
        self.handover, self.log, self.due, self.step, self.copies = handover, log, due, step, copies
        self.stream: Stream | None = None
        self.zone_command_sequences: dict[int, int] = {}  # number of the order that stands, by zone
        self.refilling = False  # it has asked for all tables, and gives no charge yet
        self._answers: Iterator[m.ReplicationDelta] = iter(())  # pieces that wait to go

    def on_message(self, stream: Stream, message: AnyMessage) -> None:
        now = float(self.reactor.seconds())
        match message:
            case m.Welcome():
                self.stream = stream
                self.log.info("store_reached")
            case m.SliceOwnerships():
                wrong = next(
                    (w for c in message.ownerships if (w := weights_problem(c.entries)) is not None), None
                )
                if wrong is not None:
                    stream.reject(f"charges: {wrong}")
                    return
                self._charged(now, [c for c in message.ownerships if c.owner_id == self.me])
            case m.AssignerMembership():
                self.log.info("members", assigners=message.assigner_ids)
                if self.me in message.assigner_ids:
                    self.runtime.add_events(now, AssignerCountChanged(len(message.assigner_ids)))
            case m.ZoneCommands():
                for hand in message.commands:
                    if hand.sequence != self.zone_command_sequences.get(
                        hand.zone
                    ) and hand.operation in tuple(ZoneOperation):
                        self.zone_command_sequences[hand.zone] = hand.sequence
                        self.runtime.add_events(
                            now, ZoneCommandReceived(hand.zone, ZoneOperation(hand.operation), hand.pace)
                        )
                        self.log.warning("hand", zone=hand.zone, what=hand.operation, by=hand.operator)
            case m.OwnershipRevoked():
                if self.handover is not None:
                    self.handover.drop_slice(message.slice_id)
                self.runtime.on_ownership_revoked(now, message.slice_id)
                self.reports.forget_slice(message.slice_id)
                self.ordered.on_ownership_revoked(message.slice_id)
                self.log.info("slice_taken", slice=message.slice_id)
            case m.WriteAcknowledged():
                if self.handover is not None:
                    self.step(self.handover.on_write_acknowledged(now, message.batch))
            case m.ReplicaRequest():  # it lost all that it had kept
                if self.copies is not None:
                    self.refilling, self._answers = True, iter(())
                    self._tell(stream, self.copies(None))
            case m.WriteRejected():
                if self.handover is not None:
                    self.handover.drop_slice(message.slice_id)
                self.log.warning("write_refused", slice=message.slice_id, reason=message.reason)
        self.due()

    def on_lost(self, why: str) -> None:
        if self.stream is not None:
            self.log.warning("store_lost", reason=why)
        self.stream, self.refilling = None, False

    def write(self, batch: int, lines: list[m.WeightEntry]) -> None:
        """While it is away nothing is lost by that: what its tables lack is written on its return."""
        if self.stream is not None:
            self.stream.send(m.WriteRequest(batch, lines))
        else:
            self.log.warning("write_waits", batch=batch, lines=len(lines))

    def _charged(self, now: float, ours: list[m.SliceOwnership]) -> None:
        self.refilling = False
        goes_on = {c.slice_id for c in ours if self.runtime.on_ownership_granted(now, c)}
        for charge in ours:
            self.ordered.on_ownership_granted(charge, charge.slice_id in goes_on)
            if charge.slice_id not in goes_on and self.handover is not None:
                self.handover.drop_slice(charge.slice_id)
        self._write_again([c for c in ours if c.slice_id in goes_on])

    def _write_again(self, charges: list[m.SliceOwnership]) -> None:
        """What the store has not kept, or keeps no more, under the tokens that hold now."""
        if self.handover is not None:
            for charge in charges:
                self.handover.on_token_renewed(charge.slice_id, charge.fencing_token)
            for batch, lines in self.handover.unacknowledged_writes():
                self.write(batch, lines)
            return
        batch, lines = self.ordered.missing_writes(charges)
        if lines:
            self.write(batch, lines)
            self.log.info("write_again", batch=batch, lines=len(lines))

    # A store that lost all ------------------------------------------------------------------------

    def send_changed_tables(self, numbers: set[int]) -> None:
        """What is ordered while it waits for others follows with each beat."""
        if self.refilling and numbers and self.stream is not None and self.copies is not None:
            self._tell(self.stream, self.copies(numbers))

    def _tell(self, stream: Stream, pieces: Iterator[m.ReplicationDelta]) -> None:
        before, self._answers = self._answers, pieces
        first = next(before, None)
        if first is None:
            self._answer(stream)
        else:
            self._answers = chain([first], before, pieces)

    def _answer(self, stream: Stream) -> None:
        piece = next(self._answers, None) if stream is self.stream else None
        if piece is not None:
            stream.send(piece)
            self.reactor.callLater(ANSWER_S, self._answer, stream)

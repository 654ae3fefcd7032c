"""Commit queue of the store.

Commits run one at a time. All changes made during a commit are batched into the next one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from puffintide.protocol.clock import Clock, Timer
from puffintide.protocol.messages import ZoneCommand
from puffintide.protocol.stream import Stream
from puffintide.store.durable_state import DurableState
from puffintide.store.engine import Commit, StorageEngine
from puffintide.store.ownership import OwnershipLedger, OwnershipTransfer

RETRY_DELAY_S = 0.5  # Wait before a failed commit is retried, in seconds.

EngineRunner = Callable[..., Deferred[Any]]  # Runs an engine method, possibly in a thread.


@dataclass(slots=True)
class WaitingPeers:
    """Peers to notify once the changes that they requested are durable."""

    writers: dict[Stream, int] = field(default_factory=dict)  # Last batch of each writer.
    operators: list[Stream] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.writers or self.operators)


@dataclass(slots=True)
class PendingChanges:
    """Changes that the next commit publishes, besides the slices that the ledger lists as changed."""

    transfers: dict[int, OwnershipTransfer] = field(default_factory=dict)  # Keyed by slice.
    zone_commands: dict[int, ZoneCommand] = field(default_factory=dict)  # Keyed by zone.
    waiting: WaitingPeers = field(default_factory=WaitingPeers)

    def add_transfer(self, transfer: OwnershipTransfer) -> None:
        """Add a transfer, and merge it with an earlier transfer of the same slice.

        The merged transfer leads from the first owner to the last.
        """
        earlier = self.transfers.get(transfer.slice_id)
        if earlier is not None:
            transfer = OwnershipTransfer(transfer.slice_id, earlier.previous_owner_id, transfer.new_owner_id)
        self.transfers[transfer.slice_id] = transfer

    def prepend(self, earlier: PendingChanges) -> None:
        """Add the changes of a failed commit, which precede these."""
        for slice_id, transfer in earlier.transfers.items():
            later = self.transfers.get(slice_id)
            new_owner_id = transfer.new_owner_id if later is None else later.new_owner_id
            self.transfers[slice_id] = OwnershipTransfer(slice_id, transfer.previous_owner_id, new_owner_id)
        self.zone_commands = earlier.zone_commands | self.zone_commands
        self.waiting.writers = earlier.waiting.writers | self.waiting.writers
        self.waiting.operators = earlier.waiting.operators + self.waiting.operators


class CommitQueue:
    """Commits changes, and publishes them once they are durable.

    A failed commit is retried together with the changes made since. Its changes are not published before a
    retry succeeds.

    Args:
        clock: Schedules retries.
        ledger: Tracks the slices that changed.
        durable: State that each successful commit updates.
        engine: Storage engine that makes commits durable.
        run: Runs the engine's methods.
        publish: Callback that receives the changes of each durable commit.
        on_failure: Callback that receives the failure of a commit.
    """

    def __init__(
        self,
        clock: Clock,
        ledger: OwnershipLedger,
        durable: DurableState,
        engine: StorageEngine,
        run: EngineRunner,
        publish: Callable[[PendingChanges], None],
        on_failure: Callable[[Failure], None],
    ) -> None:
        self.clock = clock
        self.ledger = ledger
        self.durable = durable
        self.engine = engine
        self.run = run
        self.publish = publish
        self.on_failure = on_failure
        self.pending = PendingChanges()
        self.commit_count = 0
        self.failure_count = 0
        self.row_count = 0  # Slices written in all commits together.
        self._committing = False
        self._retry_timer: Timer | None = None

    def add_transfers(self, transfers: list[OwnershipTransfer]) -> None:
        """Add ownership transfers to the next commit."""
        for transfer in transfers:
            self.pending.add_transfer(transfer)
        self.flush()

    def add_write(self, stream: Stream, batch: int) -> None:
        """Commit what an assigner has written to the ledger, and acknowledge the write once it is durable.

        Args:
            stream: Stream of the assigner.
            batch: Number of the batch that the assigner wrote.
        """
        self.pending.waiting.writers[stream] = batch
        self.flush()

    def add_operator(self, stream: Stream) -> None:
        """Register an operator to be notified of the next commit."""
        self.pending.waiting.operators.append(stream)

    def add_zone_command(self, stream: Stream, command: ZoneCommand) -> None:
        """Commit an operator's command, and notify the operator once it is durable."""
        self.pending.zone_commands[command.zone] = command
        self.add_operator(stream)
        self.flush()

    def remove_writer(self, stream: Stream) -> None:
        """Drop the pending acknowledgement of a stream that was lost."""
        self.pending.waiting.writers.pop(stream, None)

    def flush(self) -> None:
        """Start a commit, unless one is in progress or waits for its retry."""
        if self._committing or self._retry_timer is not None:
            return
        if not (self.ledger.changed or self.pending.zone_commands):
            if self.pending.waiting:  # Nothing changed, for example because the writes were rejected.
                waiting = self.pending.waiting
                self.pending.waiting = WaitingPeers()
                self.publish(PendingChanges(waiting=waiting))
            return
        self._committing = True
        changes = self.pending
        self.pending = PendingChanges()
        commands = changes.zone_commands
        slices = self.ledger.pop_changed()
        commit = Commit(
            self.durable.revision + 1,
            self.ledger.highest_token,
            slices,
            tuple(commands[zone] for zone in sorted(commands)),
        )
        done = self.run(self.engine.commit, commit)
        done.addCallback(lambda _: self._committed(commit, changes))
        done.addErrback(self._failed, commit, changes)

    def _committed(self, commit: Commit, changes: PendingChanges) -> None:
        self._committing = False
        self.commit_count += 1
        self.row_count += len(commit.slices)
        self.durable.apply(commit)
        self.publish(changes)
        self.flush()

    def _failed(self, failure: Failure, commit: Commit, changes: PendingChanges) -> None:
        """Put the changes of a failed commit back, and schedule a retry, for example after a full disk."""
        self.on_failure(failure)
        self._committing = False
        self.failure_count += 1
        self.ledger.changed |= {stored.slice_id for stored in commit.slices}
        self.pending.prepend(changes)
        self._retry_timer = self.clock.callLater(RETRY_DELAY_S, self._retry)

    def _retry(self) -> None:
        self._retry_timer = None
        self.flush()

    def stop(self) -> None:
        """Cancel the pending retry of a failed commit."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None

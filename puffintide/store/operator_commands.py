"""Handlers of operator commands to the store: zone commands, migrations and backups."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from puffintide.protocol import messages as m
from puffintide.protocol.clock import Clock
from puffintide.protocol.stream import Stream
from puffintide.store.commits import CommitQueue, EngineRunner
from puffintide.store.durable_state import DurableState
from puffintide.store.engine import StorageEngine
from puffintide.store.ownership import OwnershipLedger

ZONE_OPERATIONS = ("drain", "hold", "return")
MIN_PACE = 0.1
MAX_PACE = 10
MAX_OPERATOR_CHARS = 100  # Operator names are truncated to this length before they are stored or logged.


class ZoneCommandHandler:
    """Validates, numbers and commits zone commands.

    Args:
        zone_count: Number of zones. Zone numbers start at 0.
        durable: Durable state, which contains the commands so far.
        commits: Commit queue that makes commands durable.
        log: Logger of the store.
    """

    def __init__(self, zone_count: int, durable: DurableState, commits: CommitQueue, log: Any) -> None:
        self.zone_count = zone_count
        self.commits = commits
        self.log = log
        self.last_sequence = max((command.sequence for command in durable.zone_commands.values()), default=0)

    def handle(self, stream: Stream, command: m.ZoneCommand) -> None:
        """Commit a command, or reject the operator's stream."""
        reason = self._rejection_reason(command)
        if reason is not None:
            stream.reject(reason)
            return
        self.last_sequence += 1
        numbered_command = m.ZoneCommand(
            command.zone,
            command.operation,
            command.pace,
            command.operator[:MAX_OPERATOR_CHARS],
            self.last_sequence,
        )
        self.log.warning(
            "zone_command",
            zone=numbered_command.zone,
            operation=numbered_command.operation,
            pace=numbered_command.pace,
            operator=numbered_command.operator,
            sequence=numbered_command.sequence,
        )
        self.commits.add_zone_command(stream, numbered_command)

    def _rejection_reason(self, command: m.ZoneCommand) -> str | None:
        if not 0 <= command.zone < self.zone_count or command.operation not in ZONE_OPERATIONS:
            subject = f"{command.operation!r} of zone {command.zone}"
            return f"{subject}: zones are 0 to {self.zone_count - 1}; operations are drain, hold and return"
        if not MIN_PACE <= command.pace <= MAX_PACE:
            return f"pace {command.pace:g} is not from {MIN_PACE:g} to {MAX_PACE:g}"
        return None


class MigrationHandler:
    """Changes the home of slices.

    Args:
        clock: Clock that returns the current time.
        ledger: Ledger that stores the homes.
        commits: Commit queue that makes the change durable.
        log: Logger of the store.
    """

    def __init__(self, clock: Clock, ledger: OwnershipLedger, commits: CommitQueue, log: Any) -> None:
        self.clock = clock
        self.ledger = ledger
        self.commits = commits
        self.log = log

    def handle(self, stream: Stream, command: m.MigrateSlices) -> None:
        """Commit a migration, or reject the operator's stream."""
        reason = self.ledger.set_home(command.slice_ids, command.assigner_id)
        if reason is not None:
            stream.reject(reason)
            return
        self.log.warning(
            "slices_migrated",
            slice_ids=command.slice_ids,
            assigner_id=command.assigner_id,
            operator=command.operator[:MAX_OPERATOR_CHARS],
        )
        self.commits.add_operator(stream)
        self.commits.add_transfers(self.ledger.reassign(self.clock.seconds()))


class BackupHandler:
    """Writes backups while the store serves.

    Args:
        engine: Storage engine that writes the backups.
        run: Runs the engine's methods.
        backup_path: Returns the path for a backup's name, or raises ValueError. None if backups are not
            configured.
        log: Logger of the store.
    """

    def __init__(
        self,
        engine: StorageEngine,
        run: EngineRunner,
        backup_path: Callable[[str], str] | None,
        log: Any,
    ) -> None:
        self.engine = engine
        self.run = run
        self.backup_path = backup_path
        self.log = log

    def handle(self, stream: Stream, request: m.BackupRequest) -> None:
        """Write a backup and notify the operator, or reject the operator's stream."""
        if self.backup_path is None:
            stream.reject(f"backup {request.name!r}: backups are not configured for this store")
            return
        try:
            path = self.backup_path(request.name)
        except ValueError as error:
            stream.reject(str(error))
            return

        def notify(revision: int) -> None:
            self.log.info("backup_written", path=path, revision=revision)
            stream.send(m.CommandCompleted(f"{path}: revision {revision}"))

        done = self.run(self.engine.backup, path)
        done.addCallbacks(notify, lambda failure: stream.reject(failure.getErrorMessage()))

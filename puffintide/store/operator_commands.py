"""Commands that operators give to the store: zones, migrations and backups."""

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
MAX_OPERATOR_CHARS = 100  # of an operator's name that are stored and logged


class ZoneCommandHandler:
    """Checks, numbers and commits commands for zones.

    Args:
        zone_count: Zones are numbered below this.
        durable: Has the commands so far.
        commits: Makes commands durable.
        log: Of the store.
    """

    def __init__(self, zone_count: int, durable: DurableState, commits: CommitQueue, log: Any) -> None:
        self.zone_count = zone_count
        self.commits = commits
        self.log = log
        self.last_sequence = max((command.sequence for command in durable.zone_commands.values()), default=0)

    def handle(self, stream: Stream, command: m.ZoneCommand) -> None:
        """Commits a command, or rejects the operator's stream."""
        problem = self._problem(command)
        if problem is not None:
            stream.reject(problem)
            return
        self.last_sequence += 1
        numbered = m.ZoneCommand(
            command.zone,
            command.operation,
            command.pace,
            command.operator[:MAX_OPERATOR_CHARS],
            self.last_sequence,
        )
        self.log.warning(
            "zone_command",
            zone=numbered.zone,
            operation=numbered.operation,
            pace=numbered.pace,
            operator=numbered.operator,
            sequence=numbered.sequence,
        )
        self.commits.add_zone_command(stream, numbered)

    def _problem(self, command: m.ZoneCommand) -> str | None:
        if not 0 <= command.zone < self.zone_count or command.operation not in ZONE_OPERATIONS:
            subject = f"{command.operation!r} of zone {command.zone}"
            return f"{subject}: there are {self.zone_count} zones; drain, hold or return"
        if not MIN_PACE <= command.pace <= MAX_PACE:
            return f"pace {command.pace:g} is not from {MIN_PACE:g} to {MAX_PACE:g}"
        return None


class MigrationHandler:
    """Changes the home of slices.

    Args:
        clock: The present time.
        ledger: Has the homes.
        commits: Makes the change durable.
        log: Of the store.
    """

    def __init__(self, clock: Clock, ledger: OwnershipLedger, commits: CommitQueue, log: Any) -> None:
        self.clock = clock
        self.ledger = ledger
        self.commits = commits
        self.log = log

    def handle(self, stream: Stream, command: m.MigrateSlices) -> None:
        """Commits a migration, or rejects the operator's stream."""
        problem = self.ledger.set_home(command.slice_ids, command.assigner_id)
        if problem is not None:
            stream.reject(problem)
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
        engine: Writes them.
        run: Carries out the engine's call.
        backup_path: Returns the path for a backup's name, or raises ValueError; None where there are no backups.
        log: Of the store.
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
        """Writes a backup and notifies the operator, or rejects the operator's stream."""
        if self.backup_path is None:
            stream.reject("this store keeps nothing that could be backed up")
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

"""Embedded storage engine: one SQLite file with a write-ahead log that is synced at every commit.

Every row has an xxh64 checksum of its key and content, because SQLite itself does not detect a flipped bit.
SQLite is accessed through apsw. The file is locked while it is open, so that two store processes cannot serve
from it. Its format version is 1.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import apsw
import msgspec
import xxhash

from puffintide.protocol.messages import ZoneCommand
from puffintide.store.engine import Commit, StoredSlice, StoreSnapshot
from puffintide.store.errors import (
    BackupError,
    StoreDamagedError,
    StoreError,
    StoreFormatError,
    StoreFullError,
    StoreInUseError,
)

FORMAT = 1  # Version of the stored format, kept in SQLite's user_version.
# A restored store raises its highest token by this much, above all tokens that the original may have issued.
RESTORED_TOKEN_INCREMENT = 1 << 32
WAL_CHECKPOINT_PAGES = 1000  # Pages in the write-ahead log at which it is checkpointed into the file.
MAX_WAL_BYTES = 4 << 20  # Size to which the log file is truncated after a checkpoint, in bytes.
BACKUP_STEP_PAGES = 500  # Number of pages that one step of a backup copies.

_slice_decoder = msgspec.json.Decoder(StoredSlice)
_command_decoder = msgspec.json.Decoder(ZoneCommand)
_SCHEMA = """
create table meta (name text primary key, value text not null, sum integer not null) without rowid;
create table slice (number integer primary key, revision integer not null, body blob not null,
 sum integer not null);
create table hand (zone integer primary key, revision integer not null, body blob not null, sum integer not null);
"""
_ERROR_MAPPING: list[tuple[type[BaseException], type[StoreError], str]] = [
    (apsw.BusyError, StoreInUseError, "the file is in use by another store process"),
    (apsw.LockedError, StoreInUseError, "the file is in use by another store process"),
    (apsw.NotADBError, StoreFormatError, "the file is not a store database"),
    (apsw.CorruptError, StoreDamagedError, "the file is damaged"),
    (apsw.FullError, StoreFullError, "no space left on the disk"),
    (apsw.ReadOnlyError, StoreError, "the file is read-only"),
    (apsw.CantOpenError, StoreError, "the file cannot be opened"),
    (apsw.IOError, StoreError, "the file could not be read or written"),
]


def checksum(*parts: object) -> int:
    """Return the xxh64 checksum of the parts as the signed 64-bit integer that SQLite stores."""
    unsigned = xxhash.xxh64_intdigest(repr(parts).encode())
    return unsigned - (1 << 64) if unsigned >= 1 << 63 else unsigned


def sync_path(path: str) -> None:
    """Sync a file, or the entries of a directory, to the disk.

    Raises:
        OSError: The file cannot be opened or synced.
    """
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _store_error(operation: str, path: str, error: BaseException) -> StoreError:
    """Convert an error of SQLite or of the operating system into a StoreError.

    Args:
        operation: Operation that failed, as it follows "cannot" in the text.
        path: Path of the file.
        error: Error of SQLite or of the operating system.
    """
    for error_type, store_error, text in _ERROR_MAPPING:
        if isinstance(error, error_type):
            return store_error(f"cannot {operation} {path}: {text} ({error})")
    return StoreError(f"cannot {operation} {path}: {error}")


class SqliteEngine:
    """StorageEngine on one file, which it creates if necessary and locks.

    Args:
        path: Path of the file.
        vfs: Name of a VFS registered with apsw, for tests. None selects the default VFS.

    Raises:
        StoreError: The file cannot be opened, is in use, or is not a store database.
    """

    def __init__(self, path: str, vfs: str | None = None) -> None:
        self.path = path
        try:
            self.db = apsw.Connection(path, vfs=vfs)
            self._configure()
            self.db.execute("begin immediate")  # Takes the lock, or fails if another process has it.
            self._create_or_check_format()
            self.db.execute("commit")
        except (apsw.Error, ValueError) as error:
            raise _store_error("open", path, error) from error
        except StoreError:
            self.db.close()
            raise

    def _configure(self) -> None:
        self.db.set_busy_timeout(0)
        self.db.pragma("locking_mode", "EXCLUSIVE")  # Excludes other processes, and needs no shared memory.
        self.db.pragma("journal_mode", "WAL")
        self.db.pragma("synchronous", "FULL")  # Syncs the log at every commit.
        self.db.pragma("wal_autocheckpoint", WAL_CHECKPOINT_PAGES)
        self.db.pragma("journal_size_limit", MAX_WAL_BYTES)

    def _create_or_check_format(self) -> None:
        version = self.db.pragma("user_version")
        if version == 0 and not self.db.execute("select name from sqlite_master").fetchall():
            for statement in _SCHEMA.split(";"):
                self.db.execute(statement)
            self.db.pragma("user_version", FORMAT)
            self._put_meta(identity=secrets.token_hex(8), revision="0", token="0")
        elif version != FORMAT:
            self.db.execute("rollback")
            relation = "newer than" if version > FORMAT else "not"
            raise StoreFormatError(
                f"{self.path}: format {version} is {relation} {FORMAT}, the format that this program supports"
            )

    def _put_meta(self, **values: str) -> None:
        rows = [(name, value, checksum(name, value)) for name, value in sorted(values.items())]
        self.db.executemany("insert or replace into meta values (?, ?, ?)", rows)

    def _rows(self) -> Iterable[tuple[str, tuple[Any, ...]]]:
        for table in ("meta", "slice", "hand"):
            for row in self.db.execute(f"select * from {table} order by 1"):
                yield table, row

    def _row_problem(self, table: str, row: tuple[Any, ...]) -> str | None:
        *content, stored_checksum = row
        if checksum(*content) == stored_checksum:
            return None
        return f"{self.path}: {table} {row[0]}: row checksum does not match"

    def problems(self) -> list[str]:
        """Check the file and all rows, and return a description of each damaged place."""
        problems = []
        try:
            for (text,) in self.db.execute("pragma integrity_check"):
                if text != "ok":
                    problems.append(f"{self.path}: {text}")
            for table, row in self._rows():
                problem = self._row_problem(table, row)
                if problem is not None:
                    problems.append(problem)
        except apsw.Error as error:
            problems.append(str(_store_error("verify", self.path, error)))
        return problems

    def load(self) -> StoreSnapshot:
        """Read all rows, and verify their checksums.

        Raises:
            StoreDamagedError: A row is damaged or missing.
            StoreError: The file cannot be read.
        """
        meta: dict[str, str] = {}
        snapshot = StoreSnapshot("")
        try:
            for table, row in self._rows():
                problem = self._row_problem(table, row)
                if problem is not None:
                    raise StoreDamagedError(problem)
                if table == "meta":
                    meta[row[0]] = row[1]
                elif table == "slice":
                    snapshot.slices[row[0]] = _slice_decoder.decode(row[2])
                    snapshot.slice_revisions[row[0]] = row[1]
                else:
                    snapshot.zone_commands[row[0]] = _command_decoder.decode(row[2])
            snapshot.store_id = meta["identity"]
            snapshot.revision = int(meta["revision"])
            snapshot.highest_token = int(meta["token"])
        except apsw.Error as error:
            raise _store_error("load", self.path, error) from error
        except msgspec.DecodeError as error:
            raise StoreDamagedError(f"cannot load {self.path}: a row cannot be decoded ({error})") from error
        except KeyError as error:
            raise StoreDamagedError(f"cannot load {self.path}: meta row {error} is missing") from error
        return snapshot

    def commit(self, commit: Commit) -> None:
        """Write a commit as one transaction, and sync it.

        Raises:
            StoreError: Nothing of the commit is stored.
        """
        slices = [(stored.slice_id, stored) for stored in commit.slices]
        commands = [(command.zone, command) for command in commit.zone_commands]
        try:
            self.db.execute("begin immediate")
            try:
                self._put_rows("slice", commit.revision, slices)
                self._put_rows("hand", commit.revision, commands)
                self._put_meta(revision=str(commit.revision), token=str(commit.highest_token))
                self.db.execute("commit")
            except BaseException:
                if self.db.in_transaction:
                    self.db.execute("rollback")
                raise
        except apsw.Error as error:
            raise _store_error("commit to", self.path, error) from error

    def _put_rows(
        self, table: str, revision: int, rows: Sequence[tuple[int, StoredSlice | ZoneCommand]]
    ) -> None:
        values = []
        for number, content in rows:
            body = msgspec.json.encode(content)
            values.append((number, revision, body, checksum(number, revision, body)))
        self.db.executemany(f"insert or replace into {table} values (?, ?, ?, ?)", values)

    def backup(self, path: str) -> int:
        """Write a copy as of one revision to a new file, and return that revision.

        Raises:
            BackupError: The file exists already.
            StoreError: The copy cannot be written.
        """
        if Path(path).exists():
            raise BackupError(f"backup to {path} failed: the file already exists")
        partial_path = f"{path}.part"
        try:
            Path(partial_path).unlink(missing_ok=True)
            revision = self._copy_to(partial_path)
            sync_path(partial_path)
            os.replace(partial_path, path)
            sync_path(str(Path(path).resolve().parent))
        except (apsw.Error, OSError) as error:
            raise _store_error("write backup", path, error) from error
        return revision

    def _copy_to(self, path: str) -> int:
        with apsw.Connection(path) as copy:
            with copy.backup("main", self.db, "main") as backup:
                while not backup.done:
                    backup.step(BACKUP_STEP_PAGES)
            ((text,),) = copy.execute("select value from meta where name = 'revision'").fetchall()
        copy.close()
        return int(str(text))

    def assign_new_identity(self) -> str:
        """Give a copy a new store id, and tokens above all that the original may have issued.

        Returns:
            The new store id.
        """
        snapshot = self.load()
        store_id = secrets.token_hex(8)
        token = snapshot.highest_token + RESTORED_TOKEN_INCREMENT
        self.db.execute("begin immediate")
        self._put_meta(identity=store_id, token=str(token))
        self.db.execute("commit")
        return store_id

    def renew_lease(self) -> None:
        """Do nothing, as the file lock is held until the file is closed."""

    def close(self) -> None:
        """Close the file, which checkpoints the write-ahead log into it."""
        self.db.close()

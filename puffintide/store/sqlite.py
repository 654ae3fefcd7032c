"""The embedded engine: one SQLite file (through apsw) with a write-ahead log, synced at every commit.

Every row carries a checksum (xxh64 of its place and content), as SQLite itself would hand out a flipped bit. The
file is locked while open, so that two stores can't serve from it. Its format is 1.
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

FORMAT = 1
RESTORED_TOKEN_INCREMENT = (
    1 << 32
)  # a restored store issues tokens above all that its older self may have issued
WAL_CHECKPOINT_PAGES = 1000  # of the write-ahead log, before it is folded into the file
MAX_WAL_BYTES = 4 << 20  # that the log keeps on the disk once it is folded in
BACKUP_STEP_PAGES = 500

_slice_decoder = msgspec.json.Decoder(StoredSlice)
_command_decoder = msgspec.json.Decoder(ZoneCommand)
_SCHEMA = """
create table meta (name text primary key, value text not null, sum integer not null) without rowid;
create table slice (number integer primary key, revision integer not null, body blob not null,
 sum integer not null);
create table hand (zone integer primary key, revision integer not null, body blob not null, sum integer not null);
"""
_ERRORS: list[tuple[type[BaseException], type[StoreError], str]] = [
    (apsw.BusyError, StoreInUseError, "is open in another store"),
    (apsw.LockedError, StoreInUseError, "is open in another store"),
    (apsw.NotADBError, StoreFormatError, "is no store's file"),
    (apsw.CorruptError, StoreDamagedError, "is damaged"),
    (apsw.FullError, StoreFullError, "no room left on the disk"),
    (apsw.ReadOnlyError, StoreError, "can't be written to"),
    (apsw.CantOpenError, StoreError, "can't be opened"),
    (apsw.IOError, StoreError, "could not be read or written"),
]


def checksum(*parts: object) -> int:
    """xxh64 of the parts, as a signed integer of 64 bits, which is what SQLite stores."""
    unsigned = xxhash.xxh64_intdigest(repr(parts).encode())
    return unsigned - (1 << 64) if unsigned >= 1 << 63 else unsigned


def sync_path(path: str) -> None:
    """Makes a file, or the entries of a folder, durable. Raises OSError."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _store_error(path: str, error: BaseException) -> StoreError:
    """The StoreError that stands for an error of SQLite or of the system."""
    for kind, store_error, text in _ERRORS:
        if isinstance(error, kind):
            return store_error(f"{path}: {text} ({error})")
    return StoreError(f"{path}: {error}")


class SqliteEngine:
    """A StorageEngine on one file, which it creates and locks.

    Args:
        path: Of the file.
        vfs: Name of a file layer registered with apsw, for tests; None is the system's own.

    Raises:
        StoreError: The file can't be opened, is in use, or is not a store's.
    """

    def __init__(self, path: str, vfs: str | None = None) -> None:
        self.path = path
        try:
            self.db = apsw.Connection(path, vfs=vfs)
            self._configure()
            self.db.execute("begin immediate")  # takes the lock, or fails if another process has it
            self._create_or_check_format()
            self.db.execute("commit")
        except (apsw.Error, ValueError) as error:
            raise _store_error(path, error) from error
        except StoreError:
            self.db.close()
            raise

    def _configure(self) -> None:
        self.db.set_busy_timeout(0)
        self.db.pragma("locking_mode", "EXCLUSIVE")  # keeps a second store out, and needs no shared memory
        self.db.pragma("journal_mode", "WAL")
        self.db.pragma("synchronous", "FULL")  # the log is synced at every commit
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
                f"{self.path}: format {version} is {relation} {FORMAT}, which this program writes"
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
        return f"{self.path}: {table} {row[0]}: checksum of the row does not fit"

    def problems(self) -> list[str]:
        """What is damaged, each with its place; empty if nothing is."""
        found = []
        try:
            for (text,) in self.db.execute("pragma integrity_check"):
                if text != "ok":
                    found.append(f"{self.path}: {text}")
            for table, row in self._rows():
                problem = self._row_problem(table, row)
                if problem is not None:
                    found.append(problem)
        except apsw.Error as error:
            found.append(str(_store_error(self.path, error)))
        return found

    def load(self) -> StoreSnapshot:
        """Reads and checks all rows.

        Raises:
            StoreDamagedError: A row is damaged or missing.
            StoreError: The file can't be read.
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
            raise _store_error(self.path, error) from error
        except msgspec.DecodeError as error:
            raise StoreDamagedError(f"{self.path}: {error}") from error
        except KeyError as error:
            raise StoreDamagedError(f"{self.path}: meta {error} is missing") from error
        return snapshot

    def commit(self, commit: Commit) -> None:
        """Writes a commit as one transaction, and syncs it.

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
            raise _store_error(self.path, error) from error

    def _put_rows(
        self, table: str, revision: int, rows: Sequence[tuple[int, StoredSlice | ZoneCommand]]
    ) -> None:
        values = []
        for number, content in rows:
            body = msgspec.json.encode(content)
            values.append((number, revision, body, checksum(number, revision, body)))
        self.db.executemany(f"insert or replace into {table} values (?, ?, ?, ?)", values)

    def backup(self, path: str) -> int:
        """Writes a copy as of one revision to a new file, and returns that revision.

        Raises:
            BackupError: The file exists.
            StoreError: The copy can't be written.
        """
        if Path(path).exists():
            raise BackupError(f"{path}: is there already")
        partial_path = f"{path}.part"
        try:
            Path(partial_path).unlink(missing_ok=True)
            revision = self._copy_to(partial_path)
            sync_path(partial_path)
            os.replace(partial_path, path)
            sync_path(str(Path(path).resolve().parent))
        except (apsw.Error, OSError) as error:
            raise _store_error(path, error) from error
        return revision

    def _copy_to(self, path: str) -> int:
        with apsw.Connection(path) as copy:
            with copy.backup("main", self.db, "main") as work:
                while not work.done:
                    work.step(BACKUP_STEP_PAGES)
            ((text,),) = copy.execute("select value from meta where name = 'revision'").fetchall()
        copy.close()
        return int(str(text))

    def assign_new_identity(self) -> str:
        """Makes a copy another store, with tokens above all that the original may have issued; returns its id."""
        snapshot = self.load()
        store_id = secrets.token_hex(8)
        token = snapshot.highest_token + RESTORED_TOKEN_INCREMENT
        self.db.execute("begin immediate")
        self._put_meta(identity=store_id, token=str(token))
        self.db.execute("commit")
        return store_id

    def renew_lease(self) -> None:
        """Does nothing: the lock lasts as long as the process."""

    def close(self) -> None:
        """Closes the file, which folds the log into it."""
        self.db.close()

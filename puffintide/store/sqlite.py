"""The embedded engine: one SQLite file (through apsw) with a write-ahead log, synced at every commit.

Every row carries a checksum (xxh64 of its place and content), as SQLite itself would hand out a flipped bit. The
file is locked while open, so that two stores can't serve from it. Format 1.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import apsw
import msgspec
import xxhash

from puffintide.protocol.messages import ZoneCommand
from puffintide.store.engine import Change, Image, SliceState, StoreError

FORMAT = 1
TOKEN_JUMP = 1 << 32  # a restored store gives tokens above all that its older self may have given
LOG_PAGES = 1000  # of the write-ahead log, before it is folded into the file

_SLICES = msgspec.json.Decoder(SliceState)
_HANDS = msgspec.json.Decoder(ZoneCommand)
_SCHEMA = """
create table meta (name text primary key, value text not null, sum integer not null) without rowid;
create table slice (number integer primary key, revision integer not null, body blob not null,
 sum integer not null);
create table hand (zone integer primary key, revision integer not null, body blob not null, sum integer not null);
"""


def checksum(*parts: object) -> int:
    """Signed 64 bits, as SQLite's integers are."""
    found = xxhash.xxh64_intdigest(repr(parts).encode())
    return found - (1 << 64) if found >= 1 << 63 else found


def _words(error: BaseException) -> str:
    kinds: list[tuple[type[BaseException], str]] = [
        (apsw.BusyError, "is open in another store"),
        (apsw.LockedError, "is open in another store"),
        (apsw.NotADBError, "is no store's file"),
        (apsw.CorruptError, "is damaged"),
        (apsw.FullError, "no room left on the disk"),
        (apsw.ReadOnlyError, "can't be written to"),
        (apsw.CantOpenError, "can't be opened"),
        (apsw.IOError, "could not be read or written"),
    ]
    for kind, words in kinds:
        if isinstance(error, kind):
            return f"{words} ({error})"
    return str(error)


class SqliteEngine:
    """vfs: the name of a file layer registered with apsw, for tests; None is the system's own."""

    def __init__(self, path: str, vfs: str | None = None) -> None:
        self.path = path
        try:
            self.db = apsw.Connection(path, vfs=vfs)
            self.db.set_busy_timeout(0)
            self.db.pragma(
                "locking_mode", "EXCLUSIVE"
            )  # two stores on one file; and no shared memory is needed
            self.db.pragma("journal_mode", "WAL")
            self.db.pragma("synchronous", "FULL")  # the log is synced at every commit
            self.db.pragma("wal_autocheckpoint", LOG_PAGES)
            self.db.pragma("journal_size_limit", 4 << 20)
            self.db.execute("begin immediate")  # takes the lock, or tells that another has it
            self._open()
            self.db.execute("commit")
        except (apsw.Error, ValueError) as error:
            raise StoreError(f"{path}: {_words(error)}") from None
        except StoreError:
            self.db.close()
            raise

    def _open(self) -> None:
        version = self.db.pragma("user_version")
        if version == 0 and not self.db.execute("select name from sqlite_master").fetchall():
            for text in _SCHEMA.split(";"):
                self.db.execute(text)
            self.db.pragma("user_version", FORMAT)
            self._put_meta(identity=secrets.token_hex(8), revision="0", token="0")
        elif version != FORMAT:
            self.db.execute("rollback")
            newer = "newer than" if version > FORMAT else "not"
            raise StoreError(f"{self.path}: format {version} is {newer} {FORMAT}, which this program writes")

    def _put_meta(self, **values: str) -> None:
        rows = [(name, value, checksum(name, value)) for name, value in sorted(values.items())]
        self.db.executemany("insert or replace into meta values (?, ?, ?)", rows)

    def _rows(self) -> Iterable[tuple[str, tuple[Any, ...]]]:
        for table in ("meta", "slice", "hand"):
            for row in self.db.execute(f"select * from {table} order by 1"):
                yield table, row

    def problems(self) -> list[str]:
        """What is damaged, each with its place; empty if all is whole."""
        found = []
        try:
            found += [
                f"{self.path}: {text}"
                for (text,) in self.db.execute("pragma integrity_check")
                if text != "ok"
            ]
            for table, row in self._rows():
                if checksum(*row[:-1]) != row[-1]:
                    found.append(f"{self.path}: {table} {row[0]}: checksum of the row does not fit")
        except apsw.Error as error:
            found.append(f"{self.path}: {_words(error)}")
        return found

    def load(self) -> Image:
        meta: dict[str, str] = {}
        image = Image("")
        try:
            for table, row in self._rows():
                if checksum(*row[:-1]) != row[-1]:
                    raise StoreError(f"{self.path}: {table} {row[0]}: checksum of the row does not fit")
                if table == "meta":
                    meta[row[0]] = row[1]
                elif table == "slice":
                    image.slices[row[0]] = _SLICES.decode(row[2])
                    image.revisions[row[0]] = row[1]
                else:
                    image.hands[row[0]] = _HANDS.decode(row[2])
            image.identity = meta["identity"]
            image.revision, image.token = int(meta["revision"]), int(meta["token"])
        except (apsw.Error, msgspec.DecodeError) as error:
            raise StoreError(f"{self.path}: {_words(error)}") from None
        except KeyError as error:
            raise StoreError(f"{self.path}: meta {error} is missing") from None
        return image

    def commit(self, change: Change) -> None:
        try:
            self.db.execute("begin immediate")
            try:
                for table, key, rows in (
                    ("slice", "slice", change.slices),
                    ("hand", "zone", change.hands),
                ):
                    made = []
                    for state in rows:
                        body = msgspec.json.encode(state)
                        place = getattr(state, key)
                        made.append((place, change.revision, body, checksum(place, change.revision, body)))
                    self.db.executemany(f"insert or replace into {table} values (?, ?, ?, ?)", made)
                self._put_meta(revision=str(change.revision), token=str(change.token))
                self.db.execute("commit")
            except BaseException:
                if self.db.in_transaction:
                    self.db.execute("rollback")
                raise
        except apsw.Error as error:
            raise StoreError(f"{self.path}: {_words(error)}") from None

    def backup(self, path: str) -> int:
        if Path(path).exists():
            raise StoreError(f"{path}: is there already")
        beside = f"{path}.part"
        try:
            Path(beside).unlink(missing_ok=True)
            with apsw.Connection(beside) as copy:
                with copy.backup("main", self.db, "main") as work:
                    while not work.done:
                        work.step(500)
                ((text,),) = copy.execute("select value from meta where name = 'revision'").fetchall()
                revision = int(str(text))
            copy.close()
            _sync(beside)
            os.replace(beside, path)
            _sync(str(Path(path).resolve().parent))
        except (apsw.Error, OSError) as error:
            raise StoreError(f"{path}: {_words(error)}") from None
        return revision

    def become(self) -> str:
        """A copy takes a new identity, and a token above all that its older self may have given."""
        image = self.load()
        identity = secrets.token_hex(8)
        self.db.execute("begin immediate")
        self._put_meta(identity=identity, token=str(image.token + TOKEN_JUMP))
        self.db.execute("commit")
        return identity

    def beat(self) -> None:
        pass

    def close(self) -> None:
        self.db.close()


def _sync(path: str) -> None:
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def restore(backup: str, target: str) -> Image:
    """Puts a backup in place of a store that does not run. What is there is kept beside it as .before. Raises
    StoreError; the target is then as it was."""
    if not Path(backup).exists():
        raise StoreError(f"{backup}: is not there")
    beside = f"{target}.restoring"
    Path(beside).unlink(missing_ok=True)
    old = SqliteEngine(backup)
    try:
        wrong = old.problems()
        if wrong:
            raise StoreError(wrong[0])
        old.backup(beside)
    finally:
        old.close()
    if Path(target).exists():
        SqliteEngine(target).close()  # raises if a store runs on it; folds its log into the file
        os.replace(target, f"{target}.before")
    new = SqliteEngine(beside)
    try:
        new.become()
        image = new.load()
    finally:
        new.close()
    os.replace(beside, target)
    _sync(str(Path(target).resolve().parent))
    return image

"""A disk in memory, as a file layer for SQLite: what was written and not yet synced is lost, whole or in part, when
the power goes. Every write and sync is a point at which it can go."""

from __future__ import annotations

import random
from typing import Any

import apsw

SECTOR = 512


class Cut(Exception):
    """The power is gone."""


class Disk:
    """Files by name: what is surely there, and the writes since, in order."""

    def __init__(self) -> None:
        self.synced: dict[str, bytes] = {}
        self.pending: dict[str, list[tuple[int, bytes | None]]] = {}  # (at, data); (size, None) cuts the file
        self.points = 0  # writes and syncs so far
        self.cut_at = 0  # the power goes at this one; 0: never
        self.room = 1 << 40
        self.fail_sync = False
        self.dead = False  # nothing that is done after the cut reaches it

    def point(self) -> None:
        self.points += 1
        if self.points == self.cut_at:
            self.dead = True
            raise Cut

    def now(self, name: str, steps: list[tuple[int, bytes | None]] | None = None) -> bytes:
        data = bytearray(self.synced.get(name, b""))
        for at, piece in self.pending.get(name, []) if steps is None else steps:
            if piece is None:
                del data[at:]
                data.extend(b"\0" * (at - len(data)))
            else:
                data.extend(b"\0" * (at - len(data)))
                data[at : at + len(piece)] = piece
        return bytes(data)

    def sync(self, name: str) -> None:
        self.synced[name] = self.now(name)
        self.pending[name] = []

    def after_cut(self, rng: random.Random) -> Disk:
        """The disk as it may be found: of each file any of the unsynced writes, in parts of a sector."""
        found = Disk()
        for name in sorted({*self.synced, *self.pending}):
            kept: list[tuple[int, bytes | None]] = []
            for at, piece in self.pending.get(name, []):
                if rng.random() < 0.4:
                    continue
                if piece is not None and len(piece) > SECTOR and rng.random() < 0.5:
                    piece = piece[: SECTOR * rng.randint(1, len(piece) // SECTOR)]
                kept.append((at, piece))
            if name in self.synced or kept:
                found.synced[name] = self.now(name, kept)
        return found


class File(apsw.VFSFile):
    def __init__(self, disk: Disk, name: str, flags: list[int]) -> None:
        self.disk, self.name = disk, name
        disk.synced.setdefault(name, b"")
        disk.pending.setdefault(name, [])

    def xRead(self, amount: int, offset: int) -> bytes:
        return self.disk.now(self.name)[offset : offset + amount]

    def xWrite(self, data: Any, offset: int) -> None:
        if self.disk.dead:
            return
        self.disk.point()
        data = bytes(data)
        if offset + len(data) > self.disk.room:
            raise apsw.FullError("database or disk is full")
        self.disk.pending.setdefault(self.name, []).append((offset, data))

    def xTruncate(self, newsize: int) -> None:
        if self.disk.dead:
            return
        self.disk.pending.setdefault(self.name, []).append((newsize, None))

    def xSync(self, flags: int) -> None:
        if self.disk.dead:
            return
        self.disk.point()
        if self.disk.fail_sync:
            raise apsw.IOError("disk I/O error")
        self.disk.sync(self.name)

    def xFileSize(self) -> int:
        return len(self.disk.now(self.name))

    def xLock(self, level: int) -> None:
        pass

    def xUnlock(self, level: int) -> None:
        pass

    def xCheckReservedLock(self) -> bool:
        return False

    def xClose(self) -> None:
        pass

    def xSectorSize(self) -> int:
        return SECTOR

    def xDeviceCharacteristics(self) -> int:
        return 0

    def xFileControl(self, op: int, ptr: int) -> bool:
        return False


class Layer(apsw.VFS):
    """Registers itself under the name; the disk can be changed between opens."""

    def __init__(self, name: str, disk: Disk) -> None:
        self.disk = disk
        super().__init__(name, base="")

    def xOpen(self, name: Any, flags: list[int]) -> Any:
        path = name if isinstance(name, str) else (name.filename() if name is not None else "temp")
        return File(self.disk, path.rsplit("/", 1)[-1], flags)

    def xDelete(self, filename: str, syncdir: bool) -> None:
        name = filename.rsplit("/", 1)[-1]
        if self.disk.dead:
            return
        self.disk.synced.pop(name, None)
        self.disk.pending.pop(name, None)

    def xAccess(self, pathname: str, flags: int) -> bool:
        name = pathname.rsplit("/", 1)[-1]
        return name in self.disk.synced

    def xFullPathname(self, name: str) -> str:
        return name

"""In-memory disk, exposed to SQLite as a VFS.

Writes that are not yet synced are lost, in whole or in part, when the power is cut. The power can be cut at
every write and every sync.
"""

from __future__ import annotations

import random
from typing import Any

import apsw

SECTOR_BYTES = 512
UNLIMITED_BYTES = 1 << 40
LOST_WRITE_PROBABILITY = 0.4
TORN_WRITE_PROBABILITY = 0.5

PendingWrite = tuple[int, bytes | None]  # (offset, data), or (size, None) for a truncation.


class PowerCutError(Exception):
    """Raised at the operation at which the power is cut."""


class Disk:
    """Files by name: their synced contents, and the unsynced writes in order."""

    def __init__(self) -> None:
        self.synced: dict[str, bytes] = {}
        self.pending: dict[str, list[PendingWrite]] = {}
        self.operations = 0  # Number of writes and syncs so far.
        self.cut_at_operation = 0  # Operation at which the power is cut, or 0.
        self.capacity_bytes = UNLIMITED_BYTES  # Maximum size of each file.
        self.fail_sync = False
        self.powered_off = False  # Operations after a power cut have no effect.

    def count_operation(self) -> None:
        self.operations += 1
        if self.operations == self.cut_at_operation:
            self.powered_off = True
            raise PowerCutError

    def contents(self, name: str, writes: list[PendingWrite] | None = None) -> bytes:
        """Return the contents of a file with its pending writes, or with the given ones, applied."""
        data = bytearray(self.synced.get(name, b""))
        for offset, piece in self.pending.get(name, []) if writes is None else writes:
            if piece is None:
                del data[offset:]
            data.extend(b"\0" * (offset - len(data)))
            if piece is not None:
                data[offset : offset + len(piece)] = piece
        return bytes(data)

    def sync(self, name: str) -> None:
        self.synced[name] = self.contents(name)
        self.pending[name] = []

    def after_power_cut(self, rng: random.Random) -> Disk:
        """Return a possible state of the disk after a power cut.

        Any of the pending writes of each file may survive, in whole or with its first sectors only.
        """
        remaining = Disk()
        for name in sorted({*self.synced, *self.pending}):
            survived = self._surviving_writes(name, rng)
            if name in self.synced or survived:
                remaining.synced[name] = self.contents(name, survived)
        return remaining

    def _surviving_writes(self, name: str, rng: random.Random) -> list[PendingWrite]:
        survived: list[PendingWrite] = []
        for offset, piece in self.pending.get(name, []):
            if rng.random() < LOST_WRITE_PROBABILITY:
                continue
            if piece is not None and len(piece) > SECTOR_BYTES and rng.random() < TORN_WRITE_PROBABILITY:
                sectors = rng.randint(1, len(piece) // SECTOR_BYTES)
                survived.append((offset, piece[: SECTOR_BYTES * sectors]))
            else:
                survived.append((offset, piece))
        return survived


class DiskFile(apsw.VFSFile):
    """Open file on a Disk."""

    def __init__(self, disk: Disk, name: str) -> None:
        self.disk = disk
        self.name = name
        disk.synced.setdefault(name, b"")
        disk.pending.setdefault(name, [])

    def xRead(self, amount: int, offset: int) -> bytes:
        return self.disk.contents(self.name)[offset : offset + amount]

    def xWrite(self, data: Any, offset: int) -> None:
        if self.disk.powered_off:
            return
        self.disk.count_operation()
        data = bytes(data)
        if offset + len(data) > self.disk.capacity_bytes:
            raise apsw.FullError("database or disk is full")
        self.disk.pending.setdefault(self.name, []).append((offset, data))

    def xTruncate(self, newsize: int) -> None:
        if self.disk.powered_off:
            return
        self.disk.pending.setdefault(self.name, []).append((newsize, None))

    def xSync(self, _flags: int) -> None:
        if self.disk.powered_off:
            return
        self.disk.count_operation()
        if self.disk.fail_sync:
            raise apsw.IOError("disk I/O error")
        self.disk.sync(self.name)

    def xFileSize(self) -> int:
        return len(self.disk.contents(self.name))

    def xLock(self, _level: int) -> None:
        pass

    def xUnlock(self, _level: int) -> None:
        pass

    def xCheckReservedLock(self) -> bool:
        return False

    def xClose(self) -> None:
        pass

    def xSectorSize(self) -> int:
        return SECTOR_BYTES

    def xDeviceCharacteristics(self) -> int:
        return 0

    def xFileControl(self, _op: int, _ptr: int) -> bool:
        return False


class DiskVfs(apsw.VFS):
    """VFS registered with SQLite under a name. Its disk can be replaced between opens."""

    def __init__(self, name: str, disk: Disk) -> None:
        self.disk = disk
        super().__init__(name, base="")

    def xOpen(self, name: Any, _flags: list[int]) -> Any:
        path = name if isinstance(name, str) else (name.filename() if name is not None else "temp")
        return DiskFile(self.disk, path.rsplit("/", 1)[-1])

    def xDelete(self, filename: str, _syncdir: bool) -> None:
        name = filename.rsplit("/", 1)[-1]
        if self.disk.powered_off:
            return
        self.disk.synced.pop(name, None)
        self.disk.pending.pop(name, None)

    def xAccess(self, pathname: str, _flags: int) -> bool:
        return pathname.rsplit("/", 1)[-1] in self.disk.synced

    def xFullPathname(self, name: str) -> str:
        return name

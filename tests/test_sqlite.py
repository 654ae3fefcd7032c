"""Tests of the SQLite engine: power cuts, damaged files, a full disk, invalid files and restored backups."""

from __future__ import annotations

import contextlib
import random
import shutil
from pathlib import Path

import apsw
import pytest

from puffintide.protocol import messages as m
from puffintide.store.engine import Commit, StoredSlice
from puffintide.store.errors import (
    BackupError,
    StoreError,
    StoreFormatError,
    StoreFullError,
    StoreInUseError,
)
from puffintide.store.sqlite import RESTORED_TOKEN_INCREMENT, SqliteEngine
from puffintide.store.sqlite_restore import restore_backup
from tests.commands import run_command
from tests.disk import UNLIMITED_BYTES, Disk, DiskVfs, PowerCutError
from tests.peers import PORTS

pytestmark = pytest.mark.processes

VFS = DiskVfs("puffintide-test", Disk())
SLICES = 60
LAST_REVISION = 29  # Last revision in the `file` fixture.


def stored_slice(slice_id: int, token: int) -> StoredSlice:
    return StoredSlice(slice_id, 0, token, token, [m.TableEntry(token % 7, 1.0, "127.0.0.1:9000")])


def commit_at(revision: int) -> Commit:
    """Return a commit whose content depends on its revision only."""
    rng = random.Random(revision)
    slice_ids = sorted(rng.sample(range(SLICES), rng.randint(1, 25)))
    has_command = rng.random() < 0.2
    commands = (m.ZoneCommand(0, "hold", 1.0, "x", revision),) if has_command else ()
    slices = tuple(stored_slice(slice_id, revision) for slice_id in slice_ids)
    return Commit(revision, revision, slices, commands)


def state_at(last_revision: int) -> tuple[dict[int, StoredSlice], dict[int, m.ZoneCommand]]:
    """Return the slices and zone commands after all commits up to a revision."""
    slices: dict[int, StoredSlice] = {}
    commands: dict[int, m.ZoneCommand] = {}
    for revision in range(1, last_revision + 1):
        commit = commit_at(revision)
        slices |= {stored.slice_id: stored for stored in commit.slices}
        commands |= {command.zone: command for command in commit.zone_commands}
    return slices, commands


def open_on(disk: Disk) -> SqliteEngine:
    VFS.disk = disk
    return SqliteEngine("store.db", "puffintide-test")


def run_until_cut(cut_at_operation: int, commits: int = 40) -> tuple[Disk, int, int]:
    """Commit until the power is cut.

    Returns:
        The disk when the power was cut, the last acknowledged revision, and the last attempted revision.
    """
    disk = Disk()
    disk.cut_at_operation = cut_at_operation
    acknowledged = attempted = 0
    with contextlib.suppress(PowerCutError, StoreError):
        engine = open_on(disk)
        engine.db.pragma("wal_autocheckpoint", 30)  # Checkpoints often enough that power cuts hit them.
        for attempted in range(1, commits + 1):
            engine.commit(commit_at(attempted))
            acknowledged = attempted
        engine.close()
    return disk, acknowledged, attempted


def check_after_cut(disk: Disk, acknowledged: int, attempted: int, seed: int) -> None:
    engine = open_on(disk.after_power_cut(random.Random(seed)))
    assert engine.problems() == []
    snapshot = engine.load()
    # The last attempted commit may be durable, and must then be complete.
    assert acknowledged <= snapshot.revision <= attempted
    assert (snapshot.slices, snapshot.zone_commands) == state_at(snapshot.revision)
    engine.commit(commit_at(snapshot.revision + 1))  # The store accepts further commits.


def test_power_cut_at_any_operation_loses_no_acknowledged_commit_and_leaves_none_incomplete() -> None:
    case_count = 0
    for cut_at_operation in range(1, 500, 5):
        disk, acknowledged, attempted = run_until_cut(cut_at_operation)
        for seed in range(3):
            check_after_cut(disk, acknowledged, attempted, seed)
            case_count += 1
    assert case_count == 300


def test_without_syncs_a_power_cut_loses_acknowledged_commits() -> None:
    """Show that the power cut test can fail: without syncs, acknowledged commits are lost."""
    lossy_count = 0
    for seed in range(10):
        disk = Disk()
        engine = open_on(disk)
        engine.db.pragma("synchronous", "OFF")
        for revision in range(1, 10):
            engine.commit(commit_at(revision))
        with contextlib.suppress(StoreError):
            lossy_count += open_on(disk.after_power_cut(random.Random(seed))).load().revision < 9
    assert lossy_count > 0


def commit_until_full(engine: SqliteEngine, first_revision: int) -> tuple[int, StoreFullError]:
    """Commit until one fails because the disk is full; return its revision and error."""
    for revision in range(first_revision, 500):
        try:
            engine.commit(commit_at(revision))
        except StoreFullError as error:
            return revision, error
    raise AssertionError("no commit failed, so the disk did not become full")


def test_full_disk_keeps_earlier_commits_and_the_failed_one_can_be_retried() -> None:
    disk = Disk()
    engine = open_on(disk)
    engine.commit(commit_at(1))
    disk.capacity_bytes = 40_000
    revision, error = commit_until_full(engine, 2)
    assert "no space left" in str(error)
    assert engine.load().slices == state_at(revision - 1)[0]
    disk.capacity_bytes = UNLIMITED_BYTES
    engine.commit(commit_at(revision))
    assert engine.load().slices == state_at(revision)[0]
    disk.fail_sync = True
    with pytest.raises(StoreError, match="read or written"):
        engine.commit(commit_at(revision + 1))
    disk.fail_sync = False
    engine.close()


@pytest.fixture
def file(tmp_path: Path) -> Path:
    """Return the path of a store file with LAST_REVISION commits."""
    path = tmp_path / "store.db"
    engine = SqliteEngine(str(path))
    for revision in range(1, LAST_REVISION + 1):
        engine.commit(commit_at(revision))
    engine.close()
    return path


def test_flipped_bit_is_reported_with_its_slice_and_the_store_does_not_start(file: Path) -> None:
    assert run_command("store", "verify", str(file)).returncode == 0
    data = bytearray(file.read_bytes())
    offset = data.index(b"127.0.0.1:9000")
    data[offset + 3] ^= 4
    file.write_bytes(data)
    verified = run_command("store", "verify", str(file))
    assert verified.returncode == 1
    assert "row checksum does not match" in verified.stdout
    slice_id = int(verified.stdout.split("slice ")[1].split(":")[0])
    assert slice_id in state_at(LAST_REVISION)[0]
    assert f"slice {slice_id}" in run_command("store", "dump", str(file)).stderr
    ini = file.with_suffix(".ini")
    ini.write_text(
        "[deployment]\nname=t\nproxies=1\nslices=60\n[class r]\naim_s=1\ndeadline_s=2\n"
        f"[store]\nlisten=127.0.0.1:{PORTS.take()}\nfile={file}\n"
    )
    started = run_command("store", "--config", str(ini))
    assert started.returncode == 2
    assert started.stderr.count("\n") == 1
    assert f"slice {slice_id}" in started.stderr


def test_other_files_newer_formats_and_files_in_use_are_rejected(file: Path, tmp_path: Path) -> None:
    other = tmp_path / "other"
    other.write_bytes(b"not a store database, but long enough to check" * 50)
    with pytest.raises(StoreFormatError, match="is not a store database"):
        SqliteEngine(str(other))
    shutil.copy(file, tmp_path / "newer.db")
    with apsw.Connection(str(tmp_path / "newer.db")) as db:
        db.pragma("user_version", 7)
    db.close()
    with pytest.raises(StoreFormatError, match="format 7 is newer than 1"):
        SqliteEngine(str(tmp_path / "newer.db"))
    first = SqliteEngine(str(file))
    with pytest.raises(StoreInUseError, match="in use by another store process"):
        SqliteEngine(str(file))
    first.close()
    SqliteEngine(str(file)).close()


def test_restored_backup_is_another_store_with_tokens_above_all_issued(file: Path, tmp_path: Path) -> None:
    engine = SqliteEngine(str(file))
    before = engine.load()
    backup = tmp_path / "monday"
    assert engine.backup(str(backup)) == LAST_REVISION
    with pytest.raises(BackupError, match="the file already exists"):
        engine.backup(str(backup))
    engine.commit(commit_at(LAST_REVISION + 1))
    with pytest.raises(StoreInUseError, match="in use by another store process"):
        restore_backup(str(backup), str(file))  # The store is running.
    engine.close()
    restored = restore_backup(str(backup), str(file))
    assert restored.slices == before.slices
    assert restored.revision == LAST_REVISION
    assert restored.store_id != before.store_id
    assert restored.highest_token >= RESTORED_TOKEN_INCREMENT
    assert SqliteEngine(f"{file}.before").load().revision == LAST_REVISION + 1

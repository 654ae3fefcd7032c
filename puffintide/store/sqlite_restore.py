"""Restoring a backup of the embedded engine in place of a store that does not run."""

from __future__ import annotations

import os
from pathlib import Path

from puffintide.store.engine import StoreSnapshot
from puffintide.store.errors import BackupError, StoreDamagedError
from puffintide.store.sqlite import SqliteEngine, sync_path


def restore_backup(backup: str, target: str) -> StoreSnapshot:
    """Puts a backup in place of a store's file, as another store. The old file is kept beside it as .before.

    Args:
        backup: Path of the backup.
        target: Path of the store's file, which may not exist.

    Returns:
        What the restored store holds.

    Raises:
        StoreError: The target is as it was.
    """
    if not Path(backup).exists():
        raise BackupError(f"{backup}: is not there")
    new_path = f"{target}.restoring"
    Path(new_path).unlink(missing_ok=True)
    _copy_verified(backup, new_path)
    if Path(target).exists():
        SqliteEngine(target).close()  # raises if a store runs on it; folds its log into the file
        os.replace(target, f"{target}.before")
    engine = SqliteEngine(new_path)
    try:
        engine.assign_new_identity()
        snapshot = engine.load()
    finally:
        engine.close()
    os.replace(new_path, target)
    sync_path(str(Path(target).resolve().parent))
    return snapshot


def _copy_verified(backup: str, path: str) -> None:
    engine = SqliteEngine(backup)
    try:
        problems = engine.problems()
        if problems:
            raise StoreDamagedError(problems[0])
        engine.backup(path)
    finally:
        engine.close()

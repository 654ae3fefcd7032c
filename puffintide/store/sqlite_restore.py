"""Restoration of an SQLite backup in place of the file of a stopped store."""

from __future__ import annotations

import os
from pathlib import Path

from puffintide.store.engine import StoreSnapshot
from puffintide.store.errors import BackupError, StoreDamagedError
from puffintide.store.sqlite import SqliteEngine, sync_path


def restore_backup(backup: str, target: str) -> StoreSnapshot:
    """Replace a store's file with a backup.

    The restored store gets a new store id. The old file is kept with the suffix .before.

    Args:
        backup: Path of the backup.
        target: Path of the store's file, which need not exist.

    Returns:
        The state of the restored store.

    Raises:
        StoreError: The backup was not restored. The old file is kept at the target, or with the suffix .before if
            the failure came after it was renamed.
    """
    if not Path(backup).exists():
        raise BackupError(f"restore of {backup} failed: the backup does not exist")
    new_path = f"{target}.restoring"
    Path(new_path).unlink(missing_ok=True)
    _copy_verified(backup, new_path)
    if Path(target).exists():
        SqliteEngine(target).close()  # Raises if a store is running on it. Checkpoints its log into the file.
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

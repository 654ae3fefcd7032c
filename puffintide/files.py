"""Files that are swapped whole: a reader sees the old one or the new one, also when the writer is killed."""

from __future__ import annotations

import os


def swap(path: str, data: bytes) -> None:
    """Writes beside, syncs, renames, syncs the folder. Raises OSError; the old file then stands."""
    beside = f"{path}.{os.getpid()}.new"
    with open(beside, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)

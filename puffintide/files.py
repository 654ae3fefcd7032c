"""Atomic replacement of files: a reader sees the old or the new content, even if the writer is killed."""

from __future__ import annotations

import os


def replace_file(path: str, data: bytes) -> None:
    """Replace a file atomically.

    The data is written to a temporary file in the same directory, which is synced and renamed over the old
    file. Finally the directory is synced.

    Args:
        path: Path of the file to replace or create.
        data: New content of the file.

    Raises:
        OSError: The file cannot be written. The old one remains.
    """
    temporary_path = f"{path}.{os.getpid()}.new"
    with open(temporary_path, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)
    directory = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)

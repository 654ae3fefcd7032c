"""Files that are replaced atomically: a reader finds the old or the new one, also after the writer was killed."""

from __future__ import annotations

import os


def replace_file(path: str, data: bytes) -> None:
    """Write a file beside the old one, sync it, rename it, and sync the folder.

    Raises:
        OSError: The file can't be written; the old one remains.
    """
    temporary = f"{path}.{os.getpid()}.new"
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)

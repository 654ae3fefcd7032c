"""The tables as last held, in a file that is swapped whole: what a proxy begins with while nobody answers."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from puffintide.proxy.tables import FORMAT, Saved


class StateError(Exception):
    """There is no usable file; the text says why. The proxy then begins empty and reads the store."""


def save_state(path: str, saved: Saved) -> None:
    """Writes beside, syncs, renames. Raises OSError."""
    beside = f"{path}.{os.getpid()}.new"
    with open(beside, "wb") as file:
        file.write(msgspec.json.encode(saved))
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)


def load_state(path: str) -> Saved:
    try:
        saved = msgspec.json.decode(Path(path).read_bytes(), type=Saved)
    except FileNotFoundError:
        raise StateError(f"{path}: not there yet") from None
    except (OSError, msgspec.DecodeError, msgspec.ValidationError) as error:
        raise StateError(f"{path}: {error}") from None
    if saved.format != FORMAT:
        raise StateError(f"{path}: format {saved.format} is not {FORMAT}")
    return saved

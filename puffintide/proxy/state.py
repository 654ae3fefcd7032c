"""The tables as last held, in a file that is swapped whole: what a proxy begins with while nobody answers."""

from __future__ import annotations

from pathlib import Path

import msgspec

from puffintide.files import swap
from puffintide.proxy.tables import FORMAT, Saved


class StateError(Exception):
    """There is no usable file; the text says why. The proxy then begins empty and reads the store."""


def save_state(path: str, saved: Saved) -> None:
    """Raises OSError."""
    swap(path, msgspec.json.encode(saved))


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

"""The list of servers as last heard, in a file that is swapped whole. Used at a start until the source answers."""

from __future__ import annotations

from pathlib import Path

import msgspec

from puffintide.files import swap
from puffintide.protocol.messages import WatchEvent


class CacheError(Exception):
    """There is no usable file; the text says why. The assigner then waits for the source."""


class Saved(msgspec.Struct, frozen=True):
    version: int
    at: float  # wall-clock time of the saving: it has to be told after a reboot too
    news: WatchEvent


FORMAT = 1


def save_list(path: str, wall: float, news: WatchEvent) -> None:
    """Raises OSError."""
    swap(path, msgspec.json.encode(Saved(FORMAT, wall, news)))


def load_list(path: str, wall: float) -> WatchEvent:
    """The saved list as news of kind "cached", ages brought up to now. A clock set back makes nothing younger."""
    try:
        saved = msgspec.json.decode(Path(path).read_bytes(), type=Saved)
    except FileNotFoundError:
        raise CacheError(f"{path}: not there yet") from None
    except (OSError, msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CacheError(f"{path}: {error}") from None
    if saved.version != FORMAT:
        raise CacheError(f"{path}: format {saved.version} is not {FORMAT}")
    passed = max(0.0, wall - saved.at)
    rows = [
        msgspec.structs.replace(e, age_s=e.age_s + passed) if e.age_s >= 0 else e for e in saved.news.servers
    ]
    return WatchEvent("cached", saved.news.version, rows)

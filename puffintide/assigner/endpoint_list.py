"""The endpoint list as last received, and its cache file for starts while the source is unreachable."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from puffintide.decisions.events import EndpointStatus, ListUpdateType
from puffintide.files import replace_file
from puffintide.protocol.clock import Clock, Timer
from puffintide.protocol.messages import EndpointEntry, WatchEvent

SAVE_DELAY_S = 0.2  # Watch events within this time are saved in one write, in seconds.
FORMAT_VERSION = 1  # Format of the cache file; files of any other format are not used.


class EndpointListError(Exception):
    """Base class of the errors of this module."""


class CacheUnreadableError(EndpointListError):
    """Raised when the cache file is missing or unusable.

    The message says why. The assigner then waits for the source of the endpoint list.
    """


class _CacheFile(msgspec.Struct, frozen=True, rename={"saved_at_s": "at", "event": "news"}):
    """The content of the cache file, which is encoded as JSON."""

    version: int
    saved_at_s: float  # Wall-clock time in seconds, as a monotonic clock starts again from zero at a reboot.
    event: WatchEvent


def save_cache(path: str, wall_time_s: float, event: WatchEvent) -> None:
    """Replace the cache file.

    Args:
        path: The path of the cache file.
        wall_time_s: The current wall-clock time, in seconds.
        event: The endpoint list, as a watch event.

    Raises:
        OSError: The file could not be written. The previous file stays in place.
    """
    replace_file(path, msgspec.json.encode(_CacheFile(FORMAT_VERSION, wall_time_s, event)))


def load_cache(path: str, wall_time_s: float) -> WatchEvent:
    """Return the cached list as a watch event of type "cached", with the current ages of the servers.

    The ages never decrease, even if the wall clock was set back.

    Args:
        path: The path of the cache file.
        wall_time_s: The current wall-clock time, in seconds.

    Raises:
        CacheUnreadableError: The file is missing or unusable.
    """
    try:
        cache = msgspec.json.decode(Path(path).read_bytes(), type=_CacheFile)
    except FileNotFoundError as error:
        raise CacheUnreadableError(f"cannot read endpoint cache {path}: the file does not exist") from error
    except (OSError, msgspec.DecodeError) as error:
        raise CacheUnreadableError(f"cannot read endpoint cache {path}: {error}") from error
    if cache.version != FORMAT_VERSION:
        raise CacheUnreadableError(
            f"cannot read endpoint cache {path}: format version {cache.version}, expected {FORMAT_VERSION}"
        )
    elapsed_s = max(0.0, wall_time_s - cache.saved_at_s)
    entries = [_with_later_age(entry, elapsed_s) for entry in cache.event.servers]
    return WatchEvent(ListUpdateType.CACHED, cache.event.version, entries)


def _with_later_age(entry: EndpointEntry, elapsed_s: float) -> EndpointEntry:
    """Return an entry with its age increased by elapsed_s; an unknown age stays unknown."""
    if entry.age_s < 0:
        return entry
    return msgspec.structs.replace(entry, age_s=entry.age_s + elapsed_s)


@dataclass(frozen=True, slots=True)
class ReceivedEntry:
    """An entry, and when it was received in seconds of the reactor's clock."""

    entry: EndpointEntry
    received_at_s: float


class EndpointList:
    """The endpoint list as last received, which is also saved in a cache file if a path is set.

    Attributes:
        version: The version of the list; -1 before the first list.
        received_from_source: Whether the last list or delta came from the source, not from the cache file.
        entries: The entries of the listed servers, by server id.
    """

    def __init__(self, clock: Clock, path: str, log: Any) -> None:
        self.clock = clock
        self.path = path
        self.log = log
        self.version = -1
        self.received_from_source = False
        self.entries: dict[int, ReceivedEntry] = {}
        self._pending_save: Timer | None = None

    def on_watch_event(self, event: WatchEvent) -> None:
        """Apply a watch event, and schedule a save of the list."""
        self.version = event.version
        self.received_from_source = event.update_type != ListUpdateType.CACHED
        if event.update_type != ListUpdateType.DELTA:
            self.entries = {}
        now = self.clock.seconds()
        for entry in event.servers:
            self.entries[entry.server_id] = ReceivedEntry(entry, now)
        self.entries = {
            server_id: received
            for server_id, received in self.entries.items()
            if received.entry.status != EndpointStatus.REMOVED
        }
        if self.path and self._pending_save is None:
            self._pending_save = self.clock.callLater(SAVE_DELAY_S, self._save)

    def load(self) -> WatchEvent | None:
        """Load the cache file and apply it, and return its watch event or None if there is no usable file."""
        if not self.path:
            return None
        try:
            event = load_cache(self.path, time.time())
        except CacheUnreadableError as error:
            self.log.warning("endpoint_cache_unreadable", reason=str(error))
            return None
        self.on_watch_event(event)
        return event

    def _save(self) -> None:
        """Save the list with the current ages of the servers; a failure is logged."""
        self._pending_save = None
        now = self.clock.seconds()
        entries = [
            _with_later_age(received.entry, now - received.received_at_s)
            for _, received in sorted(self.entries.items())
        ]
        event = WatchEvent(ListUpdateType.CACHED, self.version, entries)
        try:
            save_cache(self.path, time.time(), event)
        except OSError as error:
            self.log.warning("endpoint_cache_write_failed", reason=str(error))

"""The endpoint list as last received, and its cache file for a start while its source is unreachable."""

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

SAVE_DELAY_S = 0.2  # events within this time are written at once
FORMAT_VERSION = 1


class EndpointListError(Exception):
    """Base of the errors of this module."""


class CacheUnreadableError(EndpointListError):
    """The cache file is absent or unusable; the text says why. The assigner then waits for the source."""


class _CacheFile(msgspec.Struct, frozen=True, rename={"saved_at_s": "at", "event": "news"}):
    """The content of the cache file, as JSON."""

    version: int
    saved_at_s: float  # wall-clock time, as a monotonic clock begins anew at a reboot
    event: WatchEvent


def save_cache(path: str, wall_time_s: float, event: WatchEvent) -> None:
    """Replace the cache file.

    Raises:
        OSError: It could not be written; the previous file stays.
    """
    replace_file(path, msgspec.json.encode(_CacheFile(FORMAT_VERSION, wall_time_s, event)))


def load_cache(path: str, wall_time_s: float) -> WatchEvent:
    """Return the cached list as a watch event of type "cached", with ages brought up to now.

    A wall clock that was set back makes no server younger.

    Raises:
        CacheUnreadableError: There is no usable file.
    """
    try:
        cache = msgspec.json.decode(Path(path).read_bytes(), type=_CacheFile)
    except FileNotFoundError as error:
        raise CacheUnreadableError(f"{path}: not there yet") from error
    except (OSError, msgspec.DecodeError) as error:
        raise CacheUnreadableError(f"{path}: {error}") from error
    if cache.version != FORMAT_VERSION:
        raise CacheUnreadableError(f"{path}: format {cache.version} is not {FORMAT_VERSION}")
    elapsed_s = max(0.0, wall_time_s - cache.saved_at_s)
    entries = [_aged(entry, elapsed_s) for entry in cache.event.servers]
    return WatchEvent(ListUpdateType.CACHED, cache.event.version, entries)


def _aged(entry: EndpointEntry, elapsed_s: float) -> EndpointEntry:
    """The entry as seen some time later; an unknown age stays unknown."""
    if entry.age_s < 0:
        return entry
    return msgspec.structs.replace(entry, age_s=entry.age_s + elapsed_s)


@dataclass(frozen=True, slots=True)
class ReceivedEntry:
    """An entry and when it was received, in seconds of the reactor's clock."""

    entry: EndpointEntry
    received_at_s: float


class EndpointList:
    """The list as last received; kept in a file if there is a path.

    Attributes:
        version: Version of the list, -1 before the first.
        received_from_source: Whether the source was reached since the start of this process.
        entries: Entries of the servers that are listed.
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
        """Apply a watch event and save the list soon."""
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
        """Load the cache file and apply it; None if there is no usable one."""
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
        self._pending_save = None
        now = self.clock.seconds()
        entries = [
            _aged(received.entry, now - received.received_at_s)
            for _, received in sorted(self.entries.items())
        ]
        event = WatchEvent(ListUpdateType.CACHED, self.version, entries)
        try:
            save_cache(self.path, time.time(), event)
        except OSError as error:
            self.log.warning("endpoint_cache_write_failed", reason=str(error))

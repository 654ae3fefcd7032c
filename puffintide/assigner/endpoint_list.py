"""The list of servers as last heard, kept in a file for a start while its source is down."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from puffintide.assigner.cache import CacheError, load_list, save_list
from puffintide.decisions.events import EndpointStatus
from puffintide.protocol import messages as m

SAVE_S = 0.2  # news of so long is written at once


class EndpointList:
    """path: of the file; empty: none is kept."""

    def __init__(self, reactor: Any, path: str, log: Any) -> None:
        self.reactor, self.path, self.log = reactor, path, log
        self.version = -1
        self.received_from_source = False  # by its source, in this life
        self.entries: dict[int, tuple[m.EndpointEntry, float]] = {}  # and when each was heard
        self._saving: Any = None

    def on_watch_event(self, news: m.WatchEvent) -> None:
        self.version, self.received_from_source = news.version, news.update_type != "cached"
        if news.update_type != "delta":
            self.entries = {}
        now = float(self.reactor.seconds())
        self.entries.update({e.server_id: (e, now) for e in news.servers})
        self.entries = {k: row for k, row in self.entries.items() if row[0].status != EndpointStatus.REMOVED}
        if self.path and self._saving is None:
            self._saving = self.reactor.callLater(SAVE_S, self._write)

    def _write(self) -> None:
        self._saving = None
        now = float(self.reactor.seconds())
        rows = [
            msgspec.structs.replace(e, age_s=e.age_s + (now - at) if e.age_s >= 0 else e.age_s)
            for _, (e, at) in sorted(self.entries.items())
        ]
        try:
            save_list(self.path, time.time(), m.WatchEvent("cached", self.version, rows))
        except OSError as error:
            self.log.warning("list_cache_failed", reason=str(error))

    def load(self) -> m.WatchEvent | None:
        if not self.path:
            return None
        try:
            news = load_list(self.path, time.time())
        except CacheError as error:
            self.log.warning("list_cache_unread", reason=str(error))
            return None
        self.on_watch_event(news)
        return news

"""The relay's news as changes of what stands: one watch, and when what it tells is passed on."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from puffintide.platform import messages as m
from puffintide.platform.config import Address
from puffintide.platform.http_exchange import Unreadable
from puffintide.platform.relay_state import Changes, Standing
from puffintide.platform.watch_stream import Watch

SETTLE_S = 0.15  # after so long without a line, what has come of what stands at the relay is passed on
GIVEN_S = 0.03  # and the lines of a slice just given
SILENT_S = 3.0  # the relay writes every second


class NewsFeed:
    def __init__(
        self,
        reactor: Any,
        address: Address,
        changed: Callable[[Changes], None],
        settled: Callable[[], None],
        log: Callable[..., None],
    ) -> None:
        """settled: what stands has been passed on for the first time."""
        self.reactor, self.log = reactor, log
        self._changed, self._first = changed, settled
        self.standing = Standing()
        self.watch = Watch(
            reactor, address, lambda: "/api/watch", self._opened, self._line, self._lost, SILENT_S
        )
        self.settled = False
        self._timer: Any = None

    def stop(self) -> None:
        self._cancel()
        self.watch.stop()

    def _opened(self) -> None:
        self.log("news_watch")
        self.standing.opened()
        self._settle_in(SETTLE_S)

    def _lost(self, why: str) -> None:
        self.log("news_watch_lost", reason=why)
        self._cancel()

    def _line(self, line: bytes) -> None:
        try:
            news = m.read_news(line)
        except (m.Invalid, m.Unreadable) as error:
            self.log("news_refused", reason=str(error))
            raise Unreadable("news that can't be read") from None  # what it told is told by a new watch
        if isinstance(news, m.Sign):
            self._settle(whole=True)
            return
        self._changed(self.standing.hear(news))
        if self.standing.unsettled:
            self._settle_in(SETTLE_S if self.standing.opening else GIVEN_S)

    def _settle_in(self, after_s: float) -> None:
        self._cancel()
        self._timer = self.reactor.callLater(after_s, self._settle)

    def _cancel(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _settle(self, whole: bool = False) -> None:
        self._cancel()
        changes = self.standing.settled(whole)
        if not self.settled:
            self.settled = True
            self._first()
        self._changed(changes)

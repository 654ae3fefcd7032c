"""What the relay says stands: proxies, slices in charge and their lines. Sans-I/O.

A watch starts with what stands. The one end of it that the protocol states is the next sign of life; a pause may
as well be a gap between two pieces, or this process being late. So what a watch adds is passed on at a pause, and
what it lacks counts as gone at the sign of life alone. A later watch is compared with what is known, so that a
break looks like neither all proxies leaving nor all slices given anew.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from puffintide.platform import messages as m

Tables = dict[int, dict[str, float]]  # by slice: shares by host


@dataclass(slots=True)
class Changes:
    """What the runtime is to be told, in this order."""

    left: list[int] = field(default_factory=list)
    joined: list[m.Joined] = field(default_factory=list)
    taken: list[int] = field(default_factory=list)
    given: Tables = field(default_factory=dict)
    late: Tables = field(default_factory=dict)  # further lines of slices that were passed on before
    applied: list[m.Applied] = field(default_factory=list)
    again: Tables = field(default_factory=dict)  # slices held on, as the store has them

    def __bool__(self) -> bool:
        rest = self.given or self.late or self.applied or self.again
        return bool(self.left or self.joined or self.taken or rest)


class Standing:
    def __init__(self) -> None:
        self.proxies: dict[int, m.Joined] = {}
        self.slices: set[int] = set()
        self.opening = False
        # Of the watch that opens: proxies not passed on yet, and all proxies and slices that it has named.
        self._snap: dict[int, m.Joined] = {}
        self._seen_proxies: set[int] = set()
        self._seen_slices: set[int] = set()
        self._fresh: Tables = {}  # given, with lines that may still come
        self._passed: set[int] = set()  # passed on with or since the last sign of life: more lines may come
        self._late: Tables = {}
        self.stray = 0  # lines held of slices that were not given
        # A proxy has joined. Before that the platform's tasks answer probes without the work that they take in
        # service, which would make all later answers look slow: no probe goes out.
        self.in_service = False

    def opened(self) -> None:
        """A watch begins: what stands comes first."""
        self.opening = True
        self._snap, self._fresh, self._late = {}, {}, {}
        self._seen_proxies, self._seen_slices, self._passed = set(), set(), set()

    @property
    def unsettled(self) -> bool:
        return self.opening or bool(self._fresh or self._late)

    @property
    def tables(self) -> Tables:
        """Those of all slices given so far, where nothing was passed on."""
        return self._fresh

    def hear(self, news: m.News | None) -> Changes:
        out = Changes()
        match news:
            case m.Joined(sidecar=number):
                if self.opening:
                    self._snap[number] = news
                    self._seen_proxies.add(number)
                else:
                    self._join(news, out)
            case m.Left(sidecar=number):
                if self.opening:
                    self._snap.pop(number, None)
                    self._seen_proxies.discard(number)
                elif self.proxies.pop(number, None) is not None:
                    out.left.append(number)
            case m.Applied():
                out.applied.append(news)
            case m.Given(partition=number, yes=True):
                self._fresh[number] = {}
                self._late.pop(number, None)
                self._seen_slices.add(number)
            case m.Given(partition=number):
                self._fresh.pop(number, None)
                self._late.pop(number, None)
                self._passed.discard(number)
                self._seen_slices.discard(number)
                if not self.opening and number in self.slices:
                    self.slices.discard(number)
                    out.taken.append(number)
            case m.Held(partition=number, host=host, share=share):
                if number in self._fresh:
                    self._fresh[number][host] = share
                elif number in self._passed:
                    self._late.setdefault(number, {})[host] = share
                else:
                    self.stray += 1
        return out

    def _join(self, news: m.Joined, out: Changes) -> None:
        if news.sidecar in self.proxies:  # it came back before its leaving was told
            out.left.append(news.sidecar)
        self.proxies[news.sidecar] = news
        self.in_service = True
        out.joined.append(news)

    def settled(self, whole: bool) -> Changes:
        """What has come so far is passed on. whole: a sign of life has come, and with it all before it."""
        out = Changes()
        kept = self.slices & self._fresh.keys() if self.opening else set[int]()
        for number, news in sorted(self._snap.items()):
            if number not in self.proxies or news.standing:
                self._join(news, out)
        self._snap = {}
        if whole and self.opening:
            self.opening = False
            for number in sorted(self.proxies.keys() - self._seen_proxies):
                del self.proxies[number]
                out.left.append(number)
            for number in sorted(self.slices - self._seen_slices):
                self.slices.discard(number)
                out.taken.append(number)
            out.again = {number: self._fresh.pop(number) for number in sorted(kept)}
            kept = set()
        out.given = {n: table for n, table in self._fresh.items() if n not in kept}
        self._fresh = {n: table for n, table in self._fresh.items() if n in kept}
        self.slices |= out.given.keys()
        out.late, self._late = self._late, {}
        self._passed = (
            set(out.given) if whole else self._passed | out.given.keys()
        )  # a sign may come in between
        return out


def table_anew(
    stored: Mapping[int, float], believed: Mapping[int, float], ours: Collection[int]
) -> dict[int, float]:
    """The table that holds where it is read anew: the store's, but for our own lines that it may not have yet."""
    kept = {s: share for s, share in believed.items() if s in ours}
    return {s: share for s, share in stored.items() if s not in ours} | kept


def read_anew(stored: Mapping[int, float], believed: Mapping[int, float], ours: Collection[int]) -> bool:
    """Whether the table of a slice that was ours before a watch and is ours still is to be read anew. Lines to the
    servers in `ours` are still on their way or were sent just now, so the store may be behind. Where it differs
    otherwise, another has had the slice meanwhile, and what it wrote holds.
    """
    keys = stored.keys() | believed.keys()
    return any(abs(stored.get(s, 0.0) - believed.get(s, 0.0)) > 1e-3 for s in keys - set(ours))

"""What the relay says stands: proxies, slices in charge and their lines. Sans-I/O.

A watch starts with what stands, with no mark at its end; a pause or a sign of life ends it. A later watch is
compared with what is known, so that a break looks like neither all proxies leaving nor all slices given anew.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from puffintide.node import messages as m


@dataclass(slots=True)
class Changes:
    """What the runtime is to be told, in this order."""

    left: list[int] = field(default_factory=list)
    joined: list[m.Joined] = field(default_factory=list)
    taken: list[int] = field(default_factory=list)
    given: dict[int, dict[str, float]] = field(default_factory=dict)
    applied: list[m.Applied] = field(default_factory=list)
    again: dict[int, dict[str, float]] = field(default_factory=dict)  # slices held on, as the store has them

    def __bool__(self) -> bool:
        return bool(self.left or self.joined or self.taken or self.given or self.applied or self.again)


class Standing:
    def __init__(self) -> None:
        self.proxies: dict[int, m.Joined] = {}
        self.slices: set[int] = set()
        self.opening = False
        self._snap: dict[int, m.Joined] = {}
        self._fresh: dict[int, dict[str, float]] = {}  # given, with lines that may still come
        self.stray = 0  # lines held of slices that were not given
        # A proxy has joined. Before that the platform's tasks answer probes without the work that they take in
        # service, which would make all later answers look slow: no probe goes out.
        self.in_service = False

    def opened(self) -> None:
        """A watch begins: what stands comes first."""
        self.opening, self._snap, self._fresh = True, {}, {}

    @property
    def unsettled(self) -> bool:
        return self.opening or bool(self._fresh)

    def hear(self, news: m.News) -> Changes:
        out = Changes()
        match news:
            case m.Joined(sidecar=number):
                if self.opening:
                    self._snap[number] = news
                else:
                    self._join(news, out)
            case m.Left(sidecar=number):
                if self.opening:
                    self._snap.pop(number, None)
                elif self.proxies.pop(number, None) is not None:
                    out.left.append(number)
            case m.Applied():
                out.applied.append(news)
            case m.Given(partition=number, yes=True):
                self._fresh[number] = {}
            case m.Given(partition=number):
                self._fresh.pop(number, None)
                if not self.opening and number in self.slices:
                    self.slices.discard(number)
                    out.taken.append(number)
            case m.Held(partition=number, host=host, share=share):
                if number in self._fresh:
                    self._fresh[number][host] = share
                else:
                    self.stray += 1
        return out

    def _join(self, news: m.Joined, out: Changes) -> None:
        if news.sidecar in self.proxies:  # it came back before its leaving was told
            out.left.append(news.sidecar)
        self.proxies[news.sidecar] = news
        self.in_service = True
        out.joined.append(news)

    def settled(self) -> Changes:
        """All that stood, or came with a giving, has been heard."""
        out = Changes()
        if self.opening:
            self.opening = False
            for number in sorted(self.proxies.keys() - self._snap.keys()):
                del self.proxies[number]
                out.left.append(number)
            for number, news in sorted(self._snap.items()):
                if number not in self.proxies or news.standing:
                    self._join(news, out)
            for number in sorted(self.slices - self._fresh.keys()):
                self.slices.discard(number)
                out.taken.append(number)
            for number in sorted(self.slices & self._fresh.keys()):
                out.again[number] = self._fresh.pop(number)
        out.given, self._fresh = self._fresh, {}
        self.slices |= out.given.keys()
        return out


def read_anew(stored: Mapping[int, float], believed: Mapping[int, float], ours: Collection[int]) -> bool:
    """Whether the table of a slice that was ours before a watch and is ours still is to be read anew. Lines to the
    servers in `ours` are still on their way or were sent just now, so the store may be behind. Where it differs
    otherwise, another has had the slice meanwhile, and what it wrote holds."""
    keys = stored.keys() | believed.keys()
    return any(abs(stored.get(s, 0.0) - believed.get(s, 0.0)) > 1e-3 for s in keys - set(ours))

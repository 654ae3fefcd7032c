"""Whether a further try follows, and where it may go. Pure; time is passed in.

Proof that a try never ran is one of: the connection was refused; the stream ended before the server's greeting,
that is before a byte of the request was written; the server said that it is full. All else may have run.
"""

from __future__ import annotations

from dataclasses import dataclass

TRIES = {0: 0, 1: 1, 2: 1, 3: 2}  # further tries by the way ordered
LEAST_S = 0.01  # a try with less time than this can't be answered


@dataclass(frozen=True, slots=True)
class Kind:
    """What a class allows to be repeated."""

    effect: str  # "repeatable", "by_key" or "once"
    group: str  # who drops repeats of a keyed request: "all", "zone" or "cell"
    window_s: float
    aim_s: float


@dataclass(frozen=True, slots=True)
class Past:
    """A request's tries so far."""

    number: int  # of the last try, 0 the first
    proved: bool  # the last try never ran
    ran_at: float | None  # when the first that may have run was sent
    ran_zone: int  # and the zone of its server


@dataclass(frozen=True, slots=True)
class Next:
    """A further try. only_zone: -1 anywhere."""

    only_zone: int


def patience(kind: Kind, mode: int, number: int, wait_aims: float, now: float, deadline: float) -> float:
    """Until when a try waits for its answer: where another may follow, so many aims; else the deadline."""
    if mode >= 2 and number < TRIES[mode] and kind.effect != "once":
        return min(deadline, now + wait_aims * kind.aim_s)
    return deadline


def further(kind: Kind, mode: int, past: Past, now: float, deadline: float) -> Next | None:
    """The next try, or None: the request gets its final answer now."""
    if past.number >= TRIES[mode] or now + LEAST_S >= deadline:
        return None
    if mode == 1 and not past.proved:
        return None
    if past.ran_at is None:
        return Next(-1)  # nothing has run: as safe as the first
    if kind.effect == "repeatable":
        return Next(-1)
    if kind.effect == "by_key" and now - past.ran_at < kind.window_s:
        if kind.group == "all":
            return Next(-1)
        if kind.group == "zone" and past.ran_zone >= 0:  # a zone that was never told is no zone to stay in
            return Next(past.ran_zone)
    return None  # once, outside the window, or a group that can't be told from here

"""Clients of a day: arrivals drawn ahead from the seed, each with its own retries; a record of each request."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TextIO

import numpy as np

from puffintide.config.model import Config
from puffintide.protocol import messages as m
from puffintide.protocol.client import StreamClient
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import Stream


@dataclass(slots=True)
class Arrival:
    at: float  # since the day's start
    proxy: int
    request_class: int
    key: int
    work_s: float
    honours: bool


def draw(config: Config) -> list[Arrival]:
    """All requests of a day, in order of time. The same seed gives the same day."""
    load, day, d = config.load, config.day, config.deployment
    assert load is not None and day is not None
    rng = np.random.default_rng(day.seed)
    peak = max(level for _, level in load.shape)
    expected = load.requests_per_s * peak * day.length_s
    times = np.sort(rng.uniform(0, day.length_s, rng.poisson(expected)))
    keep = rng.uniform(0, peak, len(times)) < np.interp(
        times, [p[0] for p in load.shape], [p[1] for p in load.shape]
    )
    times = times[keep]
    count = len(times)
    classes = list(config.classes.values())
    shares = np.array([c.share for c in classes])
    kinds = rng.choice(len(classes), count, p=shares / shares.sum())
    ranks = np.arange(1, load.keys + 1, dtype=float) ** -load.zipf
    keys = rng.choice(load.keys, count, p=ranks / ranks.sum())
    weights = rng.lognormal(0, 0.6, d.proxies)
    proxies = rng.choice(d.proxies, count, p=weights / weights.sum())
    works = np.empty(count)
    for k, c in enumerate(classes):
        sigma = np.sqrt(np.log(1 + c.work_cv**2))
        mine = kinds == k
        works[mine] = c.work_s * rng.lognormal(-(sigma**2) / 2, sigma, mine.sum())
    honours = rng.uniform(size=count) < load.honour
    zones = len(d.zones)
    for _, fault in sorted(config.faults.items()):
        inside = (times >= fault.at_s) & (times < fault.at_s + fault.for_s)
        if fault.kind == "hot_key":  # size: share of all traffic, to one key
            hit = inside & (rng.uniform(size=count) < fault.size)
            keys = np.where(hit, int(rng.integers(load.keys)), keys)
        elif fault.kind == "heavy_tail":  # extra: share of requests that have size times the work
            works = np.where(inside & (rng.uniform(size=count) < fault.extra), works * fault.size, works)
        elif fault.kind == "shift":  # size: share of other zones' traffic that comes to this zone's proxies
            here = [p for p in range(d.proxies) if p % zones == fault.zone]
            moved = inside & (rng.uniform(size=count) < fault.size)
            proxies = np.where(moved, rng.choice(here, count), proxies)
    rows = zip(times, proxies, kinds, keys, works, honours, strict=True)
    return [Arrival(float(t), int(p), int(k), int(key), float(w), bool(h)) for t, p, k, key, w, h in rows]


class Clients:
    """Plays arrivals against the proxies' fronts and writes one record for each request."""

    def __init__(self, reactor: Any, config: Config, fronts: list[str], record: TextIO) -> None:
        assert config.load is not None and config.day is not None
        self.reactor, self.config, self.load, self.record = reactor, config, config.load, record
        self.arrivals = draw(config)
        self.classes = list(config.classes.values())
        self.streams: dict[int, Stream] = {}
        self.open: dict[int, tuple[Arrival, float, int, Any]] = {}  # ask id: arrival, born, try, timer
        self.next_ask = 0
        self.next_arrival = 0
        self.begun = 0.0
        self.count = 0
        for number, address in enumerate(fronts):
            StreamClient(reactor, address, self._hello(number), self._on(number), self._lost(number)).start()

    @staticmethod
    def _hello(number: int) -> Callable[[], m.Hello]:
        return lambda: m.Hello(m.PROTOCOL_VERSION, "client", number)

    def _on(self, number: int) -> Any:
        def message(stream: Stream, message: AnyMessage) -> None:
            match message:
                case m.Welcome():
                    self.streams[number] = stream
                case m.ClientResponse():
                    self._replied(message)

        return message

    def _lost(self, number: int) -> Any:
        def lost(why: str) -> None:
            self.streams.pop(number, None)

        return lost

    def start(self) -> None:
        self.begun = self.reactor.seconds()
        self._next()

    def _next(self) -> None:
        now = self.reactor.seconds()
        while self.next_arrival < len(self.arrivals):
            arrival = self.arrivals[self.next_arrival]
            if self.begun + arrival.at > now:
                self.reactor.callLater(self.begun + arrival.at - now, self._next)
                return
            self.next_arrival += 1
            self._ask(arrival, self.begun + arrival.at, 0)

    def _share(self, at: float) -> float:
        for _, fault in sorted(self.config.faults.items()):
            if fault.kind == "give_up" and fault.at_s <= at - self.begun < fault.at_s + fault.for_s:
                return min(fault.size, self.load.try_share)
        return self.load.try_share

    def _ask(self, arrival: Arrival, born: float, number: int) -> None:
        now = self.reactor.seconds()
        made = self.classes[arrival.request_class]
        left = min(made.deadline_s * self._share(now), born + made.deadline_s - now)
        stream = self.streams.get(arrival.proxy)
        if left <= 0.005:
            self._end(arrival, born, number, False, "late")
            return
        if stream is None:
            self._again(arrival, born, number, 0.0, "no proxy", safe=True)
            return
        self.next_ask += 1
        ask = self.next_ask
        timer = self.reactor.callLater(left, self._timeout, ask)
        self.open[ask] = (arrival, born, number, timer)
        stream.send(m.ClientRequest(ask, arrival.request_class, arrival.key, round(left, 6), arrival.work_s))

    def _timeout(self, ask: int) -> None:
        arrival, born, number, _ = self.open.pop(ask)
        self._again(arrival, born, number, 0.0, "gave up", safe=False)

    def _replied(self, reply: m.ClientResponse) -> None:
        found = self.open.pop(reply.request_id, None)
        if found is None:
            return
        arrival, born, number, timer = found
        timer.cancel()
        if reply.status == m.AttemptStatus.OK:
            self._end(arrival, born, number, True, "")
        else:
            reasons: dict[int, str] = {
                m.AttemptStatus.SATURATED: "refused",
                m.AttemptStatus.TIMEOUT: "timeout",
            }
            why = reasons.get(reply.status, f"status {reply.status}")
            self._again(arrival, born, number, reply.retry_after_s, why, safe=not reply.may_have_executed)

    def _again(
        self, arrival: Arrival, born: float, number: int, again_s: float, why: str, safe: bool
    ) -> None:
        """Clients repeat safe requests after any failure, keyed ones within their window, others only after
        a refusal that proves nothing ran."""
        made = self.classes[arrival.request_class]
        now = self.reactor.seconds()
        keyed = made.effect == "by_key" and now - born < made.window_s
        if number >= self.load.retries or not (safe or made.effect == "repeatable" or keyed):
            self._end(arrival, born, number, False, why)
            return
        wait = max(self.load.retry_s, again_s if arrival.honours else 0.0)
        if now + wait >= born + made.deadline_s:
            self._end(arrival, born, number, False, why)
            return
        self.reactor.callLater(wait, self._ask, arrival, born, number + 1)

    def _end(self, arrival: Arrival, born: float, number: int, good: bool, why: str) -> None:
        self.count += 1
        row = {
            "at": round(arrival.at, 4),
            "class": arrival.request_class,
            "proxy": arrival.proxy,
            "took": round(self.reactor.seconds() - born, 4),
            "tries": number + 1,
            "ok": good,
            "why": why,
        }
        self.record.write(json.dumps(row) + "\n")

    def done(self) -> bool:
        return self.next_arrival >= len(self.arrivals) and not self.open

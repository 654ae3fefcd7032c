"""A session server's work without I/O: cores, slots, a queue, warming, a cache of keys, and falling over.

Work is in seconds at a core of speed 1. Requests under way share the cores evenly. Time is passed in and never goes
back; call due() at the time that next_due() gave, or sooner.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Make:
    """What a server is: the day's true figures, which no assigner is told."""

    cores: int
    speed: float
    slots: int
    queue: int
    cold_from: float
    warm_s: float
    cache_gain: float
    cache_s: float
    cache_keys: int
    fall_multiple: float
    fall_s: float


@dataclass(slots=True)
class _Job:
    id: int
    left: float
    silent: bool  # nobody waits for its answer, as with handshakes


@dataclass(slots=True)
class ServerModel:
    make: Make
    started: float | None  # None: long ago, warm
    slow: float = 1.0  # how many times slower than usual
    fallen: bool = False
    at: float = 0.0
    _running: list[_Job] = field(default_factory=list)
    _queue: deque[_Job] = field(default_factory=deque)
    _keys: OrderedDict[int, float] = field(default_factory=OrderedDict)
    _pushed: deque[tuple[float, float]] = field(default_factory=deque)
    _pushed_sum: float = 0.0
    stopped_until: float = 0.0  # a pause: nothing runs before
    answered: int = 0

    def warmth(self, now: float) -> float:
        if self.started is None or self.make.warm_s <= 0:
            return 1.0
        part = max(0.0, now - self.started) / self.make.warm_s
        return min(1.0, self.make.cold_from + (1 - self.make.cold_from) * part)

    def capacity(self, now: float) -> float:
        """Work a second that it can do now, faults left aside."""
        return self.make.cores * self.make.speed * self.warmth(now)

    def held(self) -> int:
        """Requests waiting or running."""
        return sum(not job.silent for job in self._running) + sum(not job.silent for job in self._queue)

    def busy(self) -> float:
        return min(1.0, len(self._running) / self.make.cores)

    def _rate(self, now: float) -> float:
        """Work a second of each running job."""
        if not self._running or now < self.stopped_until:
            return 0.0
        share = min(1.0, self.make.cores / len(self._running))
        return self.make.speed * self.warmth(now) * share / self.slow

    def advance(self, now: float) -> None:
        begin = max(self.at, min(self.stopped_until, now))
        done = self._rate(now) * (now - begin)
        self.at = max(self.at, now)
        if done > 0:
            for job in self._running:
                job.left -= done

    def offer(self, now: float, number: int, work: float, key: int | None, silent: bool = False) -> bool:
        """Takes a request in, or says that it is full. What is pushed at a cold server may make it fall."""
        self.advance(now)
        if key is not None:
            work *= self._met(now, key)
        if not silent and len(self._queue) >= self.make.queue and len(self._running) >= self.make.slots:
            self._push(now, work)
            return False
        self._push(now, work)
        job = _Job(number, work, silent)
        if len(self._running) < self.make.slots:
            self._running.append(job)
        else:
            self._queue.append(job)
        return True

    def _met(self, now: float, key: int) -> float:
        last = self._keys.pop(key, None)
        self._keys[key] = now
        if len(self._keys) > self.make.cache_keys:
            self._keys.popitem(last=False)
        return 1 - self.make.cache_gain if last is not None and now - last < self.make.cache_s else 1.0

    def warm_keys(self, now: float, keys: list[int]) -> None:
        """Keys that it met before the day began."""
        for key in keys[-self.make.cache_keys :]:
            self._keys[key] = now

    def _push(self, now: float, work: float) -> None:
        self._pushed.append((now, work))
        self._pushed_sum += work
        while self._pushed and self._pushed[0][0] < now - self.make.fall_s:
            self._pushed_sum -= self._pushed.popleft()[1]
        budget = self.make.fall_multiple * self.capacity(now) * self.make.fall_s * 1.1
        if self.warmth(now) < 1 and self._pushed_sum > budget:
            self.fallen = True

    def due(self, now: float) -> list[int]:
        """Requests done by now."""
        self.advance(now)
        done = [job for job in self._running if job.left <= 1e-9]
        if done:
            self._running = [job for job in self._running if job.left > 1e-9]
            while self._queue and len(self._running) < self.make.slots:
                self._running.append(self._queue.popleft())
        self.answered += len(done)
        return [job.id for job in done if not job.silent]

    def next_due(self) -> float | None:
        """When the next one may be done; a server that warms is looked at again sooner."""
        if not self._running:
            return None
        if self.at < self.stopped_until:
            return self.stopped_until
        rate = self._rate(self.at)
        return self.at + min(0.25, max(0.0005, min(job.left for job in self._running) / max(rate, 1e-9)))

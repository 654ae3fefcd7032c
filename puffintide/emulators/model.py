"""A model of a session server without I/O: cores, slots, queue, slow start, key cache, overload collapse.

Work is measured in seconds on a core of speed 1, and running jobs share the cores evenly. The time is an
argument and never goes back. take_completed() must be called at the time that next_completion_at() returned,
or earlier.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

WORK_TOLERANCE_S = 1e-9  # A job with no more work left than this is complete; it absorbs rounding errors.
MIN_WAIT_S = 0.0005  # Minimum time between two updates of a server, in seconds.
# Maximum time between two updates, in seconds; a server that warms up becomes faster in the meantime.
MAX_WAIT_S = 0.25
OVERLOAD_TOLERANCE = 1.1  # Factor on the work that a server withstands while it warms up.


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """The true properties of a server; assigners know only its endpoint entry and its load reports."""

    cores: int
    speed: float  # Speed of a core, relative to 1.
    slots: int  # Maximum number of running jobs.
    queue_capacity: int  # Maximum number of jobs that wait for a slot.
    initial_capacity_fraction: float  # Fraction of full capacity at the start.
    warm_up_s: float
    cache_saving: float  # Fraction of the work of a request that a cached key saves.
    cache_lifetime_s: float
    cache_max_keys: int
    # A warming server collapses if the work offered in the window exceeds this multiple of its capacity.
    collapse_multiple: float
    collapse_window_s: float


@dataclass(slots=True)
class _Job:
    id: int
    remaining_s: float  # Remaining work, in seconds.
    is_background: bool  # Whether its completion is not reported, as for handshakes.


@dataclass(slots=True)
class ServerModel:
    """The state of a running server."""

    spec: ServerSpec
    started_at_s: float | None  # Start in seconds; None for a server that has warmed up.
    slowdown: float = 1.0  # Factor on the duration of work.
    has_collapsed: bool = False
    now_s: float = 0.0
    paused_until_s: float = 0.0  # Time before which no job makes progress, in seconds.
    completed_jobs: int = 0
    _running: list[_Job] = field(default_factory=list)
    _queue: deque[_Job] = field(default_factory=deque)
    _key_used_at_s: OrderedDict[int, float] = field(default_factory=OrderedDict)
    # Times and work of the jobs that were offered within the window.
    _offered: deque[tuple[float, float]] = field(default_factory=deque)
    _offered_work_s: float = 0.0

    def warm_up_fraction(self, now_s: float) -> float:
        """Return the fraction of full capacity that the server has reached since its start."""
        if self.started_at_s is None or self.spec.warm_up_s <= 0:
            return 1.0
        initial = self.spec.initial_capacity_fraction
        progress = max(0.0, now_s - self.started_at_s) / self.spec.warm_up_s
        return min(1.0, initial + (1 - initial) * progress)

    def capacity(self, now_s: float) -> float:
        """Return the seconds of work that the server can do per second without injected faults."""
        return self.spec.cores * self.spec.speed * self.warm_up_fraction(now_s)

    def in_flight(self) -> int:
        """Return the number of requests that wait or run."""
        running = sum(not job.is_background for job in self._running)
        return running + sum(not job.is_background for job in self._queue)

    def utilization(self) -> float:
        """Return the fraction of cores in use."""
        return min(1.0, len(self._running) / self.spec.cores)

    def advance(self, now_s: float) -> None:
        """Advance the running jobs to the current time."""
        begin_s = max(self.now_s, min(self.paused_until_s, now_s))
        work_s = self._work_rate(now_s) * (now_s - begin_s)
        self.now_s = max(self.now_s, now_s)
        if work_s > 0:
            for job in self._running:
                job.remaining_s -= work_s

    def offer(
        self, now_s: float, job_id: int, work_s: float, key: int | None, is_background: bool = False
    ) -> bool:
        """Accept a job, or return False if slots and queue are full.

        Background jobs are always accepted. Offered work may make a warming server collapse even if it is
        rejected.
        """
        self.advance(now_s)
        if key is not None:
            work_s *= self._use_cache(now_s, key)
        self._record_offered_work(now_s, work_s)
        has_slot = len(self._running) < self.spec.slots
        if not is_background and not has_slot and len(self._queue) >= self.spec.queue_capacity:
            return False
        job = _Job(job_id, work_s, is_background)
        if has_slot:
            self._running.append(job)
        else:
            self._queue.append(job)
        return True

    def take_completed(self, now_s: float) -> list[int]:
        """Return the ids of the requests that have completed by now, each of them once."""
        self.advance(now_s)
        completed = [job for job in self._running if job.remaining_s <= WORK_TOLERANCE_S]
        if completed:
            self._running = [job for job in self._running if job.remaining_s > WORK_TOLERANCE_S]
            while self._queue and len(self._running) < self.spec.slots:
                self._running.append(self._queue.popleft())
        self.completed_jobs += len(completed)
        return [job.id for job in completed if not job.is_background]

    def next_completion_at(self) -> float | None:
        """Return when to call take_completed() next; None if no job runs.

        Outside a pause, this is at most MAX_WAIT_S after the current time.
        """
        if not self._running:
            return None
        if self.now_s < self.paused_until_s:
            return self.paused_until_s
        rate = max(self._work_rate(self.now_s), WORK_TOLERANCE_S)
        wait_s = min(job.remaining_s for job in self._running) / rate
        return self.now_s + min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s))

    def _work_rate(self, now_s: float) -> float:
        """Return the seconds of work that each running job receives per second."""
        if not self._running or now_s < self.paused_until_s:
            return 0.0
        core_fraction = min(1.0, self.spec.cores / len(self._running))
        return self.spec.speed * self.warm_up_fraction(now_s) * core_fraction / self.slowdown

    def _use_cache(self, now_s: float, key: int) -> float:
        """Record the use of a key, and return the factor on the work of a request for it."""
        last_used_at_s = self._key_used_at_s.pop(key, None)
        self._key_used_at_s[key] = now_s
        if len(self._key_used_at_s) > self.spec.cache_max_keys:
            self._key_used_at_s.popitem(last=False)
        if last_used_at_s is not None and now_s - last_used_at_s < self.spec.cache_lifetime_s:
            return 1 - self.spec.cache_saving
        return 1.0

    def _record_offered_work(self, now_s: float, work_s: float) -> None:
        self._offered.append((now_s, work_s))
        self._offered_work_s += work_s
        window_s = self.spec.collapse_window_s
        while self._offered and self._offered[0][0] < now_s - window_s:
            self._offered_work_s -= self._offered.popleft()[1]
        max_offered_s = self.spec.collapse_multiple * self.capacity(now_s) * window_s * OVERLOAD_TOLERANCE
        if self.warm_up_fraction(now_s) < 1 and self._offered_work_s > max_offered_s:
            self.has_collapsed = True

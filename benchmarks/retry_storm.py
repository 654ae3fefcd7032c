"""Measures amplification and timely responses of each retry mode when a fleet near its limit becomes slow.

    python -m benchmarks.retry_storm [--seed 1] [--table FILE]

The proxy's engine and emulated servers run in virtual time without sockets, so that a seed gives the same
table on every machine. Load is a fraction of the fleet's capacity. The servers run at normal speed for 10 s,
at half speed for 10 s, and then recover. Amplification is the number of attempts divided by the number of
first attempts; the retry modes limit it to 1, 2, 2 and 3.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Hashable, Iterable
from functools import partial
from pathlib import Path
from typing import NamedTuple

import click

from puffintide.decisions.settings import AdmissionMode, RepeatSafety
from puffintide.emulators.model import ServerModel, ServerSpec
from puffintide.protocol import messages as m
from puffintide.proxy.effects import (
    CancelAttempt,
    CompleteRequest,
    ConnectServer,
    DisconnectServer,
    Effect,
    SendAttempt,
)
from puffintide.proxy.engine import Engine
from puffintide.proxy.retry_policy import DeduplicationScope, RequestClassPolicy
from puffintide.proxy.settings import EngineSettings

SERVER_COUNT = 10
SLICE_COUNT = 40
MEAN_WORK_S = 0.1
ARRIVAL_DURATION_S = 30.0
SLOWDOWN_START_S = 10.0
SLOWDOWN_END_S = 20.0
SLOWDOWN_FACTOR = 2.0
REQUEST_TIMEOUT_S = 1.5
REJECTION_DELAY_S = 0.001  # Time from an attempt to the rejection by a saturated server.
MIN_TIMER_DELAY_S = 1e-6
NON_IDEMPOTENT_CLASS = 1
REQUESTS_PER_NON_IDEMPOTENT = 5  # Every fifth request is of the non-idempotent class.
LOADS = (0.7, 0.9)  # Loads as fractions of the fleet's capacity.
MAX_ATTEMPTS = (1, 2, 2, 3)  # Maximum number of attempts of a request, by retry mode.
REQUEST_CLASSES = (
    RequestClassPolicy(RepeatSafety.IDEMPOTENT, DeduplicationScope.ALL, 0, 0.5),
    RequestClassPolicy(RepeatSafety.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 0.5),
)
SERVER_SPEC = ServerSpec(
    cores=2,
    speed=1.0,
    slots=4,
    queue_capacity=20,
    initial_capacity_fraction=0.5,
    warm_up_s=5.0,
    cache_saving=0.0,
    cache_lifetime_s=1.0,
    cache_max_keys=10,
    collapse_multiple=3.0,
    collapse_window_s=1.5,
)
HEADINGS = (
    "load",
    "mode",
    "attempts a first attempt",
    "limit",
    "answered in time",
    "non-idempotent repeated",
)


def engine_settings() -> EngineSettings:
    """Return the settings of a proxy that admits every request and ejects no server."""
    return EngineSettings(
        slice_count=SLICE_COUNT,
        request_classes=REQUEST_CLASSES,
        same_zone_only=(False, False),
        default_retry_mode=0,
        retry_wait_objectives=1.0,
        ejection_failures=0,
        ejection_s=2.0,
        admission_mode=AdmissionMode.NONE,
        load_balancing_policy="rotate",
        queue_timeout_s=0.2,
        retry_after_s=0.5,
        zone=0,
    )


class _Event(NamedTuple):
    at_s: float
    sequence: int  # Orders events of the same time as they were scheduled.
    callback: Callable[[], None]


class RetrySimulation:
    """One proxy and its servers in virtual time.

    Args:
        retry_mode: Retry mode of the proxy, 0 to 3.
        load: Request rate as a fraction of the fleet's capacity.
        seed: Seed of the arrivals, the work and the engine's random choices.

    Attributes:
        requests: Number of requests that clients sent.
        first_attempts: Number of first attempts.
        attempts: Number of attempts of all requests.
        answered_in_time: Number of requests that were answered successfully within their timeout.
        unsafe_repeats: Number of attempts of non-idempotent requests after one that may have been executed.
    """

    def __init__(self, retry_mode: int, load: float, seed: int) -> None:
        self.requests = 0
        self.first_attempts = 0
        self.attempts = 0
        self.answered_in_time = 0
        self.unsafe_repeats = 0
        self._random = random.Random(seed)
        self.engine = Engine(engine_settings(), self._random.random)
        self._servers = [ServerModel(SERVER_SPEC, None) for _ in range(SERVER_COUNT)]
        self._request_rate = load * SERVER_COUNT * SERVER_SPEC.cores / MEAN_WORK_S
        self._now_s = 0.0
        self._events: list[_Event] = []
        self._last_sequence = 0
        self._executed_attempt_counts: Counter[Hashable] = Counter()  # Keyed by request handle.
        self._completion_check_at_s: dict[int, float] = {}  # Keyed by server id.
        self._configure_engine(retry_mode)

    def run(self) -> None:
        """Simulate until all requests have ended."""
        self._schedule_arrivals()
        self._schedule(SLOWDOWN_START_S, lambda: self._set_slowdown(SLOWDOWN_FACTOR))
        self._schedule(SLOWDOWN_END_S, lambda: self._set_slowdown(1.0))
        while self._events or self.engine.next_timer_at() is not None:
            timer_at_s = self.engine.next_timer_at()
            if timer_at_s is not None and (not self._events or timer_at_s <= self._events[0].at_s):
                self._now_s = max(self._now_s, timer_at_s)
                self._execute(self.engine.on_timer(self._now_s))
            else:
                event = heapq.heappop(self._events)
                self._now_s = event.at_s
                event.callback()

    def _configure_engine(self, retry_mode: int) -> None:
        table = [m.TableEntry(server_id, 1.0, f"127.0.0.1:{server_id}") for server_id in range(SERVER_COUNT)]
        ownerships = [m.SliceOwnership(slice_id, 1, 0, table) for slice_id in range(SLICE_COUNT)]
        self.engine.on_slice_ownerships(0.0, ownerships)
        level = m.AdmissionLevel(0xFFFF, 0, 1.0, retry_mode)
        self.engine.on_proxy_update(0.0, 0, m.ProxyUpdate(1, 0.0, 1.0, admission_levels=[level]))

    def _schedule_arrivals(self) -> None:
        at_s = 0.0
        while at_s < ARRIVAL_DURATION_S:
            at_s += self._random.expovariate(self._request_rate)
            self.requests += 1
            self._schedule(at_s, partial(self._send_request, self.requests))

    def _schedule(self, at_s: float, callback: Callable[[], None]) -> None:
        self._last_sequence += 1
        heapq.heappush(self._events, _Event(at_s, self._last_sequence, callback))

    def _send_request(self, request_id: int) -> None:
        is_non_idempotent = request_id % REQUESTS_PER_NON_IDEMPOTENT == 0
        class_index = NON_IDEMPOTENT_CLASS if is_non_idempotent else 0
        slice_id = request_id % SLICE_COUNT
        self._execute(
            self.engine.on_request(
                self._now_s, request_id, request_id, slice_id, class_index, REQUEST_TIMEOUT_S
            )
        )

    def _execute(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case ConnectServer(server_id):
                    self._execute(self.engine.on_server_connected(self._now_s, server_id))
                case SendAttempt():
                    self._send_attempt(effect)
                case CompleteRequest(_, status):
                    self.answered_in_time += status == m.AttemptStatus.OK
                case CancelAttempt() | DisconnectServer():
                    pass  # Neither effect stops the work of an emulated server.

    def _send_attempt(self, attempt: SendAttempt) -> None:
        self.attempts += 1
        self.first_attempts += attempt.attempt_number == 0
        is_repeat = attempt.attempt_number > 0 and self._executed_attempt_counts[attempt.handle] > 0
        self.unsafe_repeats += is_repeat and attempt.class_index == NON_IDEMPOTENT_CLASS
        work_s = self._random.lognormvariate(-0.1, 0.45) * MEAN_WORK_S
        if self._servers[attempt.server_id].offer(self._now_s, attempt.attempt_id, work_s, None):
            self._executed_attempt_counts[attempt.handle] += 1
        else:
            self._schedule(self._now_s + REJECTION_DELAY_S, lambda: self._reject(attempt))
        self._schedule_completion_check(attempt.server_id)

    def _reject(self, attempt: SendAttempt) -> None:
        self._respond(attempt.server_id, attempt.attempt_id, m.AttemptStatus.SATURATED)

    def _respond(self, server_id: int, attempt_id: int, status: m.AttemptStatus) -> None:
        self._execute(self.engine.on_response(self._now_s, server_id, attempt_id, status, []))

    def _schedule_completion_check(self, server_id: int) -> None:
        completion_at_s = self._servers[server_id].next_completion_at()
        scheduled_at_s = self._completion_check_at_s.get(server_id, float("inf"))
        if completion_at_s is None or completion_at_s >= scheduled_at_s:
            return
        check_at_s = max(completion_at_s, self._now_s + MIN_TIMER_DELAY_S)
        self._completion_check_at_s[server_id] = check_at_s
        self._schedule(check_at_s, lambda: self._check_completions(server_id))

    def _check_completions(self, server_id: int) -> None:
        if self._completion_check_at_s.get(server_id) == self._now_s:
            del self._completion_check_at_s[server_id]
        for attempt_id in self._servers[server_id].take_completed(self._now_s):
            self._respond(server_id, attempt_id, m.AttemptStatus.OK)
        self._schedule_completion_check(server_id)

    def _set_slowdown(self, factor: float) -> None:
        for server_id, server in enumerate(self._servers):
            server.advance(self._now_s)
            server.slowdown = factor
            self._schedule_completion_check(server_id)


def table_rows(seed: int) -> list[str]:
    """Return a table row for each load and retry mode."""
    rows = []
    for load in LOADS:
        for retry_mode, max_attempts in enumerate(MAX_ATTEMPTS):
            simulation = RetrySimulation(retry_mode, load, seed)
            simulation.run()
            amplification = simulation.attempts / simulation.first_attempts
            answered = simulation.answered_in_time / simulation.requests
            rows.append(
                f"| {load:.0%} | {retry_mode} | {amplification:.2f} | {max_attempts} | {answered:.3f} "
                f"| {simulation.unsafe_repeats} |"
            )
    return rows


@click.command()
@click.option("--seed", default=1)
@click.option("--table", default="")
def main(seed: int, table: str) -> None:
    """Print the table and write it to a file."""
    lines = [f"| {' | '.join(HEADINGS)} |", "| --- " * len(HEADINGS) + "|", *table_rows(seed)]
    click.echo("\n".join(lines))
    if table:
        Path(table).write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()

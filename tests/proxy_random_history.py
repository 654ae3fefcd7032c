"""Random event sequences for the proxy's engine, with checks on every effect and at the end.

Servers answer, fail, reject, do not answer or disconnect while weights and admission levels change.
"""

from __future__ import annotations

import random

from puffintide.decisions.settings import RepeatSafety
from puffintide.protocol import messages as m
from puffintide.proxy.effects import CompleteRequest, ConnectServer, DisconnectServer, Effect, SendAttempt
from tests.proxy_engines import REQUEST_CLASSES, create_engine

STEPS = 150
SERVERS = 4
SLICES = 4
MAX_STEP_S = 0.1
TIME_TOLERANCE_S = 1e-6
MIN_REPORT_INTERVAL_S = 0.1
STATUSES = (
    m.AttemptStatus.OK,
    m.AttemptStatus.OK,
    m.AttemptStatus.OK,
    m.AttemptStatus.SATURATED,
    m.AttemptStatus.ERROR,
)


class RandomHistory:
    """Runs one random event sequence that is determined by its seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.engine = create_engine(
            servers=SERVERS,
            default_retry_mode=self.random.choice((0, 1)),
            ejection_failures=self.random.choice((0, 2)),
            single_writer=self.random.random() < 0.2,
            max_queued_requests=5,
        )
        self.now_s = 1.0
        self.deadlines_s: dict[int, float] = {}  # Keyed by request handle.
        self.completed: dict[int, CompleteRequest] = {}  # Keyed by request handle.
        self.attempts: dict[int, list[SendAttempt]] = {}  # Keyed by request handle.
        self.proven_not_executed: dict[int, bool] = {}  # Keyed by attempt id.
        self.connecting: set[int] = set()
        self.in_flight: list[SendAttempt] = []
        self.reported_requests = self.reported_attempts = self.reported_unanswered = 0

    def run(self) -> None:
        """Run all steps, then run all timers until no request is open."""
        for handle in range(STEPS):
            self._advance(self.now_s + self.random.random() * MAX_STEP_S)
            self._step(handle)
        while (at_s := self.engine.next_timer_at()) is not None:
            self.now_s = max(self.now_s, at_s)
            self._check(self.engine.on_timer(self.now_s))
        self._report()

    def _advance(self, until_s: float) -> None:
        while (at_s := self.engine.next_timer_at()) is not None and at_s <= until_s:
            self.now_s = at_s
            self._check(self.engine.on_timer(at_s))
        self.now_s = until_s

    def _step(self, handle: int) -> None:
        match self.random.randrange(9):
            case 0 | 1 | 2:
                self._request(handle)
            case 3 if self.connecting:
                self._connect()
            case 4 | 5 if self.in_flight:
                self._respond()
            case 6:
                self._disconnect()
            case 7:
                self._update()
            case 8:
                self._report()

    def _request(self, handle: int) -> None:
        remaining_s = self.random.uniform(0.05, 3)
        self.deadlines_s[handle] = self.now_s + remaining_s
        slice_id = self.random.randrange(SLICES)
        class_index = self.random.randrange(len(REQUEST_CLASSES))
        self._check(self.engine.on_request(self.now_s, handle, handle, slice_id, class_index, remaining_s))

    def _connect(self) -> None:
        server_id = self.random.choice(sorted(self.connecting))
        self.connecting.discard(server_id)
        if self.random.random() < 0.7:
            self._check(self.engine.on_server_connected(self.now_s, server_id))
        else:
            self._check(self.engine.on_server_disconnected(self.now_s, server_id))

    def _respond(self) -> None:
        attempt = self.in_flight.pop(self.random.randrange(len(self.in_flight)))
        server_id, attempt_id = attempt.server_id, attempt.attempt_id
        status = self.random.choice(STATUSES)
        self.proven_not_executed[attempt_id] = status == m.AttemptStatus.SATURATED
        self._check(self.engine.on_response(self.now_s, server_id, attempt_id, status, []))
        if self.random.random() < 0.1:  # Answer the same attempt a second time.
            status = m.AttemptStatus.OK
            self._check(self.engine.on_response(self.now_s, server_id, attempt_id, status, []))

    def _disconnect(self) -> None:
        server_id = self.random.randrange(SERVERS)
        self.in_flight = [attempt for attempt in self.in_flight if attempt.server_id != server_id]
        self.connecting.discard(server_id)
        self._check(self.engine.on_server_disconnected(self.now_s, server_id))

    def _update(self) -> None:
        retry_mode = self.random.randrange(4)
        fraction = self.random.choice((1.0, 1.0, 0.5, 0.0))
        weights = [
            m.WeightEntry(
                self.random.randrange(SLICES), s, self.random.choice((0.0, 1.0)), 9, f"127.0.0.1:{s}", s % 2
            )
            for s in range(SERVERS)
        ]
        levels = [m.AdmissionLevel(0xFFFF, 0, fraction, retry_mode)]
        update = m.ProxyUpdate(1, self.now_s, 1.0, weights=weights, admission_levels=levels)
        self._check(self.engine.on_proxy_update(self.now_s, 0, update))
        for slice_id in range(SLICES):
            for class_index in range(len(REQUEST_CLASSES)):
                assert self.engine.tables.retry_mode(slice_id, class_index) == retry_mode

    def _report(self) -> None:
        report = self.engine.take_usage_report(self.now_s, 0, MIN_REPORT_INTERVAL_S)
        if report is not None:
            self.reported_attempts += sum(server.attempts for server in report.servers)
            self.reported_unanswered += sum(row.unanswered for row in report.slices)
            self.reported_requests += sum(row.requests for row in report.slices)

    def _check(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case ConnectServer(server_id):
                    assert server_id not in self.connecting
                    self.connecting.add(server_id)
                case SendAttempt():
                    self._check_attempt(effect)
                case CompleteRequest(handle):
                    assert isinstance(handle, int)
                    assert handle not in self.completed
                    assert handle in self.deadlines_s
                    assert self.now_s <= self.deadlines_s[handle] + TIME_TOLERANCE_S
                    self.completed[handle] = effect
                case DisconnectServer(server_id):
                    self.connecting.discard(server_id)

    def _check_attempt(self, attempt: SendAttempt) -> None:
        assert attempt.remaining_s > 0
        assert isinstance(attempt.handle, int)
        earlier_attempts = self.attempts.setdefault(attempt.handle, [])
        if earlier_attempts:
            assert attempt.attempt_number <= 2
            if REQUEST_CLASSES[attempt.class_index].repeat_safety == RepeatSafety.NON_IDEMPOTENT:
                assert all(self.proven_not_executed.get(other.attempt_id) for other in earlier_attempts)
        earlier_attempts.append(attempt)
        self.in_flight.append(attempt)

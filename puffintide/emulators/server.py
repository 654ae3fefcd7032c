"""An emulated session server on a socket, which answers attempts and health checks as its model says."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from puffintide.config.schema import Fleet
from puffintide.emulators.model import MIN_WAIT_S, ServerModel, ServerSpec
from puffintide.protocol import messages as m
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.session import Greeting
from puffintide.protocol.stream import Stream, StreamServerFactory

MAX_PENDING_CONNECTIONS = 2000
HEARTBEAT_INTERVAL_S = 30.0
HEARTBEAT_TIMEOUT_S = 90.0
HANDSHAKE_JOB_ID = -1  # Shared by all handshakes, as their completion is not reported.
REPORT_DIGITS = 4  # Decimal digits of reported load values.


@dataclass(slots=True)
class InjectedFaults:
    """The faults that a scenario injects into a server. A start clears them."""

    hangs: bool = False  # Whether responses are not sent.
    pause_interval_s: float = 0.0  # Mean time between pauses, in seconds; 0 for no pauses.
    pause_duration_s: float = 0.0
    report_factor: float = 1.0  # Factor on the reported load.
    max_connections: int = 2000
    handshake_factor: float = 1.0  # Factor on the work of a handshake.


@dataclass(frozen=True, slots=True)
class _Job:
    stream: Stream
    message_id: int  # Id of the attempt or of the health check.
    is_health_check: bool


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """The ids and the address by which the endpoint list names a server, and the port on which it listens."""

    server_id: int
    zone: int
    server_type: int
    port: int
    address: str  # Address in the endpoint list.


@dataclass(frozen=True, slots=True)
class ServerEnvironment:
    """The settings and resources that all servers of a fleet share."""

    reactor: Any
    fleet: Fleet
    load_values: tuple[str, ...]  # Names of the values in load reports, in order.
    random: random.Random


@dataclass
class EmulatedServer:
    """A server that can be started and stopped any number of times.

    Attributes:
        model: The state of the server; None while it does not run.
        incarnation: The number of starts so far.
    """

    identity: ServerIdentity
    spec: ServerSpec
    environment: ServerEnvironment
    on_collapse: Callable[[int], None]  # Called with the id of the server.
    faults: InjectedFaults = field(default_factory=InjectedFaults)
    model: ServerModel | None = None
    incarnation: int = 0
    _listener: Any = None
    _streams: set[Stream] = field(default_factory=set)
    _jobs: dict[int, _Job] = field(default_factory=dict)
    _last_job_id: int = 0
    _timer: Any = None
    _load_values: list[float] = field(default_factory=list)  # Values for responses, measured periodically.

    def start(self, is_warm: bool) -> None:
        """Clear injected faults and listen. A server that is not warm begins its slow start.

        Args:
            is_warm: Whether the server has full capacity at once.

        Raises:
            twisted.internet.error.CannotListenError: The port is in use.
        """
        now_s = self._now_s()
        self.incarnation += 1
        self.model = ServerModel(self.spec, None if is_warm else now_s, now_s=now_s)
        self.faults = InjectedFaults(max_connections=self.environment.fleet.connections)
        factory = StreamServerFactory(
            self.environment.reactor,
            lambda: m.Welcome(m.PROTOCOL_VERSION, "server", self.identity.server_id, self.incarnation),
            self._message_received,
            self._connection_lost,
            self._check_peer,
            heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
            heartbeat_timeout_s=HEARTBEAT_TIMEOUT_S,
        )
        self._listener = self.environment.reactor.listenTCP(
            self.identity.port, factory, MAX_PENDING_CONNECTIONS, "127.0.0.1"
        )
        self._measure_load(self.incarnation)

    def stop(self) -> None:
        """Close the port and abort all streams, as a crash does. Must be called while the server runs."""
        self.model = None
        self._listener.stopListening()
        for stream in sorted(self._streams, key=id):
            stream.abort(f"server {self.identity.server_id} was killed")
        self._streams.clear()
        self._jobs.clear()

    def set_slowdown(self, factor: float) -> None:
        """Multiply the duration of work by a factor from now on; do nothing if the server does not run."""
        if self.model is not None:
            self.model.advance(self._now_s())
            self.model.slowdown = factor

    def _now_s(self) -> float:
        return float(self.environment.reactor.seconds())

    def _check_peer(self, _greeting: Greeting) -> str | None:
        if len(self._streams) >= self.faults.max_connections:
            limit = self.faults.max_connections
            return f"server {self.identity.server_id} is at its limit of {limit} connections"
        return None

    def _connection_lost(self, stream: Stream, _reason: AnyMessage) -> None:
        self._streams.discard(stream)

    def _message_received(self, stream: Stream, message: AnyMessage) -> None:
        model = self.model
        if model is None:
            return
        match message:
            case m.Hello():
                self._handshake_received(stream, model)
            case m.AttemptRequest():
                self._attempt_received(stream, model, message)
            case m.HealthCheckRequest():
                self._health_check_received(stream, model, message)
            case m.CancelAttempt():
                pass  # Work that was accepted is not cancelled.
            case _:
                stream.reject(f"unexpected {type(message).__name__} message from a proxy or an assigner")

    def _handshake_received(self, stream: Stream, model: ServerModel) -> None:
        self._streams.add(stream)
        work_s = self.environment.fleet.handshake_s * self.faults.handshake_factor
        model.offer(self._now_s(), HANDSHAKE_JOB_ID, work_s, None, is_background=True)
        self._send_responses()

    def _attempt_received(self, stream: Stream, model: ServerModel, request: m.AttemptRequest) -> None:
        self._last_job_id += 1
        if model.offer(self._now_s(), self._last_job_id, request.work_s, request.key):
            self._jobs[self._last_job_id] = _Job(stream, request.attempt_id, is_health_check=False)
        else:
            stream.send(m.AttemptResponse(request.attempt_id, m.AttemptStatus.SATURATED, self._load_values))
        if model.has_collapsed:
            self.on_collapse(self.identity.server_id)
        else:
            self._send_responses()

    def _health_check_received(
        self, stream: Stream, model: ServerModel, request: m.HealthCheckRequest
    ) -> None:
        self._last_job_id += 1
        if model.offer(self._now_s(), self._last_job_id, self.environment.fleet.probe_s, None):
            self._jobs[self._last_job_id] = _Job(stream, request.check_id, is_health_check=True)
            self._send_responses()
        else:
            stream.send(m.HealthCheckResponse(request.check_id, m.AttemptStatus.SATURATED))

    def _send_responses(self) -> None:
        """Send the responses of completed jobs, and schedule the next call."""
        model = self.model
        if model is None:
            return
        for job_id in model.take_completed(self._now_s()):
            job = self._jobs.pop(job_id)
            if self.faults.hangs or job.stream.closed:
                continue
            response = m.HealthCheckResponse if job.is_health_check else m.AttemptResponse
            job.stream.send(response(job.message_id, m.AttemptStatus.OK, self._load_values))
        completion_at_s = model.next_completion_at()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if completion_at_s is not None:
            wait_s = max(MIN_WAIT_S, completion_at_s - self._now_s())
            self._timer = self.environment.reactor.callLater(wait_s, self._send_responses)

    def _measure_load(self, incarnation: int) -> None:
        """Measure the values of load reports, start a pause at random, and repeat until the server ends."""
        model = self.model
        if model is None or self.incarnation != incarnation:
            return
        fleet = self.environment.fleet
        noise = 1 + fleet.report_noise * self.environment.random.gauss(0, 1)
        measured = self._measured_values(model)
        self._load_values = [
            round(max(0.0, measured[name] * noise), REPORT_DIGITS) for name in self.environment.load_values
        ]
        interval_s = self.faults.pause_interval_s
        if interval_s and self.environment.random.random() < fleet.report_every_s / interval_s:
            model.advance(self._now_s())
            model.paused_until_s = self._now_s() + self.faults.pause_duration_s
        self.environment.reactor.callLater(fleet.report_every_s, self._measure_load, incarnation)

    def _measured_values(self, model: ServerModel) -> dict[str, float]:
        """Return each value that a configuration may name; those that a server can't measure are 0."""
        factor = self.faults.report_factor
        return {
            "rif": model.in_flight() * factor,
            "q": max(0.0, float(model.in_flight() - model.spec.slots)),
            "busy": min(1.0, model.utilization() * factor),
            "lat_ms": 0.0,
            "rate": 0.0,
            "fail_rate": 0.0,
        }

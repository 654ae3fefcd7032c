"""An emulated session server on a socket: it answers attempts and health checks as its model says."""

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
HANDSHAKE_JOB_ID = -1  # shared by all handshakes, which nobody waits for
REPORT_DIGITS = 4


@dataclass(slots=True)
class InjectedFaults:
    """What a scenario does to a server; a start clears it."""

    hangs: bool = False  # responses are not sent
    pause_interval_s: float = 0.0  # the mean time between pauses; 0: none
    pause_duration_s: float = 0.0
    report_factor: float = 1.0  # on the reported load
    max_connections: int = 2000
    handshake_factor: float = 1.0  # on the work of a handshake


@dataclass(frozen=True, slots=True)
class _Job:
    stream: Stream
    message_id: int  # of the attempt or the health check
    is_health_check: bool


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """What the endpoint list says of a server, and where it listens."""

    server_id: int
    zone: int
    server_type: int
    port: int
    address: str  # as in the endpoint list


@dataclass(frozen=True, slots=True)
class ServerEnvironment:
    """What all servers of a fleet share."""

    reactor: Any
    fleet: Fleet
    load_values: tuple[str, ...]  # names of the values in load reports, in their order
    random: random.Random


@dataclass
class EmulatedServer:
    """A server that is started and stopped, any number of times.

    Attributes:
        model: the state of the server; None while it does not run.
        incarnation: the number of starts so far.
    """

    identity: ServerIdentity
    spec: ServerSpec
    environment: ServerEnvironment
    on_collapse: Callable[[int], None]  # called with the server's id
    faults: InjectedFaults = field(default_factory=InjectedFaults)
    model: ServerModel | None = None
    incarnation: int = 0
    _listener: Any = None
    _streams: set[Stream] = field(default_factory=set)
    _jobs: dict[int, _Job] = field(default_factory=dict)
    _last_job_id: int = 0
    _timer: Any = None
    _load_values: list[float] = field(default_factory=list)  # sent with responses, measured at intervals

    def start(self, is_warm: bool) -> None:
        """Listen, without faults; a server that is not warm begins its slow start.

        Raises twisted.internet.error.CannotListenError if the port is in use.
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
        """Break all streams and close the port, as a crash does. To be called while it runs."""
        self.model = None
        self._listener.stopListening()
        for stream in sorted(self._streams, key=id):
            stream.abort("server killed")
        self._streams.clear()
        self._jobs.clear()

    def set_slowdown(self, factor: float) -> None:
        """Make work take so many times longer from now on; nothing happens if it does not run."""
        if self.model is not None:
            self.model.advance(self._now_s())
            self.model.slowdown = factor

    def _now_s(self) -> float:
        return float(self.environment.reactor.seconds())

    def _check_peer(self, _greeting: Greeting) -> str | None:
        if len(self._streams) >= self.faults.max_connections:
            return "too many connections"
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
                pass  # it stops no work
            case _:
                stream.reject(f"a {type(message).__name__} is not for a server")

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
        """Answer what is complete, and schedule the next time."""
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
        """Measure the values of load reports, begin a pause by chance, and repeat until the server ends."""
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
        """Each value that a configuration may name; what a server can't measure is 0."""
        factor = self.faults.report_factor
        return {
            "rif": model.in_flight() * factor,
            "q": max(0.0, float(model.in_flight() - model.spec.slots)),
            "busy": min(1.0, model.utilization() * factor),
            "lat_ms": 0.0,
            "rate": 0.0,
            "fail_rate": 0.0,
        }

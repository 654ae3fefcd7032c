"""The clients of a scenario. They send requests to proxies, retry, and record the outcome of each request."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, TextIO

from puffintide.config.model import Config
from puffintide.config.schema import ClassSection, Load
from puffintide.emulators.arrivals import Arrival, draw_arrivals
from puffintide.emulators.errors import MissingSectionError
from puffintide.protocol import messages as m
from puffintide.protocol.client import StreamClient
from puffintide.protocol.clock import Timer
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import Stream

MIN_TIMEOUT_S = 0.005  # Time in seconds; a request with this much time left or less is not sent.
# Names of outcomes in records, by the status of the response.
OUTCOMES: dict[int, str] = {
    m.AttemptStatus.SATURATED: "refused",
    m.AttemptStatus.TIMEOUT: "timeout",
}


@dataclass(frozen=True, slots=True)
class _Request:
    """A request and the number of its current attempt."""

    arrival: Arrival
    arrived_at_s: float  # Time at which it was due, on the clock of the reactor, in seconds.
    attempt_number: int  # Zero for the first attempt.

    def next_attempt(self) -> _Request:
        return _Request(self.arrival, self.arrived_at_s, self.attempt_number + 1)


@dataclass(frozen=True, slots=True)
class _InFlight:
    request: _Request
    timer: Timer


class Clients:
    """Sends the requests of a scenario, using one stream per proxy.

    Args:
        reactor: The reactor that provides time and connections.
        config: The configuration of the scenario.
        proxy_addresses: The address of each proxy as HOST:PORT, in the order of proxy ids.
        record: The file that receives one line with a JSON object for each request that has ended.

    Attributes:
        streams: The streams to connected proxies, by proxy id.
        attempts_sent: The number of attempts sent so far, which is the last request id on the wire.

    Raises:
        MissingSectionError: The configuration has no section [load] or no section [day].
    """

    def __init__(self, reactor: Any, config: Config, proxy_addresses: list[str], record: TextIO) -> None:
        if config.load is None or config.day is None:
            raise MissingSectionError(("load", "day"))
        self.arrivals = draw_arrivals(config)
        self.completed_requests = 0
        self._reactor = reactor
        self._config = config
        self._load: Load = config.load
        self._record_file = record
        self._classes: list[ClassSection] = list(config.classes.values())
        self.streams: dict[int, Stream] = {}
        self._in_flight: dict[int, _InFlight] = {}  # Attempts without a response, by request id on the wire.
        self.attempts_sent = 0
        self._next_arrival_index = 0
        self._started_at_s = 0.0
        for proxy_id, address in enumerate(proxy_addresses):
            self._connect(proxy_id, address)

    def start(self) -> None:
        """Start the clock of the scenario. The streams are opened earlier, by the constructor."""
        self._started_at_s = self._now_s()
        self._send_arrivals()

    def done(self) -> bool:
        """Return whether all requests were sent and none is in flight, not counting those awaiting retry."""
        return self._next_arrival_index >= len(self.arrivals) and not self._in_flight

    def _now_s(self) -> float:
        return float(self._reactor.seconds())

    def _connect(self, proxy_id: int, address: str) -> None:
        def message_received(stream: Stream, message: AnyMessage) -> None:
            match message:
                case m.Welcome():
                    self.streams[proxy_id] = stream
                case m.ClientResponse():
                    self._response_received(message)

        def connection_lost(_reason: str) -> None:
            self.streams.pop(proxy_id, None)

        def make_hello() -> m.Hello:
            return m.Hello(m.PROTOCOL_VERSION, "client", proxy_id)

        StreamClient(self._reactor, address, make_hello, message_received, connection_lost).start()

    def _send_arrivals(self) -> None:
        """Send the requests that are due, and schedule the next one."""
        now_s = self._now_s()
        while self._next_arrival_index < len(self.arrivals):
            arrival = self.arrivals[self._next_arrival_index]
            arrived_at_s = self._started_at_s + arrival.at_s
            if arrived_at_s > now_s:
                self._reactor.callLater(arrived_at_s - now_s, self._send_arrivals)
                return
            self._next_arrival_index += 1
            self._send(_Request(arrival, arrived_at_s, 0))

    def _send(self, request: _Request) -> None:
        arrival = request.arrival
        timeout_s = self._timeout_s(request)
        if timeout_s <= MIN_TIMEOUT_S:
            self._complete(request, "late")
            return
        stream = self.streams.get(arrival.proxy_id)
        if stream is None:
            self._retry(request, 0.0, "no proxy", may_have_executed=False)
            return
        self.attempts_sent += 1
        request_id = self.attempts_sent
        timer = self._reactor.callLater(timeout_s, self._timed_out, request_id)
        self._in_flight[request_id] = _InFlight(request, timer)
        stream.send(
            m.ClientRequest(request_id, arrival.class_index, arrival.key, round(timeout_s, 6), arrival.work_s)
        )

    def _timeout_s(self, request: _Request) -> float:
        """Return the time to wait for a response to the current attempt, in seconds."""
        now_s = self._now_s()
        deadline_s = self._class_of(request).deadline_s
        return min(
            deadline_s * self._attempt_timeout_fraction(now_s), request.arrived_at_s + deadline_s - now_s
        )

    def _attempt_timeout_fraction(self, now_s: float) -> float:
        """Return the fraction of the deadline after which an attempt is given up; a fault may lower it."""
        since_start_s = now_s - self._started_at_s
        for _, fault in sorted(self._config.faults.items()):
            if fault.kind == "give_up" and fault.at_s <= since_start_s < fault.at_s + fault.for_s:
                return min(fault.size, self._load.try_share)
        return self._load.try_share

    def _timed_out(self, request_id: int) -> None:
        request = self._in_flight.pop(request_id).request
        self._retry(request, 0.0, "gave up", may_have_executed=True)

    def _response_received(self, response: m.ClientResponse) -> None:
        in_flight = self._in_flight.pop(response.request_id, None)
        if in_flight is None:
            return
        in_flight.timer.cancel()
        if response.status == m.AttemptStatus.OK:
            self._complete(in_flight.request, "")
            return
        outcome = OUTCOMES.get(response.status, f"status {response.status}")
        self._retry(in_flight.request, response.retry_after_s, outcome, response.may_have_executed)

    def _retry(self, request: _Request, retry_after_s: float, outcome: str, may_have_executed: bool) -> None:
        """Schedule a retry if the retry limit, the deadline and the request class allow it; else give up."""
        arrival = request.arrival
        now_s = self._now_s()
        is_retry_allowed = request.attempt_number < self._load.retries
        if not is_retry_allowed or (may_have_executed and not self._is_repeatable(request, now_s)):
            self._complete(request, outcome)
            return
        wait_s = max(self._load.retry_s, retry_after_s if arrival.honours_retry_after else 0.0)
        if now_s + wait_s >= request.arrived_at_s + self._class_of(request).deadline_s:
            self._complete(request, outcome)
            return
        self._reactor.callLater(wait_s, self._send, request.next_attempt())

    def _is_repeatable(self, request: _Request, now_s: float) -> bool:
        """Return whether a request that may have been executed may be sent again."""
        request_class = self._class_of(request)
        if request_class.effect == "repeatable":
            return True
        return request_class.effect == "by_key" and now_s - request.arrived_at_s < request_class.window_s

    def _class_of(self, request: _Request) -> ClassSection:
        return self._classes[request.arrival.class_index]

    def _complete(self, request: _Request, failure: str) -> None:
        """Record the outcome of a request. An empty failure text means success."""
        self.completed_requests += 1
        row = {
            "at": round(request.arrival.at_s, 4),
            "class": request.arrival.class_index,
            "proxy": request.arrival.proxy_id,
            "took": round(self._now_s() - request.arrived_at_s, 4),
            "tries": request.attempt_number + 1,
            "ok": not failure,
            "why": failure,
        }
        self._record_file.write(json.dumps(row) + "\n")

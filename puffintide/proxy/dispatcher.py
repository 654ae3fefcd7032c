"""Request dispatch: server selection, retries and completion.

This module does no I/O; callers pass the current time.
"""

from __future__ import annotations

from dataclasses import dataclass

from puffintide.decisions.settings import RepeatSafety
from puffintide.protocol.messages import AttemptStatus
from puffintide.proxy.admission import AdmissionControl
from puffintide.proxy.effects import (
    CancelAttempt,
    CompleteRequest,
    ConnectServer,
    Effect,
    RequestHandle,
    SendAttempt,
)
from puffintide.proxy.load_balancing import Random
from puffintide.proxy.outlier_detection import OutlierDetector
from puffintide.proxy.request_state import NOT_EXECUTED_STATUSES, RequestState, ServerConnection
from puffintide.proxy.retry_policy import UNKNOWN_ZONE, attempt_deadline, next_attempt
from puffintide.proxy.settings import EngineSettings
from puffintide.proxy.timers import Timer, TimerPurpose, TimerQueue
from puffintide.proxy.usage_counters import UsageCounters
from puffintide.proxy.weight_tables import WeightTables
from puffintide.proxy.write_lease import WriteLeases

TIME_DIGITS = 6  # Decimal places of the seconds in an attempt.


@dataclass(frozen=True, slots=True)
class RoutingState:
    """The tables, admission control, counters and write leases that all engines of one proxy share."""

    tables: WeightTables
    admission: AdmissionControl
    usage: UsageCounters
    write_leases: WriteLeases


class Dispatcher:
    """The open requests with their attempts, and the connections to servers that they use.

    Args:
        settings: The limits and policies of the proxy.
        random: A source of uniform random numbers in [0, 1).
        routing: The routing state of another engine of the same proxy, to be shared. None creates a new one.
    """

    def __init__(self, settings: EngineSettings, random: Random, routing: RoutingState | None) -> None:
        self.settings = settings
        self.routing = routing or self._new_routing_state(random)
        self.tables = self.routing.tables
        self.outliers = OutlierDetector(settings.ejection_failures, settings.ejection_s)
        self.servers: dict[int, ServerConnection] = {}
        self.requests: dict[int, RequestState] = {}  # Keyed by the id of the current attempt.
        self.queued: dict[int, None] = {}  # Attempts that wait for an available server.
        self.attempt_ids: dict[RequestHandle, int] = {}  # Ids of the current attempts.
        self.timers = TimerQueue(self._is_current_timer)
        self._last_attempt_id = 0

    def _new_routing_state(self, random: Random) -> RoutingState:
        settings = self.settings
        tables = WeightTables(
            settings.slice_count,
            settings.default_retry_mode,
            settings.load_balancing_policy,
            random,
            settings.zone,
            self.in_flight_at,
            settings.single_writer,
        )
        return RoutingState(tables, AdmissionControl(settings.admission_mode), UsageCounters(), WriteLeases())

    def in_flight_at(self, server_id: int) -> int:
        """Return the number of attempts in flight at a server."""
        server = self.servers.get(server_id)
        return len(server.in_flight) if server else 0

    def dispatch_queued(self, now_s: float, admission_changed: bool = False) -> list[Effect]:
        """Dispatch the queued requests, and reject those whose class is no longer admitted at all.

        Args:
            now_s: The current time in seconds.
            admission_changed: Whether the admission levels changed since the requests were queued.

        Returns:
            The effects to carry out, in order.
        """
        effects: list[Effect] = []
        for attempt_id in list(self.queued):
            request = self.requests[attempt_id]
            if admission_changed and self._rejects_all(request.slice_id, request.class_index):
                effects += self.complete(now_s, attempt_id, AttemptStatus.SATURATED)
            else:
                del self.queued[attempt_id]
                effects += self.dispatch(now_s, attempt_id)
        return effects

    def _rejects_all(self, slice_id: int, class_index: int) -> bool:
        return self.routing.admission.rejects_all(self.tables.admission_limit(slice_id, class_index))

    def is_idempotent(self, request: RequestState) -> bool:
        """Return whether requests of this class may be executed any number of times."""
        policy = self.settings.request_classes[request.class_index]
        return policy.repeat_safety == RepeatSafety.IDEMPOTENT

    def register(self, request: RequestState) -> int:
        """Assign an id to a request's next attempt and return it."""
        self._last_attempt_id += 1
        self.requests[self._last_attempt_id] = request
        self.attempt_ids[request.handle] = self._last_attempt_id
        return self._last_attempt_id

    def dispatch(self, now_s: float, attempt_id: int) -> list[Effect]:
        """Select a server for an attempt; queue the request for a limited time if there is none."""
        request = self.requests[attempt_id]
        request.assigner_id = self.tables.owner_of(request.slice_id)
        server_id = self._select_server(now_s, request)
        if server_id is None or not self.tables.addresses.get(server_id):
            return self._enqueue(now_s, attempt_id)
        request.server_id = server_id
        request.sent_at_s = None
        server = self.servers.get(server_id)
        if server is not None and server.connected:
            return [self.send(now_s, attempt_id)]
        effects: list[Effect] = []
        if server is None:
            server = self.servers[server_id] = ServerConnection()
            effects.append(ConnectServer(server_id, self.tables.addresses[server_id]))
            timeout_at_s = now_s + self.settings.connect_timeout_s
            self.timers.add(timeout_at_s, TimerPurpose.CONNECT_TIMEOUT, server_id)
        server.waiting[attempt_id] = None
        request.timer_id = self.timers.add(request.deadline_s, TimerPurpose.ATTEMPT_TIMEOUT, attempt_id)
        return effects

    def _select_server(self, now_s: float, request: RequestState) -> int | None:
        if not self._may_forward(now_s, request):
            return None
        avoid = request.attempted_servers | self.outliers.ejected(now_s)
        same_zone_only = self.settings.same_zone_only[request.class_index]
        return self.tables.pick(request.slice_id, avoid, same_zone_only, request.required_zone)

    def _may_forward(self, now_s: float, request: RequestState) -> bool:
        """Return whether the request is idempotent or its slice accepts writes now."""
        if not self.settings.single_writer or self.is_idempotent(request):
            return True
        return self.routing.write_leases.is_valid(self.tables.owner_of(request.slice_id), now_s)

    def _enqueue(self, now_s: float, attempt_id: int) -> list[Effect]:
        request = self.requests[attempt_id]
        if request.attempted_servers or len(self.queued) >= self.settings.max_queued_requests:
            return self.complete(now_s, attempt_id, AttemptStatus.SATURATED)
        self.queued[attempt_id] = None
        timeout_at_s = min(now_s + self.settings.queue_timeout_s, request.deadline_s)
        request.timer_id = self.timers.add(timeout_at_s, TimerPurpose.QUEUE_TIMEOUT, attempt_id)
        return []

    def send(self, now_s: float, attempt_id: int) -> SendAttempt:
        """Record an attempt as sent to its connected server, and return the effect that sends it."""
        request = self.requests[attempt_id]
        request.sent_at_s = now_s
        self.servers[request.server_id].in_flight[attempt_id] = None
        timeout_at_s = attempt_deadline(
            self.settings.request_classes[request.class_index],
            self.tables.retry_mode(request.slice_id, request.class_index),
            request.attempt_number,
            self.settings.retry_wait_objectives,
            now_s,
            request.deadline_s,
        )
        request.timer_id = self.timers.add(timeout_at_s, TimerPurpose.ATTEMPT_TIMEOUT, attempt_id)
        return SendAttempt(
            request.server_id,
            attempt_id,
            request.handle,
            request.request_id,
            request.slice_id,
            request.class_index,
            request.attempt_number,
            round(request.deadline_s - now_s, TIME_DIGITS),
        )

    def remove_in_flight(self, server_id: int, attempt_id: int) -> bool:
        """Remove an attempt from a server's attempts in flight.

        Returns:
            True if the attempt was in flight there and its request is still open.
        """
        server = self.servers.get(server_id)
        if server is None or server.in_flight.pop(attempt_id, 0) is not None:
            return False
        return attempt_id in self.requests

    def fail_attempt(
        self,
        now_s: float,
        attempt_id: int,
        status: int,
        not_executed: bool,
        load_values: list[float] | None = None,
    ) -> list[Effect]:
        """Retry a failed attempt, or complete its request.

        Args:
            now_s: The current time in seconds.
            attempt_id: The attempt that failed.
            status: The status to complete the request with if it is not retried.
            not_executed: Whether the server is proven not to have executed the request.
            load_values: The load values in the server's response, if there was one.

        Returns:
            The effects to carry out, in order.
        """
        request = self.requests[attempt_id]
        self.routing.usage.count_failure(now_s, request.assigner_id, request.server_id, load_values)
        if not not_executed:
            zone = self.tables.zones.get(request.server_id, UNKNOWN_ZONE)
            request.record_possible_execution(now_s, zone, status)
        self.outliers.record_failure(now_s, request.server_id, self.tables.addresses)
        policy = self.settings.request_classes[request.class_index]
        retry_mode = self.tables.retry_mode(request.slice_id, request.class_index)
        retry = next_attempt(policy, retry_mode, request.history(not_executed), now_s, request.deadline_s)
        if retry is None:
            return self.complete(now_s, attempt_id, status)
        del self.requests[attempt_id]
        request.begin_retry(retry.required_zone)
        return self.dispatch(now_s, self.register(request))

    def complete(self, now_s: float, attempt_id: int, status: int) -> list[Effect]:
        """Complete a request with its final response."""
        request = self.requests.pop(attempt_id)
        status = request.final_status(status)
        self.attempt_ids.pop(request.handle, None)
        self.queued.pop(attempt_id, None)
        server = self.servers.get(request.server_id)
        if server is not None:
            server.remove(attempt_id)
        if status != AttemptStatus.OK:
            self.routing.usage.count_unanswered(
                now_s, request.assigner_id, request.slice_id, request.class_index
            )
        retry_after_s = self.settings.retry_after_s if status in NOT_EXECUTED_STATUSES else 0.0
        may_have_executed = status == AttemptStatus.OK or request.maybe_executed_at_s is not None
        return [CompleteRequest(request.handle, status, retry_after_s, may_have_executed)]

    def _is_current_timer(self, timer: Timer) -> bool:
        if timer.purpose is TimerPurpose.CONNECT_TIMEOUT:
            server = self.servers.get(timer.target_id)
            return server is not None and not server.connected
        request = self.requests.get(timer.target_id)
        return request is not None and request.timer_id == timer.timer_id

    def on_attempt_timeout(self, now_s: float, attempt_id: int) -> list[Effect]:
        """Cancel an attempt that was not answered in time, and retry or complete its request.

        A later response to the attempt is ignored.
        """
        request = self.requests[attempt_id]
        was_sent = request.sent_at_s is not None
        effects: list[Effect] = []
        server = self.servers.get(request.server_id)
        if server is not None and server.remove(attempt_id):
            effects.append(CancelAttempt(request.server_id, attempt_id))
        status = AttemptStatus.TIMEOUT if was_sent else AttemptStatus.UNREACHABLE
        return effects + self.fail_attempt(now_s, attempt_id, status, not_executed=not was_sent)

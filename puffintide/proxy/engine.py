"""The state machine of requests: method calls report events and return the effects to carry out in order.

The engine does no I/O; callers pass the current time and call on_timer() at next_timer_at(). A table change
applies to later requests and attempts; an attempt that already has a server stays there.
"""

from __future__ import annotations

from collections.abc import Iterable

from puffintide.protocol.messages import AttemptStatus, ProxyUpdate, SliceOwnership, UsageReport
from puffintide.proxy.dispatcher import Dispatcher, RoutingState
from puffintide.proxy.effects import CancelAttempt, CompleteRequest, DisconnectServer, Effect, RequestHandle
from puffintide.proxy.load_balancing import Random
from puffintide.proxy.request_state import RequestState
from puffintide.proxy.retry_policy import MAX_RETRIES
from puffintide.proxy.settings import EngineSettings
from puffintide.proxy.timers import TimerPurpose

# Upper bound of the response margin, as a fraction of the request's remaining time.
MAX_RESPONSE_MARGIN_FRACTION = 1 / 4


class Engine:
    """The request engine of one client protocol.

    Args:
        settings: The limits and policies of the proxy.
        random: A source of uniform random numbers in [0, 1).
        routing: The routing state of another engine of the same proxy, to be shared. None creates a new one.
    """

    def __init__(self, settings: EngineSettings, random: Random, routing: RoutingState | None = None) -> None:
        self.settings = settings
        self.dispatcher = Dispatcher(settings, random, routing)
        self.routing = self.dispatcher.routing
        self.tables = self.routing.tables
        self.servers = self.dispatcher.servers
        self.requests = self.dispatcher.requests
        self.late_responses = 0  # Number of responses to attempts that had already ended.

    # Tables --------------------------------------------------------------------------------------

    def on_proxy_update(self, now_s: float, assigner_id: int, update: ProxyUpdate) -> list[Effect]:
        """Apply an assigner's update, grant its write lease, and dispatch queued requests."""
        self.tables.apply_update(assigner_id, update)
        self.routing.write_leases.grant(assigner_id)
        return self.dispatcher.dispatch_queued(now_s, update.admission_levels != [])

    def on_slice_ownerships(self, now_s: float, ownerships: Iterable[SliceOwnership]) -> list[Effect]:
        """Apply slice ownerships from the store, and dispatch the queued requests."""
        for ownership in ownerships:
            self.tables.apply_ownership(ownership)
        return self.dispatcher.dispatch_queued(now_s)

    def on_tables_changed(self, now_s: float, admission_changed: bool = False) -> list[Effect]:
        """Dispatch the queued requests after another engine changed the shared tables."""
        return self.dispatcher.dispatch_queued(now_s, admission_changed)

    def on_assigner_disconnected(self, lost_at_s: float, assigner_id: int) -> None:
        """Limit the write lease of an assigner to one lease duration from the loss of its stream."""
        self.routing.write_leases.limit(assigner_id, lost_at_s + self.settings.write_lease_s)

    # Requests ------------------------------------------------------------------------------------

    def on_request(
        self,
        now_s: float,
        handle: RequestHandle,
        request_id: int,
        slice_id: int,
        class_index: int,
        remaining_s: float,
    ) -> list[Effect]:
        """Admit a client's request and dispatch its first attempt, or reject it.

        Args:
            now_s: The current time in seconds.
            handle: The caller's identifier of the request.
            request_id: The client's id of the request.
            slice_id: The slice that the request's key belongs to.
            class_index: The index of the request's class.
            remaining_s: The time that the client waits for the response, in seconds.

        Returns:
            The effects to carry out, in order.
        """
        assigner_id = self.tables.owner_of(slice_id)
        self.routing.usage.count_request(now_s, assigner_id, slice_id, class_index)
        margin_s = min(self.settings.response_margin_s, remaining_s * MAX_RESPONSE_MARGIN_FRACTION)
        deadline_s = now_s + remaining_s - margin_s
        saturated = len(self.requests) >= self.settings.max_open_requests
        if saturated or not self._admits(assigner_id, slice_id, class_index):
            return [
                CompleteRequest(
                    handle, AttemptStatus.SATURATED, self.settings.retry_after_s, may_have_executed=False
                )
            ]
        request = RequestState(handle, request_id, slice_id, class_index, deadline_s, assigner_id)
        return self.dispatcher.dispatch(now_s, self.dispatcher.register(request))

    def on_client_disconnected(self, now_s: float, handle: RequestHandle) -> list[Effect]:
        """Cancel the attempt of a disconnected client and end its request without a retry."""
        attempt_id = self.dispatcher.attempt_ids.get(handle)
        if attempt_id is None:
            return []
        request = self.requests[attempt_id]
        effects: list[Effect] = []
        if request.sent_at_s is not None:
            effects.append(CancelAttempt(request.server_id, attempt_id))
            self.routing.usage.count_failure(now_s, request.assigner_id, request.server_id)
        self.dispatcher.complete(now_s, attempt_id, AttemptStatus.TIMEOUT)
        return effects

    def disable_retries(self, handle: RequestHandle) -> None:
        """Rule out retries of a request whose body is not buffered or whose response has begun."""
        attempt_id = self.dispatcher.attempt_ids.get(handle)
        if attempt_id is not None:
            self.requests[attempt_id].attempt_number = max(MAX_RETRIES.values())

    def has_writes_in_flight(self, slice_ids: Iterable[int]) -> bool:
        """Return whether a write to any of these slices was sent, or will be once its server is connected."""
        wanted = set(slice_ids)
        return any(
            request.slice_id in wanted
            and attempt_id not in self.dispatcher.queued
            and not self.dispatcher.is_idempotent(request)
            for attempt_id, request in self.requests.items()
        )

    def _admits(self, assigner_id: int, slice_id: int, class_index: int) -> bool:
        limit = self.tables.admission_limit(slice_id, class_index)
        return self.routing.admission.admits(assigner_id, class_index, limit)

    # Servers -------------------------------------------------------------------------------------

    def on_server_connected(self, now_s: float, server_id: int) -> list[Effect]:
        """Send the attempts that waited for this connection, or close it if it is no longer wanted."""
        server = self.servers.get(server_id)
        if server is None:
            return [DisconnectServer(server_id)]
        server.connected = True
        waiting = list(server.waiting)
        server.waiting = {}
        return [
            self.dispatcher.send(now_s, attempt_id) for attempt_id in waiting if attempt_id in self.requests
        ]

    def on_server_disconnected(self, now_s: float, server_id: int) -> list[Effect]:
        """Fail all attempts at a server whose connection was lost or could not be established.

        Attempts in flight may have been executed; attempts that waited for the connection were not.
        """
        server = self.servers.pop(server_id, None)
        if server is None:
            return []
        effects: list[Effect] = []
        for attempt_id in list(server.in_flight):
            if attempt_id in self.requests:
                effects += self.dispatcher.fail_attempt(
                    now_s, attempt_id, AttemptStatus.RESET, not_executed=False
                )
        for attempt_id in list(server.waiting):
            if attempt_id in self.requests:
                effects += self.dispatcher.fail_attempt(
                    now_s, attempt_id, AttemptStatus.UNREACHABLE, not_executed=True
                )
        return effects

    def on_response(
        self, now_s: float, server_id: int, attempt_id: int, status: int, load_values: list[float]
    ) -> list[Effect]:
        """Complete or retry the request whose attempt a server answered.

        A response to an attempt that has already ended is only counted.
        """
        if not self.dispatcher.remove_in_flight(server_id, attempt_id):
            self.late_responses += 1
            return []
        if status != AttemptStatus.OK:
            not_executed = status == AttemptStatus.SATURATED
            return self.dispatcher.fail_attempt(
                now_s, attempt_id, status or AttemptStatus.ERROR, not_executed, load_values
            )
        request = self.requests[attempt_id]
        self.dispatcher.outliers.record_success(server_id)
        sent_at_s = request.sent_at_s if request.sent_at_s is not None else now_s
        self.routing.usage.count_success(
            now_s, request.assigner_id, server_id, now_s - sent_at_s, load_values
        )
        return self.dispatcher.complete(now_s, attempt_id, AttemptStatus.OK)

    def on_attempt_not_sent(self, now_s: float, server_id: int, attempt_id: int) -> list[Effect]:
        """Fail an attempt that got no connection, so that no byte of it was written."""
        if not self.dispatcher.remove_in_flight(server_id, attempt_id):
            return []
        return self.dispatcher.fail_attempt(now_s, attempt_id, AttemptStatus.UNREACHABLE, not_executed=True)

    def on_attempt_connection_lost(self, now_s: float, server_id: int, attempt_id: int) -> list[Effect]:
        """Fail an attempt whose own connection was lost after part of it was written."""
        if not self.dispatcher.remove_in_flight(server_id, attempt_id):
            return []
        return self.dispatcher.fail_attempt(now_s, attempt_id, AttemptStatus.RESET, not_executed=False)

    # Time ----------------------------------------------------------------------------------------

    def next_timer_at(self) -> float | None:
        """Return the time of the next call of on_timer(), or None if no timer is set."""
        return self.dispatcher.timers.next_at_s()

    def on_timer(self, now_s: float) -> list[Effect]:
        """Handle all timers that are due."""
        effects: list[Effect] = []
        while (timer := self.dispatcher.timers.pop_due(now_s)) is not None:
            match timer.purpose:
                case TimerPurpose.CONNECT_TIMEOUT:
                    effects.append(DisconnectServer(timer.target_id))
                    effects += self.on_server_disconnected(now_s, timer.target_id)
                case TimerPurpose.QUEUE_TIMEOUT:
                    effects += self.dispatcher.complete(now_s, timer.target_id, AttemptStatus.SATURATED)
                case TimerPurpose.ATTEMPT_TIMEOUT:
                    effects += self.dispatcher.on_attempt_timeout(now_s, timer.target_id)
        return effects

    def take_usage_report(self, now_s: float, assigner_id: int, min_interval_s: float) -> UsageReport | None:
        """Return the usage since an assigner's last report and reset it, or None if there is none."""
        return self.routing.usage.take_report(now_s, assigner_id, min_interval_s)

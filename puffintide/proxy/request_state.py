"""State of open requests and of server connections in the engine."""

from __future__ import annotations

from dataclasses import dataclass, field

from puffintide.protocol.messages import AttemptStatus
from puffintide.proxy.effects import RequestHandle
from puffintide.proxy.load_balancing import NO_SERVERS
from puffintide.proxy.retry_policy import ANY_ZONE, UNKNOWN_ZONE, AttemptHistory

NO_SERVER = -1
NOT_EXECUTED_STATUSES = (AttemptStatus.SATURATED, AttemptStatus.UNREACHABLE)


@dataclass(slots=True)
class RequestState:
    """A request from its receipt to its final response."""

    handle: RequestHandle
    request_id: int
    slice_id: int
    class_index: int
    deadline_s: float
    assigner_id: int  # The owner of the slice, to which usage is reported.
    attempt_number: int = 0
    server_id: int = NO_SERVER
    sent_at_s: float | None = None  # Time at which the current attempt was sent.
    maybe_executed_at_s: float | None = None  # Send time of the first attempt that may have been executed.
    maybe_executed_zone: int = UNKNOWN_ZONE
    maybe_executed_status: int = AttemptStatus.TIMEOUT  # The final status if no later attempt is answered.
    required_zone: int = ANY_ZONE
    attempted_servers: frozenset[int] = NO_SERVERS
    timer_id: int = 0  # Id of the current timer; older timers are cancelled.

    def record_possible_execution(self, now_s: float, server_zone: int, status: int) -> None:
        """Record that the current attempt failed without proof that it was not executed.

        Only the first such attempt of a request is recorded.
        """
        if self.maybe_executed_at_s is not None:
            return
        self.maybe_executed_at_s = self.sent_at_s if self.sent_at_s is not None else now_s
        self.maybe_executed_zone = server_zone
        self.maybe_executed_status = status

    def history(self, proven_not_executed: bool) -> AttemptHistory:
        """Return the history of attempts for the retry policy."""
        return AttemptHistory(
            self.attempt_number, proven_not_executed, self.maybe_executed_at_s, self.maybe_executed_zone
        )

    def begin_retry(self, required_zone: int) -> None:
        """Begin the next attempt; its server is selected later."""
        self.attempt_number += 1
        self.attempted_servers |= {self.server_id}
        self.required_zone = required_zone
        self.server_id = NO_SERVER
        self.sent_at_s = None

    def final_status(self, status: int) -> int:
        """Return the status to send to the client.

        A rejection states that nothing was executed. If an earlier attempt may have been executed, its status
        is returned instead.
        """
        if self.maybe_executed_at_s is not None and status in NOT_EXECUTED_STATUSES:
            return self.maybe_executed_status
        return status


@dataclass(slots=True)
class ServerConnection:
    """The connection to one server, and the attempts that use it."""

    connected: bool = False
    waiting: dict[int, None] = field(default_factory=dict)  # Ids of attempts that wait for the connection.
    in_flight: dict[int, None] = field(default_factory=dict)  # Ids of sent, unanswered attempts.

    def remove(self, attempt_id: int) -> bool:
        """Remove an attempt, and return whether it was in flight."""
        self.waiting.pop(attempt_id, None)
        return self.in_flight.pop(attempt_id, 0) is None

"""Rule: with a single writer, writes of a slice are in flight at one server, and none at a former owner."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass

from puffintide.audit.context import AuditContext
from puffintide.audit.intervals import FOREVER
from puffintide.audit.records import Record
from puffintide.audit.report import Rule
from puffintide.decisions.settings import RepeatSafety
from puffintide.protocol import messages as m

NO_ASSIGNMENT = -1  # Index of no assignment; it is below the index of every assignment.


@dataclass(frozen=True, slots=True)
class _WriteEvent:
    at_s: float
    record: Record
    server_id: int


class _WritesInFlight:
    """The delivered writes that were not answered yet, by slice and server."""

    def __init__(self, context: AuditContext) -> None:
        # Slice and server of each write in flight, by connection and attempt.
        self._open: dict[tuple[int, int], tuple[int, int]] = {}
        # Number of writes in flight, by slice and server.
        self._counts: dict[int, dict[int, int]] = defaultdict(lambda: defaultdict(int))
        runs = context.truth.server_runs
        ends = sorted((run.ended_at_s, run.server_id) for run in runs if run.ended_at_s < FOREVER)
        self._server_ends = deque(ends)

    def remove_ended_servers(self, now_s: float) -> None:
        """Remove the writes at servers that have ended by now."""
        while self._server_ends and self._server_ends[0][0] <= now_s:
            _, ended_id = self._server_ends.popleft()
            self._open = {key: write for key, write in self._open.items() if write[1] != ended_id}
            for by_server in self._counts.values():
                by_server.pop(ended_id, None)

    def add(self, connection_id: int, attempt: m.AttemptRequest, server_id: int) -> None:
        """Add a write that was delivered to a server."""
        self._open[connection_id, attempt.attempt_id] = (attempt.slice_id, server_id)
        self._counts[attempt.slice_id][server_id] += 1

    def remove(self, connection_id: int, response: m.AttemptResponse) -> None:
        """Remove the write that a response answers, if there is one."""
        write = self._open.pop((connection_id, response.attempt_id), None)
        if write is not None:
            slice_id, server_id = write
            self._counts[slice_id][server_id] -= 1

    def has_writes_at_other_server(self, slice_id: int, server_id: int) -> bool:
        """Return whether another server has writes of the slice in flight."""
        return any(count > 0 for other, count in self._counts[slice_id].items() if other != server_id)


def check(context: AuditContext) -> None:
    """Check each delivered write if the deployment has a single writer per slice."""
    if not context.config.deployment.single_writer:
        return
    assignments = _assignments(context)
    in_flight = _WritesInFlight(context)
    latest_used: dict[int, int] = {}  # Index of the latest assignment that received a write, by slice.
    for event in _events(context):
        in_flight.remove_ended_servers(event.at_s)
        message = event.record.message
        if isinstance(message, m.AttemptResponse):
            in_flight.remove(event.record.connection_id, message)
        elif isinstance(message, m.AttemptRequest):
            _check_write(context, event, message, in_flight, assignments[message.slice_id], latest_used)
            in_flight.add(event.record.connection_id, message, event.server_id)


def _check_write(
    context: AuditContext,
    event: _WriteEvent,
    write: m.AttemptRequest,
    in_flight: _WritesInFlight,
    assignments: list[tuple[float, int]],
    latest_used: dict[int, int],
) -> None:
    slice_id = write.slice_id
    subject = f"slice {slice_id}, server {event.server_id}"
    context.report.case_counts[Rule.SINGLE_OWNER] += 1
    if in_flight.has_writes_at_other_server(slice_id, event.server_id):
        context.report.add_violation(Rule.SINGLE_OWNER, event.at_s, subject, event.record.number)
    assignment_index = max(
        (
            index
            for index, (since_s, server_id) in enumerate(assignments)
            if server_id == event.server_id and since_s <= event.at_s
        ),
        default=NO_ASSIGNMENT,
    )
    if assignment_index < latest_used.get(slice_id, NO_ASSIGNMENT):
        context.report.add_violation(Rule.SINGLE_OWNER, event.at_s, subject, event.record.number)
    latest_used[slice_id] = max(assignment_index, latest_used.get(slice_id, NO_ASSIGNMENT))


def _assignments(context: AuditContext) -> dict[int, list[tuple[float, int]]]:
    """Return the time and the server of each assignment, by slice."""
    assignments: dict[int, list[tuple[float, int]]] = defaultdict(list)
    for record in context.records:
        message = record.message
        if isinstance(message, m.WriteRequest) and record.delivered_at_s is not None:
            for entry in message.weights:
                if entry.weight > 0:
                    assignments[entry.slice_id].append((record.received_at_s, entry.server_id))
        elif isinstance(message, m.SliceOwnerships) and record.connection_id in context.peers:
            for ownership in message.ownerships:
                if ownership.entries and not assignments[ownership.slice_id]:
                    first_server = ownership.entries[0].server_id
                    assignments[ownership.slice_id].append((record.received_at_s, first_server))
    return assignments


def _events(context: AuditContext) -> list[_WriteEvent]:
    """Return delivered writes and all sent responses, in order of time."""
    classes = list(context.config.classes.values())
    events = []
    for record in context.records:
        message = record.message
        if isinstance(message, m.AttemptRequest) and record.delivered_at_s is not None:
            if classes[message.class_index].effect != RepeatSafety.IDEMPOTENT:
                events.append(_WriteEvent(record.delivered_at_s, record, record.link_number))
        elif isinstance(message, m.AttemptResponse):
            events.append(_WriteEvent(record.received_at_s, record, record.link_number))
    return sorted(events, key=lambda event: (event.at_s, event.record.number))

"""Rule: no request is executed twice unless its request class allows it.

A non-idempotent request is not sent again after an attempt that may have been executed. A request with an
idempotency key is sent again only within its deduplication window and scope. Only an attempt whose last
delivered response is SATURATED is known not to have been executed.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from puffintide.audit.context import AuditContext
from puffintide.audit.records import Record
from puffintide.audit.report import Rule
from puffintide.config.schema import ClassSection
from puffintide.decisions.settings import RepeatSafety
from puffintide.protocol import messages as m

AttemptKey = tuple[int, int]  # Connection and attempt id.


@dataclass(frozen=True, slots=True)
class _Attempt:
    record: Record
    message: m.AttemptRequest
    server_id: int


def check(context: AuditContext) -> None:
    """Check the attempts of each request."""
    statuses: dict[AttemptKey, int] = {}  # Status of the last delivered response to each attempt.
    for record in context.records:
        if isinstance(record.message, m.AttemptResponse) and record.delivered_at_s is not None:
            statuses[record.connection_id, record.message.attempt_id] = record.message.status
    attempts: dict[tuple[int, int], list[_Attempt]] = defaultdict(list)  # Keyed by proxy id and request id.
    for record in context.records_in_order_received():
        message = record.message
        if isinstance(message, m.AttemptRequest):
            attempt = _Attempt(record, message, record.link_number)
            attempts[message.proxy_id, message.request_id].append(attempt)
    for request_attempts in attempts.values():
        if len(request_attempts) > 1:
            _check_request(context, request_attempts, statuses)
        context.report.case_counts[Rule.NO_DUPLICATE_EXECUTION] += 1


def _check_request(context: AuditContext, attempts: list[_Attempt], statuses: dict[AttemptKey, int]) -> None:
    request_class = list(context.config.classes.values())[attempts[0].message.class_index]
    first_executed: _Attempt | None = None  # The first attempt that may have been executed.
    for attempt in attempts:
        if first_executed is not None:
            _check_repeat(context, request_class, first_executed, attempt)
            continue
        key = (attempt.record.connection_id, attempt.message.attempt_id)
        if statuses.get(key) != m.AttemptStatus.SATURATED:
            first_executed = attempt


def _check_repeat(
    context: AuditContext, request_class: ClassSection, first: _Attempt, repeat: _Attempt
) -> None:
    rule = Rule.NO_DUPLICATE_EXECUTION
    at_s = repeat.record.received_at_s
    message = repeat.message
    subject = f"proxy {message.proxy_id}, request {message.request_id}, attempt {message.attempt_number}"
    records = (first.record.number, repeat.record.number)
    if request_class.effect == RepeatSafety.NON_IDEMPOTENT:
        context.report.add_violation(rule, at_s, subject, *records)
    elif request_class.effect == RepeatSafety.IDEMPOTENCY_KEY:
        age_s = at_s - first.record.received_at_s
        context.report.add_case(rule, at_s, subject, age_s, request_class.window_s, *records)
        zones = context.timeline.zones
        if request_class.group == "zone" and zones.get(repeat.server_id) != zones.get(first.server_id):
            context.report.add_violation(rule, at_s, subject, *records)

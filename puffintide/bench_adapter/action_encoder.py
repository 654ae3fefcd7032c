"""Encodes actions of the instances into replies to the bench. It decides nothing."""

from __future__ import annotations

from puffintide.bench_adapter.records import MAX_TEXT_BYTES, ActionCode, compiled
from puffintide.decisions.actions import (
    Action,
    LogMessage,
    SendCheckpoint,
    SendHealthCheck,
    SetAdmission,
    SetTimer,
    SetWeight,
    SetWithdrawn,
    WatchEndpoints,
)


def encode_action(instance: int, action: Action) -> bytes:
    """One action as a record."""
    match action:
        case SetWeight(slice_id, server_id, weight):
            code = ActionCode.SET_WEIGHT
            return compiled("BHHIf").pack(code, instance, slice_id, server_id, weight)
        case SetTimer(delay_s, timer_id):
            return compiled("BHdI").pack(ActionCode.SET_TIMER, instance, delay_s, timer_id)
        case SendHealthCheck(server_id):
            return compiled("BHI").pack(ActionCode.SEND_HEALTH_CHECK, instance, server_id)
        case LogMessage(text):
            return _encode_text(ActionCode.LOG_MESSAGE, instance, text)
        case WatchEndpoints(enabled):
            return compiled("BHB").pack(ActionCode.WATCH_ENDPOINTS, instance, enabled)
        case SetWithdrawn(server_id, withdrawn):
            return compiled("BHBI").pack(ActionCode.SET_WITHDRAWN, instance, withdrawn, server_id)
        case SetAdmission(slice_id, class_mask, fraction, retry_mode):
            code = ActionCode.SET_ADMISSION
            return compiled("BHHHfB").pack(code, instance, slice_id, class_mask, fraction, retry_mode)
        case SendCheckpoint(checkpoint_id):
            return compiled("BHQB").pack(ActionCode.SEND_CHECKPOINT, instance, checkpoint_id, False)


def encode_fault(instance: int, text: str) -> bytes:
    """The record that says that the decision module has failed."""
    return _encode_text(ActionCode.FAULT, instance, text)


def _encode_text(code: ActionCode, instance: int, text: str) -> bytes:
    data = text.encode()[:MAX_TEXT_BYTES]
    return compiled("BHH").pack(code, instance, len(data)) + data


def encode_reply(records: list[bytes]) -> bytes:
    """The reply to one batch."""
    body = b"".join(records)
    return compiled("II").pack(len(body), len(records)) + body

"""Encoder of the instances' actions into replies to the bench. It makes no decisions."""

from __future__ import annotations

from puffintide.bench_adapter.records import MAX_TEXT_BYTES, ActionCode, compiled_struct
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
    """Encode an action of an instance as a record."""
    match action:
        case SetWeight(slice_id, server_id, weight):
            code = ActionCode.SET_WEIGHT
            return compiled_struct("BHHIf").pack(code, instance, slice_id, server_id, weight)
        case SetTimer(delay_s, timer_id):
            return compiled_struct("BHdI").pack(ActionCode.SET_TIMER, instance, delay_s, timer_id)
        case SendHealthCheck(server_id):
            return compiled_struct("BHI").pack(ActionCode.SEND_HEALTH_CHECK, instance, server_id)
        case LogMessage(text):
            return _encode_text(ActionCode.LOG_MESSAGE, instance, text)
        case WatchEndpoints(enabled):
            return compiled_struct("BHB").pack(ActionCode.WATCH_ENDPOINTS, instance, enabled)
        case SetWithdrawn(server_id, withdrawn):
            return compiled_struct("BHBI").pack(ActionCode.SET_WITHDRAWN, instance, withdrawn, server_id)
        case SetAdmission(slice_id, class_mask, fraction, retry_mode):
            code = ActionCode.SET_ADMISSION
            return compiled_struct("BHHHfB").pack(code, instance, slice_id, class_mask, fraction, retry_mode)
        case SendCheckpoint(checkpoint_id):
            return compiled_struct("BHQB").pack(ActionCode.SEND_CHECKPOINT, instance, checkpoint_id, False)


def encode_fault(instance: int, text: str) -> bytes:
    """Encode a failure of an instance's decision module as a record."""
    return _encode_text(ActionCode.FAULT, instance, text)


def _encode_text(code: ActionCode, instance: int, text: str) -> bytes:
    """Encode a record that consists of a text; the text is cut at MAX_TEXT_BYTES."""
    data = text.encode()[:MAX_TEXT_BYTES]
    return compiled_struct("BHH").pack(code, instance, len(data)) + data


def encode_reply(records: list[bytes]) -> bytes:
    """Encode the reply to a batch from its records."""
    body = b"".join(records)
    return compiled_struct("II").pack(len(body), len(records)) + body

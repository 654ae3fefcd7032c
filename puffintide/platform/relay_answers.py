"""Parses the relay's responses to calls. Performs no I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass

from puffintide.platform.http_exchange import STATUS_OK

THROTTLED = "throttled"  # The relay has not started to apply the call. It must be retried.
INVALID = "invalid"  # The relay has not applied the call.


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """Holds the number of accepted orders or an error code. Neither is set if the response is unreadable."""

    accepted: int | None = None
    error: str = ""


def parse_answer(status: int, body: bytes, sent: int) -> CallAnswer:
    """Parse the response to a call.

    Args:
        status: The HTTP status code of the response.
        body: The response body.
        sent: The number of orders in the call, which bounds the number of accepted ones.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return CallAnswer()
    if not isinstance(document, dict):
        return CallAnswer()
    accepted = document.get("accepted")
    if isinstance(accepted, int) and not isinstance(accepted, bool):
        plausible = 0 <= accepted <= sent and status == STATUS_OK
        return CallAnswer(accepted) if plausible else CallAnswer()
    error = document.get("error")
    if isinstance(error, dict):
        error = error.get("code") or error.get("reason") or error.get("name")
    return CallAnswer(error=error) if isinstance(error, str) else CallAnswer()

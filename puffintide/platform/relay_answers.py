"""Parses the relay's answers to calls. Performs no I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass

from puffintide.platform.http_exchange import STATUS_OK

THROTTLED = "throttled"  # the run has not begun: the call has to be repeated
INVALID = "invalid"  # the call was not carried out


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The number of accepted orders, or the name of an error; neither: the answer is unreadable."""

    accepted: int | None = None
    error: str = ""


def parse_answer(status: int, body: bytes, sent: int) -> CallAnswer:
    """Parse the answer to a call of this many orders."""
    try:
        tree = json.loads(body)
    except (ValueError, RecursionError):
        return CallAnswer()
    if not isinstance(tree, dict):
        return CallAnswer()
    accepted = tree.get("accepted")
    if isinstance(accepted, int) and not isinstance(accepted, bool):
        plausible = 0 <= accepted <= sent and status == STATUS_OK
        return CallAnswer(accepted) if plausible else CallAnswer()
    error = tree.get("error")
    if isinstance(error, dict):
        error = error.get("code") or error.get("reason") or error.get("name")
    return CallAnswer(error=error) if isinstance(error, str) else CallAnswer()

"""The reactor on the monotonic clock: a stepping wall clock moves no timer and no judgement."""

from __future__ import annotations

import time
from typing import Any


def monotonic_reactor() -> Any:
    """The process's reactor; its seconds() is the machine's monotonic clock. Call it before any timer is set."""
    from twisted.internet import reactor

    reactor.seconds = time.monotonic  # type: ignore[method-assign,misc]
    return reactor

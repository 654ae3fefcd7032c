"""Engines of the proxy for tests: settings, tables, and what is needed to send a request."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from puffintide.decisions.settings import AdmissionMode, RepeatSafety
from puffintide.protocol import messages as m
from puffintide.proxy.effects import (
    ConnectServer,
    Effect,
    SendAttempt,
)
from puffintide.proxy.engine import Engine
from puffintide.proxy.retry_policy import (
    DeduplicationScope,
    RequestClassPolicy,
)
from puffintide.proxy.settings import EngineSettings

CLASSES = (
    RequestClassPolicy(RepeatSafety.IDEMPOTENT, DeduplicationScope.ALL, 0, 1.0),
    RequestClassPolicy(RepeatSafety.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 2.0, 1.0),
    RequestClassPolicy(RepeatSafety.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 1.0),
)

IDEMPOTENT, IDEMPOTENCY_KEY, NON_IDEMPOTENT = 0, 1, 2

SETTINGS = EngineSettings(
    slice_count=4,
    request_classes=CLASSES,
    same_zone_only=(False, False, False),
    default_retry_mode=0,
    retry_wait_objectives=0.5,
    ejection_failures=0,
    ejection_s=2.0,
    admission_mode=AdmissionMode.FRACTION,
    load_balancing_policy="rotate",
    queue_timeout_s=0.2,
    retry_after_s=0.5,
    zone=0,
)


def engine(servers: int = 3, **changes: Any) -> Engine:
    result = Engine(replace(SETTINGS, **changes), random.Random(1).random)
    entries = [m.TableEntry(s, 1.0, f"127.0.0.1:{s}", s % 2) for s in range(servers)]
    result.on_slice_ownerships(0.0, [m.SliceOwnership(n, n + 1, 0, entries) for n in range(4)])
    return result


def effects_of(effects: list[Effect], kind: type) -> list[Any]:
    return [e for e in effects if isinstance(e, kind)]


def retry_mode_update(retry_mode: int, level: float = 1.0, classes: int = 0) -> m.ProxyUpdate:
    return m.ProxyUpdate(1, 0.0, 1.0, admission_levels=[m.AdmissionLevel(0xFFFF, classes, level, retry_mode)])


def start(
    e: Engine, now: float, handle: int = 1, kind: int = IDEMPOTENT, remaining_s: float = 4.0
) -> SendAttempt:
    """A request whose first attempt is at a server."""
    effects = e.on_request(now, handle, handle, 0, kind, remaining_s)
    for connect in effects_of(effects, ConnectServer):
        effects = effects + e.on_server_connected(now, connect.server_id)
    (send,) = effects_of(effects, SendAttempt)
    assert isinstance(send, SendAttempt)
    return send

"""Helpers for tests of the proxy's engine: settings, an engine with tables, and requests."""

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

REQUEST_CLASSES = (
    RequestClassPolicy(RepeatSafety.IDEMPOTENT, DeduplicationScope.ALL, 0, 1.0),
    RequestClassPolicy(RepeatSafety.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 2.0, 1.0),
    RequestClassPolicy(RepeatSafety.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 1.0),
)

IDEMPOTENT, IDEMPOTENCY_KEY, NON_IDEMPOTENT = 0, 1, 2

SETTINGS = EngineSettings(
    slice_count=4,
    request_classes=REQUEST_CLASSES,
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


def create_engine(servers: int = 3, **changes: Any) -> Engine:
    engine = Engine(replace(SETTINGS, **changes), random.Random(1).random)
    entries = [m.TableEntry(s, 1.0, f"127.0.0.1:{s}", s % 2) for s in range(servers)]
    engine.on_slice_ownerships(0.0, [m.SliceOwnership(n, n + 1, 0, entries) for n in range(4)])
    return engine


def effects_of_type(effects: list[Effect], effect_type: type) -> list[Any]:
    return [effect for effect in effects if isinstance(effect, effect_type)]


def retry_mode_update(retry_mode: int, fraction: float = 1.0, class_mask: int = 0) -> m.ProxyUpdate:
    return m.ProxyUpdate(
        1, 0.0, 1.0, admission_levels=[m.AdmissionLevel(0xFFFF, class_mask, fraction, retry_mode)]
    )


def start_request(
    engine: Engine, now_s: float, handle: int = 1, class_index: int = IDEMPOTENT, remaining_s: float = 4.0
) -> SendAttempt:
    """Send a request, connect its server and return the first attempt."""
    effects = engine.on_request(now_s, handle, handle, 0, class_index, remaining_s)
    for connect in effects_of_type(effects, ConnectServer):
        effects = effects + engine.on_server_connected(now_s, connect.server_id)
    (send,) = effects_of_type(effects, SendAttempt)
    assert isinstance(send, SendAttempt)
    return send

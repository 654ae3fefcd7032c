"""Settings of an assigner, and their parser.

The keys of the JSON text are an external interface. They are mapped to the fields of Settings only here.
Unknown keys are ignored.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class RepeatSafety(StrEnum):
    """Whether a request may be executed more than once; the values are those of the settings."""

    IDEMPOTENT = "repeatable"
    IDEMPOTENCY_KEY = "by_key"  # Servers drop repeats by key within the deduplication window.
    NON_IDEMPOTENT = "once"


class AdmissionMode(StrEnum):
    """How proxies apply the admission fractions that they receive; the values are those of the settings."""

    FRACTION = "fraction"
    RATE = "per_second"
    NONE = "silent"  # Fractions are ignored, retry modes are applied.


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Properties of a class of requests."""

    repeat_safety: RepeatSafety
    deduplication_scope: str  # Servers that share idempotency keys: "all", those of a "zone" or of a "cell".
    deduplication_window_s: float
    latency_objective_s: float
    deadline_s: float
    priority_weight: float
    same_zone_only: bool


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings that an assigner is started with."""

    assigner_index: int
    assigner_count: int
    seed: int
    zone: int
    zone_count: int
    request_classes: tuple[RequestClass, ...]
    slice_count: int
    proxy_count: int
    single_writer: bool
    caches_keys: bool  # Whether servers are faster on keys that they have seen recently.
    default_retry_mode: int
    retry_wait_objectives: float  # Wait before a retry, in multiples of the latency objective.
    proxy_ejection_failures: int  # Consecutive failures after which a proxy avoids a server; 0 means never.
    admission_mode: AdmissionMode
    channel_entries_per_s: float
    channel_header_entries: float  # Cost of a message in addition to its entries.
    channel_capacity_entries: float
    channel_delay_s: float
    channel_delay_max_s: float
    max_messages_per_window: int  # 0 means no limit.
    message_window_s: float
    report_period_s: float
    report_entries_per_s: float
    load_value_names: tuple[str, ...]  # Any of "rif", "q", "busy", "lat_ms", "rate" and "fail_rate".
    health_checks_enabled: bool
    watch_on_request: bool  # Whether the endpoint list is sent only after a WatchEndpoints request.
    drain_grace_s: float
    slow_start_min_fraction: float  # Fraction of its capacity that a server has when it starts.
    slow_start_duration_s: float
    collapse_load_ratio: float  # Load divided by capacity at which a warming server collapses.
    collapse_duration_s: float
    max_unserved_s: float
    zone_distances: tuple[tuple[int, ...], ...] = ()  # Indexed by zone twice; empty if all are equal.


class SettingsError(Exception):
    """Raised if settings are not a JSON object, or for a missing or invalid setting, which the message names."""


_MISSING = object()


def _lookup(tree: Any, path: str) -> Any:
    """Return the node at a dotted path, or _MISSING."""
    node = tree
    for part in path.split("."):
        if not isinstance(node, dict) or part not in node:
            return _MISSING
        node = node[part]
    return node


def _convert_number(node: Any, expected_type: type) -> Any:
    """Convert a number to the expected type if it is exact, as JSON does not distinguish 1 from 1.0."""
    if expected_type is float and isinstance(node, int) and not isinstance(node, bool):
        return float(node)
    if expected_type is int and isinstance(node, float) and node.is_integer():
        return int(node)
    return node


def _read_value(tree: Any, path: str, expected_type: type, default: Any = None) -> Any:
    node = _lookup(tree, path)
    if node is _MISSING:
        if default is None:
            raise SettingsError(f"setting {path} is missing")
        return default
    node = _convert_number(node, expected_type)
    if not isinstance(node, expected_type) or (expected_type is int and isinstance(node, bool)):
        raise SettingsError(f"setting {path} must be of type {expected_type.__name__}, got {node!r}")
    if isinstance(node, float) and not math.isfinite(node):
        raise SettingsError(f"setting {path} must be a finite number, got {node!r}")
    return node


def _read_number(tree: Any, path: str, expected_type: type, minimum: float = 0, default: Any = None) -> Any:
    value = _read_value(tree, path, expected_type, default)
    if value < minimum:
        raise SettingsError(f"setting {path} must be at least {minimum}, got {value!r}")
    return value


def _parse_request_class(row: Any, same_zone_only: bool) -> RequestClass:
    effect = _read_value(row, "effect", str)
    if effect not in tuple(RepeatSafety):
        raise SettingsError(f"setting effect must be one of {', '.join(RepeatSafety)}, got {effect!r}")
    return RequestClass(
        repeat_safety=RepeatSafety(effect),
        deduplication_scope=_read_value(row, "group", str, "all"),
        deduplication_window_s=_read_number(row, "windowS", float, default=0.0),
        latency_objective_s=_read_number(row, "objectiveS", float),
        deadline_s=_read_number(row, "deadlineS", float),
        priority_weight=_read_number(row, "worth", float, default=1.0),
        same_zone_only=same_zone_only,
    )


def _parse_request_classes(tree: dict[str, Any]) -> tuple[RequestClass, ...]:
    rows = _read_value(tree, "classes", list)
    if not rows:
        raise SettingsError("setting classes must contain at least one request class, got []")
    same_zone_only = _read_value(tree, "familyInfo.homeOnly", list, [])
    classes = []
    for index, row in enumerate(rows):
        try:
            classes.append(
                _parse_request_class(row, index < len(same_zone_only) and bool(same_zone_only[index]))
            )
        except SettingsError as error:
            raise SettingsError(f"classes[{index}]: {error}") from error
    return tuple(classes)


def _parse_admission_mode(tree: dict[str, Any]) -> AdmissionMode:
    mode = _read_value(tree, "familyInfo.admit", str, "silent")
    return AdmissionMode(mode) if mode in tuple(AdmissionMode) else AdmissionMode.NONE


def _build_settings(
    tree: dict[str, Any], seed: int, classes: tuple[RequestClass, ...], load_value_names: tuple[str, ...]
) -> Settings:
    return Settings(
        assigner_index=_read_number(tree, "me", int),
        assigner_count=_read_number(tree, "balancers", int, 1),
        seed=seed,
        zone=_read_number(tree, "zone", int, default=0),
        zone_count=len(_read_value(tree, "zones", list, [])),
        request_classes=classes,
        slice_count=_read_number(tree, "familyInfo.slices", int, default=0),
        proxy_count=_read_number(tree, "familyInfo.agents", int),
        single_writer=_read_value(tree, "familyInfo.singleWriter", bool, False),
        caches_keys=_read_value(tree, "familyInfo.warmKeys", bool, False),
        default_retry_mode=_read_number(tree, "familyInfo.retryDefault", int, default=0),
        proxy_ejection_failures=_read_number(tree, "familyInfo.strikes", int, default=0),
        retry_wait_objectives=_read_number(tree, "familyInfo.tryFactor", float, default=1.0),
        admission_mode=_parse_admission_mode(tree),
        channel_entries_per_s=_read_number(tree, "familyInfo.egressPerS", float, 1),
        channel_header_entries=_read_number(tree, "familyInfo.head", float),
        channel_capacity_entries=_read_number(tree, "familyInfo.mostWaiting", float, 1),
        channel_delay_s=_read_number(tree, "familyInfo.pushDelayS", float),
        channel_delay_max_s=_read_number(tree, "familyInfo.pushDelayMaxS", float),
        max_messages_per_window=_read_number(tree, "familyInfo.reloadsMax", int, default=0),
        message_window_s=_read_number(tree, "familyInfo.reloadSpanS", float, default=10.0),
        report_period_s=_read_number(tree, "familyInfo.cycleS", float),
        report_entries_per_s=_read_number(tree, "familyInfo.hearsPerS", float),
        load_value_names=load_value_names,
        health_checks_enabled=_read_value(tree, "limits.probes", bool, False),
        watch_on_request=_read_value(tree, "membershipMode", str, "automatic") == "subscribe",
        drain_grace_s=_read_number(tree, "rules.stopSendingWithinS", float),
        slow_start_min_fraction=_read_number(tree, "rules.coldFrom", float),
        slow_start_duration_s=_read_number(tree, "rules.warmWithinS", float),
        collapse_load_ratio=_read_number(tree, "rules.fallMultiple", float),
        collapse_duration_s=_read_number(tree, "rules.overloadForS", float),
        max_unserved_s=_read_number(tree, "familyInfo.unservedMaxS", float),
    )


def parse_settings(text: bytes, seed: int) -> Settings:
    """Parse the JSON text of the settings.

    Args:
        text: The settings as JSON text.
        seed: The seed, which is not part of the text.

    Raises:
        SettingsError: The text is not a JSON object, or a setting is missing or invalid.
    """
    try:
        tree = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings are not JSON: {error}") from error
    if not isinstance(tree, dict):
        raise SettingsError(f"settings must be a JSON object, got {type(tree).__name__}")
    classes = _parse_request_classes(tree)
    load_value_names = _read_value(tree, "report.names", list, [])
    return _build_settings(tree, seed, classes, tuple(str(name) for name in load_value_names))

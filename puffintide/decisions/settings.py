"""Settings of an assigner, and their parser.

The keys of the JSON text are the operators' own; they are mapped to standard terms here and nowhere else. Unknown
keys are ignored.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class RepeatSafety(StrEnum):
    """Whether a request may be executed twice; the values are those of the settings."""

    IDEMPOTENT = "repeatable"
    IDEMPOTENCY_KEY = "by_key"  # repeats are dropped by their key within the deduplication window
    NON_IDEMPOTENT = "once"


class AdmissionMode(StrEnum):
    """What proxies do with the admission fractions that they receive; the values are those of the settings."""

    FRACTION = "fraction"
    RATE = "per_second"
    NONE = "silent"  # fractions are ignored, retry modes are not


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests."""

    repeat_safety: RepeatSafety
    deduplication_scope: str  # with an idempotency key: "all" servers, those of a "zone" or of a "cell"
    deduplication_window_s: float
    latency_objective_s: float
    deadline_s: float
    priority_weight: float
    same_zone_only: bool


@dataclass(frozen=True, slots=True)
class Settings:
    """What an assigner is started with."""

    assigner_index: int
    assigner_count: int
    seed: int
    zone: int
    zone_count: int
    request_classes: tuple[RequestClass, ...]
    slice_count: int
    proxy_count: int
    single_writer: bool
    caches_keys: bool  # servers work faster on keys that they have seen recently
    default_retry_mode: int
    retry_wait_objectives: float  # wait before a retry, in latency objectives
    proxy_ejection_failures: int  # consecutive failures after which a proxy avoids a server; 0: never
    admission_mode: AdmissionMode
    channel_entries_per_s: float
    channel_header_entries: float  # that each message costs beside its entries
    channel_capacity_entries: float
    channel_delay_s: float
    channel_delay_max_s: float
    max_messages_per_window: int  # 0: no limit
    message_window_s: float
    report_period_s: float
    report_entries_per_s: float
    load_value_names: tuple[str, ...]  # "rif", "q", "busy", "lat_ms", "rate", "fail_rate"
    health_checks_enabled: bool
    watch_on_request: bool  # the endpoint list is sent only once it is requested
    drain_grace_s: float
    slow_start_min_fraction: float  # of its capacity that a server has when it starts
    slow_start_duration_s: float
    collapse_load_ratio: float  # load over capacity at which a server that is warming up fails
    collapse_duration_s: float
    max_unserved_s: float
    zone_distances: tuple[tuple[int, ...], ...] = ()  # of each zone to each other; empty: all alike


class SettingsError(Exception):
    """A setting is absent or invalid; the text names its key."""


_ABSENT = object()


def _lookup(tree: Any, path: str) -> Any:
    """The node at a dotted path, or _ABSENT."""
    node = tree
    for part in path.split("."):
        if not isinstance(node, dict) or part not in node:
            return _ABSENT
        node = node[part]
    return node


def _convert_number(node: Any, expected_type: type) -> Any:
    """JSON does not tell 1 from 1.0: convert a number that can be of the expected type."""
    if expected_type is float and isinstance(node, int) and not isinstance(node, bool):
        return float(node)
    if expected_type is int and isinstance(node, float) and node.is_integer():
        return int(node)
    return node


def _value(tree: Any, path: str, expected_type: type, default: Any = None) -> Any:
    node = _lookup(tree, path)
    if node is _ABSENT:
        if default is None:
            raise SettingsError(f"setting {path} is absent")
        return default
    node = _convert_number(node, expected_type)
    if not isinstance(node, expected_type) or (expected_type is int and isinstance(node, bool)):
        raise SettingsError(f"setting {path} is not a {expected_type.__name__}: {node!r}")
    if isinstance(node, float) and not math.isfinite(node):
        raise SettingsError(f"setting {path} is not a finite number")
    return node


def _number(tree: Any, path: str, expected_type: type, minimum: float = 0, default: Any = None) -> Any:
    value = _value(tree, path, expected_type, default)
    if value < minimum:
        raise SettingsError(f"setting {path} is below {minimum}: {value}")
    return value


def _request_class(row: Any, same_zone_only: bool) -> RequestClass:
    effect = _value(row, "effect", str)
    if effect not in tuple(RepeatSafety):
        raise SettingsError(f"setting effect is unknown: {effect!r}")
    return RequestClass(
        repeat_safety=RepeatSafety(effect),
        deduplication_scope=_value(row, "group", str, "all"),
        deduplication_window_s=_number(row, "windowS", float, default=0.0),
        latency_objective_s=_number(row, "objectiveS", float),
        deadline_s=_number(row, "deadlineS", float),
        priority_weight=_number(row, "worth", float, default=1.0),
        same_zone_only=same_zone_only,
    )


def _request_classes(tree: dict[str, Any]) -> tuple[RequestClass, ...]:
    rows = _value(tree, "classes", list)
    if not rows:
        raise SettingsError("setting classes is empty")
    same_zone_only = _value(tree, "familyInfo.homeOnly", list, [])
    classes = []
    for index, row in enumerate(rows):
        try:
            classes.append(_request_class(row, index < len(same_zone_only) and bool(same_zone_only[index])))
        except SettingsError as error:
            raise SettingsError(f"classes[{index}]: {error}") from error
    return tuple(classes)


def _admission_mode(tree: dict[str, Any]) -> AdmissionMode:
    mode = _value(tree, "familyInfo.admit", str, "silent")
    return AdmissionMode(mode) if mode in tuple(AdmissionMode) else AdmissionMode.NONE


def _settings(
    tree: dict[str, Any], seed: int, classes: tuple[RequestClass, ...], load_value_names: tuple[str, ...]
) -> Settings:
    return Settings(
        assigner_index=_number(tree, "me", int),
        assigner_count=_number(tree, "balancers", int, 1),
        seed=seed,
        zone=_number(tree, "zone", int, default=0),
        zone_count=len(_value(tree, "zones", list, [])),
        request_classes=classes,
        slice_count=_number(tree, "familyInfo.slices", int, default=0),
        proxy_count=_number(tree, "familyInfo.agents", int),
        single_writer=_value(tree, "familyInfo.singleWriter", bool, False),
        caches_keys=_value(tree, "familyInfo.warmKeys", bool, False),
        default_retry_mode=_number(tree, "familyInfo.retryDefault", int, default=0),
        proxy_ejection_failures=_number(tree, "familyInfo.strikes", int, default=0),
        retry_wait_objectives=_number(tree, "familyInfo.tryFactor", float, default=1.0),
        admission_mode=_admission_mode(tree),
        channel_entries_per_s=_number(tree, "familyInfo.egressPerS", float, 1),
        channel_header_entries=_number(tree, "familyInfo.head", float),
        channel_capacity_entries=_number(tree, "familyInfo.mostWaiting", float, 1),
        channel_delay_s=_number(tree, "familyInfo.pushDelayS", float),
        channel_delay_max_s=_number(tree, "familyInfo.pushDelayMaxS", float),
        max_messages_per_window=_number(tree, "familyInfo.reloadsMax", int, default=0),
        message_window_s=_number(tree, "familyInfo.reloadSpanS", float, default=10.0),
        report_period_s=_number(tree, "familyInfo.cycleS", float),
        report_entries_per_s=_number(tree, "familyInfo.hearsPerS", float),
        load_value_names=load_value_names,
        health_checks_enabled=_value(tree, "limits.probes", bool, False),
        watch_on_request=_value(tree, "membershipMode", str, "automatic") == "subscribe",
        drain_grace_s=_number(tree, "rules.stopSendingWithinS", float),
        slow_start_min_fraction=_number(tree, "rules.coldFrom", float),
        slow_start_duration_s=_number(tree, "rules.warmWithinS", float),
        collapse_load_ratio=_number(tree, "rules.fallMultiple", float),
        collapse_duration_s=_number(tree, "rules.overloadForS", float),
        max_unserved_s=_number(tree, "familyInfo.unservedMaxS", float),
    )


def parse_settings(text: bytes, seed: int) -> Settings:
    """Parse the JSON text of the settings.

    Raises:
        SettingsError: The text is no JSON object, or a setting is absent or invalid.
    """
    try:
        tree = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"the settings are not JSON: {error}") from error
    if not isinstance(tree, dict):
        raise SettingsError("the settings are not a JSON object")
    classes = _request_classes(tree)
    load_value_names = _value(tree, "report.names", list, [])
    return _settings(tree, seed, classes, tuple(str(name) for name in load_value_names))

"""The settings that an instance is started with, as the interface's Settings. Unknown keys are skipped.

The drill has them in its first message, the node in its configuration.
"""

from __future__ import annotations

import json
import math
from typing import Any

from puffintide.interface import RequestClass, Settings


class SettingsError(Exception):
    """A setting is absent or impossible; the text names its key."""


def _get(tree: Any, path: str, kind: type, default: Any = None) -> Any:
    node = tree
    for part in path.split("."):
        if not isinstance(node, dict) or part not in node:
            if default is not None:
                return default
            raise SettingsError(f"setting {path} is absent")
        node = node[part]
    if kind is float and isinstance(node, int) and not isinstance(node, bool):
        node = float(node)
    if kind is int and isinstance(node, float) and node.is_integer():
        node = int(node)
    if not isinstance(node, kind) or (kind is int and isinstance(node, bool)):
        raise SettingsError(f"setting {path} is not a {kind.__name__}: {node!r}")
    if isinstance(node, float) and not math.isfinite(node):
        raise SettingsError(f"setting {path} is not a finite number")
    return node


def _amount(tree: Any, path: str, kind: type, least: float = 0, default: Any = None) -> Any:
    value = _get(tree, path, kind, default)
    if value < least:
        raise SettingsError(f"setting {path} is below {least}: {value}")
    return value


def parse_settings(text: bytes, seed: int) -> Settings:
    """Settings from the JSON text, or a SettingsError that names the key at fault."""
    try:
        tree = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"the settings are not JSON: {error}") from None
    if not isinstance(tree, dict):
        raise SettingsError("the settings are not a JSON object")
    classes = []
    rows = _get(tree, "classes", list)
    if not rows:
        raise SettingsError("setting classes is empty")
    home_only = _get(tree, "familyInfo.homeOnly", list, [])
    for k, row in enumerate(rows):
        try:
            effect = _get(row, "effect", str)
            if effect not in ("repeatable", "by_key", "once"):
                raise SettingsError(f"setting effect is unknown: {effect!r}")
            classes.append(
                RequestClass(
                    repeat_safety=effect,
                    deduplication_scope=_get(row, "group", str, "all"),
                    deduplication_window_s=_amount(row, "windowS", float, default=0.0),
                    latency_objective_s=_amount(row, "objectiveS", float),
                    deadline_s=_amount(row, "deadlineS", float),
                    priority_weight=_amount(row, "worth", float, default=1.0),
                    same_zone_only=bool(home_only[k]) if k < len(home_only) else False,
                )
            )
        except SettingsError as error:
            raise SettingsError(f"classes[{k}]: {error}") from None
    names = _get(tree, "report.names", list, [])
    return Settings(
        assigner_index=_amount(tree, "me", int),
        assigner_count=_amount(tree, "balancers", int, 1),
        seed=seed,
        zone=_amount(tree, "zone", int, default=0),
        zone_count=len(_get(tree, "zones", list, [])),
        request_classes=tuple(classes),
        slice_count=_amount(tree, "familyInfo.slices", int, default=0),
        proxy_count=_amount(tree, "familyInfo.agents", int),
        single_writer=_get(tree, "familyInfo.singleWriter", bool, False),
        caches_keys=_get(tree, "familyInfo.warmKeys", bool, False),
        default_retry_mode=_amount(tree, "familyInfo.retryDefault", int, default=0),
        proxy_ejection_failures=_amount(tree, "familyInfo.strikes", int, default=0),
        retry_wait_objectives=_amount(tree, "familyInfo.tryFactor", float, default=1.0),
        admission_mode=_get(tree, "familyInfo.admit", str, "silent"),
        channel_entries_per_s=_amount(tree, "familyInfo.egressPerS", float, 1),
        channel_header_entries=_amount(tree, "familyInfo.head", float),
        channel_capacity_entries=_amount(tree, "familyInfo.mostWaiting", float, 1),
        channel_delay_s=_amount(tree, "familyInfo.pushDelayS", float),
        channel_delay_max_s=_amount(tree, "familyInfo.pushDelayMaxS", float),
        max_messages_per_window=_amount(tree, "familyInfo.reloadsMax", int, default=0),
        message_window_s=_amount(tree, "familyInfo.reloadSpanS", float, default=10.0),
        report_period_s=_amount(tree, "familyInfo.cycleS", float),
        report_entries_per_s=_amount(tree, "familyInfo.hearsPerS", float),
        load_value_names=tuple(str(name) for name in names),
        health_checks_enabled=_get(tree, "limits.probes", bool, False),
        watch_on_request=_get(tree, "membershipMode", str, "automatic") == "subscribe",
        drain_grace_s=_amount(tree, "rules.stopSendingWithinS", float),
        slow_start_min_fraction=_amount(tree, "rules.coldFrom", float),
        slow_start_duration_s=_amount(tree, "rules.warmWithinS", float),
        collapse_load_ratio=_amount(tree, "rules.fallMultiple", float),
        collapse_duration_s=_amount(tree, "rules.overloadForS", float),
        max_unserved_s=_amount(tree, "familyInfo.unservedMaxS", float),
    )

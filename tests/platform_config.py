"""Configuration of the platform's assigner for tests."""

from __future__ import annotations

from typing import Any

from puffintide.platform.identifiers import SettingsNames
from tests.test_bench_adapter import CONF

NAMES = SettingsNames(["a", "b"], ["status", "start"], ["m1", "m2"], ["rif", "busy"])

SETTINGS = {**CONF, "kinds": ["m1"]}

CONFIG: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:3000",
    "discovery": "127.0.0.2:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
    "store": {"address": "127.0.0.3:6400"},
    "known": {"seq": 4, "whole": True, "hosts": []},
    "settings": SETTINGS,
}

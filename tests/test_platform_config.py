"""Tests of the configuration and the log of the platform's assigner."""

from __future__ import annotations

import json
from typing import Any

import pytest

from puffintide.platform.config import parse_config
from puffintide.platform.errors import (
    ConfigError,
)
from puffintide.platform.log import EventLog
from tests.platform_config import CONFIG, SETTINGS


def test_parse_config_returns_addresses_limits_and_settings() -> None:
    config = parse_config(json.dumps(CONFIG).encode())
    assert (config.listen, config.discovery, config.relay) == (
        ("127.0.0.1", 3000),
        ("127.0.0.2", 8500),
        ("127.0.0.3", 6400),
    )
    assert config.sockets == 256
    assert config.settings.seed == 0x8C1F30D27A5BE964
    assert config.names.zones == {"a": 0}
    assert config.settings.drain_grace_s == 3.0


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"listen": "127.0.0.1"}, "listen"),
        ({"listen": ...}, "listen"),
        ({"discovery": "h:0"}, "discovery"),
        ({"store": {}}, "store.address"),
        ({"store": 5}, "store"),
        ({"settings": []}, "settings"),
        ({"settings": {}}, "settings: setting classes"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"sockets": 0}}, "limits.sockets"),
        ({"settings": {**SETTINGS, "zones": [1]}}, "settings"),
    ],
)
def test_invalid_configuration_raises_error_that_names_the_key(changes: dict[str, Any], key: str) -> None:
    document = {name: value for name, value in (CONFIG | changes).items() if value is not ...}
    with pytest.raises(ConfigError, match=key):
        parse_config(json.dumps(document).encode())
    for text in (b"", b"{", b"[]", b"\xff"):
        with pytest.raises(ConfigError):
            parse_config(text)


def test_log_is_rate_limited_and_counts_skipped_lines() -> None:
    lines: list[str] = []
    now = [0.0]
    log = EventLog("n0", lines.append, lambda: now[0], lambda: 1.0)
    for k in range(1000):
        log("event", k=k)
    assert len(lines) < 30
    now[0] = 10.0
    log("event", k=1000)
    assert json.loads(lines[-1])["skipped"] > 900

"""Tests of host names, server ids and load values."""

from __future__ import annotations

import math

import pytest

from puffintide.platform.identifiers import HostRegistry, hash_host
from tests.platform_config import NAMES


def test_host_id_does_not_depend_on_registration_order() -> None:
    first_registry, second_registry = HostRegistry(), HostRegistry()
    names = [f"s-{k:08x}" for k in range(300)]
    server_ids = [first_registry.register(n) for n in names]
    assert [second_registry.register(n) for n in reversed(names)] == server_ids[::-1]
    assert len(set(server_ids)) == 300
    assert all(0 <= n < 2**31 for n in server_ids)
    assert hash_host("s-5be2a07c") == 1134527499  # The id is the same at every assigner and after a restart.


def test_colliding_hosts_get_different_ids(monkeypatch: pytest.MonkeyPatch) -> None:
    original_hash_host = hash_host
    monkeypatch.setattr(
        "puffintide.platform.identifiers.hash_host",
        lambda host, salt=0: original_hash_host(host, salt) if salt else 7,
    )
    hosts = HostRegistry()
    assert hosts.register("x") == 7
    assert hosts.register("y") != 7
    assert hosts.collisions == 1
    assert hosts.host(hosts.register("y")) == "y"


def test_hosts_that_are_not_retained_are_forgotten() -> None:
    hosts = HostRegistry()
    retained_id = hosts.register("a")
    for k in range(100):
        hosts.register(f"gone-{k}")
    hosts.retain([retained_id])
    assert len(hosts) == 1
    assert hosts.host(retained_id) == "a"
    assert hosts.server_id("gone-1") is None


def test_load_values_follow_the_order_of_the_settings_under_either_name() -> None:
    assert NAMES.parse_load_values({"inflight": 7, "util": 0.5}) == (7.0, 0.5)
    assert NAMES.parse_load_values({"rif": 7, "busy": 0.5}) == (7.0, 0.5)
    first, second = NAMES.parse_load_values({"util": 0.25, "inflight": "x"})
    assert math.isnan(first)
    assert second == 0.25
    for report in (None, {}, {"queue": 1}, {"inflight": True, "util": -1}):
        assert NAMES.parse_load_values(report) == ()

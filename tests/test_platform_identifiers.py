"""Host names, ids and load values."""

from __future__ import annotations

import math

import pytest

from puffintide.platform.identifiers import HostRegistry, hash_host
from tests.platform_config import NAMES


def test_host_has_the_same_id_whatever_was_registered_before() -> None:
    one, other = HostRegistry(), HostRegistry()
    names = [f"s-{k:08x}" for k in range(300)]
    numbers = [one.register(n) for n in names]
    assert [other.register(n) for n in reversed(names)] == numbers[::-1]
    assert len(set(numbers)) == 300
    assert all(0 <= n < 2**31 for n in numbers)
    assert hash_host("s-5be2a07c") == 1134527499  # and so at every assigner, at any time


def test_colliding_hosts_get_different_ids(monkeypatch: pytest.MonkeyPatch) -> None:
    real = hash_host
    monkeypatch.setattr(
        "puffintide.platform.identifiers.hash_host", lambda host, salt=0: real(host, salt) if salt else 7
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


def test_load_values_are_in_the_order_of_the_settings_under_either_name() -> None:
    assert NAMES.parse_load_values({"inflight": 7, "util": 0.5}) == (7.0, 0.5)
    assert NAMES.parse_load_values({"rif": 7, "busy": 0.5}) == (7.0, 0.5)
    first, second = NAMES.parse_load_values({"util": 0.25, "inflight": "x"})
    assert math.isnan(first)
    assert second == 0.25
    for nothing in (None, {}, {"queue": 1}, {"inflight": True, "util": -1}):
        assert NAMES.parse_load_values(nothing) == ()

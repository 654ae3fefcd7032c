"""Conflict resolution between differing replicas of a row."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffintide.replication import conflict_resolution
from puffintide.replication.replica import Reading


def reading(origin_id: int, age_s: float, *value: float, version: tuple[int, int] = (1, 1)) -> Reading:
    return Reading(origin_id, version, age_s, tuple(value))


READINGS = st.lists(
    st.builds(
        lambda origin_id, age_s, incarnation, level, sequence: reading(
            origin_id, age_s, incarnation, level, version=(1, sequence)
        ),
        st.integers(0, 3),
        st.sampled_from([0.0, 1.0, 20.0]),
        st.integers(0, 2),
        st.integers(0, 3),
        st.integers(1, 3),
    ),
    max_size=5,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(READINGS, st.randoms(use_true_random=False))
def test_resolution_depends_only_on_the_set_of_readings(readings: list[Reading], rng: Any) -> None:
    shuffled = [*readings, *rng.sample(readings, len(readings) // 2)]
    rng.shuffle(shuffled)
    rules = [
        lambda candidates: conflict_resolution.preferred_reading(candidates, 0),
        lambda candidates: conflict_resolution.server_level(candidates, {0, 1, 2}),
        conflict_resolution.latest_table,
        conflict_resolution.distinct_values,
    ]
    for rule in rules:
        assert rule(shuffled) == rule(readings)


RESOLUTION_CASES = [
    (
        "fresh local reading wins",
        conflict_resolution.preferred_reading([reading(0, 9, 5), reading(1, 0, 7)], 0),
        reading(0, 9, 5),
    ),
    (
        "freshest reading wins if the local one is stale",
        conflict_resolution.preferred_reading([reading(0, 11, 5), reading(2, 3, 6), reading(1, 3, 7)], 0),
        reading(1, 3, 7),
    ),
    ("no readings", conflict_resolution.preferred_reading([], 0), None),
    (
        "later incarnation wins",
        conflict_resolution.server_level([reading(0, 0, 1, 0), reading(1, 9, 2, 3)], {0, 1}),
        (2, 3),
    ),
    (
        "lower level wins within an incarnation",
        conflict_resolution.server_level([reading(0, 0, 2, 3), reading(1, 9, 2, 0)], {0, 1}),
        (2, 0),
    ),
    (
        "origin that is not trusted is ignored",
        conflict_resolution.server_level([reading(0, 0, 2, 3), reading(1, 9, 2, 0)], {0}),
        (2, 3),
    ),
    (
        "highest token wins",
        conflict_resolution.latest_table([reading(0, 0, 9, 1), reading(1, 0, 8, 7)]),
        reading(0, 0, 9, 1),
    ),
    (
        "latest write wins under one token",
        conflict_resolution.latest_table([reading(0, 0, 9, 1), reading(1, 0, 9, 2)]),
        reading(1, 0, 9, 2),
    ),
]


LEAVING_CASES: list[tuple[str, dict[int, list[Reading]], dict[int, float], list[int]]] = [
    ("reported after the update of the local list", {3: [reading(1, 2, 1)]}, {3: 5.0}, [3]),
    ("reported before the update of the local list", {3: [reading(1, 6, 1)]}, {3: 5.0}, []),
    ("local list is from a file", {3: [reading(1, 50, 1)]}, {}, [3]),
    ("report names another incarnation", {3: [reading(1, 2, 2)]}, {3: 5.0}, []),
    ("local report", {3: [reading(0, 2, 1)]}, {3: 5.0}, []),
    ("one of two reports is newer", {3: [reading(1, 6, 1), reading(2, 1, 1)]}, {3: 5.0}, [3]),
    (
        "report of too many servers is ignored",
        {server_id: [reading(1, 2, 1)] for server_id in range(4)} | {5: [reading(2, 2, 1)]},
        {},
        [5],
    ),
]


@pytest.mark.parametrize(
    ("readings", "list_ages_s", "expected"),
    [case[1:] for case in LEAVING_CASES],
    ids=[case[0] for case in LEAVING_CASES],
)
def test_server_leaves_if_a_newer_list_of_another_assigner_reports_it(
    readings: dict[int, list[Reading]], list_ages_s: dict[int, float], expected: list[int]
) -> None:
    assert (
        conflict_resolution.leaving_servers(readings, 0, dict.fromkeys(range(10), 1), list_ages_s) == expected
    )


@pytest.mark.parametrize(
    ("resolved", "expected"),
    [case[1:] for case in RESOLUTION_CASES],
    ids=[case[0] for case in RESOLUTION_CASES],
)
def test_conflict_is_resolved_by_precedence(resolved: object, expected: object) -> None:
    assert resolved == expected


def test_origin_that_ejects_too_many_servers_is_not_trusted() -> None:
    ejected_counts = {0: 0, 1: 4, 2: 3}  # Number of servers that each origin ejects.
    readings = {
        server_id: [
            reading(origin_id, 0, 1, 0 if server_id < ejected_count else 3)
            for origin_id, ejected_count in ejected_counts.items()
        ]
        for server_id in range(10)
    }
    trusted = conflict_resolution.trusted_origins(readings, 10)
    assert trusted == {0, 2}  # Origin 1 ejects four of ten servers.
    ejected = [
        server_id
        for server_id, server_readings in readings.items()
        if conflict_resolution.server_level(server_readings, trusted) == (1, 0)
    ]
    assert ejected == [0, 1, 2]

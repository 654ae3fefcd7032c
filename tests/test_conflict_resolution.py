"""Which of several differing replicas of a row counts."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffintide.replication import conflict_resolution
from puffintide.replication.replica import Reading


def read(origin: int, age: float, *value: float, version: tuple[int, int] = (1, 1)) -> Reading:
    return Reading(origin, version, age, tuple(value))


READINGS = st.lists(
    st.builds(
        lambda o, a, life, level, seq: read(o, a, life, level, version=(1, seq)),
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
def test_resolution_depends_on_set_of_readings_alone(rows: list[Reading], draw: Any) -> None:
    mixed = [*rows, *draw.sample(rows, len(rows) // 2)]
    draw.shuffle(mixed)
    rules = [
        lambda r: conflict_resolution.best_figure(r, 0),
        lambda r: conflict_resolution.server_level(r, {0, 1, 2}),
        conflict_resolution.latest_table,
        conflict_resolution.distinct_values,
    ]
    for rule in rules:
        assert rule(mixed) == rule(rows)


CASES = [
    ("own while fresh", conflict_resolution.best_figure([read(0, 9, 5), read(1, 0, 7)], 0), read(0, 9, 5)),
    (
        "else the freshest",
        conflict_resolution.best_figure([read(0, 11, 5), read(2, 3, 6), read(1, 3, 7)], 0),
        read(1, 3, 7),
    ),
    ("nobody", conflict_resolution.best_figure([], 0), None),
    (
        "later life first",
        conflict_resolution.server_level([read(0, 0, 1, 0), read(1, 9, 2, 3)], {0, 1}),
        (2, 3),
    ),
    (
        "then the safer",
        conflict_resolution.server_level([read(0, 0, 2, 3), read(1, 9, 2, 0)], {0, 1}),
        (2, 0),
    ),
    (
        "not of who is confused",
        conflict_resolution.server_level([read(0, 0, 2, 3), read(1, 9, 2, 0)], {0}),
        (2, 3),
    ),
    (
        "highest token",
        conflict_resolution.latest_table([read(0, 0, 9, 1), read(1, 0, 8, 7)]),
        read(0, 0, 9, 1),
    ),
    (
        "then latest write",
        conflict_resolution.latest_table([read(0, 0, 9, 1), read(1, 0, 9, 2)]),
        read(1, 0, 9, 2),
    ),
]


LEAVING: list[tuple[str, dict[int, list[Reading]], dict[int, float], list[int]]] = [
    ("heard after our own list told", {3: [read(1, 2, 1)]}, {3: 5.0}, [3]),
    ("before it", {3: [read(1, 6, 1)]}, {3: 5.0}, []),
    ("ours is from a file", {3: [read(1, 50, 1)]}, {}, [3]),
    ("of another life", {3: [read(1, 2, 2)]}, {3: 5.0}, []),
    ("our own", {3: [read(0, 2, 1)]}, {3: 5.0}, []),
    ("one of two tells so", {3: [read(1, 6, 1), read(2, 1, 1)]}, {3: 5.0}, [3]),
    ("one confused", {n: [read(1, 2, 1)] for n in range(4)} | {5: [read(2, 2, 1)]}, {}, [5]),
]


@pytest.mark.parametrize(
    ("rows", "list_ages_s", "expected"), [c[1:] for c in LEAVING], ids=[c[0] for c in LEAVING]
)
def test_servers_leave_by_list_of_another_assigner(
    rows: dict[int, list[Reading]], list_ages_s: dict[int, float], expected: list[int]
) -> None:
    assert conflict_resolution.leaving_servers(rows, 0, dict.fromkeys(range(10), 1), list_ages_s) == expected


@pytest.mark.parametrize(("found", "expected"), [c[1:] for c in CASES], ids=[c[0] for c in CASES])
def test_reading_that_counts(found: object, expected: object) -> None:
    assert found == expected


def test_origin_that_ejects_too_many_servers_is_not_trusted() -> None:
    unfit = {0: 0, 1: 4, 2: 3}  # so many servers are by each one's word
    said = {s: [read(o, 0, 1, 0 if s < n else 3) for o, n in unfit.items()] for s in range(10)}
    trusted = conflict_resolution.trusted_origins(said, 10)
    assert trusted == {0, 2}  # 1 finds four of ten unfit
    assert [s for s in said if conflict_resolution.server_level(said[s], trusted) == (1, 0)] == [0, 1, 2]

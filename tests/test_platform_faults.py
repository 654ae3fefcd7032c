"""Plays a fixed set of seeded mixtures of faults around the platform's assigner."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.platform_faults import play_seed

SEEDS_PER_TEST = 20
FIRST_SEEDS = range(0, 400, SEEDS_PER_TEST)


@pytest.mark.parametrize("first_seed", FIRST_SEEDS)
def test_assigner_and_relay_agree_after_each_mixture_of_faults(tmp_path: Path, first_seed: int) -> None:
    """Guards against tables that differ from what the assigner believes, whatever faults overlap."""
    for seed in range(first_seed, first_seed + SEEDS_PER_TEST):
        assert play_seed(tmp_path, seed) == [], f"seed {seed}"

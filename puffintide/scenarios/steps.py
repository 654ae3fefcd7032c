"""Steps of a scenario: what is done to whom, and when."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any


class Party(StrEnum):
    """Who carries out a step."""

    FLEET = "fleet"  # the emulated servers and the endpoint list
    RECORDING_PROXY = "tap"
    PROCESS = "process"  # assigners and the store: kill, start, stop (pause), wake, lose, backup, restore
    END = "end"  # of the scenario


@dataclass(frozen=True, slots=True)
class Step:
    """One thing that is done to a party."""

    at_s: float  # after the first request may be sent
    party: Party
    operation: str
    arguments: dict[str, Any] = field(default_factory=dict)

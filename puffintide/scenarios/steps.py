"""Timed steps of a scenario and the parties that execute them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any


class Party(StrEnum):
    """The party that executes a step."""

    FLEET = "fleet"  # Emulated servers and the endpoint list.
    RECORDING_PROXY = "tap"
    # Assigners and the store. Operations: kill, start, stop (pause), wake (resume), lose, backup, restore.
    PROCESS = "process"
    END = "end"  # End of the scenario; no operation.


@dataclass(frozen=True, slots=True)
class Step:
    """One operation of a party at a given time."""

    at_s: float  # Time in seconds since the clients were told to send requests.
    party: Party
    operation: str
    arguments: dict[str, Any] = field(default_factory=dict)

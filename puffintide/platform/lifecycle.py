"""State machine for start, reload and shutdown of an assigner. Performs no I/O.

STARTING --on_ready--> SERVING --on_terminate--> STOPPING --on_idle--> STOPPED

on_terminate also leads from STARTING to STOPPING.
"""

from __future__ import annotations

from dataclasses import fields, replace
from enum import Enum, auto

from puffintide.decisions.settings import Settings
from puffintide.platform.config import Config

RESTART_KEYS = ("name", "listen", "sockets", "memory_mb")  # Keys that take effect only after a restart.


class Phase(Enum):
    """Phase in the lifecycle of an assigner."""

    STARTING = auto()
    SERVING = auto()
    STOPPING = auto()
    STOPPED = auto()


class Lifecycle:
    """Tracks the phase of an assigner. Each method returns whether the phase has changed."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING

    @property
    def running(self) -> bool:
        """Whether the assigner runs rounds, opens connections and reloads its configuration."""
        return self.phase in (Phase.STARTING, Phase.SERVING)

    def on_ready(self) -> bool:
        """Enter SERVING once the initial state was received or the wait for it timed out."""
        if self.phase is not Phase.STARTING:
            return False
        self.phase = Phase.SERVING
        return True

    def on_terminate(self) -> bool:
        """Enter STOPPING after SIGTERM."""
        if not self.running:
            return False
        self.phase = Phase.STOPPING
        return True

    def on_idle(self) -> bool:
        """Enter STOPPED once no call is in flight or the wait for it timed out."""
        if self.phase is not Phase.STOPPING:
            return False
        self.phase = Phase.STOPPED
        return True


def merge_reloaded(current: Config, reloaded: Config) -> tuple[Config, list[str]]:
    """Merge a reloaded configuration into the current one.

    Returns:
        The configuration in force, and the changed keys that take effect only after a restart. Only the
        addresses of discovery and relay are taken from the reloaded configuration. The last endpoint list and
        the seed are used only at a start, so that changes of them are not listed.
    """
    ignored = [key for key in RESTART_KEYS if getattr(reloaded, key) != getattr(current, key)]
    for setting in fields(Settings):
        differs = getattr(reloaded.settings, setting.name) != getattr(current.settings, setting.name)
        if differs and setting.name != "seed":
            ignored.append(f"settings.{setting.name}")
    current_names = vars(current.names)
    for key, names in vars(reloaded.names).items():
        if names != current_names[key]:
            ignored.append(f"names.{key}")
    return replace(current, discovery=reloaded.discovery, relay=reloaded.relay), ignored

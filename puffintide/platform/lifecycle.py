"""Start, reload and shutdown of an assigner, as states. Performs no I/O.

STARTING --on_ready--> SERVING --on_terminate--> STOPPING --on_idle--> STOPPED;
on_terminate leads to STOPPING from STARTING too.
"""

from __future__ import annotations

from dataclasses import fields, replace
from enum import Enum, auto

from puffintide.decisions.settings import Settings
from puffintide.platform.config import Config

RESTART_KEYS = ("name", "listen", "sockets", "memory_mb")  # that take effect at a restart


class Phase(Enum):
    """State of an assigner."""

    STARTING = auto()
    SERVING = auto()
    STOPPING = auto()
    STOPPED = auto()


class Lifecycle:
    """The phase of an assigner; each method returns whether the phase has changed."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING

    @property
    def running(self) -> bool:
        """Whether rounds are run, connections opened and configurations reloaded."""
        return self.phase in (Phase.STARTING, Phase.SERVING)

    def on_ready(self) -> bool:
        """Start to answer pings: the initial state was received, or the wait for it has ended."""
        if self.phase is not Phase.STARTING:
            return False
        self.phase = Phase.SERVING
        return True

    def on_terminate(self) -> bool:
        """Start nothing new from now on: SIGTERM was received."""
        if not self.running:
            return False
        self.phase = Phase.STOPPING
        return True

    def on_idle(self) -> bool:
        """End the process: what was in flight has ended, or the wait for it has."""
        if self.phase is not Phase.STOPPING:
            return False
        self.phase = Phase.STOPPED
        return True


def merge_reloaded(current: Config, reloaded: Config) -> tuple[Config, list[str]]:
    """Merge a reloaded configuration into the current one.

    Returns:
        The configuration in force, where only the addresses of discovery and relay are new, and the other keys that
        differ and take effect at a restart. The last endpoint list and the seed matter at a start alone.
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

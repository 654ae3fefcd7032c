"""Start, reload and end of one assigner, as states. Pure: the service does what these answers say.

starting --ready--> serving --terminate--> stopping --ended--> over
    \\_________________terminate_________/ \\___ nothing on its way ___/
"""

from __future__ import annotations

from dataclasses import fields, replace
from enum import Enum, auto

from puffintide.decisions.settings import Settings
from puffintide.platform.config import Config

KEPT = ("name", "listen", "sockets", "memory_mb")


class Phase(Enum):
    STARTING = auto()
    SERVING = auto()
    STOPPING = auto()
    OVER = auto()


class Lifecycle:
    def __init__(self) -> None:
        self.phase = Phase.STARTING

    @property
    def running(self) -> bool:
        """Whether rounds are held, streams dialled and configurations taken."""
        return self.phase in (Phase.STARTING, Phase.SERVING)

    def ready(self) -> bool:
        """What stands has been told, or the wait for it is over. True: signs of life are given from here on."""
        if self.phase is not Phase.STARTING:
            return False
        self.phase = Phase.SERVING
        return True

    def terminate(self) -> bool:
        """SIGTERM. True the first time: nothing new begins from here on."""
        if not self.running:
            return False
        self.phase = Phase.STOPPING
        return True

    def ended(self) -> bool:
        """What was on its way has ended, or the wait for it has. True once: the process ends."""
        if self.phase is not Phase.STOPPING:
            return False
        self.phase = Phase.OVER
        return True


def reloaded(old: Config, new: Config) -> tuple[Config, list[str]]:
    """What is in force once a new configuration was read, and the keys that it changes and that wait for a restart.
    The two addresses move. Rules, limits and names stay those that the module was made with, whole; the list as
    last had and the seed are of a start alone, and differ between any two files."""
    waiting = [key for key in KEPT if getattr(new, key) != getattr(old, key)]
    settings = [f.name for f in fields(Settings) if f.name != "seed"]
    waiting += [f"settings.{k}" for k in settings if getattr(new.settings, k) != getattr(old.settings, k)]
    waiting += [f"names.{k}" for k, names in vars(new.names).items() if names != vars(old.names)[k]]
    return replace(old, discovery=new.discovery, relay=new.relay), waiting

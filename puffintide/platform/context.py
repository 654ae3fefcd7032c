"""Objects shared by the components of an assigner."""

from __future__ import annotations

from dataclasses import dataclass

from puffintide.assigner.runtime import Runtime
from puffintide.decisions.settings import Settings
from puffintide.platform.identifiers import HostRegistry, SettingsNames
from puffintide.platform.log import Log
from puffintide.platform.reactor import Reactor
from puffintide.platform.rounds import RoundScheduler


@dataclass(frozen=True, slots=True)
class Context:
    """Holds the objects shared by the components of an assigner."""

    reactor: Reactor
    settings: Settings
    names: SettingsNames
    hosts: HostRegistry
    runtime: Runtime
    rounds: RoundScheduler
    log: Log

"""Pydantic models of the sections that a configuration file may have. The fields are the keys of the file."""

from __future__ import annotations

from puffintide.config.schema.deployment import (
    ChannelSection,
    ClassSection,
    Deployment,
    ListSection,
    PeersSection,
    ProbeSection,
    ReportSection,
    Rules,
    StoreSection,
    ZoneSection,
    ZonesSection,
)
from puffintide.config.schema.processes import (
    AssignerProcess,
    OperatorSection,
    Process,
    ProxyProcess,
    StoreProcess,
    Tls,
)
from puffintide.config.schema.scenarios import FAULTS, Day, Fault, Fleet, Load, Net
from puffintide.config.schema.types import Section

__all__ = [
    "FAULTS",
    "AssignerProcess",
    "ChannelSection",
    "ClassSection",
    "Day",
    "Deployment",
    "Fault",
    "Fleet",
    "ListSection",
    "Load",
    "Net",
    "OperatorSection",
    "PeersSection",
    "ProbeSection",
    "Process",
    "ProxyProcess",
    "ReportSection",
    "Rules",
    "Section",
    "StoreProcess",
    "StoreSection",
    "Tls",
    "ZoneSection",
    "ZonesSection",
]
